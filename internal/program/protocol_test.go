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
	// The verdict is the same on every run unless a seed is asked for.
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

// TestProtocolUnderFaults drives the real machines through random faults.
func TestProtocolUnderFaults(t *testing.T) {
	answered, settledOnce := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(3)
		host := rapid.IntRange(0, 2)
		fleet.step(0, program.SlotsWanted{Slots: []int{simSlot}})
		fleet.appendOne(0, appendTaken)
		fleet.readOne(0)
		fleet.gatherOne(0)
		fleet.openProgram(0)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				call := fmt.Sprintf("%s%d", rapid.SampledFrom([]string{"i", "o"}).Draw(t, "kind"), rapid.IntRange(1, 4).Draw(t, "call"))
				to := fleet.owner()
				if to < 0 || rapid.IntRange(0, 4).Draw(t, "elsewhere") == 0 {
					to = host.Draw(t, "host")
				}
				fleet.send(to, call)
			},
			"progress": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					fleet.progress(host.Draw(t, "host"))
				}
			},
			"serve": func(t *rapid.T) {
				if owner := fleet.owner(); owner >= 0 {
					for range rapid.IntRange(1, 8).Draw(t, "rounds") {
						fleet.progress(owner)
					}
				}
			},
			"claim": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "claims") > 0 {
					return
				}
				fleet.step(host.Draw(t, "host"), program.SlotsWanted{Slots: []int{simSlot}, Witnesses: []string{fleet.hosts[0].incarnation}})
			},
			"append": func(t *rapid.T) {
				fleet.appendOne(host.Draw(t, "host"), appendFate(rapid.IntRange(0, 3).Draw(t, "fate")))
			},
			"append taken": func(t *rapid.T) { fleet.appendOne(host.Draw(t, "host"), appendTaken) },
			"late":         func(t *rapid.T) { fleet.landLate(rapid.IntRange(0, 9).Draw(t, "which")) },
			"read":         func(t *rapid.T) { fleet.readOne(host.Draw(t, "host")) },
			"read all": func(t *rapid.T) {
				for index := host.Draw(t, "host"); fleet.readOne(index); {
				}
			},
			"store":     func(t *rapid.T) { fleet.storeOne(host.Draw(t, "host")) },
			"load":      func(t *rapid.T) { fleet.loadOne(host.Draw(t, "host"), rapid.IntRange(0, 4).Draw(t, "fails") == 0) },
			"execute":   func(t *rapid.T) { fleet.execute(host.Draw(t, "host"), rapid.IntRange(0, 4).Draw(t, "lost") == 0) },
			"deliver":   func(t *rapid.T) { fleet.deliver(host.Draw(t, "host")) },
			"replicate": func(t *rapid.T) { fleet.replicateOne(host.Draw(t, "host"), host.Draw(t, "to")) },
			"gather":    func(t *rapid.T) { fleet.gatherOne(host.Draw(t, "host")) },
			"outage":    func(t *rapid.T) { fleet.outage = rapid.Bool().Draw(t, "away") },
			"time": func(t *rapid.T) {
				fleet.advance(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"refresh": func(t *rapid.T) {
				fleet.step(host.Draw(t, "host"), program.Refresh{Before: int64(len(fleet.ledger)), Age: time.Second})
			},
			"crash": func(t *rapid.T) { fleet.crash(host.Draw(t, "host")) },
			"": func(t *rapid.T) {
				if len(fleet.faults) > 0 {
					t.Fatalf("%s\ntrace:\n  %s", strings.Join(fleet.faults, "\n"), strings.Join(fleet.trace, "\n  "))
				}
			},
		})
		fleet.settle()
		fleet.check()
		if len(fleet.faults) > 0 {
			t.Fatalf("%s\ntrace:\n  %s", strings.Join(fleet.faults, "\n"), strings.Join(fleet.trace, "\n  "))
		}
		answered += len(fleet.answers)
		for call := range fleet.answers {
			if once(call) {
				settledOnce++
			}
		}
	})
	// A run in which nothing is answered would prove nothing.
	if answered < 500 || settledOnce < 100 {
		t.Fatalf("only %d calls were answered, %d of them non-idempotent", answered, settledOnce)
	}
	t.Logf("%d calls answered, %d of them non-idempotent", answered, settledOnce)
}

