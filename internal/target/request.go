// Package target schedules calls on targets. It implements the queue of a
// service in one data centre, placement by cached prompt prefixes, a circuit
// breaker for each target, and the quarantine of requests that crash targets.
//
// Pool is a state machine that does no I/O and reads no clock. One host of the
// data centre owns the pool of a service and grants permits to run calls; the
// host that receives a permit sends the call to the target.
package target

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Request asks for a permit to run one call.
type Request struct {
	ID        uint64
	Program   string
	Workspace string
	Weight    float64
	Priority  int
	// Prompt and Output are the expected sizes of the call, in tokens.
	Prompt int
	Output int
	// Attained is the service that the program has received so far, in tokens.
	Attained int64
	Deadline time.Time
	// Digest identifies the content of the request for the quarantine.
	Digest string
	// Avoid is the address of the target on which the call failed last.
	Avoid string

	arrived       time.Time
	rank          float64
	index         int
	parkedOn      *Target
	deferred      bool
	unparkAt      time.Time
	crashReported bool // the crash that ended the request has been recorded
	parkedBefore  bool // the request was unparked without a permit; PrefixPlacement doesn't park it again
}

// HeapIndex implements heap.Item.
func (request *Request) HeapIndex() *int { return &request.index }

func lessRank(a, b *Request) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.ID < b.ID
}

// work returns the expected load of a request on its target, as an equivalent
// number of output tokens.
func (request *Request) work(cached int) float64 {
	return float64(max(0, request.Prompt-cached))*prefillWeight + float64(request.Output)
}

// prefillWeight is the cost of one prompt token relative to an output token.
const prefillWeight = 0.1

// Decision is the outcome of a request: a permit for a target, or a refusal.
type Decision struct {
	Request uint64
	Target  string
	// Cached is the length of the prompt prefix that the target is expected to
	// have in its cache, in tokens.
	Cached  int
	Refusal *refusal.Refusal
}

// Failure is the way in which a call failed on its target.
type Failure string

// Kinds of failure of a call.
const (
	FailureNone    Failure = ""
	FailureRefused Failure = "refused" // the target received no part of the call
	FailureError   Failure = "error"   // the target responded with an error
	FailureTimeout Failure = "timeout"
	FailureCrash   Failure = "crash" // the connection broke during the call
	FailureCancel  Failure = "cancel"
)

// Report is the result of a call, with which its permit is settled.
type Report struct {
	Request uint64  `msgpack:"request"`
	Failure Failure `msgpack:"failure"`
	// Prompt, Reused and Output are the target's own counts of prompt tokens,
	// of prompt tokens read from its cache, and of output tokens.
	Prompt int `msgpack:"prompt"`
	Reused int `msgpack:"reused"`
	Output int `msgpack:"output"`
	// FirstByte is the time from sending the call to the first token.
	FirstByte time.Duration `msgpack:"first_byte"`
	// Duration is the duration of the whole call on the target.
	Duration time.Duration `msgpack:"duration"`
	// Ended reports that the program no longer needs its cached prefix.
	Ended bool `msgpack:"ended"`
}
