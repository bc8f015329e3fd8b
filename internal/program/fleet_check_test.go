package program_test

import (
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/program"
)

func (fleet *fleet) gatherOne(index int) {
	host := fleet.hosts[index]
	if len(host.gathers) == 0 {
		return
	}
	gather := host.gathers[0]
	host.gathers = host.gathers[1:]
	gathered := program.Gathered{Slot: gather.Slot, Epoch: gather.Epoch}
	for _, other := range fleet.hosts {
		gathered.Entries = append(gathered.Entries, other.replicas.Gather(gather.Slot, gather.Epoch)...)
		gathered.Fenced = append(gathered.Fenced, other.incarnation)
	}
	fleet.step(index, gathered)
}

func (fleet *fleet) advance(duration time.Duration) {
	fleet.now = fleet.now.Add(duration)
	for index := range fleet.hosts {
		fleet.step(index, program.Tick{})
	}
}

// progress carries out one effect of each kind without a fault.
func (fleet *fleet) progress(index int) {
	fleet.appendOne(index, appendTaken)
	for fleet.readOne(index) {
	}
	fleet.gatherOne(index)
	fleet.storeOne(index)
	fleet.loadOne(index, false)
	fleet.execute(index, false)
	fleet.deliver(index)
}

// owner returns a host that believes to own the slot, or -1.
func (fleet *fleet) owner() int {
	for index, host := range fleet.hosts {
		if host.machine.Owns(simSlot) {
			return index
		}
	}
	return -1
}

// settle ends all faults and lets the fleet come to rest under one owner.
func (fleet *fleet) settle() {
	fleet.outage = false
	for len(fleet.late) > 0 {
		fleet.landLate(0)
	}
	for round := range 400 {
		if round%20 == 0 {
			fleet.step(0, program.SlotsWanted{Slots: []int{simSlot}})
		}
		for index := range fleet.hosts {
			fleet.progress(index)
			fleet.replicateOne(index, (index+1)%len(fleet.hosts))
		}
		fleet.advance(100 * time.Millisecond)
	}
}

// check compares the final state with everything that callers were told.
func (fleet *fleet) check() {
	entry, ok := fleet.hosts[0].machine.Book().Program(simProgram)
	if !ok {
		return
	}
	chain := fleet.chain(entry.Head())
	if len(chain) != entry.Turns() {
		fleet.fault("the ledger has %d turns, the history %d", entry.Turns(), len(chain))
	}
	seen := make(map[string]bool)
	for index, turn := range chain {
		if turn.Number != index+1 {
			fleet.fault("turn %d stands at place %d", turn.Number, index+1)
		}
		if seen[turn.Call] {
			fleet.fault("call %s stands in the history twice", turn.Call)
		}
		seen[turn.Call] = true
		if answer, ok := fleet.answers[turn.Call]; ok && answer.Output != turn.Output {
			fleet.fault("call %s was answered %q, the history has %q", turn.Call, answer.Output, turn.Output)
		}
		if !once(turn.Call) && turn.Output != fmt.Sprintf("after-%d-%s", index, turn.Call) {
			fleet.fault("call %s at turn %d was run after another history: %q", turn.Call, turn.Number, turn.Output)
		}
	}
	// A turn that only another host's memory held may be lost with it.
	for call := range fleet.answers {
		if !seen[call] && (fleet.held == 0 || fleet.crashes <= 1) {
			fleet.fault("call %s was answered and is not in the history", call)
		}
	}
	if entry.Spent()+entry.Forfeited() > simBudget || entry.Granted() > simBudget {
		fleet.fault("the ledger counts %d spent and %d forfeited of a budget of %d", entry.Spent(), entry.Forfeited(), simBudget)
	}
	for token, call := range fleet.open {
		fleet.fault("call %s with token %d got no reply", call, token)
	}
}
