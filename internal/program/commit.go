package program

import (
	"slices"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// answered takes the result of a dispatch.
func (machine *Machine) answered(event Answered) {
	program, ok := machine.programs[event.Program]
	if !ok || program.active == nil || program.active.attempt != event.Attempt || program.active.stage != stageRunning {
		return
	}
	active := program.active
	active.entry = ledger.Entry{
		Program: program.id, Call: active.request.Call, Number: active.number, Service: active.request.Service,
		Input: active.request.Input, Output: event.Output, Status: event.Status, Result: ledger.ResultRan,
		Tokens: int(event.Tokens), Spent: active.spent(event.Tokens),
	}
	if active.request.Repeatable {
		machine.answeredRepeatable(program, event)
		return
	}
	machine.answeredOnce(program, event)
}

// spent returns the charge for a call that generated some tokens.
func (active *activeCall) spent(tokens int64) int64 {
	if active.request.Kind == KindPlain {
		return active.request.Cost
	}
	return InputTokens(active.request.Input) + min(tokens, active.maxTokens)
}

// answeredRepeatable puts a whole answer into the pipeline of turns that wait
// for their commit. The tokens of a failed call stay consumed.
func (machine *Machine) answeredRepeatable(program *state, event Answered) {
	active := program.active
	root := machine.rootState(program)
	root.consumed -= active.reserved
	root.consumed += active.entry.Spent
	if event.Refusal != nil || active.cancelled {
		refused := event.Refusal
		if refused == nil {
			refused = refusal.New(refusal.Cancelled, "call %q was cancelled", active.request.Call).WithRun(refusal.Unknown)
		}
		if refused.Run == refusal.NotRun {
			root.consumed -= active.entry.Spent
		}
		active.reserved = 0
		machine.dropActive(program, refused)
		return
	}
	program.active = nil
	program.idleSince = machine.now
	program.add(active.entry)
	program.pipeline = append(program.pipeline, &provisional{
		entry: active.entry, tokens: active.tokens, since: machine.now,
	})
	machine.advance(program)
}

// answeredOnce records what became of a non-idempotent call.
func (machine *Machine) answeredOnce(program *state, event Answered) {
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
		machine.settle(program, event.Refusal)
		return
	}
	machine.emit(Store{Entry: machine.chained(program, active.entry)})
}

// settle writes the outcome of a non-idempotent call that did not run.
func (machine *Machine) settle(program *state, refused *refusal.Refusal) {
	active := program.active
	active.refusal = refused
	record := machine.record(program.slot, program.id)
	record.Outcome = &ledger.Outcome{
		Call: active.request.Call, Attempt: active.attempt, Result: active.result,
		Spent: active.entry.Spent,
	}
	machine.emit(Append{Records: []ledger.Record{record}})
}

// chained links an entry to the committed head of its program.
func (machine *Machine) chained(program *state, entry ledger.Entry) ledger.Entry {
	if committed, ok := machine.book.Program(program.id); ok {
		entry.Prev = committed.Head()
	}
	return entry
}

// commitNext starts the commit of the first provisional turn.
func (machine *Machine) commitNext(program *state, entry *ledger.Program) {
	if len(program.pipeline) == 0 || entry.Intent() != nil || program.consolidating {
		return
	}
	turn := program.pipeline[0]
	if turn.recordID != "" {
		return
	}
	turn.recordID = storing
	turn.entry = machine.chained(program, turn.entry)
	machine.emit(Store{Entry: turn.entry})
}

// storing marks a turn whose entry is on its way to the history stream.
const storing = "storing"

// historyStored follows a stored entry with its ledger record.
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
	if len(program.pipeline) > 0 && program.pipeline[0].recordID == storing && program.pipeline[0].entry.Call == event.Call {
		machine.appendTurn(program, event.Location)
		return
	}
	entry, ok := machine.book.Program(program.id)
	if ok && program.consolidating && entry.Turns() == event.Number && machine.holds(program.slot) {
		machine.consolidatedAt(program, entry, event.Location)
		return
	}
	if ok && entry.Intent() != nil && entry.Intent().Call == event.Call && machine.holds(program.slot) {
		machine.recordUnknown(program, entry.Intent(), event.Location)
	}
}

// appendTurn writes the ledger record of the first provisional turn.
func (machine *Machine) appendTurn(program *state, location ledger.Location) {
	turn := program.pipeline[0]
	root, entry := machine.rootState(program), machine.rootEntry(program)
	record := machine.record(program.slot, program.id)
	record.Turn = &ledger.Turn{
		Call: turn.entry.Call, Number: turn.entry.Number, Head: location, Spent: turn.entry.Spent,
		Granted: max(entry.Granted(), root.granting), Age: machine.age(program),
	}
	turn.recordID = record.ID
	machine.emit(Append{Records: []ledger.Record{record}})
}

// applied reacts to a record, other than a claim, that was read back.
func (machine *Machine) applied(record ledger.Record, verdict ledger.Verdict) {
	if record.Open != nil {
		machine.opened(record, verdict)
		return
	}
	if record.End != nil && verdict == ledger.Accepted {
		machine.ended(record)
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
	case record.Carry != nil:
		machine.carryApplied(program, record, verdict)
	}
	machine.advance(program)
	if record.Grant != nil {
		machine.advanceTree(program)
	}
}

