package program

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Effect is an output of the state machine, which its caller carries out.
type Effect interface{ effect() }

// Append writes records to the ledger and is retried until they are read back.
type Append struct{ Records []ledger.Record }

// StoreEntry writes an entry to the history stream and is retried until it
// succeeds.
type StoreEntry struct{ Entry ledger.Entry }

// LoadHistory reads the chain of history entries that ends at the head.
type LoadHistory struct {
	Program string
	Head    ledger.Location
}

// Replicate asks another host of the data centre to keep a copy of an entry in
// memory until the turn is committed.
type Replicate struct {
	Slot  int
	Epoch uint64
	Entry ledger.Entry
}

// Gather asks the other hosts of the data centre for the entries that they
// have replicated for a slot. Each of them refuses earlier epochs from then
// on.
type Gather struct {
	Slot  int
	Epoch uint64
}

// Dispatch runs a call on a target. It includes the output that the caller has
// received already and the number of tokens generated for the program so far.
// Repeatable is set for idempotent calls.
type Dispatch struct {
	Program         string
	Root            string
	Workspace       string
	Call            string
	Attempt         string
	Service         string
	Kind            Kind
	Repeatable      bool
	History         []ledger.Entry
	Input           string
	Partial         string
	MaxTokens       int64
	Deadline        time.Time
	GeneratedTokens int64
}

// Attach subscribes a reply token to the output stream of a running call.
type Attach struct {
	ReplyToken ReplyToken
	Program    string
	Call       string
}

// Cancel cancels a dispatched call.
type Cancel struct {
	Program string
	Call    string
}

// Release frees the resources that targets keep for a program.
type Release struct{ Program string }

// View is the state of a program that its workspace may read.
type View struct {
	Program   string           `msgpack:"program"`
	Workspace string           `msgpack:"workspace"`
	Root      string           `msgpack:"root"`
	Owner     string           `msgpack:"owner"`
	Epoch     uint64           `msgpack:"epoch"`
	Turns     int              `msgpack:"turns"`
	Budget    int64            `msgpack:"budget"`
	Spent     int64            `msgpack:"spent"`
	Forfeited int64            `msgpack:"forfeited"`
	Running   bool             `msgpack:"running"`
	Ended     ledger.EndReason `msgpack:"ended,omitempty"`
	Entries   []ledger.Entry   `msgpack:"entries"`
}

// Reply answers the request that its reply token identifies. At most one of
// Answer, View and Refusal is set; none is set for an acknowledgement.
type Reply struct {
	ReplyToken ReplyToken
	Answer     *Answer
	View       *View
	Refusal    *refusal.Refusal
}

// IncrementCounter increments the counter with the given name.
type IncrementCounter struct{ Name string }

func (Append) effect()           {}
func (StoreEntry) effect()       {}
func (LoadHistory) effect()      {}
func (Replicate) effect()        {}
func (Gather) effect()           {}
func (Dispatch) effect()         {}
func (Attach) effect()           {}
func (Cancel) effect()           {}
func (Release) effect()          {}
func (Reply) effect()            {}
func (IncrementCounter) effect() {}
