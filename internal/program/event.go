package program

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Token is the reply address of one request, chosen by the shell.
type Token uint64

// Kind tells how a service is called.
type Kind string

// Kinds of services.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Request is one call of a program as its owner receives it.
type Request struct {
	Token      Token
	Workspace  string
	Program    string
	Call       string
	Turn       int
	Service    string
	Kind       Kind
	Repeatable bool
	Input      string
	MaxTokens  int64
	Cost       int64
	Timeout    time.Duration
	// Partial is the text that the caller has already received from an
	// earlier owner of the program.
	Partial string
	// Open is set when the call opens its own program.
	Open *ledger.Open
}

// Answer is the result of a call.
type Answer struct {
	Output   string        `msgpack:"output"`
	Status   int           `msgpack:"status,omitempty"`
	Tokens   int64         `msgpack:"tokens"`
	Turn     int           `msgpack:"turn"`
	Result   ledger.Result `msgpack:"result"`
	Replayed bool          `msgpack:"replayed,omitempty"`
}

// Event is an input of the machine.
type Event interface{ event() }

// Opened asks for a new program.
type Opened struct {
	Token   Token
	Program string
	Slot    int
	Open    ledger.Open
}

// Called asks for a call.
type Called struct {
	Slot    int
	Request Request
}

// Ended asks for the end of a program.
type Ended struct {
	Token     Token
	Program   string
	Workspace string
}

// Queried asks for the state and history of a program. An operator sees the
// programs of every workspace, without their texts.
type Queried struct {
	Token     Token
	Program   string
	Workspace string
	Operator  bool
}

// Disconnected says that nobody waits for the token any more.
type Disconnected struct{ Token Token }

// Read delivers one append of the ledger in order of offset.
type Read struct {
	Offset  int64
	Records []ledger.Record
}

// SlotsWanted asks the machine to claim slots. Witnesses are the incarnations
// of the hosts whose memory backs the ownership while the log is away.
type SlotsWanted struct {
	Slots     []int
	Witnesses []string
}

// Gathered delivers the turns that other hosts hold for a recovered slot.
type Gathered struct {
	Slot    int
	Epoch   uint64
	Entries []ledger.Entry
	// Fenced are the incarnations that refuse earlier epochs from now on.
	Fenced []string
}

// HistoryLoaded delivers the committed turns of a program, oldest first.
type HistoryLoaded struct {
	Program string
	Head    ledger.Location
	Entries []ledger.Entry
	Err     error
}

// HistoryStored says where an entry was stored.
type HistoryStored struct {
	Program  string
	Call     string
	Number   int
	Location ledger.Location
}

// Replicated says that another host holds the entry in memory.
type Replicated struct {
	Program string
	Number  int
}

// Answered delivers the result of a dispatch. Refusal is set if there is no
// whole answer; its Run tells whether the target may have executed the call.
type Answered struct {
	Program string
	Call    string
	Attempt string
	Output  string
	Status  int
	Tokens  int64
	Refusal *refusal.Refusal
}

// HostsAlive tells which incarnations of hosts are alive. It is a hint: an
// owner that is not named may still write an outcome, if it is the first to.
type HostsAlive struct{ Incarnations []string }

// WorkspacesChanged ends the programs of workspaces that are not named.
type WorkspacesChanged struct{ Names map[string]bool }

// Refresh repeats what the log is about to drop: programs whose records are
// older than the offset, and histories that were not consolidated for the age.
type Refresh struct {
	Before int64
	Age    time.Duration
}

// Tick lets time pass.
type Tick struct{}

func (Opened) event()            {}
func (Called) event()            {}
func (Ended) event()             {}
func (Queried) event()           {}
func (Disconnected) event()      {}
func (Read) event()              {}
func (SlotsWanted) event()       {}
func (Gathered) event()          {}
func (HistoryLoaded) event()     {}
func (HistoryStored) event()     {}
func (Replicated) event()        {}
func (Answered) event()          {}
func (HostsAlive) event()        {}
func (WorkspacesChanged) event() {}
func (Refresh) event()           {}
func (Tick) event()              {}
