package program

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Effect is an output of the machine, carried out by the shell.
type Effect interface{ effect() }

// Append writes records to the ledger until they are read back.
type Append struct{ Records []ledger.Record }

// Store writes an entry to the history stream until an append succeeds.
type Store struct{ Entry ledger.Entry }

// Load reads the history chain that ends at the head.
type Load struct {
	Program string
	Head    ledger.Location
}

// Replicate asks another host of the data centre to hold an entry in memory
// until its turn is committed.
type Replicate struct {
	Slot  int
	Epoch uint64
	Entry ledger.Entry
}

// Gather asks the other hosts of the data centre for the entries they hold of
// a slot. They refuse older epochs from then on.
type Gather struct {
	Slot  int
	Epoch uint64
}

// Dispatch runs a call on a target.
type Dispatch struct {
	Program    string
	Root       string
	Workspace  string
	Call       string
	Attempt    string
	Service    string
	Kind       Kind
	Repeatable bool
	History    []ledger.Entry
	Input      string
	Partial    string
	MaxTokens  int64
	Deadline   time.Time
	Served     int64
}

// Attach subscribes a token to the stream of a running call.
type Attach struct {
	Token   Token
	Program string
	Call    string
}

// Cancel stops a dispatched call.
type Cancel struct {
	Program string
	Call    string
}

// Release frees what targets hold for a program.
type Release struct{ Program string }

// View is the state of a program as its workspace may see it.
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

// Reply answers a token. Exactly one of Answer, View and Refusal is set, or
// none for a plain acknowledgement.
type Reply struct {
	Token   Token
	Answer  *Answer
	View    *View
	Refusal *refusal.Refusal
}

// Counted increments a counter of state changes.
type Counted struct{ Name string }

func (Append) effect()    {}
func (Store) effect()     {}
func (Load) effect()      {}
func (Replicate) effect() {}
func (Gather) effect()    {}
func (Dispatch) effect()  {}
func (Attach) effect()    {}
func (Cancel) effect()    {}
func (Release) effect()   {}
func (Reply) effect()     {}
func (Counted) effect()   {}
