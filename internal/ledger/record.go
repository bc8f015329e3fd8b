// Package ledger defines the records that the hosts of a data centre exchange
// through the platform's log, and a deterministic state machine that derives
// slot ownership, committed turns and call outcomes from them.
//
// The order of records in the log decides conflicts, not the response to an
// append. Hosts that apply the same stream reach the same state.
package ledger

import (
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
)

// SlotCount is the number of ownership slots of each data centre. Every program
// belongs to one slot, and the owner of the slot runs its calls.
const SlotCount = 64

// Location identifies an entry of the history stream by the offset of its
// append and its index within that append. Index starts at one, so that the
// zero Location identifies no entry.
type Location struct {
	Offset int64 `msgpack:"o"`
	Index  int   `msgpack:"i"`
}

// IsZero reports whether the location identifies no entry.
func (location Location) IsZero() bool {
	return location.Index == 0
}

// Result states whether a call ran.
type Result string

// Results of a call. Idempotent calls are recorded only with ResultRan.
const (
	ResultRan     Result = "ran"
	ResultUnknown Result = "unknown"
	ResultNotRun  Result = "not_run"
)

// EndReason is the reason why a program ended.
type EndReason string

// Reasons for the end of a program.
const (
	EndRequested EndReason = "requested"
	EndTurns     EndReason = "turn_limit"
	EndTime      EndReason = "time_limit"
	EndBudget    EndReason = "budget"
	EndIdle      EndReason = "idle"
	EndWorkspace EndReason = "workspace_removed"
	EndComplete  EndReason = "complete"
)

// Limits contains the limits of one program. A zero field means no limit.
type Limits struct {
	Turns int           `msgpack:"turns,omitempty"`
	Time  time.Duration `msgpack:"time,omitempty"`
	Idle  time.Duration `msgpack:"idle,omitempty"`
}

// Claim assigns a slot to one incarnation of a host, which is one run of its
// process. It starts a new epoch of the slot, unless the owner repeats it.
type Claim struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"incarnation"`
	// Witnesses are the incarnations of the hosts that can renew the owner's
	// lease from memory while the log is unreachable.
	Witnesses []string `msgpack:"witnesses,omitempty"`
	// Fenced is set if no earlier owner can renew its lease any more.
	Fenced bool `msgpack:"fenced,omitempty"`
}

// Open opens a program. Root is the program whose budget it shares, which is
// the program itself unless it is a sub-agent.
type Open struct {
	Root      string `msgpack:"root"`
	Workspace string `msgpack:"workspace"`
	Budget    int64  `msgpack:"budget"`
	Granted   int64  `msgpack:"granted"`
	Limits    Limits `msgpack:"limits"`
	Implicit  bool   `msgpack:"implicit,omitempty"`
}

// Intent records that a non-idempotent call is about to be dispatched, so that
// a new owner does not run it again. Attempt identifies the dispatch, and
// Granted raises the granted tokens as in Grant.
type Intent struct {
	Call    string        `msgpack:"c"`
	Attempt string        `msgpack:"a"`
	Number  int           `msgpack:"n"`
	Service string        `msgpack:"s"`
	Input   string        `msgpack:"i"`
	Timeout time.Duration `msgpack:"t"`
	Granted int64         `msgpack:"g"`
}

// Outcome records the result of the call of an intent. Only the first outcome
// in the ledger takes effect. Head is the location of the turn in the history
// stream, or zero if the call did not run.
type Outcome struct {
	Call    string   `msgpack:"c"`
	Attempt string   `msgpack:"a"`
	Result  Result   `msgpack:"r"`
	Head    Location `msgpack:"h"`
	Spent   int64    `msgpack:"s"`
}

// Turn commits an idempotent call as the next turn of a program. Head is the
// location of the turn in the history stream, and Granted raises the granted
// tokens as in Grant.
type Turn struct {
	Call    string   `msgpack:"c"`
	Number  int      `msgpack:"n"`
	Head    Location `msgpack:"h"`
	Spent   int64    `msgpack:"s"`
	Granted int64    `msgpack:"g"`
	// Age is how long the program has been open, summed over all owners.
	Age time.Duration `msgpack:"a"`
}

// Grant raises the tokens of a root program's budget that its owner may spend
// without another record.
type Grant struct {
	Granted int64 `msgpack:"granted"`
}

// End ends a program, which then accepts no more calls.
type End struct {
	Reason EndReason `msgpack:"reason"`
}

// Snapshot is a copy of a program's state. It is written before the log drops
// the records from which that state was built.
type Snapshot struct {
	Open      Open          `msgpack:"open"`
	Turns     int           `msgpack:"turns"`
	Head      Location      `msgpack:"head"`
	Spent     int64         `msgpack:"spent"`
	Forfeited int64         `msgpack:"forfeited"`
	Ended     EndReason     `msgpack:"ended,omitempty"`
	Intent    *Intent       `msgpack:"intent,omitempty"`
	Age       time.Duration `msgpack:"age"`
}

// Record is one entry of a ledger stream. Exactly one of its pointers is set.
type Record struct {
	ID       string    `msgpack:"i"`
	Slot     int       `msgpack:"s"`
	Epoch    uint64    `msgpack:"e"`
	Program  string    `msgpack:"p"`
	Claim    *Claim    `msgpack:"c"`
	Open     *Open     `msgpack:"o"`
	Intent   *Intent   `msgpack:"n"`
	Outcome  *Outcome  `msgpack:"u"`
	Turn     *Turn     `msgpack:"t"`
	Grant    *Grant    `msgpack:"g"`
	End      *End      `msgpack:"x"`
	Snapshot *Snapshot `msgpack:"y"`
}

// Validate returns an error if no writer of this version produces such a
// record.
func (record Record) Validate() error {
	bodies := 0
	for _, set := range []bool{
		record.Claim != nil, record.Open != nil, record.Intent != nil, record.Outcome != nil,
		record.Turn != nil, record.Grant != nil, record.End != nil, record.Snapshot != nil,
	} {
		if set {
			bodies++
		}
	}
	if bodies != 1 {
		return fmt.Errorf("ledger record %q has %d bodies, expected 1", record.ID, bodies)
	}
	if record.ID == "" {
		return fmt.Errorf("ledger record for slot %d has no id", record.Slot)
	}
	if record.Slot < 0 || record.Slot >= SlotCount {
		return fmt.Errorf("ledger record %q names slot %d, expected 0 to %d", record.ID, record.Slot, SlotCount-1)
	}
	if record.Claim == nil && record.Program == "" {
		return fmt.Errorf("ledger record %q names no program", record.ID)
	}
	return nil
}

// EncodeBatch encodes the records of one append.
func EncodeBatch(records []Record) ([]byte, error) {
	data, err := codec.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("encode ledger batch: %w", err)
	}
	return data, nil
}

// DecodeBatch decodes one append and drops records that are invalid. It returns
// the number of dropped records, and an error if the append is not an encoded
// batch.
func DecodeBatch(data []byte) (records []Record, dropped int, err error) {
	if err := codec.Unmarshal(data, &records); err != nil {
		return nil, 0, fmt.Errorf("decode ledger batch: %w", err)
	}
	valid := records[:0]
	for _, record := range records {
		if err := record.Validate(); err != nil {
			dropped++
			continue
		}
		valid = append(valid, record)
	}
	return valid, dropped, nil
}