// advanceTree moves the sub-agents that wait for a grant of their root.
func (machine *Machine) advanceTree(root *state) {
	for _, id := range machine.book.Slot(root.slot).Programs() {
		entry, _ := machine.book.Program(id)
		if child, ok := machine.programs[id]; ok && id != root.id && entry.Open().Root == root.id {
			machine.advance(child)
		}
	}
}

// intentApplied dispatches the active call if its intent was accepted before
// any higher claim, and voids an intent whose call was given up.
func (machine *Machine) intentApplied(program *state, record ledger.Record, verdict ledger.Verdict) {
	active := program.active
	attempt := record.Intent.Attempt
	if active != nil && active.stage == stageIntending && active.attempt == attempt {
		if verdict == ledger.Accepted {
			machine.dispatch(program)
			return
		}
		if verdict == ledger.OutOfOrder && machine.holds(program.slot) {
			machine.requeueActive(program)
			return
		}
		machine.dropActive(program, moved(program.id))
		return
	}
	if program.abandoned[attempt] && verdict == ledger.Accepted {
		void := machine.record(program.slot, program.id)
		void.Outcome = &ledger.Outcome{Call: record.Intent.Call, Attempt: attempt, Result: ledger.ResultNotRun}
		machine.emit(Append{Records: []ledger.Record{void}})
	}
}

// requeueActive puts a call back whose intent met an earlier one that this host
// has given up. It is announced again when that one is void.
func (machine *Machine) requeueActive(program *state) {
	active := program.active
	program.active = nil
	machine.rootState(program).consumed -= active.reserved
	program.queue = slices.Insert(program.queue, 0, queuedCall{
		request: active.request, tokens: active.tokens, deadline: active.deadline,
	})
}

// outcomeApplied answers the call whose outcome the ledger has settled.
func (machine *Machine) outcomeApplied(program *state, record ledger.Record, verdict ledger.Verdict) {
	outcome := record.Outcome
	if verdict == ledger.Accepted {
		program.resolveAt = zeroTime
	}
	active := program.active
	if active == nil || active.attempt != outcome.Attempt {
		if verdict == ledger.Accepted && outcome.Result != ledger.ResultNotRun && machine.holds(program.slot) {
			machine.reload(program)
		}
		return
	}
	if active.stage != stageSettling && active.stage != stageRunning {
		return
	}
	machine.rootState(program).consumed -= active.reserved
	active.reserved = 0
	if verdict != ledger.Accepted || outcome.Result == ledger.ResultUnknown && active.result != ledger.ResultUnknown {
		machine.dropActive(program, unknownOutcome(outcome.Call))
		machine.reload(program)
		return
	}
	if outcome.Result == ledger.ResultNotRun {
		machine.dropActive(program, active.refusal)
		return
	}
	program.active = nil
	program.idleSince = machine.now
	if program.loaded {
		program.add(active.entry)
	}
	machine.replyTurn(active.entry, active.tokens)
	if !machine.holds(program.slot) {
		delete(machine.programs, program.id)
	}
}

// replyTurn answers everybody who waits for a turn.
func (machine *Machine) replyTurn(entry ledger.Entry, tokens []Token) {
	for _, token := range tokens {
		reply := replay(entry)
		if reply.Answer != nil {
			reply.Answer.Replayed = false
		}
		reply.Token = token
		delete(machine.tokens, token)
		machine.emit(reply)
	}
}

// turnApplied answers a committed turn, or repeats the record of one that was
// overtaken by an intent.
func (machine *Machine) turnApplied(program *state, record ledger.Record, verdict ledger.Verdict) {
	if len(program.pipeline) == 0 || program.pipeline[0].recordID != record.ID {
		return
	}
	turn := program.pipeline[0]
	switch verdict {
	case ledger.Accepted:
		program.pipeline = program.pipeline[1:]
		machine.rootState(program).consumed -= turn.entry.Spent
		machine.replyTurn(turn.entry, turn.tokens)
	case ledger.OutOfOrder:
		turn.recordID = ""
	default:
		machine.dropPipeline(program)
	}
}

// dropPipeline gives up turns that a later owner has to run again or has
// already gathered.
func (machine *Machine) dropPipeline(program *state) {
	for _, turn := range program.pipeline {
		for _, token := range turn.tokens {
			machine.refuse(token, moved(program.id))
		}
	}
	program.pipeline = nil
}

// replicated answers a turn that another host holds in memory.
func (machine *Machine) replicated(event Replicated) {
	program, ok := machine.programs[event.Program]
	if !ok {
		return
	}
	for _, turn := range program.pipeline {
		if turn.entry.Number != event.Number || turn.replicated {
			continue
		}
		turn.replicated = true
		machine.emit(Counted{Name: "turn_answered_from_replica"})
		machine.replyTurn(turn.entry, turn.tokens)
		turn.tokens = nil
	}
}
