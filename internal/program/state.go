package program

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// stage is the progress of the active call of a program.
type stage int

const (
	stageAwaitingGrant  stage = iota // waits for a larger grant
	stageAwaitingIntent              // waits for its intent to be read back
	stageRunning                     // dispatched to a target
	stageSettling                    // outcome of a non-idempotent call being recorded
)

// activeCall is a call that has left the queue and has no reply yet.
type activeCall struct {
	request     Request
	replyTokens []ReplyToken
	stage       stage
	attempt     string
	reserved    int64
	maxTokens   int64
	deadline    time.Time
	number      int
	entry       ledger.Entry
	result      ledger.Result
	refusal     *refusal.Refusal // reason of a call that did not run
	cancelled   bool
}

// queuedCall is a call that waits for earlier calls of its program.
type queuedCall struct {
	request     Request
	replyTokens []ReplyToken
	deadline    time.Time
}

// uncommittedTurn is a completed turn that is not committed yet.
type uncommittedTurn struct {
	entry                ledger.Entry
	replyTokens          []ReplyToken
	completedAt          time.Time
	replicationRequested bool
	replicated           bool
	recordID             string
}

// state is the runtime state of a program, which its owner keeps beside the
// committed state in the ledger.
type state struct {
	id          string
	slot        int
	loaded      bool
	loading     bool
	entries     []ledger.Entry
	indexByCall map[string]int // index into entries
	queue       []queuedCall
	active      *activeCall
	uncommitted []*uncommittedTurn
	// unsettled is the number of tokens reserved or spent that the ledger has
	// not settled, and proposedGrant is the highest grant proposed. Both are
	// used only on root programs.
	unsettled     int64
	proposedGrant int64
	ageSince      time.Time     // since when this host counts the age
	priorAge      time.Duration // age accumulated under earlier owners
	idleSince     time.Time
	// consolidatedAt is when the history was last stored as one entry, or when
	// this host created the state of a new program. It is zero if unknown.
	// consolidating is set while such an entry is being stored and committed.
	consolidatedAt   time.Time
	consolidationDue bool
	consolidating    bool
	snapshotRecordID string
	openTokens       []ReplyToken
	endReason        ledger.EndReason
	endTokens        []ReplyToken
	endProposed      bool
	resolveAt        time.Time       // when the outcome of an inherited intent becomes unknown
	dispatcherLostAt time.Time       // when the dispatching incarnation was first seen to be gone
	abandoned        map[string]bool // attempts that this host never dispatches
}

// state returns the runtime state of a program, which it creates on first use.
func (machine *Machine) state(id string, slot int) *state {
	if program, ok := machine.programs[id]; ok {
		return program
	}
	program := &state{
		id: id, slot: slot, indexByCall: make(map[string]int),
		ageSince: machine.now, idleSince: machine.now, consolidatedAt: machine.now, abandoned: make(map[string]bool),
	}
	if committed, ok := machine.ledgerState.Program(id); ok {
		program.priorAge = committed.Age()
		// The age of a history of an earlier owner is unknown.
		program.consolidatedAt = zeroTime
	}
	machine.programs[id] = program
	return program
}

// setEntries replaces the known history of the program.
func (program *state) setEntries(entries []ledger.Entry) {
	program.entries = entries
	program.indexByCall = make(map[string]int, len(entries))
	for index, entry := range entries {
		program.indexByCall[entry.Call] = index
	}
}

// appendEntry appends a completed turn to the known history.
func (program *state) appendEntry(entry ledger.Entry) {
	program.indexByCall[entry.Call] = len(program.entries)
	program.entries = append(program.entries, entry)
}

// replyFor returns the reply for a call that is in the history, marked as
// replayed.
func replyFor(entry ledger.Entry) Reply {
	if entry.Result == ledger.ResultUnknown {
		return Reply{Refusal: unknownOutcomeRefusal(entry.Call)}
	}
	return Reply{Answer: &Answer{
		Output: entry.Output, Status: entry.Status, Tokens: int64(entry.Tokens),
		Turn: entry.Number, Result: entry.Result, Replayed: true,
	}}
}

// unknownOutcomeRefusal returns the refusal of a call that was dispatched
// without a known outcome.
func unknownOutcomeRefusal(call string) *refusal.Refusal {
	return refusal.New(refusal.OutcomeUnknown,
		"call %q was sent to its target and no outcome is known", call).WithRun(refusal.RunUnknown)
}

// lookup returns the ledger state of a program. A program of another workspace
// is reported as absent.
func (machine *Machine) lookup(id, workspace string) (*ledger.Program, *refusal.Refusal) {
	committed, ok := machine.ledgerState.Program(id)
	if !ok || committed.Open().Workspace != workspace {
		return nil, refusal.New(refusal.NotFound, "program %q does not exist", id)
	}
	return committed, nil
}
