package program

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// ReplyToken identifies the recipient of the reply to one request. The caller of
// Step chooses it. It is unrelated to the text tokens that a budget counts.
type ReplyToken uint64

// Kind is the kind of a service, which determines how it is called.
type Kind string

// Kinds of services.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Request is a call of a program as received by its owner. An empty Call marks
// a query that waits in the queue until the history is loaded.
type Request struct {
	ReplyToken ReplyToken
	Workspace  string
	Program    string
	Call       string
	Turn       int // turn number that the caller expects, zero if any
	Service    string
	Kind       Kind
	Repeatable bool // the call is idempotent
	Input      string
	MaxTokens  int64
	Cost       int64 // tokens charged for a call of a plain service
	Timeout    time.Duration
	// Partial is the output that the caller has already received from an
	// earlier owner of the program.
	Partial string
	// Open is set if the call itself opens its program.
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

// Event is an input of the state machine.
type Event interface{ event() }

// OpenRequest requests that a program be opened.
type OpenRequest struct {
	ReplyToken ReplyToken
	Program    string
	Slot       int
	Open       ledger.Open
}

// CallRequest requests that a call be run.
type CallRequest struct {
	Slot    int
	Request Request
}

// EndRequest requests that a program be ended.
type EndRequest struct {
	ReplyToken ReplyToken
	Program    string
	Workspace  string
}

// QueryRequest requests the state and history of a program. An operator sees
// programs of every workspace, without their history.
type QueryRequest struct {
	ReplyToken ReplyToken
	Program    string
	Workspace  string
	Operator   bool
}

// Disconnected reports that no caller waits for the reply token any more.
type Disconnected struct{ ReplyToken ReplyToken }

// LedgerRead delivers one append of the ledger. Appends are delivered in order
// of offset.
type LedgerRead struct {
	Offset  int64
	Records []ledger.Record
}

// ClaimRequest requests that the machine claim slots. Witnesses are the
// incarnations of the hosts that confirm the ownership while the log is
// unavailable.
type ClaimRequest struct {
	Slots     []int
	Witnesses []string
}

// Gathered delivers the turns that other hosts have replicated for a slot.
type Gathered struct {
	Slot    int
	Epoch   uint64
	Entries []ledger.Entry
	// Fenced lists the incarnations that refuse earlier epochs from now on.
	Fenced []string
}

// HistoryLoaded delivers the committed turns of a program, oldest first.
type HistoryLoaded struct {
	Program string
	Head    ledger.Location
	Entries []ledger.Entry
	Err     error
}

// HistoryStored reports where an entry was stored.
type HistoryStored struct {
	Program  string
	Call     string
	Number   int
	Location ledger.Location
}

// Replicated reports that another host has replicated the turn in memory.
type Replicated struct {
	Program string
	Number  int
}

// DispatchResult delivers the result of a dispatch. Refusal is set if there is
// no complete response; its Run field shows whether the target may have
// executed the call.
type DispatchResult struct {
	Program string
	Call    string
	Attempt string
	Output  string
	Status  int
	Tokens  int64
	Refusal *refusal.Refusal
}

// HostsAlive lists the incarnations of hosts that are alive. It is a hint: an
// owner that is not listed may still record an outcome, and the first outcome
// in the ledger counts.
type HostsAlive struct{ Incarnations []string }

// WorkspacesChanged lists the configured workspaces. The programs of all other
// workspaces are ended.
type WorkspacesChanged struct{ Names map[string]bool }

// Refresh renews what the log is about to drop: the state of programs whose
// last record precedes the offset, and histories that were last consolidated
// at least Age ago.
type Refresh struct {
	Before int64
	Age    time.Duration
}

// Tick advances the time, so that deadlines and limits take effect.
type Tick struct{}

func (OpenRequest) event()       {}
func (CallRequest) event()       {}
func (EndRequest) event()        {}
func (QueryRequest) event()      {}
func (Disconnected) event()      {}
func (LedgerRead) event()        {}
func (ClaimRequest) event()      {}
func (Gathered) event()          {}
func (HistoryLoaded) event()     {}
func (HistoryStored) event()     {}
func (Replicated) event()        {}
func (DispatchResult) event()    {}
func (HostsAlive) event()        {}
func (WorkspacesChanged) event() {}
func (Refresh) event()           {}
func (Tick) event()              {}
