package program

import (
	"slices"
	"strings"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// age returns how long a program has been open, summed over its owners.
func (machine *Machine) age(program *state) time.Duration {
	return program.earlier + machine.now.Sub(program.since)
}

// tick applies deadlines and limits.
func (machine *Machine) tick() {
	for _, id := range sortedIDs(machine.programs) {
		program := machine.programs[id]
		machine.expireQueue(program)
		machine.expireActive(program)
		machine.replicateLate(program)
		machine.resolveInherited(program)
		machine.expireProgram(program)
	}
	machine.forgetEnded()
	machine.gatherAgain()
}

// gatherAgain repeats the fencing of predecessors whose witnesses were out of
// reach.
func (machine *Machine) gatherAgain() {
	for slot := range machine.slots {
		ownership := &machine.slots[slot]
		if ownership.fenced || ownership.gathering || !machine.holds(slot) || machine.now.Before(ownership.gatherAt) {
			continue
		}
		ownership.gatherAt = machine.now.Add(gatherInterval)
		machine.emit(Gather{Slot: slot, Epoch: machine.book.Slot(slot).Epoch()})
	}
}

// gatherInterval is the pause between attempts to fence a predecessor.
const gatherInterval = time.Second

// forgetEnded drops programs that ended longer ago than the retention.
func (machine *Machine) forgetEnded() {
	for len(machine.endings) > 0 && machine.now.Sub(machine.endings[0].at) >= machine.settings.Retention {
		id := machine.endings[0].program
		machine.endings = machine.endings[1:]
		machine.book.Forget(id)
		if program, ok := machine.programs[id]; ok && program.active == nil {
			delete(machine.programs, id)
		}
	}
}

func (machine *Machine) expireQueue(program *state) {
	program.queue = slices.DeleteFunc(program.queue, func(queued queuedCall) bool {
		if machine.now.Before(queued.deadline) {
			return false
		}
		refused := refusal.New(refusal.DeadlineExceeded, "call %q waited past its deadline", queued.request.Call)
		for _, token := range queued.tokens {
			machine.refuse(token, machine.truthful(program, queued, refused))
		}
		return true
	})
}

// expireActive gives up a call that waits for the log. Its intent may still
// land there; this host never dispatches it.
func (machine *Machine) expireActive(program *state) {
	active := program.active
	if active == nil || machine.now.Before(active.deadline) {
		return
	}
	if active.stage != stageGranting && active.stage != stageIntending {
		return
	}
	if active.stage == stageIntending {
		program.abandoned[active.attempt] = true
	}
	machine.dropActive(program, refusal.New(refusal.LogUnavailable,
		"the log did not confirm call %q before its deadline", active.request.Call).WithRetryAfter(retryDelay))
}

// replicateLate asks another host to hold turns that the log is slow to take.
func (machine *Machine) replicateLate(program *state) {
	for _, turn := range program.pipeline {
		if turn.asked || turn.replicated || machine.now.Sub(turn.since) < machine.settings.CommitPatience {
			continue
		}
		turn.asked = true
		machine.emit(Replicate{
			Slot: program.slot, Epoch: machine.book.Slot(program.slot).Epoch(), Entry: turn.entry,
		})
	}
}

// hostsAlive shortens the wait for outcomes of owners that are gone.
func (machine *Machine) hostsAlive(incarnations []string) {
	for _, program := range machine.programs {
		entry, ok := machine.book.Program(program.id)
		if program.resolveAt.IsZero() || !ok || entry.Intent() == nil {
			continue
		}
		incarnation, _, _ := strings.Cut(entry.Intent().Attempt, ".")
		if slices.Contains(incarnations, incarnation) {
			program.lostAt = zeroTime
			continue
		}
		if program.lostAt.IsZero() {
			program.lostAt = machine.now
		}
		if resolve := program.lostAt.Add(machine.settings.OutcomeGrace); resolve.Before(program.resolveAt) {
			program.resolveAt = resolve
		}
	}
}

// resolveInherited records an unknown outcome for an intent of an earlier
// owner whose time has passed.
func (machine *Machine) resolveInherited(program *state) {
	if program.resolveAt.IsZero() || machine.now.Before(program.resolveAt) || !machine.Owns(program.slot) {
		return
	}
	program.resolveAt = zeroTime
	entry, ok := machine.book.Program(program.id)
	if !ok || entry.Intent() == nil || machine.running(program, entry.Intent().Attempt) {
		return
	}
	intent := entry.Intent()
	machine.emit(Counted{Name: "outcome_unknown"})
	machine.emit(Store{Entry: machine.chained(program, ledger.Entry{
		Program: program.id, Call: intent.Call, Number: intent.Number, Service: intent.Service,
		Input: intent.Input, Result: ledger.ResultUnknown,
	})})
}

func (machine *Machine) running(program *state, attempt string) bool {
	return program.active != nil && program.active.attempt == attempt
}

// expireProgram ends programs past their limits and forgets ended ones.
func (machine *Machine) expireProgram(program *state) {
	entry, ok := machine.book.Program(program.id)
	if !ok || !machine.Owns(program.slot) {
		return
	}
	if entry.Ended() != "" || program.ending != "" {
		return
	}
	idle := machine.now.Sub(program.idleSince)
	limits := entry.Open().Limits
	switch {
	case limits.Time != 0 && machine.age(program) >= limits.Time:
		machine.finish(program, ledger.EndTime)
	case limits.Idle != 0 && program.active == nil && len(program.queue) == 0 && idle >= limits.Idle:
		machine.finish(program, ledger.EndIdle)
	case entry.Open().Implicit && program.active == nil && len(program.pipeline) == 0 && entry.Turns() > 0:
		machine.finish(program, ledger.EndComplete)
	}
}

// endForeign ends the programs of workspaces that have left the text.
func (machine *Machine) endForeign() {
	if machine.workspaces == nil {
		return
	}
	for slot := range machine.slots {
		if !machine.holds(slot) {
			continue
		}
		for _, id := range machine.book.Slot(slot).Programs() {
			entry, _ := machine.book.Program(id)
			if !machine.workspaces[entry.Open().Workspace] && entry.Ended() == "" {
				machine.finish(machine.state(id, slot), ledger.EndWorkspace)
			}
		}
	}
}

// refresh repeats the records of slots and programs that were last written
// before an offset, and gathers old histories into one entry each.
func (machine *Machine) refresh(event Refresh) {
	var records []ledger.Record
	for slot := range machine.slots {
		if !machine.holds(slot) {
			continue
		}
		claim := machine.record(slot, "")
		claim.Claim = &ledger.Claim{
			Host: machine.settings.Host, Incarnation: machine.settings.Incarnation,
			Witnesses: machine.book.Slot(slot).Witnesses(), Fenced: machine.slots[slot].fenced,
		}
		records = append(records, claim)
		for _, id := range machine.book.Slot(slot).Programs() {
			entry, _ := machine.book.Program(id)
			if entry.Touched() < event.Before {
				carry := machine.record(slot, id)
				carry.Carry = entry.CarryOf()
				records = append(records, carry)
			}
			program := machine.state(id, slot)
			if entry.Ended() == "" && entry.Turns() > 0 && machine.now.Sub(program.consolidated) >= event.Age {
				program.wantsOneEntry = true
			}
		}
	}
	if len(records) > 0 {
		machine.emit(Append{Records: records})
	}
	for _, id := range sortedIDs(machine.programs) {
		if program, ok := machine.programs[id]; ok && program.wantsOneEntry {
			machine.advance(program)
		}
	}
}
