package program_test

import (
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/program"
)

// gatherNext carries out the first pending gathering of a host.
func (simulation *simulation) gatherNext(index int) {
	host := simulation.hosts[index]
	if len(host.gathers) == 0 {
		return
	}
	gather := host.gathers[0]
	host.gathers = host.gathers[1:]
	gathered := program.Gathered{Slot: gather.Slot, Epoch: gather.Epoch}
	for _, other := range simulation.hosts {
		gathered.Entries = append(gathered.Entries, other.replicas.Gather(gather.Slot, gather.Epoch)...)
		gathered.Fenced = append(gathered.Fenced, other.incarnation)
	}
	simulation.step(index, gathered)
}

// advance moves the clock and sends a tick to every host.
func (simulation *simulation) advance(duration time.Duration) {
	simulation.now = simulation.now.Add(duration)
	for index := range simulation.hosts {
		simulation.step(index, program.Tick{})
	}
}

// progress carries out one pending effect of each kind of a host without a
// fault.
func (simulation *simulation) progress(index int) {
	simulation.appendNext(index, appendSucceeds)
	for simulation.readNext(index) {
	}
	simulation.gatherNext(index)
	simulation.storeNext(index)
	simulation.loadNext(index, false)
	simulation.executeNext(index, false)
	simulation.deliverNext(index)
}

// ownerIndex returns a host that considers itself the owner of the slot, or
// -1.
func (simulation *simulation) ownerIndex() int {
	for index, host := range simulation.hosts {
		if host.machine.Owns(simSlot) {
			return index
		}
	}
	return -1
}

// converge ends all faults and runs every host for 40 seconds of simulated
// time, in which the first host claims the slot and every call gets a reply.
func (simulation *simulation) converge() {
	simulation.outage = false
	for len(simulation.delayedAppends) > 0 {
		simulation.applyDelayed(0)
	}
	for round := range 400 {
		if round%20 == 0 {
			simulation.step(0, program.ClaimRequest{Slots: []int{simSlot}})
		}
		for index := range simulation.hosts {
			simulation.progress(index)
			simulation.replicateNext(index, (index+1)%len(simulation.hosts))
		}
		simulation.advance(100 * time.Millisecond)
	}
}

// checkInvariants compares the final ledger and history with every reply that
// callers received.
func (simulation *simulation) checkInvariants() {
	committed, ok := simulation.hosts[0].machine.LedgerState().Program(simProgram)
	if !ok {
		return
	}
	history := simulation.readHistory(committed.Head())
	if len(history) != committed.Turns() {
		simulation.reportViolation("got %d turns in the ledger and %d in the history, want the same number", committed.Turns(), len(history))
	}
	seen := make(map[string]bool)
	for index, turn := range history {
		if turn.Number != index+1 {
			simulation.reportViolation("got turn number %d at position %d of the history, want the same", turn.Number, index+1)
		}
		if seen[turn.Call] {
			simulation.reportViolation("call %s is in the history twice, want once", turn.Call)
		}
		seen[turn.Call] = true
		if answer, ok := simulation.answers[turn.Call]; ok && answer.Output != turn.Output {
			simulation.reportViolation("call %s: got answer %q, want %q as in the history", turn.Call, answer.Output, turn.Output)
		}
		if !nonIdempotent(turn.Call) && turn.Output != fmt.Sprintf("after-%d-%s", index, turn.Call) {
			simulation.reportViolation("call %s at turn %d ran with a history other than the committed one: got %q", turn.Call, turn.Number, turn.Output)
		}
	}
	// A turn that was only replicated in memory is lost if its replica crashes too.
	for call := range simulation.answers {
		if !seen[call] && (simulation.replicatedTurns == 0 || simulation.crashes <= 1) {
			simulation.reportViolation("call %s was answered, want it in the history", call)
		}
	}
	if committed.Spent()+committed.Forfeited() > simBudget || committed.Granted() > simBudget {
		simulation.reportViolation("got %d tokens spent and %d forfeited in the ledger, want at most the budget of %d", committed.Spent(), committed.Forfeited(), simBudget)
	}
	for replyToken, call := range simulation.waiting {
		simulation.reportViolation("call %s with reply token %d got no reply, want one", call, replyToken)
	}
}
