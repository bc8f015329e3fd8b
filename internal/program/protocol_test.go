package program_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes the result reproducible unless a seed is given.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "3000", "rapid.steps": "90"} {
		if given := flag.Lookup(name); given != nil && given.Value.String() == given.DefValue {
			if err := flag.Set(name, value); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(2)
			}
		}
	}
	os.Exit(m.Run())
}

// TestProtocolUnderFaults guards against lost or repeated turns, overspent
// budgets and wrong replies when hosts crash or pause and the log loses
// responses, delays appends or is unavailable, in any order.
func TestProtocolUnderFaults(t *testing.T) {
	answered, answeredNonIdempotent := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(3)
		host := rapid.IntRange(0, 2)
		simulation.step(0, program.ClaimRequest{Slots: []int{simSlot}})
		simulation.appendNext(0, appendSucceeds)
		simulation.readNext(0)
		simulation.gatherNext(0)
		simulation.openProgram(0)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				call := fmt.Sprintf("%s%d", rapid.SampledFrom([]string{"i", "o"}).Draw(t, "kind"), rapid.IntRange(1, 4).Draw(t, "call"))
				to := simulation.ownerIndex()
				if to < 0 || rapid.IntRange(0, 4).Draw(t, "elsewhere") == 0 {
					to = host.Draw(t, "host")
				}
				simulation.send(to, call)
			},
			"progress": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					simulation.progress(host.Draw(t, "host"))
				}
			},
			"serve": func(t *rapid.T) {
				if owner := simulation.ownerIndex(); owner >= 0 {
					for range rapid.IntRange(1, 8).Draw(t, "rounds") {
						simulation.progress(owner)
					}
				}
			},
			"claim": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "claims") > 0 {
					return
				}
				simulation.step(host.Draw(t, "host"), program.ClaimRequest{Slots: []int{simSlot}, Witnesses: []string{simulation.hosts[0].incarnation}})
			},
			"append": func(t *rapid.T) {
				simulation.appendNext(host.Draw(t, "host"), appendResult(rapid.IntRange(0, 3).Draw(t, "result")))
			},
			"append succeeds":     func(t *rapid.T) { simulation.appendNext(host.Draw(t, "host"), appendSucceeds) },
			"land delayed append": func(t *rapid.T) { simulation.applyDelayed(rapid.IntRange(0, 9).Draw(t, "which")) },
			"read":                func(t *rapid.T) { simulation.readNext(host.Draw(t, "host")) },
			"read all": func(t *rapid.T) {
				for index := host.Draw(t, "host"); simulation.readNext(index); {
				}
			},
			"store": func(t *rapid.T) { simulation.storeNext(host.Draw(t, "host")) },
			"load": func(t *rapid.T) {
				simulation.loadNext(host.Draw(t, "host"), rapid.IntRange(0, 4).Draw(t, "fails") == 0)
			},
			"execute": func(t *rapid.T) {
				simulation.executeNext(host.Draw(t, "host"), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
			},
			"deliver":   func(t *rapid.T) { simulation.deliverNext(host.Draw(t, "host")) },
			"replicate": func(t *rapid.T) { simulation.replicateNext(host.Draw(t, "host"), host.Draw(t, "to")) },
			"gather":    func(t *rapid.T) { simulation.gatherNext(host.Draw(t, "host")) },
			"outage":    func(t *rapid.T) { simulation.outage = rapid.Bool().Draw(t, "unavailable") },
			"time passes": func(t *rapid.T) {
				simulation.advance(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"refresh": func(t *rapid.T) {
				simulation.step(host.Draw(t, "host"), program.Refresh{Before: int64(len(simulation.ledger)), Age: time.Second})
			},
			"crash": func(t *rapid.T) { simulation.crash(host.Draw(t, "host")) },
			"": func(t *rapid.T) {
				if len(simulation.violations) > 0 {
					t.Fatalf("%s\ntrace:\n  %s", strings.Join(simulation.violations, "\n"), strings.Join(simulation.trace, "\n  "))
				}
			},
		})
		simulation.converge()
		simulation.checkInvariants()
		if len(simulation.violations) > 0 {
			t.Fatalf("%s\ntrace:\n  %s", strings.Join(simulation.violations, "\n"), strings.Join(simulation.trace, "\n  "))
		}
		answered += len(simulation.answers)
		for call := range simulation.answers {
			if nonIdempotent(call) {
				answeredNonIdempotent++
			}
		}
	})
	// A run in which hardly any call is answered checks too little.
	if answered < 500 || answeredNonIdempotent < 100 {
		t.Fatalf("got %d calls answered, %d of them non-idempotent, want at least 500 and 100", answered, answeredNonIdempotent)
	}
	t.Logf("%d calls answered, %d of them non-idempotent", answered, answeredNonIdempotent)
}

