// Package target decides which call runs when on which target: the queue of a
// service in one data centre, placement by cached prefixes, the health of
// targets, and the quarantine of requests that crash them.
//
// The Pool is a pure state machine. One host of the data centre holds the
// pool of a service and grants permits; the callers of the pool do the calls.
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
	// Attained is what the program has been served so far, in tokens.
	Attained int64
	Deadline time.Time
	// Digest names the content for the quarantine.
	Digest string
	// Avoid names the target on which the call has just failed.
	Avoid string

	arrived   time.Time
	order     float64
	index     int
	parked    *Target
	deferred  bool
	unpark    time.Time
	crashSeen bool // a report of its target's crash has come in
	moved     bool // has been parked before
}

// HeapIndex implements heap.Item.
func (request *Request) HeapIndex() *int { return &request.index }

func lessOrdered(a, b *Request) bool {
	if a.order != b.order {
		return a.order < b.order
	}
	return a.ID < b.ID
}

// work is the expected load of a request on its target, in tokens.
func (request *Request) work(cached int) float64 {
	return float64(max(0, request.Prompt-cached))*prefillWeight + float64(request.Output)
}

// prefillWeight is the cost of one prompt token relative to a generated one.
const prefillWeight = 0.1

// Decision answers a request: a target, or a refusal.
type Decision struct {
	Request uint64
	Target  string
	// Cached is the part of the prompt that the target is expected to hold,
	// in tokens.
	Cached  int
	Refusal *refusal.Refusal
}

// Failure is how a call failed on its target.
type Failure string

// Failures of calls.
const (
	FailureNone    Failure = ""
	FailureRefused Failure = "refused" // the target took no part of the call
	FailureError   Failure = "error"   // the target answered with an error
	FailureTimeout Failure = "timeout"
	FailureCrash   Failure = "crash" // the connection broke during the call
	FailureCancel  Failure = "cancel"
)

// Report settles a permit.
type Report struct {
	Request uint64  `msgpack:"request"`
	Failure Failure `msgpack:"failure"`
	// Prompt, Reused and Output are what the target counted, in tokens.
	Prompt int `msgpack:"prompt"`
	Reused int `msgpack:"reused"`
	Output int `msgpack:"output"`
	// FirstByte is the time from dispatch to the first token.
	FirstByte time.Duration `msgpack:"first_byte"`
	// Duration is the time of the whole call on the target.
	Duration time.Duration `msgpack:"duration"`
	// Ended tells that the program needs its cached prefix no more.
	Ended bool `msgpack:"ended"`
}
