// Package refusal defines the errors that callers receive: a stable code,
// whether the call ran, and when to try again.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Run tells what is known about the execution of a refused call.
type Run string

// Values of Run.
const (
	NotRun  Run = "not_run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Code is the stable identifier of a refusal reason. Each has a counter.
type Code string

// Codes of refusals.
const (
	BadRequest            Code = "bad_request"
	TooLarge              Code = "too_large"
	Unauthorized          Code = "unauthorized"
	StaleKeys             Code = "stale_keys"
	KeyWithdrawn          Code = "key_withdrawn"
	NotFound              Code = "not_found"
	UnknownService        Code = "unknown_service"
	OutOfTurn             Code = "out_of_turn"
	CallConflict          Code = "call_conflict"
	ProgramEnded          Code = "program_ended"
	ProgramBusy           Code = "program_busy"
	BudgetExceeded        Code = "budget_exceeded"
	RateExceeded          Code = "rate_exceeded"
	QueueFull             Code = "queue_full"
	DeadlineExceeded      Code = "deadline_exceeded"
	LogUnavailable        Code = "log_unavailable"
	HistoryUnavailable    Code = "history_unavailable"
	OwnerUnavailable      Code = "owner_unavailable"
	Moved                 Code = "moved"
	NoTarget              Code = "no_target"
	DependencyUnavailable Code = "dependency_unavailable"
	TargetFailed          Code = "target_failed"
	OutcomeUnknown        Code = "outcome_unknown"
	Quarantined           Code = "quarantined"
	Cancelled             Code = "cancelled"
	NotReady              Code = "not_ready"
	Internal              Code = "internal"
)

// Refusal is an error with what the caller needs to act on it.
type Refusal struct {
	Code       Code          `msgpack:"code"`
	Message    string        `msgpack:"message"`
	Run        Run           `msgpack:"run"`
	RetryAfter time.Duration `msgpack:"retry_after,omitempty"`
}

// New returns a refusal of a call that did not run.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: NotRun}
}

// WithRun returns a copy that states what is known about the execution.
func (refusal *Refusal) WithRun(run Run) *Refusal {
	changed := *refusal
	changed.Run = run
	return &changed
}

// WithRetryAfter returns a copy that tells the caller when to try again.
func (refusal *Refusal) WithRetryAfter(delay time.Duration) *Refusal {
	changed := *refusal
	changed.RetryAfter = delay
	return &changed
}

// Error implements error.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s)", refusal.Code, refusal.Message, refusal.Run)
}

// From returns the refusal inside err, or wraps err as an internal one whose
// outcome is unknown.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return New(Internal, "%v", err).WithRun(Unknown)
}
