package program

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

var zeroTime time.Time

// claimApplied reacts to a claim that the ledger accepted. A repeated claim of
// the same epoch changes nothing.
func (machine *Machine) claimApplied(slot int, previous ledger.Slot) {
	owner := machine.ledgerState.Slot(slot)
	if owner.Epoch() == previous.Epoch() {
		return
	}
	machine.slots[slot] = ownership{}
	if !machine.isLedgerOwner(slot) {
		machine.loseSlot(slot)
		return
	}
	machine.emit(IncrementCounter{Name: "slot_claimed"})
	machine.slots[slot] = ownership{gathering: true, predecessor: previous}
	machine.emit(Gather{Slot: slot, Epoch: owner.Epoch()})
	for _, id := range owner.Programs() {
		committed, _ := machine.ledgerState.Program(id)
		if committed.Ended() != "" {
			continue
		}
		program := machine.state(id, slot)
		program.loaded = false
		program.loading = false
		program.consolidating = false
		program.consolidatedAt = zeroTime
		if committed.Intent() != nil && !machine.isActiveAttempt(program, committed.Intent().Attempt) {
			program.resolveAt = machine.now.Add(committed.Intent().Timeout + machine.settings.OutcomeGrace)
		}
	}
}

// loseSlot gives up the programs of a slot that has a new owner. Running
// non-idempotent calls continue, because their outcome is accepted from any
// epoch.
func (machine *Machine) loseSlot(slot int) {
	lost := false
	for _, id := range sortedIDs(machine.programs) {
		program := machine.programs[id]
		if program.slot != slot {
			continue
		}
		lost = true
		machine.loseProgram(program)
	}
	if lost {
		machine.emit(IncrementCounter{Name: "slot_lost"})
	}
}

// loseProgram refuses the waiting requests of a program that has a new owner
// and removes its state, unless a non-idempotent call is running.
func (machine *Machine) loseProgram(program *state) {
	refused := movedRefusal(program.id)
	machine.refuseQueued(program, refused)
	machine.dropUncommitted(program)
	for _, replyToken := range append(program.openTokens, program.endTokens...) {
		machine.refuse(replyToken, refused)
	}
	program.openTokens, program.endTokens = nil, nil
	if active := program.active; active != nil {
		outcomePending := !active.request.Repeatable && (active.stage == stageRunning || active.stage == stageSettling)
		if outcomePending {
			// The accepted claim has forfeited the reservation in the ledger.
			active.reserved = 0
			program.unsettled = 0
			return
		}
		if active.stage == stageRunning {
			machine.emit(Cancel{Program: program.id, Call: active.request.Call})
		}
		program.active = nil
		for _, replyToken := range active.replyTokens {
			machine.refuse(replyToken, refused)
		}
	}
	delete(machine.programs, program.id)
}

// gathered ends the recovery of a slot with the turns that its last owner
// completed and did not commit. It also records whether earlier owners are
// fenced.
func (machine *Machine) gathered(event Gathered) {
	if !machine.isLedgerOwner(event.Slot) || machine.ledgerState.Slot(event.Slot).Epoch() != event.Epoch {
		return
	}
	ownership := &machine.slots[event.Slot]
	ownership.nextGather = machine.now.Add(gatherRetryInterval)
	if !ownership.fenced && ownership.predecessor.FencedBy(event.Fenced) {
		ownership.fenced = true
		machine.recordFenced(event.Slot)
	}
	if !ownership.gathering {
		return
	}
	ownership.gathering = false
	entries := slices.Clone(event.Entries)
	slices.SortFunc(entries, func(a, b ledger.Entry) int { return cmp.Compare(a.Number, b.Number) })
	for _, entry := range entries {
		committed, ok := machine.ledgerState.Program(entry.Program)
		if !ok || committed.Slot() != event.Slot || committed.Ended() != "" {
			continue
		}
		program := machine.state(entry.Program, event.Slot)
		if entry.Number == committed.Turns()+len(program.uncommitted)+1 {
			program.uncommitted = append(program.uncommitted, &uncommittedTurn{entry: entry, completedAt: machine.now, replicated: true})
			machine.emit(IncrementCounter{Name: "turn_recovered_from_replica"})
		}
	}
	for _, id := range machine.ledgerState.Slot(event.Slot).Programs() {
		if program, ok := machine.programs[id]; ok && (len(program.uncommitted) > 0 || len(program.queue) > 0) {
			machine.advance(program)
		}
	}
}

// recordFenced records in the ledger that earlier owners are fenced, so that
// later owners need not fence them again.
func (machine *Machine) recordFenced(slot int) {
	owner := machine.ledgerState.Slot(slot)
	record := machine.record(slot, "")
	record.Claim = &ledger.Claim{
		Host: machine.settings.Host, Incarnation: machine.settings.Incarnation, Witnesses: owner.Witnesses(), Fenced: true,
	}
	machine.emit(Append{Records: []ledger.Record{record}})
}

// historyLoaded makes the loaded history available, or refuses the queued
// calls if it cannot be read. A history that no longer ends at the committed
// head is loaded again.
func (machine *Machine) historyLoaded(event HistoryLoaded) {
	program, ok := machine.programs[event.Program]
	if !ok || program.loaded || !program.loading {
		return
	}
	program.loading = false
	if event.Err != nil {
		machine.refuseQueued(program, refusal.New(refusal.HistoryUnavailable,
			"history of program %q cannot be read: %v", program.id, event.Err).WithRetryAfter(retryDelay))
		return
	}
	committed, ok := machine.ledgerState.Program(program.id)
	if !ok || committed.Head() != event.Head {
		machine.advance(program)
		return
	}
	program.setEntries(event.Entries)
	program.loaded = true
	machine.adoptUncommitted(program, committed)
	machine.advance(program)
}

// adoptUncommitted appends recovered turns to the loaded history.
func (machine *Machine) adoptUncommitted(program *state, committed *ledger.Program) {
	adopted := program.uncommitted[:0]
	for _, turn := range program.uncommitted {
		if turn.entry.Number != len(program.entries)+1 {
			continue
		}
		program.appendEntry(turn.entry)
		machine.rootState(program).unsettled += turn.entry.Spent
		adopted = append(adopted, turn)
	}
	program.uncommitted = adopted
}

// reloadHistory loads the history again after another host has committed a
// turn.
func (machine *Machine) reloadHistory(program *state) {
	program.loaded = false
	machine.advance(program)
}

// proposeUnknownOutcome appends an unknown outcome for an inherited intent
// whose owner is gone.
func (machine *Machine) proposeUnknownOutcome(program *state, intent *ledger.Intent, location ledger.Location) {
	record := machine.record(program.slot, program.id)
	record.Outcome = &ledger.Outcome{
		Call: intent.Call, Attempt: intent.Attempt, Result: ledger.ResultUnknown, Head: location,
	}
	machine.emit(Append{Records: []ledger.Record{record}})
}

func sortedIDs[V any](programs map[string]V) []string {
	ids := make([]string, 0, len(programs))
	for id := range programs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