// TestKillPoints meets the owner with a fault at each step of a
// non-idempotent call, and sends the call again.
func TestKillPoints(t *testing.T) {
	steps := []struct {
		name string
		do   func(fleet *fleet, fate appendFate)
	}{
		{"sent", func(fleet *fleet, _ appendFate) { fleet.send(0, "o1") }},
		{"intent appended", func(fleet *fleet, fate appendFate) { fleet.appendOne(0, fate) }},
		{"intent read", func(fleet *fleet, _ appendFate) { fleet.readOne(0) }},
		{"run by its target", func(fleet *fleet, _ appendFate) { fleet.execute(0, false) }},
		{"answer arrived", func(fleet *fleet, _ appendFate) { fleet.deliver(0) }},
		{"history stored", func(fleet *fleet, _ appendFate) { fleet.storeOne(0) }},
		{"outcome appended", func(fleet *fleet, fate appendFate) { fleet.appendOne(0, fate) }},
		{"outcome read", func(fleet *fleet, _ appendFate) { fleet.readOne(0) }},
	}
	faults := []struct {
		name string
		fate appendFate
		meet func(fleet *fleet)
		// owner is the host that the call is sent to again.
		owner int
	}{
		{"killed", appendTaken, func(fleet *fleet) { fleet.crash(0); fleet.takeOver(1) }, 1},
		{"paused through a takeover", appendTaken, func(fleet *fleet) { fleet.takeOver(1) }, 1},
		{"answers of the log lost, killed", appendAnswerLost, func(fleet *fleet) { fleet.crash(0); fleet.takeOver(1) }, 1},
		{"log away for ten seconds", appendTaken, func(fleet *fleet) {
			fleet.outage = true
			fleet.advance(10 * time.Second)
			fleet.outage = false
		}, 0},
		{"log away past the deadline", appendTaken, func(fleet *fleet) {
			fleet.outage = true
			fleet.advance(25 * time.Second)
			fleet.outage = false
		}, 0},
		{"sent to two hosts at once", appendTaken, func(fleet *fleet) { fleet.send(2, "o1"); fleet.takeOver(2) }, 2},
	}
	for _, fault := range faults {
		for reached := range len(steps) + 1 {
			t.Run(fmt.Sprintf("%s after %d steps", fault.name, reached), func(t *testing.T) {
				is := is.New(t)
				fleet := startedFleet()
				for _, step := range steps[:reached] {
					step.do(fleet, fault.fate)
				}
				fault.meet(fleet)
				fleet.send(fault.owner, "o1")
				fleet.settle()
				fleet.check()
				is.Equal(fleet.faults, nil)
				is.True(fleet.runs["o1"] <= 1)
				_, answered := fleet.answers["o1"]
				is.True(answered || fleet.refusals["o1"] == refusal.Unknown) // an answer, or known to be unknown
			})
		}
	}
}

// startedFleet returns a fleet whose first host owns an open program.
func startedFleet() *fleet {
	fleet := newFleet(3)
	fleet.step(0, program.SlotsWanted{Slots: []int{simSlot}})
	fleet.appendOne(0, appendTaken)
	fleet.readOne(0)
	fleet.gatherOne(0)
	fleet.appendOne(0, appendTaken)
	fleet.readOne(0)
	fleet.openProgram(0)
	fleet.appendOne(0, appendTaken)
	fleet.readOne(0)
	return fleet
}

// takeOver lets a host claim the slot and recover it.
func (fleet *fleet) takeOver(index int) {
	for fleet.readOne(index) {
	}
	fleet.step(index, program.SlotsWanted{Slots: []int{simSlot}})
	for len(fleet.hosts[index].appends) > 0 {
		fleet.appendOne(index, appendTaken)
	}
	for fleet.readOne(index) {
	}
	fleet.gatherOne(index)
}

// TestLogOutage lets the log go away during calls: idempotent ones go on from
// another host's memory, others are refused as not run.
func TestLogOutage(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	fleet.outage = true
	fleet.send(0, "i1")
	fleet.execute(0, false)
	fleet.deliver(0)
	is.Equal(len(fleet.answers), 0) // not durable yet
	fleet.advance(time.Second)
	fleet.replicateOne(0, 2)
	is.Equal(len(fleet.answers), 1) // another host holds the turn
	fleet.send(0, "o1")
	fleet.advance(25 * time.Second)
	is.Equal(fleet.refusals["o1"], refusal.NotRun)
	fleet.crash(0)
	fleet.outage = false
	fleet.takeOver(1)
	fleet.send(1, "i1")
	fleet.settle()
	fleet.check()
	is.Equal(fleet.faults, nil)
	is.Equal(fleet.runs["i1"], 1) // answered from the gathered turn
	is.Equal(fleet.runs["o1"], 0)
}

