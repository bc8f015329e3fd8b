package program

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

var zeroTime time.Time

// claimed reacts to a claim that the ledger accepted.
func (machine *Machine) claimed(slot int, before ledger.Slot) {
	owner := machine.book.Slot(slot)
	if owner.Epoch() == before.Epoch() {
		return
	}
	machine.slots[slot] = ownership{}
	if !machine.holds(slot) {
		machine.lose(slot)
		return
	}
	machine.emit(Counted{Name: "slot_claimed"})
	machine.slots[slot] = ownership{gathering: true, predecessor: before}
	machine.emit(Gather{Slot: slot, Epoch: owner.Epoch()})
	for _, id := range owner.Programs() {
		entry, _ := machine.book.Program(id)
		if entry.Ended() != "" {
			continue
		}
		program := machine.state(id, slot)
		program.loaded = false
		program.loading = false
		program.consolidating = false
		program.consolidated = zeroTime
		if entry.Intent() != nil && !machine.running(program, entry.Intent().Attempt) {
			program.resolveAt = machine.now.Add(entry.Intent().Timeout + machine.settings.OutcomeGrace)
		}
	}
}

// lose hands the programs of a slot to its new owner. Non-idempotent calls
// that are running go on, because their outcome is accepted from any epoch.
func (machine *Machine) lose(slot int) {
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
		machine.emit(Counted{Name: "slot_lost"})
	}
}

func (machine *Machine) loseProgram(program *state) {
	refused := moved(program.id)
	machine.flush(program, refused)
	machine.dropPipeline(program)
	for _, token := range append(program.opening, program.endTokens...) {
		machine.refuse(token, refused)
	}
	program.opening, program.endTokens = nil, nil
	if active := program.active; active != nil {
		once := !active.request.Repeatable && (active.stage == stageRunning || active.stage == stageSettling)
		if once {
			// The new owner's fold has forfeited the reservation.
			active.reserved = 0
			program.consumed = 0
			return
		}
		if active.stage == stageRunning {
			machine.emit(Cancel{Program: program.id, Call: active.request.Call})
		}
		program.active = nil
		for _, token := range active.tokens {
			machine.refuse(token, refused)
		}
	}
	delete(machine.programs, program.id)
}

// gathered ends the recovery of a slot with the turns that its last owner
// answered and did not commit.
func (machine *Machine) gathered(event Gathered) {
	if !machine.holds(event.Slot) || machine.book.Slot(event.Slot).Epoch() != event.Epoch {
		return
	}
	ownership := &machine.slots[event.Slot]
	ownership.gatherAt = machine.now.Add(gatherInterval)
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
		committed, ok := machine.book.Program(entry.Program)
		if !ok || committed.Slot() != event.Slot || committed.Ended() != "" {
			continue
		}
		program := machine.state(entry.Program, event.Slot)
		if entry.Number == committed.Turns()+len(program.pipeline)+1 {
			program.pipeline = append(program.pipeline, &provisional{entry: entry, since: machine.now, replicated: true})
			machine.emit(Counted{Name: "turn_recovered_from_replica"})
		}
	}
	for _, id := range machine.book.Slot(event.Slot).Programs() {
		if program, ok := machine.programs[id]; ok && (len(program.pipeline) > 0 || len(program.queue) > 0) {
			machine.advance(program)
		}
	}
}

// recordFenced tells later owners that they need not fence the earlier ones.
func (machine *Machine) recordFenced(slot int) {
	owner := machine.book.Slot(slot)
	record := machine.record(slot, "")
	record.Claim = &ledger.Claim{
		Host: machine.settings.Host, Incarnation: machine.settings.Incarnation, Witnesses: owner.Witnesses(), Fenced: true,
	}
	machine.emit(Append{Records: []ledger.Record{record}})
}

// historyLoaded makes a program ready after a takeover.
func (machine *Machine) historyLoaded(event HistoryLoaded) {
	program, ok := machine.programs[event.Program]
	if !ok || program.loaded || !program.loading {
		return
	}
	program.loading = false
	if event.Err != nil {
		machine.flush(program, refusal.New(refusal.HistoryUnavailable,
			"history of program %q cannot be read: %v", program.id, event.Err).WithRetryAfter(retryDelay))
		return
	}
	entry, ok := machine.book.Program(program.id)
	if !ok || entry.Head() != event.Head {
		machine.advance(program)
		return
	}
	program.setEntries(event.Entries)
	program.loaded = true
	machine.adoptPipeline(program, entry)
	machine.advance(program)
}

// adoptPipeline appends recovered turns to the loaded history.
func (machine *Machine) adoptPipeline(program *state, entry *ledger.Program) {
	kept := program.pipeline[:0]
	for _, turn := range program.pipeline {
		if turn.entry.Number != len(program.entries)+1 {
			continue
		}
		program.add(turn.entry)
		machine.rootState(program).consumed += turn.entry.Spent
		kept = append(kept, turn)
	}
	program.pipeline = kept
}

// reload reads the history again after a turn that another host committed.
func (machine *Machine) reload(program *state) {
	program.loaded = false
	machine.advance(program)
}

// recordUnknown settles an inherited intent whose owner is gone.
func (machine *Machine) recordUnknown(program *state, intent *ledger.Intent, location ledger.Location) {
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
