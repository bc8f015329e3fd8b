// Package program implements the state machine that orders the calls of agent
// programs, records their history and budget, and decides when a call may be
// dispatched and when its caller may be answered.
//
// Machine performs no I/O: it has no clock, socket or goroutine. One Machine
// contains the state of every program that a host owns, and the state that the
// host has built from the ledger of its data centre.
package program

import (
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Settings configures a Machine.
type Settings struct {
	Host        string
	Incarnation string
	// ReplicationDelay is how long a completed turn waits for its commit to the
	// log before another host is asked to replicate it.
	ReplicationDelay time.Duration
	// OutcomeGrace is added to the timeout of an intent inherited from an
	// earlier owner before its outcome is recorded as unknown.
	OutcomeGrace time.Duration
	// Retention is how long the state of an ended program stays available for
	// queries and replays.
	Retention time.Duration
	// ClaimRetry is how long a claim may stay unconfirmed by the log before it
	// is proposed again.
	ClaimRetry time.Duration
}

// DefaultSettings returns the settings that the daemon uses.
func DefaultSettings(host, incarnation string) Settings {
	return Settings{
		Host:             host,
		Incarnation:      incarnation,
		ReplicationDelay: 400 * time.Millisecond,
		OutcomeGrace:     2 * time.Second,
		Retention:        time.Hour,
		ClaimRetry:       2 * time.Second,
	}
}

const (
	queueLimit   = 16 // queued calls of one program
	grantDivisor = 8  // a grant increment is the budget divided by this
)

// ownership is the state of a slot that is not part of the ledger.
type ownership struct {
	claimedAt   time.Time   // when this host last proposed a claim
	gathering   bool        // uncommitted turns of the previous owner are being recovered
	predecessor ledger.Slot // slot state before this host's claim
	fenced      bool        // no earlier owner can renew its lease through witnesses
	nextGather  time.Time   // time of the next attempt to fence earlier owners
}

// Machine is the state machine of one host. It is not safe for concurrent use.
type Machine struct {
	settings      Settings
	ledgerState   *ledger.State
	slots         [ledger.SlotCount]ownership
	programs      map[string]*state
	replyTokens   map[ReplyToken]callID
	endedPrograms []endedProgram  // oldest first
	workspaces    map[string]bool // configured workspaces, nil until known
	now           time.Time
	effects       []Effect
	sequence      uint64
}

// callID identifies the call for whose reply a token waits. The call is empty
// for a reply token that waits for a program to open, to end or to be queried.
type callID struct {
	program string
	call    string
}

// endedProgram records when this host read that a program had ended.
type endedProgram struct {
	program string
	readAt  time.Time
}

// NewMachine returns a machine that owns no slot.
func NewMachine(settings Settings) *Machine {
	return &Machine{
		settings:    settings,
		ledgerState: ledger.NewState(),
		programs:    make(map[string]*state),
		replyTokens: make(map[ReplyToken]callID),
	}
}

// LedgerState returns the state built from the ledger. Callers must not modify it.
func (machine *Machine) LedgerState() *ledger.State { return machine.ledgerState }

// Owns reports whether this incarnation owns the slot and has recovered the
// uncommitted turns of the previous owner.
func (machine *Machine) Owns(slot int) bool {
	return machine.isLedgerOwner(slot) && !machine.slots[slot].gathering
}

// Fenced reports whether this incarnation owns the slot and no earlier owner
// can renew its lease through witnesses any more.
func (machine *Machine) Fenced(slot int) bool {
	return machine.isLedgerOwner(slot) && machine.slots[slot].fenced
}

// isLedgerOwner reports whether the ledger names this incarnation as the owner
// of the slot. The slot may still be in recovery.
func (machine *Machine) isLedgerOwner(slot int) bool {
	owner := machine.ledgerState.Slot(slot)
	return owner.Host() == machine.settings.Host && owner.Incarnation() == machine.settings.Incarnation
}

// Len returns the number of programs that have state in this host's memory.
func (machine *Machine) Len() int { return len(machine.programs) }

// Step applies an event that occurs at the given time and returns the effects
// that the caller has to carry out.
func (machine *Machine) Step(now time.Time, event Event) []Effect {
	machine.now = now
	machine.effects = nil
	switch event := event.(type) {
	case OpenRequest:
		machine.open(event)
	case CallRequest:
		machine.call(event)
	case EndRequest:
		machine.end(event)
	case QueryRequest:
		machine.query(event)
	case Disconnected:
		machine.disconnect(event.ReplyToken)
	case LedgerRead:
		machine.read(event)
	case ClaimRequest:
		machine.claim(event)
	case Gathered:
		machine.gathered(event)
	case HistoryLoaded:
		machine.historyLoaded(event)
	case HistoryStored:
		machine.historyStored(event)
	case Replicated:
		machine.replicated(event)
	case DispatchResult:
		machine.dispatchCompleted(event)
	case HostsAlive:
		machine.hostsAlive(event.Incarnations)
	case WorkspacesChanged:
		machine.workspaces = event.Names
		machine.endRemovedWorkspaces()
	case Refresh:
		machine.refresh(event)
	case Tick:
		machine.tick()
	}
	return machine.effects
}

// Pending returns the number of calls that are queued, active or completed
// without being committed.
func (machine *Machine) Pending() int {
	pending := 0
	for _, program := range machine.programs {
		pending += len(program.queue) + len(program.uncommitted)
		if program.active != nil {
			pending++
		}
	}
	return pending
}

func (machine *Machine) emit(effect Effect) {
	machine.effects = append(machine.effects, effect)
}

func (machine *Machine) refuse(replyToken ReplyToken, refusal *refusal.Refusal) {
	delete(machine.replyTokens, replyToken)
	machine.emit(Reply{ReplyToken: replyToken, Refusal: refusal})
}

// record returns a ledger record with a new identifier, in the current epoch
// of the slot.
func (machine *Machine) record(slot int, program string) ledger.Record {
	machine.sequence++
	return ledger.Record{
		ID:      fmt.Sprintf("%s/%d", machine.settings.Incarnation, machine.sequence),
		Slot:    slot,
		Epoch:   machine.ledgerState.Slot(slot).Epoch(),
		Program: program,
	}
}

// attempt returns a new identifier for one dispatch of a call. It begins with
// the incarnation of this host.
func (machine *Machine) attempt() string {
	machine.sequence++
	return fmt.Sprintf("%s.%d", machine.settings.Incarnation, machine.sequence)
}

// read applies the records of one append to the ledger state and reacts to
// each verdict.
func (machine *Machine) read(event LedgerRead) {
	machine.ledgerState.Advance(event.Offset)
	for _, record := range event.Records {
		previous := *machine.ledgerState.Slot(record.Slot)
		verdict := machine.ledgerState.Apply(event.Offset, record)
		if verdict == ledger.Duplicate {
			continue
		}
		if record.Claim != nil && verdict == ledger.Accepted {
			machine.claimApplied(record.Slot, previous)
			continue
		}
		machine.recordApplied(record, verdict)
		ended := record.End != nil || record.Snapshot != nil && record.Snapshot.Ended != ""
		if ended && verdict == ledger.Accepted {
			machine.endedPrograms = append(machine.endedPrograms, endedProgram{program: record.Program, readAt: machine.now})
		}
	}
}

// claim proposes this host as the owner of slots, except those that it owns
// already or has claimed within ClaimRetry.
func (machine *Machine) claim(event ClaimRequest) {
	var records []ledger.Record
	for _, slot := range event.Slots {
		ownership := &machine.slots[slot]
		recent := !ownership.claimedAt.IsZero() && machine.now.Sub(ownership.claimedAt) < machine.settings.ClaimRetry
		if machine.isLedgerOwner(slot) || recent {
			continue
		}
		ownership.claimedAt = machine.now
		record := machine.record(slot, "")
		record.Epoch++
		record.Claim = &ledger.Claim{Host: machine.settings.Host, Incarnation: machine.settings.Incarnation, Witnesses: event.Witnesses}
		records = append(records, record)
	}
	if len(records) > 0 {
		machine.emit(Append{Records: records})
	}
}
