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
	return program.priorAge + machine.now.Sub(program.ageSince)
}

// tick applies deadlines, limits and retries that are due.
func (machine *Machine) tick() {
	for _, id := range sortedIDs(machine.programs) {
		program := machine.programs[id]
		machine.expireQueue(program)
		machine.expireActive(program)
		machine.requestReplication(program)
		machine.resolveInheritedIntent(program)
		machine.enforceLimits(program)
	}
	machine.evictEnded()
	machine.retryGather()
}

// retryGather repeats the fencing of earlier owners whose witnesses were
// unreachable.
func (machine *Machine) retryGather() {
	for slot := range machine.slots {
		ownership := &machine.slots[slot]
		if ownership.fenced || ownership.gathering || !machine.isLedgerOwner(slot) || machine.now.Before(ownership.nextGather) {
			continue
		}
		ownership.nextGather = machine.now.Add(gatherRetryInterval)
		machine.emit(Gather{Slot: slot, Epoch: machine.ledgerState.Slot(slot).Epoch()})
	}
}

// gatherRetryInterval is the minimum time between attempts to fence earlier
// owners.
const gatherRetryInterval = time.Second

// evictEnded evicts programs that ended longer ago than the retention.
func (machine *Machine) evictEnded() {
	for len(machine.endedPrograms) > 0 && machine.now.Sub(machine.endedPrograms[0].readAt) >= machine.settings.Retention {
		id := machine.endedPrograms[0].program
		machine.endedPrograms = machine.endedPrograms[1:]
		machine.ledgerState.Evict(id)
		if program, ok := machine.programs[id]; ok && program.active == nil {
			delete(machine.programs, id)
		}
	}
}

// expireQueue refuses queued calls whose deadline has passed.
func (machine *Machine) expireQueue(program *state) {
	program.queue = slices.DeleteFunc(program.queue, func(queued queuedCall) bool {
		if machine.now.Before(queued.deadline) {
			return false
		}
		refused := refusal.New(refusal.DeadlineExceeded, "call %q waited past its deadline", queued.request.Call)
		for _, replyToken := range queued.replyTokens {
			machine.refuse(replyToken, machine.withPossibleEarlierRun(program, queued, refused))
		}
		return true
	})
}

// expireActive refuses an active call whose deadline passes while it waits for
// the log. Its intent may still be accepted later; this host never dispatches
// it.
func (machine *Machine) expireActive(program *state) {
	active := program.active
	if active == nil || machine.now.Before(active.deadline) {
		return
	}
	if active.stage != stageAwaitingGrant && active.stage != stageAwaitingIntent {
		return
	}
	if active.stage == stageAwaitingIntent {
		program.abandoned[active.attempt] = true
	}
	machine.refuseActive(program, refusal.New(refusal.LogUnavailable,
		"the log did not confirm call %q before its deadline", active.request.Call).WithRetryAfter(retryDelay))
}

// requestReplication asks another host to replicate turns that the log has not
// committed in time.
func (machine *Machine) requestReplication(program *state) {
	for _, turn := range program.uncommitted {
		if turn.replicationRequested || turn.replicated || machine.now.Sub(turn.completedAt) < machine.settings.ReplicationDelay {
			continue
		}
		turn.replicationRequested = true
		machine.emit(Replicate{
			Slot: program.slot, Epoch: machine.ledgerState.Slot(program.slot).Epoch(), Entry: turn.entry,
		})
	}
}

// hostsAlive shortens the wait for outcomes whose dispatching incarnation is
// no longer alive.
func (machine *Machine) hostsAlive(incarnations []string) {
	for _, program := range machine.programs {
		committed, ok := machine.ledgerState.Program(program.id)
		if program.resolveAt.IsZero() || !ok || committed.Intent() == nil {
			continue
		}
		incarnation, _, _ := strings.Cut(committed.Intent().Attempt, ".")
		if slices.Contains(incarnations, incarnation) {
			program.dispatcherLostAt = zeroTime
			continue
		}
		if program.dispatcherLostAt.IsZero() {
			program.dispatcherLostAt = machine.now
		}
		if resolve := program.dispatcherLostAt.Add(machine.settings.OutcomeGrace); resolve.Before(program.resolveAt) {
			program.resolveAt = resolve
		}
	}
}

