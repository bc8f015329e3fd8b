package program_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
)

// TestAge checks that the time limit counts the age of a program once, however
// many turns and owners it has had.
func TestAge(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	const limited = "dc.1.limited"
	fleet.step(0, program.Opened{Token: 1, Program: limited, Slot: simSlot, Open: ledger.Open{
		Root: limited, Workspace: "w", Budget: simBudget, Limits: ledger.Limits{Time: time.Minute},
	}})
	owner := 0
	for call := range 5 {
		for range 12 {
			fleet.progress(owner)
		}
		fleet.step(owner, program.Called{Slot: simSlot, Request: program.Request{
			Token: program.Token(10 + call), Workspace: "w", Program: limited, Call: fmt.Sprint("i", call),
			Service: "s", Kind: program.KindEngine, Repeatable: true, Input: "in", MaxTokens: 5, Timeout: 20 * time.Second,
		}})
		for range 12 {
			fleet.progress(owner)
		}
		if call == 2 {
			fleet.crash(0)
			owner = 1
			fleet.takeOver(owner)
		}
		fleet.advance(10 * time.Second)
	}
	entry, ok := fleet.hosts[owner].machine.Book().Program(limited)
	is.True(ok)
	is.Equal(entry.Turns(), 5)
	is.Equal(entry.Ended(), ledger.EndReason("")) // 50 seconds old
	is.True(entry.Age() >= 30*time.Second && entry.Age() <= 45*time.Second)
	fleet.advance(25 * time.Second)
	for range 12 {
		fleet.progress(owner)
	}
	is.Equal(entry.Ended(), ledger.EndTime)
}

// TestConsolidation lets the log drop everything before a refresh. A successor
// still finds the whole history.
func TestConsolidation(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	for _, call := range []string{"i1", "i2", "o1", "i3"} {
		fleet.send(0, call)
		for range 8 {
			fleet.progress(0)
		}
	}
	expired := len(fleet.history)
	fleet.advance(time.Hour)
	fleet.step(0, program.Refresh{Before: int64(len(fleet.ledger)), Age: time.Minute})
	for range 8 {
		fleet.progress(0)
	}
	for offset := range expired {
		fleet.history[offset] = nil // the log has dropped it
	}
	fleet.send(0, "i4")
	for range 8 {
		fleet.progress(0)
	}
	fleet.crash(0)
	fleet.takeOver(1)
	fleet.send(1, "i2")
	fleet.settle()
	fleet.check()
	is.Equal(fleet.faults, nil)
	is.Equal(fleet.runs["i2"], 1) // answered from the consolidated history
	entry, ok := fleet.hosts[0].machine.Book().Program(simProgram)
	is.True(ok)
	is.Equal(entry.Turns(), 5)
}

// TestBudgetSlice checks that the death of an owner forfeits at most a slice.
func TestBudgetSlice(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	fleet.send(0, "i1")
	fleet.execute(0, false)
	fleet.crash(0)
	fleet.takeOver(1)
	entry, ok := fleet.hosts[1].machine.Book().Program(simProgram)
	is.True(ok)
	is.True(entry.Forfeited() > 0)
	is.True(entry.Forfeited() <= (simBudget+7)/8)
}

// TestLimits ends programs that loop, idle or outlive their time.
func TestLimits(t *testing.T) {
	tests := []struct {
		name   string
		limits ledger.Limits
		calls  int
		wait   time.Duration
		want   ledger.EndReason
	}{
		{"turns", ledger.Limits{Turns: 2}, 3, time.Second, ledger.EndTurns},
		{"time", ledger.Limits{Time: time.Minute}, 1, 2 * time.Minute, ledger.EndTime},
		{"idle", ledger.Limits{Idle: 10 * time.Second}, 1, time.Minute, ledger.EndIdle},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet := startedFleet()
			const limited = "dc.1.limited"
			fleet.step(0, program.Opened{Token: 1, Program: limited, Slot: simSlot, Open: ledger.Open{
				Root: limited, Workspace: "w", Budget: simBudget, Limits: test.limits,
			}})
			fleet.settle()
			for call := range test.calls {
				fleet.step(0, program.Called{Slot: simSlot, Request: program.Request{
					Token: program.Token(10 + call), Workspace: "w", Program: limited, Call: fmt.Sprint("i", call),
					Service: "s", Kind: program.KindEngine, Repeatable: true, Input: "in", MaxTokens: 5, Timeout: 20 * time.Second,
				}})
				for range 20 {
					fleet.execute(0, false)
					fleet.deliver(0)
					fleet.storeOne(0)
					fleet.appendOne(0, appendTaken)
					fleet.readOne(0)
				}
			}
			fleet.advance(test.wait)
			fleet.settle()
			entry, ok := fleet.hosts[0].machine.Book().Program(limited)
			is.True(ok)
			is.Equal(entry.Ended(), test.want)
		})
	}
}