// TestKillPoints guards against a non-idempotent call that runs twice, or gets
// a wrong reply, when a fault occurs after any of its steps and the caller
// repeats the call.
func TestKillPoints(t *testing.T) {
	steps := []struct {
		name string
		do   func(simulation *simulation, result appendResult)
	}{
		{"the call is sent", func(simulation *simulation, _ appendResult) { simulation.send(0, "o1") }},
		{"its intent is appended", func(simulation *simulation, result appendResult) { simulation.appendNext(0, result) }},
		{"its intent is read back", func(simulation *simulation, _ appendResult) { simulation.readNext(0) }},
		{"its target runs it", func(simulation *simulation, _ appendResult) { simulation.executeNext(0, false) }},
		{"the response arrives", func(simulation *simulation, _ appendResult) { simulation.deliverNext(0) }},
		{"its history entry is stored", func(simulation *simulation, _ appendResult) { simulation.storeNext(0) }},
		{"its outcome is appended", func(simulation *simulation, result appendResult) { simulation.appendNext(0, result) }},
		{"its outcome is read back", func(simulation *simulation, _ appendResult) { simulation.readNext(0) }},
	}
	faults := []struct {
		name   string
		result appendResult
		inject func(simulation *simulation)
		// owner is the host that receives the repeated call.
		owner int
	}{
		{"owner crashes", appendSucceeds, func(simulation *simulation) { simulation.crash(0); simulation.takeOver(1) }, 1},
		{"owner pauses during a takeover", appendSucceeds, func(simulation *simulation) { simulation.takeOver(1) }, 1},
		{"responses of the log are lost and the owner crashes", appendResponseLost, func(simulation *simulation) { simulation.crash(0); simulation.takeOver(1) }, 1},
		{"log is unavailable for ten seconds", appendSucceeds, func(simulation *simulation) {
			simulation.outage = true
			simulation.advance(10 * time.Second)
			simulation.outage = false
		}, 0},
		{"log is unavailable past the deadline", appendSucceeds, func(simulation *simulation) {
			simulation.outage = true
			simulation.advance(25 * time.Second)
			simulation.outage = false
		}, 0},
		{"call is sent to two hosts at once", appendSucceeds, func(simulation *simulation) { simulation.send(2, "o1"); simulation.takeOver(2) }, 2},
	}
	for _, fault := range faults {
		for completed := range len(steps) + 1 {
			t.Run(fmt.Sprintf("%s after %d steps", fault.name, completed), func(t *testing.T) {
				is := is.New(t)
				simulation := newStartedSimulation()
				for _, step := range steps[:completed] {
					step.do(simulation, fault.result)
				}
				fault.inject(simulation)
				simulation.send(fault.owner, "o1")
				simulation.converge()
				simulation.checkInvariants()
				is.Equal(simulation.violations, nil)
				is.True(simulation.runs["o1"] <= 1)
				_, answered := simulation.answers["o1"]
				is.True(answered || simulation.refusals["o1"] == refusal.RunUnknown) // either answered or refused with an unknown run state
			})
		}
	}
}

// newStartedSimulation returns a simulation whose first host owns an open
// program.
func newStartedSimulation() *simulation {
	simulation := newSimulation(3)
	simulation.step(0, program.ClaimRequest{Slots: []int{simSlot}})
	simulation.appendNext(0, appendSucceeds)
	simulation.readNext(0)
	simulation.gatherNext(0)
	simulation.appendNext(0, appendSucceeds)
	simulation.readNext(0)
	simulation.openProgram(0)
	simulation.appendNext(0, appendSucceeds)
	simulation.readNext(0)
	return simulation
}

// takeOver makes a host claim the slot and recover it.
func (simulation *simulation) takeOver(index int) {
	for simulation.readNext(index) {
	}
	simulation.step(index, program.ClaimRequest{Slots: []int{simSlot}})
	for len(simulation.hosts[index].appends) > 0 {
		simulation.appendNext(index, appendSucceeds)
	}
	for simulation.readNext(index) {
	}
	simulation.gatherNext(index)
}

// TestLogOutage guards against idempotent calls that get no answer or are lost
// while the log is unavailable, although another host has replicated the turn,
// and against non-idempotent calls that run without an intent in the log
// instead of being refused as not run.
func TestLogOutage(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	simulation.outage = true
	simulation.send(0, "i1")
	simulation.executeNext(0, false)
	simulation.deliverNext(0)
	is.Equal(len(simulation.answers), 0) // neither committed nor replicated yet
	simulation.advance(time.Second)
	simulation.replicateNext(0, 2)
	is.Equal(len(simulation.answers), 1) // another host has replicated the turn
	simulation.send(0, "o1")
	simulation.advance(25 * time.Second)
	is.Equal(simulation.refusals["o1"], refusal.NotRun)
	simulation.crash(0)
	simulation.outage = false
	simulation.takeOver(1)
	simulation.send(1, "i1")
	simulation.converge()
	simulation.checkInvariants()
	is.Equal(simulation.violations, nil)
	is.Equal(simulation.runs["i1"], 1) // answered from the gathered turn
	is.Equal(simulation.runs["o1"], 0)
}

