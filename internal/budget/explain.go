package budget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/godwitspread/godwitspread/internal/locality"
)

// Outlook is what would be decided on a claim now. Nothing is reserved.
type Outlook struct {
	Verdict  Verdict `msgpack:"v"`
	Reason   string  `msgpack:"r,omitempty"` // why the verdict is unknown, or how it comes about
	Fallback bool    `msgpack:"f,omitempty"` // this host decides, since the coordinator does not respond

	Coordinator string        `msgpack:"c,omitempty"` // address of the host that decides; empty for the one that responds
	Started     bool          `msgpack:"s,omitempty"` // the host knows of an allocation of the budget
	Allocated   int           `msgpack:"a,omitempty"` // tokens that turns of all hosts have generated or hold, by the ledger
	Free        int           `msgpack:"h,omitempty"` // tokens of these that the host holds for turns to come
	Read        bool          `msgpack:"l,omitempty"` // the host has read the ledger
	Age         time.Duration `msgpack:"g,omitempty"` // of the ledger
	ByLedger    bool          `msgpack:"b,omitempty"` // the verdict is wrong if other hosts have written entries since

	Locations []locality.Location `msgpack:"p,omitempty"` // of the latest turns of the program
}

// Reservation returns a reservation of no tokens that tells what Reserve would tell.
func (outlook Outlook) Reservation() *Reservation {
	return &Reservation{locations: outlook.Locations}
}

// Verdict is the result of a claim.
type Verdict uint8

// Verdicts on claims.
const (
	Unknown     Verdict = iota // depends on other hosts or on entries that are not read
	Reserved                   // the tokens would be reserved
	Spent                      // ErrSpent
	NotStarted                 // ErrNotStarted
	Unavailable                // the store or the host cannot reserve tokens
)

// Err returns the error of Reserve for a verdict against the claim, and nil for the others.
func (verdict Verdict) Err() error {
	switch verdict {
	case Spent:
		return ErrSpent
	case NotStarted:
		return ErrNotStarted
	case Unavailable:
		return ErrStoreUnreachable
	}
	return nil
}

// ErrNotExplained is the error of a coordinator that responds but cannot tell what it would
// decide, such as one of an older build.
var ErrNotExplained = errors.New("coordinator does not explain its decisions")

// Peeker asks the coordinator of a program what it would decide. Coordinators that do not
// implement it leave the decisions of other hosts unknown.
type Peeker interface {
	PeekBudget(ctx context.Context, address string, claim Claim) (Outlook, error)
}

// Peek returns what Reserve would decide, without reserving anything. The charges of the
// turns that the claim continues are not known.
func (reserver *Reserver) Peek(ctx context.Context, claim Claim) Outlook {
	address, self := reserver.coordinators.BudgetCoordinator(reserver.allocator.entryLog.partitionName(claim.Program))
	if self {
		return reserver.ServePeek(ctx, claim)
	}
	peeker, ok := reserver.coordinators.(Peeker)
	if !ok {
		return Outlook{Coordinator: address, Reason: ErrNotExplained.Error()}
	}
	outlook, err := peeker.PeekBudget(ctx, address, claim)
	if errors.Is(err, ErrNotExplained) {
		return Outlook{Coordinator: address, Reason: err.Error()}
	}
	if err == nil && outlook.Verdict == Unavailable {
		err = errors.New(outlook.Reason)
	}
	if err != nil {
		claim.StartedOnly = false // only the coordinator knows whether the program has started
		outlook = reserver.ServePeek(ctx, claim)
		outlook.Fallback = true
		if outlook.Reason == "" {
			outlook.Reason = fmt.Sprintf("coordinator at %q: %s", address, err)
		}
	}
	outlook.Coordinator = address
	return outlook
}

// ServePeek returns what this host would decide as the coordinator of the program.
func (reserver *Reserver) ServePeek(ctx context.Context, claim Claim) Outlook {
	outlook := reserver.allocator.peek(claim)
	if claim.StartedOnly && !outlook.Started && !reserver.coordinators.Started(ctx, reserver.allocator.entryLog.partitionName(claim.Program), claim.Program) {
		outlook.Verdict, outlook.Reason = NotStarted, ""
	}
	outlook.Locations = reserver.locations.Recent(claim.Program)
	if len(claim.Prefixes) > 0 && !locality.Includes(outlook.Locations, claim.Prefixes) {
		outlook.Locations = append(outlook.Locations, reserver.askLocations(ctx, claim.Program)...)
	}
	return outlook
}

// peek returns what Reserve would decide.
func (allocator *Allocator) peek(claim Claim) Outlook {
	if err := allocator.entryLog.checkProgram(claim.Program); err != nil {
		return Outlook{Verdict: Unavailable, Reason: err.Error()}
	}
	allocator.mutex.Lock()
	allocation, local := allocator.allocations[claim.Program]
	ended := allocator.ended
	allocator.mutex.Unlock()
	if ended {
		return Outlook{Verdict: Unavailable, Reason: ErrEnded.Error(), Started: local}
	}
	outlook, rest, pausing := Outlook{Started: local}, claim.Budget, false
	now := allocator.clock.Now()
	if local {
		largest, found := allocation.largestFree()
		outlook.Free = largest
		if found && largest >= claim.Tokens {
			outlook.Verdict = Reserved
		}
		rest, pausing = allocation.budget+allocation.refundable(), allocation.refusedSince(now.Add(-refusalPause))
	}
	partition := allocator.entryLog.partitions[allocator.entryLog.partitionOf(claim.Program)]
	if !partition.mutex.TryLock() {
		// It is held during calls of the store.
		if outlook.Verdict == Unknown {
			outlook.Reason = "entries of the budget are being read or written"
		}
		return outlook
	}
	defer partition.mutex.Unlock()
	holders := partition.ledger.holders(claim.Program, allocator.entryLog.holder)
	outlook.Allocated, outlook.Read = partition.ledger.allocated(claim.Program), partition.next >= 0
	outlook.Started = outlook.Started || outlook.Allocated > 0 || len(holders) > 0
	if outlook.Read && !partition.readAt.IsZero() {
		outlook.Age = now.Sub(partition.readAt)
	}
	if outlook.Verdict == Reserved {
		return outlook
	}
	rest -= outlook.Allocated
	outlook.ByLedger = true
	switch {
	case len(holders) == 0 && rest < claim.Tokens && pausing:
		outlook.Verdict = Spent
	case !allocator.reachable():
		outlook.Verdict, outlook.Reason = Unavailable, ErrStoreUnreachable.Error()
	case !outlook.Read:
		outlook.Reason = "entries of the budget have not been read; they are with the next turn"
	case rest >= claim.Tokens:
		outlook.Verdict = Reserved
	case len(holders) > 0:
		outlook.Reason = fmt.Sprintf("unspent tokens would be recalled from %q", holders)
	default:
		outlook.Verdict = Spent
	}
	return outlook
}
