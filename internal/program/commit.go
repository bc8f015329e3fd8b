package program

import (
	"slices"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// dispatchCompleted handles the result of a dispatch. It ignores results of
// earlier attempts.
func (machine *Machine) dispatchCompleted(event DispatchResult) {
	program, ok := machine.programs[event.Program]
	if !ok || program.active == nil || program.active.attempt != event.Attempt || program.active.stage != stageRunning {
		return
	}
	active := program.active
	active.entry = ledger.Entry{
		Program: program.id, Call: active.request.Call, Number: active.number, Service: active.request.Service,
		Input: active.request.Input, Output: event.Output, Status: event.Status, Result: ledger.ResultRan,
		Tokens: int(event.Tokens), Spent: active.charge(event.Tokens),
	}
	if active.request.Repeatable {
		machine.completeIdempotent(program, event)
		return
	}
	machine.completeNonIdempotent(program, event)
}

// charge returns the number of tokens to charge for a call that generated the
// given number of tokens.
func (active *activeCall) charge(tokens int64) int64 {
	if active.request.Kind == KindPlain {
		return active.request.Cost
	}
	return InputTokens(active.request.Input) + min(tokens, active.maxTokens)
}

// completeIdempotent adds a complete response to the turns that wait for their
// commit. The tokens of a failed call stay charged, unless the target did not
// run it.
func (machine *Machine) completeIdempotent(program *state, event DispatchResult) {
	active := program.active
	root := machine.rootState(program)
	root.unsettled -= active.reserved
	root.unsettled += active.entry.Spent
	if event.Refusal != nil || active.cancelled {
		refused := event.Refusal
		if refused == nil {
			refused = refusal.New(refusal.Cancelled, "call %q was cancelled", active.request.Call).WithRun(refusal.RunUnknown)
		}
		if refused.Run == refusal.NotRun {
			root.unsettled -= active.entry.Spent
		}
		active.reserved = 0
		machine.refuseActive(program, refused)
		return
	}
	program.active = nil
	program.idleSince = machine.now
	program.appendEntry(active.entry)
	program.uncommitted = append(program.uncommitted, &uncommittedTurn{
		entry: active.entry, replyTokens: active.replyTokens, completedAt: machine.now,
	})
	machine.advance(program)
}

// completeNonIdempotent records the result of a non-idempotent call. It stores
// the history entry before the outcome, and only the outcome if the call did
// not run.
func (machine *Machine) completeNonIdempotent(program *state, event DispatchResult) {
	active := program.active
	active.stage = stageSettling
	active.result = ledger.ResultRan
	if event.Refusal != nil {
		active.result = ledger.ResultUnknown
		if event.Refusal.Run == refusal.NotRun {
			active.result = ledger.ResultNotRun
		}
	}
	active.entry.Result = active.result
	if active.result == ledger.ResultNotRun {
		machine.proposeOutcome(program, event.Refusal)
		return
	}
	machine.emit(StoreEntry{Entry: machine.linkToHead(program, active.entry)})
}

// proposeOutcome appends the outcome of a non-idempotent call that did not
// run, which has no history entry.
func (machine *Machine) proposeOutcome(program *state, refused *refusal.Refusal) {
	active := program.active
	active.refusal = refused
	record := machine.record(program.slot, program.id)
	record.Outcome = &ledger.Outcome{
		Call: active.request.Call, Attempt: active.attempt, Result: active.result,
		Spent: active.entry.Spent,
	}
	machine.emit(Append{Records: []ledger.Record{record}})
}

// linkToHead returns the entry with a link to the last committed entry of its
// program.
func (machine *Machine) linkToHead(program *state, entry ledger.Entry) ledger.Entry {
	if committed, ok := machine.ledgerState.Program(program.id); ok {
		entry.Prev = committed.Head()
	}
	return entry
}

// commitNext starts the commit of the first uncommitted turn by storing its
// history entry.
func (machine *Machine) commitNext(program *state, committed *ledger.Program) {
	if len(program.uncommitted) == 0 || committed.Intent() != nil || program.consolidating {
		return
	}
	turn := program.uncommitted[0]
	if turn.recordID != "" {
		return
	}
	turn.recordID = storingPlaceholder
	turn.entry = machine.linkToHead(program, turn.entry)
	machine.emit(StoreEntry{Entry: turn.entry})
}

// storingPlaceholder replaces the record ID of a turn while its entry is being
// written to the history stream.
const storingPlaceholder = "storing"

// historyStored appends the ledger record that refers to a stored history
// entry.
func (machine *Machine) historyStored(event HistoryStored) {
	program, ok := machine.programs[event.Program]
	if !ok {
		return
	}
	if active := program.active; active != nil && active.stage == stageSettling && active.request.Call == event.Call {
		record := machine.record(program.slot, program.id)
		record.Outcome = &ledger.Outcome{
			Call: active.request.Call, Attempt: active.attempt, Result: active.result,
			Head: event.Location, Spent: active.entry.Spent,
		}
		machine.emit(Append{Records: []ledger.Record{record}})
		return
	}
	if len(program.uncommitted) > 0 && program.uncommitted[0].recordID == storingPlaceholder && program.uncommitted[0].entry.Call == event.Call {
		machine.appendTurn(program, event.Location)
		return
	}
	committed, ok := machine.ledgerState.Program(program.id)
	if ok && program.consolidating && committed.Turns() == event.Number && machine.isLedgerOwner(program.slot) {
		machine.proposeConsolidatedHead(program, committed, event.Location)
		return
	}
	if ok && committed.Intent() != nil && committed.Intent().Call == event.Call && machine.isLedgerOwner(program.slot) {
		machine.proposeUnknownOutcome(program, committed.Intent(), event.Location)
	}
}

// appendTurn appends the ledger record that commits the first uncommitted
// turn.
func (machine *Machine) appendTurn(program *state, location ledger.Location) {
	turn := program.uncommitted[0]
	root, committed := machine.rootState(program), machine.committedRoot(program)
	record := machine.record(program.slot, program.id)
	record.Turn = &ledger.Turn{
		Call: turn.entry.Call, Number: turn.entry.Number, Head: location, Spent: turn.entry.Spent,
		Granted: max(committed.Granted(), root.proposedGrant), Age: machine.age(program),
	}
	turn.recordID = record.ID
	machine.emit(Append{Records: []ledger.Record{record}})
}

// recordApplied reacts to the verdict on a record that was read back from the
// log, other than an accepted claim.
func (machine *Machine) recordApplied(record ledger.Record, verdict ledger.Verdict) {
	if record.Open != nil {
		machine.openApplied(record, verdict)
		return
	}
	if record.End != nil && verdict == ledger.Accepted {
		machine.endApplied(record)
		return
	}
	program, ok := machine.programs[record.Program]
	if !ok {
		return
	}
	switch {
	case record.Intent != nil:
		machine.intentApplied(program, record, verdict)
	case record.Outcome != nil:
		machine.outcomeApplied(program, record, verdict)
	case record.Turn != nil:
		machine.turnApplied(program, record, verdict)
	case record.Snapshot != nil:
		machine.snapshotApplied(program, record, verdict)
	}
	machine.advance(program)
	if record.Grant != nil {
		machine.advanceSubAgents(program)
	}
}

// advanceSubAgents advances the sub-agents that may wait for a grant of their
// root program.
func (machine *Machine) advanceSubAgents(root *state) {
	for _, id := range machine.ledgerState.Slot(root.slot).Programs() {
		committed, _ := machine.ledgerState.Program(id)
		if child, ok := machine.programs[id]; ok && id != root.id && committed.Open().Root == root.id {
			machine.advance(child)
		}
	}
}

// intentApplied dispatches the active call if its intent was accepted before
// any claim with a higher epoch. It voids the accepted intent of an abandoned
// call.
func (machine *Machine) intentApplied(program *state, record ledger.Record, verdict ledger.Verdict) {
	active := program.active
	attempt := record.Intent.Attempt
	if active != nil && active.stage == stageAwaitingIntent && active.attempt == attempt {
		if verdict == ledger.Accepted {
			machine.dispatch(program)
			return
		}
		if verdict == ledger.OutOfOrder && machine.isLedgerOwner(program.slot) {
			machine.requeueActive(program)
			return
		}
		machine.refuseActive(program, movedRefusal(program.id))
		return
	}
	if program.abandoned[attempt] && verdict == ledger.Accepted {
		void := machine.record(program.slot, program.id)
		void.Outcome = &ledger.Outcome{Call: record.Intent.Call, Attempt: attempt, Result: ledger.ResultNotRun}
		machine.emit(Append{Records: []ledger.Record{void}})
	}
}

// requeueActive returns the active call to the head of the queue because the
// intent of an abandoned call precedes its own. A new intent is proposed once
// the earlier one is void.
func (machine *Machine) requeueActive(program *state) {
	active := program.active
	program.active = nil
	machine.rootState(program).unsettled -= active.reserved
	program.queue = slices.Insert(program.queue, 0, queuedCall{
		request: active.request, replyTokens: active.replyTokens, deadline: active.deadline,
	})
}

// outcomeApplied answers the active call when the ledger has settled its
// outcome.
func (machine *Machine) outcomeApplied(program *state, record ledger.Record, verdict ledger.Verdict) {
	outcome := record.Outcome
	if verdict == ledger.Accepted {
		program.resolveAt = zeroTime
	}
	active := program.active
	if active == nil || active.attempt != outcome.Attempt {
		if verdict == ledger.Accepted && outcome.Result != ledger.ResultNotRun && machine.isLedgerOwner(program.slot) {
			machine.reloadHistory(program)
		}
		return
	}
	if active.stage != stageSettling && active.stage != stageRunning {
		return
	}
	machine.rootState(program).unsettled -= active.reserved
	active.reserved = 0
	if verdict != ledger.Accepted || outcome.Result == ledger.ResultUnknown && active.result != ledger.ResultUnknown {
		machine.refuseActive(program, unknownOutcomeRefusal(outcome.Call))
		machine.reloadHistory(program)
		return
	}
	if outcome.Result == ledger.ResultNotRun {
		machine.refuseActive(program, active.refusal)
		return
	}
	program.active = nil
	program.idleSince = machine.now
	if program.loaded {
		program.appendEntry(active.entry)
	}
	machine.replyTurn(active.entry, active.replyTokens)
	if !machine.isLedgerOwner(program.slot) {
		delete(machine.programs, program.id)
	}
}

// replyTurn sends the result of a turn to every waiting reply token.
func (machine *Machine) replyTurn(entry ledger.Entry, replyTokens []ReplyToken) {
	for _, replyToken := range replyTokens {
		reply := replyFor(entry)
		if reply.Answer != nil {
			reply.Answer.Replayed = false
		}
		reply.ReplyToken = replyToken
		delete(machine.replyTokens, replyToken)
		machine.emit(reply)
	}
}

// turnApplied answers the first uncommitted turn when its record is accepted.
// A record that an intent preceded is proposed again; any other verdict drops
// all uncommitted turns.
func (machine *Machine) turnApplied(program *state, record ledger.Record, verdict ledger.Verdict) {
	if len(program.uncommitted) == 0 || program.uncommitted[0].recordID != record.ID {
		return
	}
	turn := program.uncommitted[0]
	switch verdict {
	case ledger.Accepted:
		program.uncommitted = program.uncommitted[1:]
		machine.rootState(program).unsettled -= turn.entry.Spent
		machine.replyTurn(turn.entry, turn.replyTokens)
	case ledger.OutOfOrder:
		turn.recordID = ""
	default:
		machine.dropUncommitted(program)
	}
}

// dropUncommitted drops the uncommitted turns, which a later owner either has
// gathered from replicas or has to run again.
func (machine *Machine) dropUncommitted(program *state) {
	for _, turn := range program.uncommitted {
		for _, replyToken := range turn.replyTokens {
			machine.refuse(replyToken, movedRefusal(program.id))
		}
	}
	program.uncommitted = nil
}

// replicated answers a turn that another host has replicated in memory, before
// its commit.
func (machine *Machine) replicated(event Replicated) {
	program, ok := machine.programs[event.Program]
	if !ok {
		return
	}
	for _, turn := range program.uncommitted {
		if turn.entry.Number != event.Number || turn.replicated {
			continue
		}
		turn.replicated = true
		machine.emit(IncrementCounter{Name: "turn_answered_from_replica"})
		machine.replyTurn(turn.entry, turn.replyTokens)
		turn.replyTokens = nil
	}
}
