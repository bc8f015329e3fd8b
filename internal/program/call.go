package program

import (
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// queryPatience bounds the wait of a query for a program's history.
const queryPatience = 5 * time.Second

// retryDelay is the advice to callers whose refusal passes by itself.
const retryDelay = time.Second

// call takes a request into the order of its program.
func (machine *Machine) call(event Called) {
	request := event.Request
	if !machine.holds(event.Slot) {
		machine.refuse(request.Token, moved(request.Program))
		return
	}
	entry, refused := machine.lookup(request.Program, request.Workspace)
	if refused != nil && (request.Open == nil || machine.known(request.Program)) {
		machine.refuse(request.Token, refused)
		return
	}
	program := machine.state(request.Program, event.Slot)
	if entry != nil && entry.Ended() != "" && program.loaded && !program.answered(request.Call) {
		machine.refuse(request.Token, endedRefusal(program.id, entry.Ended()))
		return
	}
	if machine.attachTo(program, request) {
		return
	}
	if len(program.queue) >= queueLimit {
		busy := refusal.New(refusal.ProgramBusy,
			"program %q has %d calls waiting", program.id, len(program.queue)).WithRetryAfter(retryDelay)
		machine.refuse(request.Token, machine.truthful(program, queuedCall{request: request}, busy))
		return
	}
	machine.tokens[request.Token] = tokenPlace{program: program.id, call: request.Call}
	program.queue = append(program.queue, queuedCall{
		request: request, tokens: []Token{request.Token}, deadline: machine.now.Add(request.Timeout),
	})
	if entry == nil && len(program.queue) == 1 && !program.loaded && !program.loading {
		program.loading = true
		record := machine.record(event.Slot, request.Program)
		record.Open = machine.withSlice(request.Program, *request.Open)
		machine.emit(Append{Records: []ledger.Record{record}})
		return
	}
	machine.advance(program)
}

// known reports whether the identifier belongs to any workspace's program.
func (machine *Machine) known(id string) bool {
	_, ok := machine.book.Program(id)
	return ok
}

func (program *state) answered(call string) bool {
	_, ok := program.calls[call]
	return ok
}

// attachTo joins a request to the same call if that is already under way.
func (machine *Machine) attachTo(program *state, request Request) bool {
	for index := range program.queue {
		if queued := &program.queue[index]; queued.request.Call == request.Call {
			if !machine.sameCall(queued.request, request) {
				return true
			}
			queued.tokens = append(queued.tokens, request.Token)
			machine.tokens[request.Token] = tokenPlace{program: program.id, call: request.Call}
			return true
		}
	}
	if active := program.active; active != nil && active.request.Call == request.Call && !active.cancelled {
		if !machine.sameCall(active.request, request) {
			return true
		}
		active.tokens = append(active.tokens, request.Token)
		machine.tokens[request.Token] = tokenPlace{program: program.id, call: request.Call}
		machine.emit(Attach{Token: request.Token, Program: program.id, Call: request.Call})
		return true
	}
	for _, turn := range program.pipeline {
		if turn.entry.Call == request.Call && !turn.replicated {
			turn.tokens = append(turn.tokens, request.Token)
			machine.tokens[request.Token] = tokenPlace{program: program.id, call: request.Call}
			return true
		}
	}
	return false
}

// sameCall refuses a request that reuses an idempotency key for other input.
func (machine *Machine) sameCall(first, again Request) bool {
	if first.Service == again.Service && first.Input == again.Input {
		return true
	}
	machine.refuse(again.Token, conflict(again.Call))
	return false
}

func conflict(call string) *refusal.Refusal {
	return refusal.New(refusal.CallConflict, "call %q was already sent with another service or input", call)
}

// advance moves a program on as far as its state allows.
func (machine *Machine) advance(program *state) {
	entry, ok := machine.book.Program(program.id)
	if !ok || !machine.Owns(program.slot) {
		return
	}
	if !program.loaded {
		machine.load(program, entry)
		return
	}
	machine.commitNext(program, entry)
	machine.consolidate(program, entry)
	machine.resumeGranting(program)
	for program.active == nil && len(program.queue) > 0 {
		if !machine.startNext(program, entry) {
			return
		}
	}
	if program.ending != "" && entry.Ended() == "" && program.active == nil &&
		len(program.pipeline) == 0 && entry.Intent() == nil && !program.endAsked {
		program.endAsked = true
		record := machine.record(program.slot, program.id)
		record.End = &ledger.End{Reason: program.ending}
		machine.emit(Append{Records: []ledger.Record{record}})
	}
}

// load asks for the history of a program that this host has taken over.
func (machine *Machine) load(program *state, entry *ledger.Program) {
	if program.loading {
		return
	}
	if entry.Head().IsZero() {
		program.loaded = true
		machine.adoptPipeline(program, entry)
		machine.advance(program)
		return
	}
	program.loading = true
	machine.emit(Load{Program: program.id, Head: entry.Head()})
}

// startNext takes the first queued call. It reports whether the loop may go on.
func (machine *Machine) startNext(program *state, entry *ledger.Program) bool {
	queued := program.queue[0]
	request := queued.request
	if request.Call == "" {
		program.queue = program.queue[1:]
		delete(machine.tokens, request.Token)
		machine.emit(Reply{Token: request.Token, View: machine.view(program, entry)})
		return true
	}
	if !program.answered(request.Call) && program.blocked(entry, request) {
		return false
	}
	program.queue = program.queue[1:]
	if machine.answerFromHistory(program, queued) {
		return true
	}
	if refused := machine.admissible(program, entry, queued); refused != nil {
		for _, token := range queued.tokens {
			machine.refuse(token, refused)
		}
		return true
	}
	program.idleSince = machine.now
	program.active = &activeCall{
		request: request, tokens: queued.tokens, deadline: queued.deadline,
		number: len(program.entries) + 1, attempt: machine.attempt(),
	}
	machine.reserve(program)
	return true
}

// blocked reports whether a call has to wait for the ledger. An intent without
// outcome occupies the next turn, unless this host is about to void it; a
// non-idempotent call needs every turn before it in the ledger.
func (program *state) blocked(entry *ledger.Program, request Request) bool {
	intent := entry.Intent()
	if request.Repeatable {
		return intent != nil && !program.abandoned[intent.Attempt]
	}
	return intent != nil || len(program.pipeline) > 0 || program.consolidating
}

// answerFromHistory replays a call that the history already holds.
func (machine *Machine) answerFromHistory(program *state, queued queuedCall) bool {
	index, ok := program.calls[queued.request.Call]
	if !ok {
		return false
	}
	entry := program.entries[index]
	for _, token := range queued.tokens {
		if entry.Input != queued.request.Input || entry.Service != queued.request.Service {
			machine.refuse(token, conflict(entry.Call))
			continue
		}
		reply := replay(entry)
		reply.Token = token
		delete(machine.tokens, token)
		machine.emit(reply)
	}
	return true
}

// admissible checks the limits of a program before a call starts.
func (machine *Machine) admissible(program *state, entry *ledger.Program, queued queuedCall) *refusal.Refusal {
	request := queued.request
	next := len(program.entries) + 1
	limits := entry.Open().Limits
	switch {
	case entry.Ended() != "":
		return endedRefusal(program.id, entry.Ended())
	case program.ending != "":
		return endedRefusal(program.id, program.ending)
	case !machine.now.Before(queued.deadline):
		return refusal.New(refusal.DeadlineExceeded, "call %q waited past its deadline", request.Call)
	case request.Turn != 0 && request.Turn != next:
		return refusal.New(refusal.OutOfTurn, "call %q names turn %d, the program is at turn %d", request.Call, request.Turn, next)
	case limits.Turns != 0 && next > limits.Turns:
		program.ending = ledger.EndTurns
		return endedRefusal(program.id, ledger.EndTurns)
	}
	return nil
}

// dispatch sends the active call to a target.
func (machine *Machine) dispatch(program *state) {
	active := program.active
	entry, _ := machine.book.Program(program.id)
	active.stage = stageRunning
	request := active.request
	machine.emit(Dispatch{
		Program: program.id, Root: entry.Open().Root, Workspace: request.Workspace, Call: request.Call,
		Attempt: active.attempt, Service: request.Service, Kind: request.Kind, Repeatable: request.Repeatable,
		History: slices.Clip(program.entries), Input: request.Input, Partial: request.Partial,
		MaxTokens: active.maxTokens, Deadline: active.deadline, Served: program.served(),
	})
	for _, token := range active.tokens {
		machine.emit(Attach{Token: token, Program: program.id, Call: request.Call})
	}
}

// served returns the tokens generated for the program so far.
func (program *state) served() int64 {
	var tokens int64
	for _, entry := range program.entries {
		tokens += int64(entry.Tokens)
	}
	return tokens
}

// disconnect forgets a token and cancels its call if nobody else waits for it
// and it may be cancelled.
func (machine *Machine) disconnect(token Token) {
	place, ok := machine.tokens[token]
	if !ok {
		return
	}
	delete(machine.tokens, token)
	program, ok := machine.programs[place.program]
	if !ok {
		return
	}
	without := func(tokens []Token) []Token {
		return slices.DeleteFunc(tokens, func(other Token) bool { return other == token })
	}
	program.opening = without(program.opening)
	program.endTokens = without(program.endTokens)
	for index := range program.queue {
		program.queue[index].tokens = without(program.queue[index].tokens)
	}
	program.queue = slices.DeleteFunc(program.queue, func(queued queuedCall) bool { return len(queued.tokens) == 0 })
	for _, turn := range program.pipeline {
		turn.tokens = without(turn.tokens)
	}
	active := program.active
	if active == nil || !slices.Contains(active.tokens, token) {
		return
	}
	active.tokens = without(active.tokens)
	if len(active.tokens) == 0 && active.request.Repeatable {
		machine.cancelActive(program)
	}
}

// cancelActive stops the active call of a program.
func (machine *Machine) cancelActive(program *state) {
	active := program.active
	if active.cancelled {
		return
	}
	switch active.stage {
	case stageGranting:
		machine.dropActive(program, refusal.New(refusal.Cancelled, "call %q was cancelled", active.request.Call))
	case stageRunning:
		active.cancelled = true
		machine.emit(Cancel{Program: program.id, Call: active.request.Call})
	}
}

// dropActive refuses the active call and lets the next one start.
func (machine *Machine) dropActive(program *state, refused *refusal.Refusal) {
	active := program.active
	program.active = nil
	program.idleSince = machine.now
	machine.rootState(program).consumed -= active.reserved
	for _, token := range active.tokens {
		machine.refuse(token, refused)
	}
	if !machine.holds(program.slot) {
		delete(machine.programs, program.id)
		return
	}
	machine.advance(program)
}
