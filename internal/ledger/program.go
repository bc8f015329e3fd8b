package ledger

import (
	"time"
)

// Program is the replicated state of one program.
type Program struct {
	id            string
	slot          int
	open          Open
	turns         int
	head          Location
	granted       int64
	spent         int64
	forfeited     int64
	ended         EndReason
	intent        *Intent
	notRunAttempt string // last attempt that did not run, whose intent must not be accepted again
	age           time.Duration
	lastOffset    int64
}

// ID returns the program's identifier.
func (program *Program) ID() string { return program.id }

// Slot returns the number of the slot that the program belongs to.
func (program *Program) Slot() int { return program.slot }

// Open returns the body of the record that opened the program.
func (program *Program) Open() Open { return program.open }

// Turns returns the number of committed turns.
func (program *Program) Turns() int { return program.turns }

// Head returns the location of the last committed turn.
func (program *Program) Head() Location { return program.head }

// Granted returns the tokens of the budget that owners may spend.
func (program *Program) Granted() int64 { return program.granted }

// Spent returns the number of settled tokens.
func (program *Program) Spent() int64 { return program.spent }

// Forfeited returns the granted tokens that earlier owners may have spent
// without settling them.
func (program *Program) Forfeited() int64 { return program.forfeited }

// Ended returns the reason for the end of the program, or an empty string while
// it is open.
func (program *Program) Ended() EndReason { return program.ended }

// Intent returns the intent that has no outcome yet, or nil if there is none.
func (program *Program) Intent() *Intent { return program.intent }

// Age returns how long the program had been open at its last turn.
func (program *Program) Age() time.Duration { return program.age }

// LastOffset returns the offset of the last record that changed the program.
func (program *Program) LastOffset() int64 { return program.lastOffset }
