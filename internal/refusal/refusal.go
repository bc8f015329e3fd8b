// Package refusal defines the errors that callers receive. Each has a stable
// code, states whether the call ran, and may include a retry delay.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// RunState states what is known about the execution of a refused call.
type RunState string

// Values of RunState.
const (
	NotRun     RunState = "not_run" // the call did not run
	Ran        RunState = "ran"     // the call ran
	RunUnknown RunState = "unknown" // the call may have run
)

// Code is the stable identifier of the reason for a refusal. Refusals are counted
// by code.
type Code string

// Codes of refusals.
const (
	BadRequest            Code = "bad_request"
	TooLarge              Code = "too_large"
	Unauthorized          Code = "unauthorized"
	StaleKeys             Code = "stale_keys" // the host's list of withdrawn keys is older than the offline grace
	KeyWithdrawn          Code = "key_withdrawn"
	NotFound              Code = "not_found"
	UnknownService        Code = "unknown_service"
	OutOfTurn             Code = "out_of_turn"   // the call names a turn other than the program's next one
	CallConflict          Code = "call_conflict" // the call ID was used before with another service or input
	ProgramEnded          Code = "program_ended"
	ProgramBusy           Code = "program_busy"
	BudgetExceeded        Code = "budget_exceeded"
	RateExceeded          Code = "rate_exceeded"
	QueueFull             Code = "queue_full"
	DeadlineExceeded      Code = "deadline_exceeded"
	LogUnavailable        Code = "log_unavailable"
	HistoryUnavailable    Code = "history_unavailable"
	OwnerUnavailable      Code = "owner_unavailable"
	Moved                 Code = "moved" // the host does not own the program or slot
	NoTarget              Code = "no_target"
	DependencyUnavailable Code = "dependency_unavailable"
	TargetFailed          Code = "target_failed"
	OutcomeUnknown        Code = "outcome_unknown" // the call may or may not have run
	Quarantined           Code = "quarantined"
	Cancelled             Code = "cancelled"
	NotReady              Code = "not_ready"
	MemoryExhausted       Code = "memory_exhausted" // the host has no memory for the call now
	Internal              Code = "internal"
)

// Refusal is an error that tells the caller why a call was refused and whether and
// when it may be retried.
type Refusal struct {
	Code       Code          `msgpack:"code"`
	Message    string        `msgpack:"message"`
	Run        RunState      `msgpack:"run"`
	RetryAfter time.Duration `msgpack:"retry_after,omitempty"`
}

// New returns a refusal of a call that did not run.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: NotRun}
}

// WithRun returns a copy with the given state of execution.
func (refusal *Refusal) WithRun(run RunState) *Refusal {
	updated := *refusal
	updated.Run = run
	return &updated
}

// WithRetryAfter returns a copy with the delay after which the caller may retry.
func (refusal *Refusal) WithRetryAfter(delay time.Duration) *Refusal {
	updated := *refusal
	updated.RetryAfter = delay
	return &updated
}

// Error returns the code, the message and the state of execution.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", refusal.Code, refusal.Message, refusal.Run)
}

// From returns the refusal that err wraps. Any other error is converted to an
// internal refusal of a call that may have run.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return New(Internal, "%v", err).WithRun(RunUnknown)
}