// TestLateReplica lets an owner that has not seen its successor's claim ask for
// a replica on a host that the successor has gathered from.
func TestLateReplica(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	fleet.send(0, "i1")
	fleet.execute(0, false)
	fleet.deliver(0)
	fleet.advance(time.Second)
	fleet.takeOver(1)
	fleet.replicateOne(0, 2)
	is.Equal(len(fleet.answers), 0) // the answer would be lost to the successor
	fleet.settle()
	fleet.check()
	is.Equal(fleet.faults, nil)
}

// TestAbandonedIntent lets an intent land after its caller was told that the
// call did not run.
func TestAbandonedIntent(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	fleet.outage = true
	fleet.send(0, "o1")
	fleet.advance(25 * time.Second)
	is.Equal(fleet.refusals["o1"], refusal.NotRun)
	fleet.outage = false
	for range 20 {
		fleet.progress(0)
	}
	is.Equal(fleet.runs["o1"], 0)
	fleet.send(0, "o2")
	for range 20 {
		fleet.progress(0)
	}
	_, answered := fleet.answers["o2"]
	is.True(answered) // the program is not held up
}

// TestExpiredResend lets a call that has run be sent again to a successor that
// cannot read the history or wait for the outcome.
func TestExpiredResend(t *testing.T) {
	tests := []struct {
		name   string
		rounds int // of progress before the owner is lost
	}{
		{"intent without outcome", 1},
		{"outcome in a history that is not loaded", 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet := startedFleet()
			fleet.send(0, "o1")
			for range test.rounds {
				fleet.progress(0)
			}
			is.Equal(fleet.runs["o1"], 1)
			fleet.crash(0)
			fleet.takeOver(1)
			fleet.send(1, "o1")
			fleet.outage = true
			fleet.advance(20500 * time.Millisecond)
			is.Equal(fleet.refusals["o1"], refusal.Unknown)
			is.Equal(fleet.faults, nil)
		})
	}
}

// TestGrantBeforeDispatch holds a call back until the slice that it needs has
// been read back from the ledger.
func TestGrantBeforeDispatch(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	fleet.maxTokens = 100 // more than the first slice of 50
	fleet.send(0, "i1")
	is.Equal(len(fleet.hosts[0].dispatches), 0)
	fleet.appendOne(0, appendTaken)
	is.Equal(len(fleet.hosts[0].dispatches), 0) // appended is not enough
	fleet.readOne(0)
	is.Equal(len(fleet.hosts[0].dispatches), 1)
	entry, ok := fleet.hosts[0].machine.Book().Program(simProgram)
	is.True(ok)
	is.True(entry.Granted() >= 102)
}

// TestRefusedByTarget tells the caller why a non-idempotent call did not run,
// and lets it run when it is sent again.
func TestRefusedByTarget(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	fleet.send(0, "o1")
	fleet.appendOne(0, appendTaken)
	fleet.readOne(0)
	dispatch := fleet.hosts[0].dispatches[0]
	fleet.hosts[0].dispatches = nil
	fleet.step(0, program.Answered{
		Program: simProgram, Call: "o1", Attempt: dispatch.Attempt, Refusal: refusal.New(refusal.QueueFull, "full"),
	})
	is.Equal(len(fleet.refusals), 0) // not before the ledger has it
	fleet.progress(0)
	is.Equal(fleet.refusals["o1"], refusal.NotRun)
	fleet.send(0, "o1")
	for range 10 {
		fleet.progress(0)
	}
	is.Equal(fleet.runs["o1"], 1)
	_, answered := fleet.answers["o1"]
	is.True(answered)
	is.Equal(fleet.faults, nil)
}

// TestBusyResend sends a call again that has run, to a successor whose queue
// for the program is full.
func TestBusyResend(t *testing.T) {
	is := is.New(t)
	fleet := startedFleet()
	fleet.send(0, "o1")
	fleet.progress(0)
	is.Equal(fleet.runs["o1"], 1)
	fleet.crash(0)
	fleet.takeOver(1)
	for call := range 16 {
		fleet.send(1, fmt.Sprint("i", call))
	}
	fleet.send(1, "o1")
	is.Equal(fleet.refusals["o1"], refusal.Unknown)
	fleet.send(1, "o2")
	is.Equal(fleet.refusals["o2"], refusal.NotRun)
	is.Equal(fleet.faults, nil)
}
