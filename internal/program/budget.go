package program

import (
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// InputTokens returns the number of tokens that an input is charged for.
func InputTokens(input string) int64 {
	return int64(len(input)+bytesPerToken-1) / bytesPerToken
}

// bytesPerToken is the charge for input text.
const bytesPerToken = 4

// rootState returns the state of the program whose budget is shared.
func (machine *Machine) rootState(program *state) *state {
	entry, ok := machine.book.Program(program.id)
	if !ok || entry.Open().Root == program.id {
		return program
	}
	return machine.state(entry.Open().Root, program.slot)
}

func (machine *Machine) rootEntry(program *state) *ledger.Program {
	entry, _ := machine.book.Program(program.id)
	if root, ok := machine.book.Program(entry.Open().Root); ok {
		return root
	}
	return entry
}

// reserve sets aside the worst case of the active call and starts it, or asks
// for a larger slice of the budget first.
func (machine *Machine) reserve(program *state) {
	active := program.active
	root, entry := machine.rootState(program), machine.rootEntry(program)
	used := entry.Spent() + entry.Forfeited() + root.consumed
	left := entry.Open().Budget - used
	input := active.request.Cost
	active.maxTokens = active.request.MaxTokens
	if active.request.Kind == KindEngine {
		input = InputTokens(active.request.Input)
		active.maxTokens = min(active.request.MaxTokens, left-input)
	}
	if left < input || active.request.Kind == KindEngine && active.maxTokens < 1 {
		machine.refuseBudget(program, entry, left)
		return
	}
	active.reserved = input
	if active.request.Kind == KindEngine {
		active.reserved += active.maxTokens
	}
	root.consumed += active.reserved
	if need := used + active.reserved; need > max(entry.Granted(), root.granting) {
		slice := (entry.Open().Budget + sliceFactor - 1) / sliceFactor
		root.granting = min(entry.Open().Budget, need+slice)
	}
	if !active.request.Repeatable {
		machine.intend(program, max(entry.Granted(), root.granting))
		return
	}
	if used+active.reserved <= entry.Granted() {
		machine.dispatch(program)
		return
	}
	active.stage = stageGranting
	record := machine.record(program.slot, entry.ID())
	record.Grant = &ledger.Grant{Granted: root.granting}
	machine.emit(Append{Records: []ledger.Record{record}})
}

func (machine *Machine) refuseBudget(program *state, root *ledger.Program, left int64) {
	active := program.active
	active.reserved = 0
	machine.dropActive(program, refusal.New(refusal.BudgetExceeded,
		"call %q does not fit the %d tokens left of the budget of %d", active.request.Call, max(0, left), root.Open().Budget))
}

// resumeGranting dispatches a call whose slice has been granted.
func (machine *Machine) resumeGranting(program *state) {
	active := program.active
	if active == nil || active.stage != stageGranting {
		return
	}
	root, entry := machine.rootState(program), machine.rootEntry(program)
	if entry.Spent()+entry.Forfeited()+root.consumed <= entry.Granted() {
		machine.dispatch(program)
	}
}

// intend announces a non-idempotent call.
func (machine *Machine) intend(program *state, granted int64) {
	active := program.active
	active.stage = stageIntending
	record := machine.record(program.slot, program.id)
	record.Intent = &ledger.Intent{
		Call: active.request.Call, Attempt: active.attempt, Number: active.number, Service: active.request.Service,
		Input: active.request.Input, Timeout: active.deadline.Sub(machine.now), Granted: granted,
	}
	machine.emit(Append{Records: []ledger.Record{record}})
}
