package program_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
)

// TestAge guards against a time limit that counts the age of a program more
// than once when the program has had several turns and owners.
func TestAge(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	const limited = "dc.1.limited"
	simulation.step(0, program.OpenRequest{ReplyToken: 1, Program: limited, Slot: simSlot, Open: ledger.Open{
		Root: limited, Workspace: "w", Budget: simBudget, Limits: ledger.Limits{Time: time.Minute},
	}})
	owner := 0
	for call := range 5 {
		for range 12 {
			simulation.progress(owner)
		}
		simulation.step(owner, program.CallRequest{Slot: simSlot, Request: program.Request{
			ReplyToken: program.ReplyToken(10 + call), Workspace: "w", Program: limited, Call: fmt.Sprint("i", call),
			Service: "s", Kind: program.KindEngine, Repeatable: true, Input: "in", MaxTokens: 5, Timeout: 20 * time.Second,
		}})
		for range 12 {
			simulation.progress(owner)
		}
		if call == 2 {
			simulation.crash(0)
			owner = 1
			simulation.takeOver(owner)
		}
		simulation.advance(10 * time.Second)
	}
	committed, ok := simulation.hosts[owner].machine.LedgerState().Program(limited)
	is.True(ok)
	is.Equal(committed.Turns(), 5)
	is.Equal(committed.Ended(), ledger.EndReason(""))                               // 50 seconds old
	is.True(committed.Age() >= 30*time.Second && committed.Age() <= 45*time.Second) // 40 seconds at the last turn
	simulation.advance(25 * time.Second)
	for range 12 {
		simulation.progress(owner)
	}
	is.Equal(committed.Ended(), ledger.EndTime)
}

// TestConsolidation guards against a successor that cannot load a history
// after the log has dropped the entries from before the last refresh.
func TestConsolidation(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	for _, call := range []string{"i1", "i2", "o1", "i3"} {
		simulation.send(0, call)
		for range 8 {
			simulation.progress(0)
		}
	}
	expired := len(simulation.history)
	simulation.advance(time.Hour)
	simulation.step(0, program.Refresh{Before: int64(len(simulation.ledger)), Age: time.Minute})
	for range 8 {
		simulation.progress(0)
	}
	for offset := range expired {
		simulation.history[offset] = nil // dropped by the log
	}
	simulation.send(0, "i4")
	for range 8 {
		simulation.progress(0)
	}
	simulation.crash(0)
	simulation.takeOver(1)
	simulation.send(1, "i2")
	simulation.converge()
	simulation.checkInvariants()
	is.Equal(simulation.violations, nil)
	is.Equal(simulation.runs["i2"], 1) // answered from the consolidated history
	committed, ok := simulation.hosts[0].machine.LedgerState().Program(simProgram)
	is.True(ok)
	is.Equal(committed.Turns(), 5)
}

// TestForfeitedGrant guards against the loss of more than one grant increment,
// an eighth of the budget, when the owner crashes during a call.
func TestForfeitedGrant(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	simulation.send(0, "i1")
	simulation.executeNext(0, false)
	simulation.crash(0)
	simulation.takeOver(1)
	committed, ok := simulation.hosts[1].machine.LedgerState().Program(simProgram)
	is.True(ok)
	is.True(committed.Forfeited() > 0)
	is.True(committed.Forfeited() <= (simBudget+7)/8)
}

// TestLimits guards against programs that run on after their turn, time or
// idle limit.
func TestLimits(t *testing.T) {
	tests := []struct {
		name   string
		limits ledger.Limits
		calls  int
		wait   time.Duration
		want   ledger.EndReason
	}{
		{"ends at the turn limit", ledger.Limits{Turns: 2}, 3, time.Second, ledger.EndTurns},
		{"ends at the time limit", ledger.Limits{Time: time.Minute}, 1, 2 * time.Minute, ledger.EndTime},
		{"ends at the idle limit", ledger.Limits{Idle: 10 * time.Second}, 1, time.Minute, ledger.EndIdle},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			simulation := newStartedSimulation()
			const limited = "dc.1.limited"
			simulation.step(0, program.OpenRequest{ReplyToken: 1, Program: limited, Slot: simSlot, Open: ledger.Open{
				Root: limited, Workspace: "w", Budget: simBudget, Limits: test.limits,
			}})
			simulation.converge()
			for call := range test.calls {
				simulation.step(0, program.CallRequest{Slot: simSlot, Request: program.Request{
					ReplyToken: program.ReplyToken(10 + call), Workspace: "w", Program: limited, Call: fmt.Sprint("i", call),
					Service: "s", Kind: program.KindEngine, Repeatable: true, Input: "in", MaxTokens: 5, Timeout: 20 * time.Second,
				}})
				for range 20 {
					simulation.executeNext(0, false)
					simulation.deliverNext(0)
					simulation.storeNext(0)
					simulation.appendNext(0, appendSucceeds)
					simulation.readNext(0)
				}
			}
			simulation.advance(test.wait)
			simulation.converge()
			committed, ok := simulation.hosts[0].machine.LedgerState().Program(limited)
			is.True(ok)
			is.Equal(committed.Ended(), test.want)
		})
	}
}
