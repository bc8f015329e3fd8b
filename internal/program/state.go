package program

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// stage is the progress of the active call of a program.
type stage int

const (
	stageGranting  stage = iota // waits for a larger budget slice
	stageIntending              // waits for its intent to be read back
	stageRunning                // dispatched to a target
	stageSettling               // non-idempotent answer on its way to the ledger
)

// activeCall is a request that has left the queue and is not answered yet.
type activeCall struct {
	request   Request
	tokens    []Token
	stage     stage
	attempt   string
	reserved  int64
	maxTokens int64
	deadline  time.Time
	number    int
	entry     ledger.Entry
	result    ledger.Result
	refusal   *refusal.Refusal // of a call that did not run
	cancelled bool
}

// queuedCall waits for the calls before it.
type queuedCall struct {
	request  Request
	tokens   []Token
	deadline time.Time
}

// provisional is an answered turn that is not committed yet.
type provisional struct {
	entry      ledger.Entry
	tokens     []Token
	since      time.Time
	asked      bool // replication was asked for
	replicated bool
	recordID   string
}

// state is what the owner knows about a program beyond the book.
type state struct {
	id       string
	slot     int
	loaded   bool
	loading  bool
	entries  []ledger.Entry
	calls    map[string]int // index in entries by call
	queue    []queuedCall
	active   *activeCall
	pipeline []*provisional
	// consumed counts tokens spent or reserved that the ledger has not
	// settled; granting is the highest grant proposed. Both are used on roots.
	consumed  int64
	granting  int64
	since     time.Time     // when this host began to count the age
	earlier   time.Duration // age under earlier owners
	idleSince time.Time
	// consolidated is when the history was last known to stand in one entry
	// whose age is bounded; consolidating while such an entry is stored.
	consolidated  time.Time
	wantsOneEntry bool
	consolidating bool
	carryID       string
	opening       []Token
	ending        ledger.EndReason
	endTokens     []Token
	endAsked      bool
	resolveAt     time.Time       // when an inherited intent becomes unknown
	lostAt        time.Time       // when its dispatcher was first seen to be gone
	abandoned     map[string]bool // attempts that this host will never dispatch
}

// state returns the runtime state of a program, created on first use.
func (machine *Machine) state(id string, slot int) *state {
	if program, ok := machine.programs[id]; ok {
		return program
	}
	program := &state{
		id: id, slot: slot, calls: make(map[string]int),
		since: machine.now, idleSince: machine.now, consolidated: machine.now, abandoned: make(map[string]bool),
	}
	if entry, ok := machine.book.Program(id); ok {
		program.earlier = entry.Age()
		// The history of an earlier owner is of unknown age.
		program.consolidated = zeroTime
	}
	machine.programs[id] = program
	return program
}

// setEntries replaces the known history of the program.
func (program *state) setEntries(entries []ledger.Entry) {
	program.entries = entries
	program.calls = make(map[string]int, len(entries))
	for index, entry := range entries {
		program.calls[entry.Call] = index
	}
}

// add puts an answered turn at the end of the history.
func (program *state) add(entry ledger.Entry) {
	program.calls[entry.Call] = len(program.entries)
	program.entries = append(program.entries, entry)
}

// replay answers a call that is already part of the history.
func replay(entry ledger.Entry) Reply {
	if entry.Result == ledger.ResultUnknown {
		return Reply{Refusal: unknownOutcome(entry.Call)}
	}
	return Reply{Answer: &Answer{
		Output: entry.Output, Status: entry.Status, Tokens: int64(entry.Tokens),
		Turn: entry.Number, Result: entry.Result, Replayed: true,
	}}
}

func unknownOutcome(call string) *refusal.Refusal {
	return refusal.New(refusal.OutcomeUnknown,
		"call %q was sent to its target and no outcome is known", call).WithRun(refusal.Unknown)
}

// lookup finds an open program in the book for a workspace. A program of
// another workspace is reported as absent.
func (machine *Machine) lookup(id, workspace string) (*ledger.Program, *refusal.Refusal) {
	entry, ok := machine.book.Program(id)
	if !ok || entry.Open().Workspace != workspace {
		return nil, refusal.New(refusal.NotFound, "program %q does not exist", id)
	}
	return entry, nil
}
