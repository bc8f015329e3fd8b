// Package ledger defines the records that the hosts of a data centre agree on
// through the platform's log, and the deterministic fold that turns them into
// ownership, program heads and call outcomes.
//
// The position of a record in the log decides; the answer to an append never
// does. Every host that folds the same stream reaches the same state.
package ledger

import (
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
)

// SlotCount is the number of ownership slots in each data centre.
const SlotCount = 64

// Location addresses one entry of the history stream: the offset of an append
// and the index of the entry inside that append. The zero Location means none,
// because Index counts from one.
type Location struct {
	Offset int64 `msgpack:"o"`
	Index  int   `msgpack:"i"`
}

// IsZero reports whether the location addresses nothing.
func (location Location) IsZero() bool {
	return location.Index == 0
}

// Result is how a non-idempotent call ended.
type Result string

// Results of a non-idempotent call.
const (
	ResultRan     Result = "ran"
	ResultUnknown Result = "unknown"
	ResultNotRun  Result = "not_run"
)

// EndReason tells why a program ended.
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

// Limits bounds one program. Zero fields are unlimited.
type Limits struct {
	Turns int           `msgpack:"turns,omitempty"`
	Time  time.Duration `msgpack:"time,omitempty"`
	Idle  time.Duration `msgpack:"idle,omitempty"`
}

// Claim takes a slot for one incarnation of a host.
type Claim struct {
	Host        string `msgpack:"host"`
	Incarnation string `msgpack:"incarnation"`
	// Witnesses are the incarnations of hosts whose memory backs the claim
	// while the log is away.
	Witnesses []string `msgpack:"witnesses,omitempty"`
	// Fenced tells that no earlier owner can renew its lease any more.
	Fenced bool `msgpack:"fenced,omitempty"`
}

// Open starts a program. Root names the program whose budget it shares, which
// is the program itself unless it is a sub-agent.
type Open struct {
	Root      string `msgpack:"root"`
	Workspace string `msgpack:"workspace"`
	Budget    int64  `msgpack:"budget"`
	Granted   int64  `msgpack:"granted"`
	Limits    Limits `msgpack:"limits"`
	Implicit  bool   `msgpack:"implicit,omitempty"`
}

// Intent announces that a non-idempotent call is about to be dispatched.
type Intent struct {
	Call    string        `msgpack:"c"`
	Attempt string        `msgpack:"a"`
	Number  int           `msgpack:"n"`
	Service string        `msgpack:"s"`
	Input   string        `msgpack:"i"`
	Timeout time.Duration `msgpack:"t"`
	Granted int64         `msgpack:"g"`
}

// Outcome settles an intent. The first outcome in the ledger counts.
type Outcome struct {
	Call    string   `msgpack:"c"`
	Attempt string   `msgpack:"a"`
	Result  Result   `msgpack:"r"`
	Head    Location `msgpack:"h"`
	Spent   int64    `msgpack:"s"`
}

// Turn commits an idempotent call at the end of a program's history.
type Turn struct {
	Call    string   `msgpack:"c"`
	Number  int      `msgpack:"n"`
	Head    Location `msgpack:"h"`
	Spent   int64    `msgpack:"s"`
	Granted int64    `msgpack:"g"`
	// Age is how long the program has been open, summed over its owners.
	Age time.Duration `msgpack:"a"`
}

// Grant raises the part of a root program's budget that its owner may spend
// without another record.
type Grant struct {
	Granted int64 `msgpack:"granted"`
}

// End closes a program for further calls.
type End struct {
	Reason EndReason `msgpack:"reason"`
}

// Carry repeats the whole state of a program before the log drops the records
// that it was built from.
type Carry struct {
	Open      Open          `msgpack:"open"`
	Turns     int           `msgpack:"turns"`
	Head      Location      `msgpack:"head"`
	Spent     int64         `msgpack:"spent"`
	Forfeited int64         `msgpack:"forfeited"`
	Ended     EndReason     `msgpack:"ended,omitempty"`
	Intent    *Intent       `msgpack:"intent,omitempty"`
	Age       time.Duration `msgpack:"age"`
}

// Record is one entry of a ledger stream. Exactly one of the pointers is set.
type Record struct {
	ID      string   `msgpack:"i"`
	Slot    int      `msgpack:"s"`
	Epoch   uint64   `msgpack:"e"`
	Program string   `msgpack:"p"`
	Claim   *Claim   `msgpack:"c"`
	Open    *Open    `msgpack:"o"`
	Intent  *Intent  `msgpack:"n"`
	Outcome *Outcome `msgpack:"u"`
	Turn    *Turn    `msgpack:"t"`
	Grant   *Grant   `msgpack:"g"`
	End     *End     `msgpack:"x"`
	Carry   *Carry   `msgpack:"y"`
}

// Validate reports a record that no writer of this version produces.
func (record Record) Validate() error {
	bodies := 0
	for _, set := range []bool{
		record.Claim != nil, record.Open != nil, record.Intent != nil, record.Outcome != nil,
		record.Turn != nil, record.Grant != nil, record.End != nil, record.Carry != nil,
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

// EncodeBatch packs the records of one append.
func EncodeBatch(records []Record) ([]byte, error) {
	data, err := codec.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("encode ledger batch: %w", err)
	}
	return data, nil
}

// DecodeBatch unpacks one append and drops the records that do not validate.
// It returns the number of records dropped, and an error if the append as a
// whole is not a batch.
func DecodeBatch(data []byte) (records []Record, dropped int, err error) {
	if err := codec.Unmarshal(data, &records); err != nil {
		return nil, 0, fmt.Errorf("decode ledger batch: %w", err)
	}
	kept := records[:0]
	for _, record := range records {
		if err := record.Validate(); err != nil {
			dropped++
			continue
		}
		kept = append(kept, record)
	}
	return kept, dropped, nil
}
