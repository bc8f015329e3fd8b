// Package program orders the calls of agent programs, keeps their history and
// budget, and decides when a call may be dispatched and when it is answered.
//
// The Machine is a pure state machine: it holds no clock, socket or goroutine.
// One Machine holds every program that a host owns, and the fold of the
// ledger of the host's data centre.
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
	// CommitPatience is how long an answer waits for the log before another
	// host's memory is asked to hold it.
	CommitPatience time.Duration
	// OutcomeGrace is added to the timeout of an inherited intent before its
	// outcome is recorded as unknown.
	OutcomeGrace time.Duration
	// Retention is how long an ended program answers queries and replays.
	Retention time.Duration
	// ClaimRetry is how long a claim may stay unread before it is repeated.
	ClaimRetry time.Duration
}

// DefaultSettings returns the settings of a daemon.
func DefaultSettings(host, incarnation string) Settings {
	return Settings{
		Host:           host,
		Incarnation:    incarnation,
		CommitPatience: 400 * time.Millisecond,
		OutcomeGrace:   2 * time.Second,
		Retention:      time.Hour,
		ClaimRetry:     2 * time.Second,
	}
}

const (
	queueLimit  = 16 // calls waiting in one program
	sliceFactor = 8  // a budget slice is this fraction of the budget
)

// ownership is what the machine knows about one slot beyond the book.
type ownership struct {
	claimedAt   time.Time // when the last claim of this host was proposed
	gathering   bool
	predecessor ledger.Slot // the state before this host's claim
	fenced      bool        // no earlier owner can renew its lease
	gatherAt    time.Time   // when to gather again
}

// Machine is the state of one host.
type Machine struct {
	settings   Settings
	book       *ledger.Book
	slots      [ledger.SlotCount]ownership
	programs   map[string]*state
	tokens     map[Token]tokenPlace
	endings    []ending        // ended programs in order of time
	workspaces map[string]bool // the workspaces of the text, nil if not known
	now        time.Time
	effects    []Effect
	sequence   uint64
}

// tokenPlace finds the call that a token waits for.
type tokenPlace struct {
	program string
	call    string
}

// ending notes when this host read the end of a program.
type ending struct {
	program string
	at      time.Time
}

// NewMachine returns a machine that owns nothing.
func NewMachine(settings Settings) *Machine {
	return &Machine{
		settings: settings,
		book:     ledger.NewBook(),
		programs: make(map[string]*state),
		tokens:   make(map[Token]tokenPlace),
	}
}

// Book returns the fold of the ledger. It must not be changed.
func (machine *Machine) Book() *ledger.Book { return machine.book }

// Owns reports whether this incarnation owns the slot and has recovered it.
func (machine *Machine) Owns(slot int) bool {
	return machine.holds(slot) && !machine.slots[slot].gathering
}

// Fenced reports whether no earlier owner of the slot can act on a lease that
// witnesses renew.
func (machine *Machine) Fenced(slot int) bool {
	return machine.holds(slot) && machine.slots[slot].fenced
}

// holds reports whether the ledger names this incarnation as the owner.
func (machine *Machine) holds(slot int) bool {
	owner := machine.book.Slot(slot)
	return owner.Host() == machine.settings.Host && owner.Incarnation() == machine.settings.Incarnation
}

// Len returns the number of programs with state in this host's memory.
func (machine *Machine) Len() int { return len(machine.programs) }

// Step applies an event at a time and returns what the shell has to do.
func (machine *Machine) Step(now time.Time, event Event) []Effect {
	machine.now = now
	machine.effects = nil
	switch event := event.(type) {
	case Opened:
		machine.open(event)
	case Called:
		machine.call(event)
	case Ended:
		machine.end(event)
	case Queried:
		machine.query(event)
	case Disconnected:
		machine.disconnect(event.Token)
	case Read:
		machine.read(event)
	case SlotsWanted:
		machine.claim(event)
	case Gathered:
		machine.gathered(event)
	case HistoryLoaded:
		machine.historyLoaded(event)
	case HistoryStored:
		machine.historyStored(event)
	case Replicated:
		machine.replicated(event)
	case Answered:
		machine.answered(event)
	case HostsAlive:
		machine.hostsAlive(event.Incarnations)
	case WorkspacesChanged:
		machine.workspaces = event.Names
		machine.endForeign()
	case Refresh:
		machine.refresh(event)
	case Tick:
		machine.tick()
	}
	return machine.effects
}

// Pending returns the number of calls that are under way or not yet committed.
func (machine *Machine) Pending() int {
	pending := 0
	for _, program := range machine.programs {
		pending += len(program.queue) + len(program.pipeline)
		if program.active != nil {
			pending++
		}
	}
	return pending
}

func (machine *Machine) emit(effect Effect) {
	machine.effects = append(machine.effects, effect)
}

func (machine *Machine) refuse(token Token, refusal *refusal.Refusal) {
	delete(machine.tokens, token)
	machine.emit(Reply{Token: token, Refusal: refusal})
}

// record returns a ledger record of this host for a program.
func (machine *Machine) record(slot int, program string) ledger.Record {
	machine.sequence++
	return ledger.Record{
		ID:      fmt.Sprintf("%s/%d", machine.settings.Incarnation, machine.sequence),
		Slot:    slot,
		Epoch:   machine.book.Slot(slot).Epoch(),
		Program: program,
	}
}

// attempt returns an identifier for one dispatch of a call.
func (machine *Machine) attempt() string {
	machine.sequence++
	return fmt.Sprintf("%s.%d", machine.settings.Incarnation, machine.sequence)
}

// read folds one append and reacts to what it decided.
func (machine *Machine) read(event Read) {
	machine.book.Advance(event.Offset)
	for _, record := range event.Records {
		before := *machine.book.Slot(record.Slot)
		verdict := machine.book.Apply(event.Offset, record)
		if verdict == ledger.Duplicate {
			continue
		}
		if record.Claim != nil && verdict == ledger.Accepted {
			machine.claimed(record.Slot, before)
			continue
		}
		machine.applied(record, verdict)
		ended := record.End != nil || record.Carry != nil && record.Carry.Ended != ""
		if ended && verdict == ledger.Accepted {
			machine.endings = append(machine.endings, ending{program: record.Program, at: machine.now})
		}
	}
}

// claim proposes this host as the owner of slots.
func (machine *Machine) claim(event SlotsWanted) {
	var records []ledger.Record
	for _, slot := range event.Slots {
		ownership := &machine.slots[slot]
		recent := !ownership.claimedAt.IsZero() && machine.now.Sub(ownership.claimedAt) < machine.settings.ClaimRetry
		if machine.holds(slot) || recent {
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
