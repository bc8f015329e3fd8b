// Package request holds a caller's request and a target's answer in the
// scheduler's own terms.
package request

import (
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	Attempt  string // id of this attempt, echoed in the answer
	Method   string
	HostName string
	Path     string      // without the query
	URI      string      // path and query, unchanged
	Header   http.Header // headers that go on to the target
	Body     []byte
	Key      string // key of a workspace, or empty

	TimeLeft  time.Duration // how long the caller waits
	Affinity  string        // object that the request concerns
	LastEvent string        // id of the last event that the caller has

	Program      string
	Session      string
	ProgramLeft  time.Duration // until the program should be done
	Budget       int           // tokens that all turns of the program may generate; 0 without a budget
	PromptTokens int
	MaxTokens    int // most tokens that this turn generates
	PreviousTurn string
}

// Answer is the head of a target's answer.
type Answer struct {
	Status    int
	Attempt   string // id of the attempt that it belongs to
	Target    string // id of the target, where it says so
	Signed    bool   // the target vouches for the body
	NotRun    bool   // the target has not run the request
	Load      Load
	HasLoad   bool
	Streaming bool
}

// Load is what a target says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
