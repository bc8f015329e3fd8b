package program

import (
	"slices"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// moved refuses a request that reached a host which does not own its slot.
func moved(id string) *refusal.Refusal {
	return refusal.New(refusal.Moved, "this host does not own program %q", id)
}

// open starts a program whose caller waits for the record.
func (machine *Machine) open(event Opened) {
	if !machine.holds(event.Slot) {
		machine.refuse(event.Token, moved(event.Program))
		return
	}
	if entry, ok := machine.book.Program(event.Program); ok {
		machine.reopen(event, entry)
		return
	}
	if event.Open.Root != event.Program {
		parent, err := machine.lookup(event.Open.Root, event.Open.Workspace)
		if err != nil {
			machine.refuse(event.Token, err)
			return
		}
		event.Open.Root = parent.Open().Root
	}
	program := machine.state(event.Program, event.Slot)
	program.opening = append(program.opening, event.Token)
	machine.tokens[event.Token] = tokenPlace{program: event.Program}
	if len(program.opening) > 1 {
		return
	}
	record := machine.record(event.Slot, event.Program)
	record.Open = machine.withSlice(event.Program, event.Open)
	machine.emit(Append{Records: []ledger.Record{record}})
}

// reopen answers a repeated request to open the same program.
func (machine *Machine) reopen(event Opened, entry *ledger.Program) {
	if entry.Open().Workspace != event.Open.Workspace {
		machine.refuse(event.Token, refusal.New(refusal.NotFound, "program %q does not exist", event.Program))
		return
	}
	machine.emit(Reply{Token: event.Token})
}

// withSlice grants a new root its first slice of the budget.
func (machine *Machine) withSlice(id string, open ledger.Open) *ledger.Open {
	if open.Root == id {
		open.Granted = (open.Budget + sliceFactor - 1) / sliceFactor
	}
	return &open
}

// opened reacts to a record that opened a program, or failed to.
func (machine *Machine) opened(record ledger.Record, verdict ledger.Verdict) {
	program, ok := machine.programs[record.Program]
	if !ok {
		return
	}
	tokens := program.opening
	program.opening = nil
	if verdict == ledger.Accepted {
		program.loaded = true
		program.loading = false
		program.since = machine.now
		for _, token := range tokens {
			delete(machine.tokens, token)
			machine.emit(Reply{Token: token})
		}
		machine.advance(program)
		return
	}
	refused := moved(record.Program)
	if verdict == ledger.UnknownProgram || verdict == ledger.AlreadyEnded {
		refused = refusal.New(refusal.ProgramEnded, "parent program %q has ended", record.Open.Root)
	}
	for _, token := range tokens {
		machine.refuse(token, refused)
	}
	machine.flush(program, refused)
}

// end closes a program on request of its workspace.
func (machine *Machine) end(event Ended) {
	entry, err := machine.lookup(event.Program, event.Workspace)
	if err != nil {
		machine.refuse(event.Token, err)
		return
	}
	if !machine.holds(entry.Slot()) {
		machine.refuse(event.Token, moved(event.Program))
		return
	}
	if entry.Ended() != "" {
		machine.emit(Reply{Token: event.Token})
		return
	}
	program := machine.state(event.Program, entry.Slot())
	program.endTokens = append(program.endTokens, event.Token)
	machine.tokens[event.Token] = tokenPlace{program: event.Program}
	machine.finish(program, ledger.EndRequested)
}

// finish ends a program and its sub-agents: waiting calls are refused, a call
// that may be cancelled is, and the record follows when nothing is under way.
func (machine *Machine) finish(program *state, reason ledger.EndReason) {
	if program.ending == "" {
		program.ending = reason
	}
	machine.flush(program, endedRefusal(program.id, program.ending))
	if active := program.active; active != nil && active.stage == stageRunning && active.request.Repeatable {
		machine.cancelActive(program)
	}
	for _, id := range machine.book.Slot(program.slot).Programs() {
		child, ok := machine.book.Program(id)
		if ok && id != program.id && child.Open().Root == program.id && child.Ended() == "" {
			if state := machine.state(id, program.slot); state.ending == "" {
				machine.finish(state, reason)
			}
		}
	}
	machine.advance(program)
}

func endedRefusal(id string, reason ledger.EndReason) *refusal.Refusal {
	return refusal.New(refusal.ProgramEnded, "program %q has ended (%s)", id, reason)
}

// flush refuses every waiting call.
func (machine *Machine) flush(program *state, refused *refusal.Refusal) {
	for _, queued := range program.queue {
		for _, token := range queued.tokens {
			machine.refuse(token, machine.truthful(program, queued, refused))
		}
	}
	program.queue = nil
}

// truthful changes a refusal of a waiting non-idempotent call that may have run
// before: its intent has no outcome yet, or the history that would tell is not
// loaded.
func (machine *Machine) truthful(program *state, queued queuedCall, refused *refusal.Refusal) *refusal.Refusal {
	entry, ok := machine.book.Program(program.id)
	if !ok || queued.request.Repeatable || queued.request.Call == "" {
		return refused
	}
	open := entry.Intent() != nil && entry.Intent().Call == queued.request.Call
	unread := !program.loaded && entry.Turns() > 0
	if !open && !unread {
		return refused
	}
	if refused.Code == refusal.DeadlineExceeded {
		return unknownOutcome(queued.request.Call)
	}
	return refused.WithRun(refusal.Unknown)
}

// ended reacts to the record that closed a program.
func (machine *Machine) ended(record ledger.Record) {
	machine.emit(Release{Program: record.Program})
	machine.emit(Counted{Name: "program_ended_" + string(record.End.Reason)})
	program, ok := machine.programs[record.Program]
	if !ok {
		return
	}
	program.ending = record.End.Reason
	program.idleSince = machine.now
	for _, token := range program.endTokens {
		delete(machine.tokens, token)
		machine.emit(Reply{Token: token})
	}
	program.endTokens = nil
	machine.flush(program, endedRefusal(program.id, program.ending))
}

// query answers with the state of a program and its known history.
func (machine *Machine) query(event Queried) {
	if event.Operator {
		machine.inspect(event)
		return
	}
	entry, err := machine.lookup(event.Program, event.Workspace)
	if err != nil {
		machine.refuse(event.Token, err)
		return
	}
	if !machine.holds(entry.Slot()) {
		machine.refuse(event.Token, moved(event.Program))
		return
	}
	program := machine.state(event.Program, entry.Slot())
	if !program.loaded {
		// The query is answered when the history has arrived.
		program.queue = slices.Insert(program.queue, 0, queuedCall{
			request: Request{Token: event.Token, Workspace: event.Workspace}, tokens: []Token{event.Token},
			deadline: machine.now.Add(queryPatience),
		})
		machine.tokens[event.Token] = tokenPlace{program: event.Program}
		machine.advance(program)
		return
	}
	machine.emit(Reply{Token: event.Token, View: machine.view(program, entry)})
}

// inspect answers an operator from the book alone.
func (machine *Machine) inspect(event Queried) {
	entry, ok := machine.book.Program(event.Program)
	if !ok {
		machine.refuse(event.Token, refusal.New(refusal.NotFound, "program %q does not exist", event.Program))
		return
	}
	view := machine.view(&state{id: entry.ID(), slot: entry.Slot()}, entry)
	view.Turns = entry.Turns()
	if program, ok := machine.programs[event.Program]; ok {
		view.Running = program.active != nil
	}
	machine.emit(Reply{Token: event.Token, View: view})
}

func (machine *Machine) view(program *state, entry *ledger.Program) *View {
	root, ok := machine.book.Program(entry.Open().Root)
	if !ok {
		root = entry
	}
	slot := machine.book.Slot(program.slot)
	return &View{
		Program: program.id, Workspace: entry.Open().Workspace, Root: entry.Open().Root, Owner: slot.Host(), Epoch: slot.Epoch(),
		Turns: len(program.entries), Budget: root.Open().Budget, Spent: root.Spent(),
		Forfeited: root.Forfeited(), Running: program.active != nil, Ended: entry.Ended(),
		Entries: slices.Clone(program.entries),
	}
}
