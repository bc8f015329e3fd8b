package program

import (
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// InputTokens returns the number of tokens that an input text is charged for.
func InputTokens(input string) int64 {
	return int64(len(input)+bytesPerToken-1) / bytesPerToken
}

// bytesPerToken is the length of input text that is charged as one token,
// rounded up.
const bytesPerToken = 4

// rootState returns the runtime state of the root program, whose budget its
// sub-agents share. It returns the program itself if that is not in the
// ledger.
func (machine *Machine) rootState(program *state) *state {
	committed, ok := machine.ledgerState.Program(program.id)
	if !ok || committed.Open().Root == program.id {
		return program
	}
	return machine.state(committed.Open().Root, program.slot)
}

// committedRoot returns the ledger state of the root program.
func (machine *Machine) committedRoot(program *state) *ledger.Program {
	committed, _ := machine.ledgerState.Program(program.id)
	if root, ok := machine.ledgerState.Program(committed.Open().Root); ok {
		return root
	}
	return committed
}

// reserve reserves the largest possible charge of the active call and
// dispatches the call. It first proposes an intent for a non-idempotent call,
// or a larger grant if the reservation exceeds the granted tokens.
func (machine *Machine) reserve(program *state) {
	active := program.active
	root, committed := machine.rootState(program), machine.committedRoot(program)
	used := committed.Spent() + committed.Forfeited() + root.unsettled
	remaining := committed.Open().Budget - used
	input := active.request.Cost
	active.maxTokens = active.request.MaxTokens
	if active.request.Kind == KindEngine {
		input = InputTokens(active.request.Input)
		active.maxTokens = min(active.request.MaxTokens, remaining-input)
	}
	if remaining < input || active.request.Kind == KindEngine && active.maxTokens < 1 {
		machine.refuseOverBudget(program, committed, remaining)
		return
	}
	active.reserved = input
	if active.request.Kind == KindEngine {
		active.reserved += active.maxTokens
	}
	root.unsettled += active.reserved
	if required := used + active.reserved; required > max(committed.Granted(), root.proposedGrant) {
		increment := (committed.Open().Budget + grantDivisor - 1) / grantDivisor
		root.proposedGrant = min(committed.Open().Budget, required+increment)
	}
	if !active.request.Repeatable {
		machine.proposeIntent(program, max(committed.Granted(), root.proposedGrant))
		return
	}
	if used+active.reserved <= committed.Granted() {
		machine.dispatch(program)
		return
	}
	active.stage = stageAwaitingGrant
	record := machine.record(program.slot, committed.ID())
	record.Grant = &ledger.Grant{Granted: root.proposedGrant}
	machine.emit(Append{Records: []ledger.Record{record}})
}

// refuseOverBudget refuses the active call because the remaining budget does
// not cover it.
func (machine *Machine) refuseOverBudget(program *state, root *ledger.Program, remaining int64) {
	active := program.active
	active.reserved = 0
	machine.refuseActive(program, refusal.New(refusal.BudgetExceeded,
		"call %q does not fit the %d tokens left of the budget of %d", active.request.Call, max(0, remaining), root.Open().Budget))
}

// dispatchIfGranted dispatches an active call that waits for a grant once the
// granted tokens cover it.
func (machine *Machine) dispatchIfGranted(program *state) {
	active := program.active
	if active == nil || active.stage != stageAwaitingGrant {
		return
	}
	root, committed := machine.rootState(program), machine.committedRoot(program)
	if committed.Spent()+committed.Forfeited()+root.unsettled <= committed.Granted() {
		machine.dispatch(program)
	}
}

// proposeIntent appends the intent of the active non-idempotent call, which is
// dispatched only after the intent has been accepted.
func (machine *Machine) proposeIntent(program *state, granted int64) {
	active := program.active
	active.stage = stageAwaitingIntent
	record := machine.record(program.slot, program.id)
	record.Intent = &ledger.Intent{
		Call: active.request.Call, Attempt: active.attempt, Number: active.number, Service: active.request.Service,
		Input: active.request.Input, Timeout: active.deadline.Sub(machine.now), Granted: granted,
	}
	machine.emit(Append{Records: []ledger.Record{record}})
}