// resolveInheritedIntent stores an entry with an unknown result for an intent
// of an earlier owner that has got no outcome in time.
func (machine *Machine) resolveInheritedIntent(program *state) {
	if program.resolveAt.IsZero() || machine.now.Before(program.resolveAt) || !machine.Owns(program.slot) {
		return
	}
	program.resolveAt = zeroTime
	committed, ok := machine.ledgerState.Program(program.id)
	if !ok || committed.Intent() == nil || machine.isActiveAttempt(program, committed.Intent().Attempt) {
		return
	}
	intent := committed.Intent()
	machine.emit(IncrementCounter{Name: "outcome_unknown"})
	machine.emit(StoreEntry{Entry: machine.linkToHead(program, ledger.Entry{
		Program: program.id, Call: intent.Call, Number: intent.Number, Service: intent.Service,
		Input: intent.Input, Result: ledger.ResultUnknown,
	})})
}

// isActiveAttempt reports whether the active call has the given attempt.
func (machine *Machine) isActiveAttempt(program *state, attempt string) bool {
	return program.active != nil && program.active.attempt == attempt
}

// enforceLimits ends a program that has reached its time or idle limit, and a
// program that a call opened implicitly once that call is committed.
func (machine *Machine) enforceLimits(program *state) {
	committed, ok := machine.ledgerState.Program(program.id)
	if !ok || !machine.Owns(program.slot) {
		return
	}
	if committed.Ended() != "" || program.endReason != "" {
		return
	}
	idle := machine.now.Sub(program.idleSince)
	limits := committed.Open().Limits
	switch {
	case limits.Time != 0 && machine.age(program) >= limits.Time:
		machine.endProgram(program, ledger.EndTime)
	case limits.Idle != 0 && program.active == nil && len(program.queue) == 0 && idle >= limits.Idle:
		machine.endProgram(program, ledger.EndIdle)
	case committed.Open().Implicit && program.active == nil && len(program.uncommitted) == 0 && committed.Turns() > 0:
		machine.endProgram(program, ledger.EndComplete)
	}
}

// endRemovedWorkspaces ends the programs of workspaces that are no longer
// configured.
func (machine *Machine) endRemovedWorkspaces() {
	if machine.workspaces == nil {
		return
	}
	for slot := range machine.slots {
		if !machine.isLedgerOwner(slot) {
			continue
		}
		for _, id := range machine.ledgerState.Slot(slot).Programs() {
			committed, _ := machine.ledgerState.Program(id)
			if !machine.workspaces[committed.Open().Workspace] && committed.Ended() == "" {
				machine.endProgram(machine.state(id, slot), ledger.EndWorkspace)
			}
		}
	}
}

// refresh repeats the claims of owned slots and the state of programs that
// were last written before an offset, and consolidates histories that are
// older than an age.
func (machine *Machine) refresh(event Refresh) {
	var records []ledger.Record
	for slot := range machine.slots {
		if !machine.isLedgerOwner(slot) {
			continue
		}
		claim := machine.record(slot, "")
		claim.Claim = &ledger.Claim{
			Host: machine.settings.Host, Incarnation: machine.settings.Incarnation,
			Witnesses: machine.ledgerState.Slot(slot).Witnesses(), Fenced: machine.slots[slot].fenced,
		}
		records = append(records, claim)
		for _, id := range machine.ledgerState.Slot(slot).Programs() {
			committed, _ := machine.ledgerState.Program(id)
			if committed.LastOffset() < event.Before {
				snapshot := machine.record(slot, id)
				snapshot.Snapshot = committed.TakeSnapshot()
				records = append(records, snapshot)
			}
			program := machine.state(id, slot)
			if committed.Ended() == "" && committed.Turns() > 0 && machine.now.Sub(program.consolidatedAt) >= event.Age {
				program.consolidationDue = true
			}
		}
	}
	if len(records) > 0 {
		machine.emit(Append{Records: records})
	}
	for _, id := range sortedIDs(machine.programs) {
		if program, ok := machine.programs[id]; ok && program.consolidationDue {
			machine.advance(program)
		}
	}
}
