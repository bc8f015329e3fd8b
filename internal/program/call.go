package program

import (
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// queryTimeout bounds how long a query waits for the history of a program.
const queryTimeout = 5 * time.Second

// retryDelay is the Retry-After sent with refusals whose cause is temporary.
const retryDelay = time.Second

// call adds a call to the queue of its program, joins it to an earlier request
// for the same call, or refuses it.
func (machine *Machine) call(event CallRequest) {
	request := event.Request
	if !machine.isLedgerOwner(event.Slot) {
		machine.refuse(request.ReplyToken, movedRefusal(request.Program))
		return
	}
	committed, refused := machine.lookup(request.Program, request.Workspace)
	if refused != nil && (request.Open == nil || machine.exists(request.Program)) {
		machine.refuse(request.ReplyToken, refused)
		return
	}
	program := machine.state(request.Program, event.Slot)
	if committed != nil && committed.Ended() != "" && program.loaded && !program.inHistory(request.Call) {
		machine.refuse(request.ReplyToken, endedRefusal(program.id, committed.Ended()))
		return
	}
	if machine.joinExisting(program, request) {
		return
	}
	if len(program.queue) >= queueLimit {
		busy := refusal.New(refusal.ProgramBusy,
			"program %q has %d calls waiting", program.id, len(program.queue)).WithRetryAfter(retryDelay)
		machine.refuse(request.ReplyToken, machine.withPossibleEarlierRun(program, queuedCall{request: request}, busy))
		return
	}
	machine.replyTokens[request.ReplyToken] = callID{program: program.id, call: request.Call}
	program.queue = append(program.queue, queuedCall{
		request: request, replyTokens: []ReplyToken{request.ReplyToken}, deadline: machine.now.Add(request.Timeout),
	})
	// The first call to an unknown program proposes the record that opens it.
	if committed == nil && len(program.queue) == 1 && !program.loaded && !program.loading {
		program.loading = true
		record := machine.record(event.Slot, request.Program)
		record.Open = machine.withInitialGrant(request.Program, *request.Open)
		machine.emit(Append{Records: []ledger.Record{record}})
		return
	}
	machine.advance(program)
}

// exists reports whether a program of any workspace has the identifier.
func (machine *Machine) exists(id string) bool {
	_, ok := machine.ledgerState.Program(id)
	return ok
}

// inHistory reports whether the known history contains the call.
func (program *state) inHistory(call string) bool {
	_, ok := program.indexByCall[call]
	return ok
}

// joinExisting lets a request wait for the same call if that is already
// queued, active or waiting for its commit. It reports whether the request
// needs no further handling, which includes a refusal.
func (machine *Machine) joinExisting(program *state, request Request) bool {
	for index := range program.queue {
		if queued := &program.queue[index]; queued.request.Call == request.Call {
			if !machine.checkSameCall(queued.request, request) {
				return true
			}
			queued.replyTokens = append(queued.replyTokens, request.ReplyToken)
			machine.replyTokens[request.ReplyToken] = callID{program: program.id, call: request.Call}
			return true
		}
	}
	if active := program.active; active != nil && active.request.Call == request.Call && !active.cancelled {
		if !machine.checkSameCall(active.request, request) {
			return true
		}
		active.replyTokens = append(active.replyTokens, request.ReplyToken)
		machine.replyTokens[request.ReplyToken] = callID{program: program.id, call: request.Call}
		machine.emit(Attach{ReplyToken: request.ReplyToken, Program: program.id, Call: request.Call})
		return true
	}
	for _, turn := range program.uncommitted {
		if turn.entry.Call == request.Call && !turn.replicated {
			turn.replyTokens = append(turn.replyTokens, request.ReplyToken)
			machine.replyTokens[request.ReplyToken] = callID{program: program.id, call: request.Call}
			return true
		}
	}
	return false
}

// checkSameCall reports whether two requests with the same idempotency key
// have the same service and input. Otherwise it refuses the second one.
func (machine *Machine) checkSameCall(previous, repeated Request) bool {
	if previous.Service == repeated.Service && previous.Input == repeated.Input {
		return true
	}
	machine.refuse(repeated.ReplyToken, conflictRefusal(repeated.Call))
	return false
}

// conflictRefusal returns the refusal of an idempotency key that is reused for
// another service or input.
func conflictRefusal(call string) *refusal.Refusal {
	return refusal.New(refusal.CallConflict, "call %q was already sent with another service or input", call)
}

// advance performs every step that the state of a program allows: loading its
// history, committing turns, starting queued calls and proposing its end.
func (machine *Machine) advance(program *state) {
	committed, ok := machine.ledgerState.Program(program.id)
	if !ok || !machine.Owns(program.slot) {
		return
	}
	if !program.loaded {
		machine.loadHistory(program, committed)
		return
	}
	machine.commitNext(program, committed)
	machine.consolidate(program, committed)
	machine.dispatchIfGranted(program)
	for program.active == nil && len(program.queue) > 0 {
		if !machine.startNext(program, committed) {
			return
		}
	}
	if program.endReason != "" && committed.Ended() == "" && program.active == nil &&
		len(program.uncommitted) == 0 && committed.Intent() == nil && !program.endProposed {
		program.endProposed = true
		record := machine.record(program.slot, program.id)
		record.End = &ledger.End{Reason: program.endReason}
		machine.emit(Append{Records: []ledger.Record{record}})
	}
}

// loadHistory requests the history of a program that this host has taken over.
// A program without committed turns needs none.
func (machine *Machine) loadHistory(program *state, committed *ledger.Program) {
	if program.loading {
		return
	}
	if committed.Head().IsZero() {
		program.loaded = true
		machine.adoptUncommitted(program, committed)
		machine.advance(program)
		return
	}
	program.loading = true
	machine.emit(LoadHistory{Program: program.id, Head: committed.Head()})
}

// startNext handles the first request of the queue: it replies, refuses the
// request or makes its call the active one. It returns false if the request
// has to stay in the queue.
func (machine *Machine) startNext(program *state, committed *ledger.Program) bool {
	queued := program.queue[0]
	request := queued.request
	if request.Call == "" { // a query that waited for the history
		program.queue = program.queue[1:]
		delete(machine.replyTokens, request.ReplyToken)
		machine.emit(Reply{ReplyToken: request.ReplyToken, View: machine.view(program, committed)})
		return true
	}
	if !program.inHistory(request.Call) && program.blocked(committed, request) {
		return false
	}
	program.queue = program.queue[1:]
	if machine.answerFromHistory(program, queued) {
		return true
	}
	if refused := machine.checkAdmission(program, committed, queued); refused != nil {
		for _, replyToken := range queued.replyTokens {
			machine.refuse(replyToken, refused)
		}
		return true
	}
	program.idleSince = machine.now
	program.active = &activeCall{
		request: request, replyTokens: queued.replyTokens, deadline: queued.deadline,
		number: len(program.entries) + 1, attempt: machine.attempt(),
	}
	machine.reserve(program)
	return true
}

// blocked reports whether a call has to wait for the ledger. An intent without
// an outcome occupies the next turn, unless this host has abandoned the intent
// and is about to void it. A non-idempotent call also needs every earlier turn
// to be committed.
func (program *state) blocked(committed *ledger.Program, request Request) bool {
	intent := committed.Intent()
	if request.Repeatable {
		return intent != nil && !program.abandoned[intent.Attempt]
	}
	return intent != nil || len(program.uncommitted) > 0 || program.consolidating
}

// answerFromHistory answers a call that the history already contains, without
// running it again. It returns false if the history does not contain the call.
func (machine *Machine) answerFromHistory(program *state, queued queuedCall) bool {
	index, ok := program.indexByCall[queued.request.Call]
	if !ok {
		return false
	}
	entry := program.entries[index]
	for _, replyToken := range queued.replyTokens {
		if entry.Input != queued.request.Input || entry.Service != queued.request.Service {
			machine.refuse(replyToken, conflictRefusal(entry.Call))
			continue
		}
		reply := replyFor(entry)
		reply.ReplyToken = replyToken
		delete(machine.replyTokens, replyToken)
		machine.emit(reply)
	}
	return true
}

// checkAdmission returns the refusal of a call that may not start: the program
// has ended or has used all its turns, the deadline has passed, or the caller
// expects another turn number.
func (machine *Machine) checkAdmission(program *state, committed *ledger.Program, queued queuedCall) *refusal.Refusal {
	request := queued.request
	next := len(program.entries) + 1
	limits := committed.Open().Limits
	switch {
	case committed.Ended() != "":
		return endedRefusal(program.id, committed.Ended())
	case program.endReason != "":
		return endedRefusal(program.id, program.endReason)
	case !machine.now.Before(queued.deadline):
		return refusal.New(refusal.DeadlineExceeded, "call %q waited past its deadline", request.Call)
	case request.Turn != 0 && request.Turn != next:
		return refusal.New(refusal.OutOfTurn, "call %q names turn %d, the program is at turn %d", request.Call, request.Turn, next)
	case limits.Turns != 0 && next > limits.Turns:
		program.endReason = ledger.EndTurns
		return endedRefusal(program.id, ledger.EndTurns)
	}
	return nil
}

// dispatch sends the active call to a target and attaches its reply tokens
// to the output stream.
func (machine *Machine) dispatch(program *state) {
	active := program.active
	committed, _ := machine.ledgerState.Program(program.id)
	active.stage = stageRunning
	request := active.request
	machine.emit(Dispatch{
		Program: program.id, Root: committed.Open().Root, Workspace: request.Workspace, Call: request.Call,
		Attempt: active.attempt, Service: request.Service, Kind: request.Kind, Repeatable: request.Repeatable,
		History: slices.Clip(program.entries), Input: request.Input, Partial: request.Partial,
		MaxTokens: active.maxTokens, Deadline: active.deadline, GeneratedTokens: program.generatedTokens(),
	})
	for _, replyToken := range active.replyTokens {
		machine.emit(Attach{ReplyToken: replyToken, Program: program.id, Call: request.Call})
	}
}

// generatedTokens returns the number of tokens that targets have generated for
// the program so far.
func (program *state) generatedTokens() int64 {
	var tokens int64
	for _, entry := range program.entries {
		tokens += int64(entry.Tokens)
	}
	return tokens
}

// disconnect removes a reply token. It cancels an active idempotent call, and
// removes a queued call, for which no other reply token waits.
func (machine *Machine) disconnect(replyToken ReplyToken) {
	id, ok := machine.replyTokens[replyToken]
	if !ok {
		return
	}
	delete(machine.replyTokens, replyToken)
	program, ok := machine.programs[id.program]
	if !ok {
		return
	}
	without := func(replyTokens []ReplyToken) []ReplyToken {
		return slices.DeleteFunc(replyTokens, func(other ReplyToken) bool { return other == replyToken })
	}
	program.openTokens = without(program.openTokens)
	program.endTokens = without(program.endTokens)
	for index := range program.queue {
		program.queue[index].replyTokens = without(program.queue[index].replyTokens)
	}
	program.queue = slices.DeleteFunc(program.queue, func(queued queuedCall) bool { return len(queued.replyTokens) == 0 })
	for _, turn := range program.uncommitted {
		turn.replyTokens = without(turn.replyTokens)
	}
	active := program.active
	if active == nil || !slices.Contains(active.replyTokens, replyToken) {
		return
	}
	active.replyTokens = without(active.replyTokens)
	if len(active.replyTokens) == 0 && active.request.Repeatable {
		machine.cancelActive(program)
	}
}

// cancelActive cancels the active call if it waits for a grant or is running.
// Other stages cannot be cancelled.
func (machine *Machine) cancelActive(program *state) {
	active := program.active
	if active.cancelled {
		return
	}
	switch active.stage {
	case stageAwaitingGrant:
		machine.refuseActive(program, refusal.New(refusal.Cancelled, "call %q was cancelled", active.request.Call))
	case stageRunning:
		active.cancelled = true
		machine.emit(Cancel{Program: program.id, Call: active.request.Call})
	}
}

// refuseActive refuses the active call, releases its reservation and lets the
// next call start. If the slot has a new owner, it removes the state of the
// program instead.
func (machine *Machine) refuseActive(program *state, refused *refusal.Refusal) {
	active := program.active
	program.active = nil
	program.idleSince = machine.now
	machine.rootState(program).unsettled -= active.reserved
	for _, replyToken := range active.replyTokens {
		machine.refuse(replyToken, refused)
	}
	if !machine.isLedgerOwner(program.slot) {
		delete(machine.programs, program.id)
		return
	}
	machine.advance(program)
}