// TestLateReplica guards against an answer that a successor cannot see. It
// would be given if an owner that has not read the successor's claim could
// replicate a turn on a host from which the successor has already gathered.
func TestLateReplica(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	simulation.send(0, "i1")
	simulation.executeNext(0, false)
	simulation.deliverNext(0)
	simulation.advance(time.Second)
	simulation.takeOver(1)
	simulation.replicateNext(0, 2)
	is.Equal(len(simulation.answers), 0) // the successor would not know the answered turn
	simulation.converge()
	simulation.checkInvariants()
	is.Equal(simulation.violations, nil)
}

// TestAbandonedIntent guards against a call that runs, or blocks its program,
// because its intent is accepted after the call was refused as not run.
func TestAbandonedIntent(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	simulation.outage = true
	simulation.send(0, "o1")
	simulation.advance(25 * time.Second)
	is.Equal(simulation.refusals["o1"], refusal.NotRun)
	simulation.outage = false
	for range 20 {
		simulation.progress(0)
	}
	is.Equal(simulation.runs["o1"], 0)
	simulation.send(0, "o2")
	for range 20 {
		simulation.progress(0)
	}
	_, answered := simulation.answers["o2"]
	is.True(answered) // the abandoned intent does not block the program
}

// TestExpiredResend guards against a reply that a call did not run although it
// ran under an earlier owner. It would be given if the repeated call expires
// before the successor has loaded the history or the outcome is known.
func TestExpiredResend(t *testing.T) {
	tests := []struct {
		name   string
		rounds int // rounds of progress before the owner crashes
	}{
		{"intent has no outcome", 1},
		{"history with the outcome is not loaded", 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			simulation := newStartedSimulation()
			simulation.send(0, "o1")
			for range test.rounds {
				simulation.progress(0)
			}
			is.Equal(simulation.runs["o1"], 1)
			simulation.crash(0)
			simulation.takeOver(1)
			simulation.send(1, "o1")
			simulation.outage = true
			simulation.advance(20500 * time.Millisecond)
			is.Equal(simulation.refusals["o1"], refusal.RunUnknown)
			is.Equal(simulation.violations, nil)
		})
	}
}

// TestGrantBeforeDispatch guards against a call that is dispatched before the
// grant that it needs has been read back from the ledger.
func TestGrantBeforeDispatch(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	simulation.maxTokens = 100 // more than the initial grant of 50
	simulation.send(0, "i1")
	is.Equal(len(simulation.hosts[0].dispatches), 0)
	simulation.appendNext(0, appendSucceeds)
	is.Equal(len(simulation.hosts[0].dispatches), 0) // appended but not read back
	simulation.readNext(0)
	is.Equal(len(simulation.hosts[0].dispatches), 1)
	committed, ok := simulation.hosts[0].machine.LedgerState().Program(simProgram)
	is.True(ok)
	is.True(committed.Granted() >= 102) // 100 output tokens and 2 for the input
}

// TestRefusedByTarget guards against a reply to a non-idempotent call before
// the ledger records that its target refused it, and against a refused call
// that cannot run when it is sent again.
func TestRefusedByTarget(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	simulation.send(0, "o1")
	simulation.appendNext(0, appendSucceeds)
	simulation.readNext(0)
	dispatch := simulation.hosts[0].dispatches[0]
	simulation.hosts[0].dispatches = nil
	simulation.step(0, program.DispatchResult{
		Program: simProgram, Call: "o1", Attempt: dispatch.Attempt, Refusal: refusal.New(refusal.QueueFull, "full"),
	})
	is.Equal(len(simulation.refusals), 0) // no reply before the outcome is recorded
	simulation.progress(0)
	is.Equal(simulation.refusals["o1"], refusal.NotRun)
	simulation.send(0, "o1")
	for range 10 {
		simulation.progress(0)
	}
	is.Equal(simulation.runs["o1"], 1)
	_, answered := simulation.answers["o1"]
	is.True(answered)
	is.Equal(simulation.violations, nil)
}

// TestBusyResend guards against a reply that a repeated call did not run,
// although it ran under an earlier owner, when the successor refuses it
// because the queue of the program is full.
func TestBusyResend(t *testing.T) {
	is := is.New(t)
	simulation := newStartedSimulation()
	simulation.send(0, "o1")
	simulation.progress(0)
	is.Equal(simulation.runs["o1"], 1)
	simulation.crash(0)
	simulation.takeOver(1)
	for call := range 16 { // fills the queue of the program
		simulation.send(1, fmt.Sprint("i", call))
	}
	simulation.send(1, "o1")
	is.Equal(simulation.refusals["o1"], refusal.RunUnknown)
	simulation.send(1, "o2")
	is.Equal(simulation.refusals["o2"], refusal.NotRun)
	is.Equal(simulation.violations, nil)
}
