package program

import (
	"slices"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// movedRefusal returns the refusal of a request to a host that does not own
// the slot of the program.
func movedRefusal(id string) *refusal.Refusal {
	return refusal.New(refusal.Moved, "this host does not own program %q", id)
}

// open proposes the record that opens a program. The caller waits until it is
// read back.
func (machine *Machine) open(event OpenRequest) {
	if !machine.isLedgerOwner(event.Slot) {
		machine.refuse(event.ReplyToken, movedRefusal(event.Program))
		return
	}
	if committed, ok := machine.ledgerState.Program(event.Program); ok {
		machine.replyAlreadyOpen(event, committed)
		return
	}
	if event.Open.Root != event.Program {
		parent, err := machine.lookup(event.Open.Root, event.Open.Workspace)
		if err != nil {
			machine.refuse(event.ReplyToken, err)
			return
		}
		event.Open.Root = parent.Open().Root
	}
	program := machine.state(event.Program, event.Slot)
	program.openTokens = append(program.openTokens, event.ReplyToken)
	machine.replyTokens[event.ReplyToken] = callID{program: event.Program}
	if len(program.openTokens) > 1 {
		return
	}
	record := machine.record(event.Slot, event.Program)
	record.Open = machine.withInitialGrant(event.Program, event.Open)
	machine.emit(Append{Records: []ledger.Record{record}})
}

// replyAlreadyOpen answers a repeated request to open a program. A program of
// another workspace is reported as absent.
func (machine *Machine) replyAlreadyOpen(event OpenRequest, committed *ledger.Program) {
	if committed.Open().Workspace != event.Open.Workspace {
		machine.refuse(event.ReplyToken, refusal.New(refusal.NotFound, "program %q does not exist", event.Program))
		return
	}
	machine.emit(Reply{ReplyToken: event.ReplyToken})
}

// withInitialGrant returns the record body with the initial grant of a root
// program. Sub-agents use the grant of their root.
func (machine *Machine) withInitialGrant(id string, open ledger.Open) *ledger.Open {
	if open.Root == id {
		open.Granted = (open.Budget + grantDivisor - 1) / grantDivisor
	}
	return &open
}

// openApplied reacts to the verdict on a record that opens a program.
func (machine *Machine) openApplied(record ledger.Record, verdict ledger.Verdict) {
	program, ok := machine.programs[record.Program]
	if !ok {
		return
	}
	replyTokens := program.openTokens
	program.openTokens = nil
	if verdict == ledger.Accepted {
		program.loaded = true
		program.loading = false
		program.ageSince = machine.now
		for _, replyToken := range replyTokens {
			delete(machine.replyTokens, replyToken)
			machine.emit(Reply{ReplyToken: replyToken})
		}
		machine.advance(program)
		return
	}
	refused := movedRefusal(record.Program)
	if verdict == ledger.UnknownProgram || verdict == ledger.AlreadyEnded {
		refused = refusal.New(refusal.ProgramEnded, "parent program %q has ended", record.Open.Root)
	}
	for _, replyToken := range replyTokens {
		machine.refuse(replyToken, refused)
	}
	machine.refuseQueued(program, refused)
}

// end ends a program at the request of its workspace.
func (machine *Machine) end(event EndRequest) {
	committed, err := machine.lookup(event.Program, event.Workspace)
	if err != nil {
		machine.refuse(event.ReplyToken, err)
		return
	}
	if !machine.isLedgerOwner(committed.Slot()) {
		machine.refuse(event.ReplyToken, movedRefusal(event.Program))
		return
	}
	if committed.Ended() != "" {
		machine.emit(Reply{ReplyToken: event.ReplyToken})
		return
	}
	program := machine.state(event.Program, committed.Slot())
	program.endTokens = append(program.endTokens, event.ReplyToken)
	machine.replyTokens[event.ReplyToken] = callID{program: event.Program}
	machine.endProgram(program, ledger.EndRequested)
}

// endProgram starts to end a program and its sub-agents: queued calls are
// refused, a running idempotent call is cancelled, and the end is recorded
// once no call is active or uncommitted.
func (machine *Machine) endProgram(program *state, reason ledger.EndReason) {
	if program.endReason == "" {
		program.endReason = reason
	}
	machine.refuseQueued(program, endedRefusal(program.id, program.endReason))
	if active := program.active; active != nil && active.stage == stageRunning && active.request.Repeatable {
		machine.cancelActive(program)
	}
	for _, id := range machine.ledgerState.Slot(program.slot).Programs() {
		child, ok := machine.ledgerState.Program(id)
		if ok && id != program.id && child.Open().Root == program.id && child.Ended() == "" {
			if state := machine.state(id, program.slot); state.endReason == "" {
				machine.endProgram(state, reason)
			}
		}
	}
	machine.advance(program)
}

func endedRefusal(id string, reason ledger.EndReason) *refusal.Refusal {
	return refusal.New(refusal.ProgramEnded, "program %q has ended (%s)", id, reason)
}

// refuseQueued refuses every queued call.
func (machine *Machine) refuseQueued(program *state, refused *refusal.Refusal) {
	for _, queued := range program.queue {
		for _, replyToken := range queued.replyTokens {
			machine.refuse(replyToken, machine.withPossibleEarlierRun(program, queued, refused))
		}
	}
	program.queue = nil
}

// withPossibleEarlierRun returns the refusal of a queued call with an unknown run
// state if the call is non-idempotent and may have run before: its intent has
// no outcome yet, or the history that would contain it is not loaded.
func (machine *Machine) withPossibleEarlierRun(program *state, queued queuedCall, refused *refusal.Refusal) *refusal.Refusal {
	committed, ok := machine.ledgerState.Program(program.id)
	if !ok || queued.request.Repeatable || queued.request.Call == "" {
		return refused
	}
	unresolved := committed.Intent() != nil && committed.Intent().Call == queued.request.Call
	historyMissing := !program.loaded && committed.Turns() > 0
	if !unresolved && !historyMissing {
		return refused
	}
	if refused.Code == refusal.DeadlineExceeded {
		return unknownOutcomeRefusal(queued.request.Call)
	}
	return refused.WithRun(refusal.RunUnknown)
}

// endApplied reacts to the accepted record that ended a program.
func (machine *Machine) endApplied(record ledger.Record) {
	machine.emit(Release{Program: record.Program})
	machine.emit(IncrementCounter{Name: "program_ended_" + string(record.End.Reason)})
	program, ok := machine.programs[record.Program]
	if !ok {
		return
	}
	program.endReason = record.End.Reason
	program.idleSince = machine.now
	for _, replyToken := range program.endTokens {
		delete(machine.replyTokens, replyToken)
		machine.emit(Reply{ReplyToken: replyToken})
	}
	program.endTokens = nil
	machine.refuseQueued(program, endedRefusal(program.id, program.endReason))
}

// query replies with the state and history of a program, after the history has
// been loaded if necessary.
func (machine *Machine) query(event QueryRequest) {
	if event.Operator {
		machine.queryAsOperator(event)
		return
	}
	committed, err := machine.lookup(event.Program, event.Workspace)
	if err != nil {
		machine.refuse(event.ReplyToken, err)
		return
	}
	if !machine.isLedgerOwner(committed.Slot()) {
		machine.refuse(event.ReplyToken, movedRefusal(event.Program))
		return
	}
	program := machine.state(event.Program, committed.Slot())
	if !program.loaded {
		// The query waits in the queue until the history is loaded.
		program.queue = slices.Insert(program.queue, 0, queuedCall{
			request: Request{ReplyToken: event.ReplyToken, Workspace: event.Workspace}, replyTokens: []ReplyToken{event.ReplyToken},
			deadline: machine.now.Add(queryTimeout),
		})
		machine.replyTokens[event.ReplyToken] = callID{program: event.Program}
		machine.advance(program)
		return
	}
	machine.emit(Reply{ReplyToken: event.ReplyToken, View: machine.view(program, committed)})
}

// queryAsOperator replies with the state of a program without its history.
func (machine *Machine) queryAsOperator(event QueryRequest) {
	committed, ok := machine.ledgerState.Program(event.Program)
	if !ok {
		machine.refuse(event.ReplyToken, refusal.New(refusal.NotFound, "program %q does not exist", event.Program))
		return
	}
	view := machine.view(&state{id: committed.ID(), slot: committed.Slot()}, committed)
	view.Turns = committed.Turns()
	if program, ok := machine.programs[event.Program]; ok {
		view.Running = program.active != nil
	}
	machine.emit(Reply{ReplyToken: event.ReplyToken, View: view})
}

func (machine *Machine) view(program *state, committed *ledger.Program) *View {
	root, ok := machine.ledgerState.Program(committed.Open().Root)
	if !ok {
		root = committed
	}
	slot := machine.ledgerState.Slot(program.slot)
	return &View{
		Program: program.id, Workspace: committed.Open().Workspace, Root: committed.Open().Root, Owner: slot.Host(), Epoch: slot.Epoch(),
		Turns: len(program.entries), Budget: root.Open().Budget, Spent: root.Spent(),
		Forfeited: root.Forfeited(), Running: program.active != nil, Ended: committed.Ended(),
		Entries: slices.Clone(program.entries),
	}
}
