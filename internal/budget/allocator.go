package budget

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/store"
)

// ErrSpent reports that the rest of a budget is too small for another turn.
var ErrSpent = errors.New("program budget is spent")

const (
	allocationIdle = 3 * time.Minute // after which an allocation is returned; longer than any route retains a program without requests
	// holdIdle is after how long without a turn free holds of a tight budget are returned.
	// Callers repeat a turn that has not run within it.
	holdIdle = 2 * time.Second
	// refusalPause is for how long a refusal of the store is not asked for again.
	refusalPause = time.Second
	// programRetention is how long the entries of a program are stored after the last
	// one. A hold covers one turn, or two, so an active program makes a new one earlier.
	programRetention = 5 * time.Minute
)

// ErrEnded reports that this host is about to end and reserves no more tokens.
var ErrEnded = errors.New("host is ending and reserves no tokens")

// ErrStoreUnreachable reports that no more of a budget can be allocated now.
var ErrStoreUnreachable = errors.New("store is not reached, so no part of the budget can be taken")

// RecallFunc asks another host to return its unspent holds of a budget, and returns the
// number of tokens. It passes the charges of kept turns on, which the host may not know.
// lost is true if that host has ended, has restarted, or has been silent for so long that
// the caller need not wait for it. Its holds then count as spent but for these charges, so
// that nothing is counted twice should the host come back.
type RecallFunc func(ctx context.Context, holder, program string, charges []Charge) (returned int, lost bool, err error)

// Allocator manages this host's allocations of budgets.
type Allocator struct {
	entryLog    *entryLog
	clock       clockwork.Clock
	logger      log.Interface
	metrics     *metric.Metrics
	recall      RecallFunc
	holderState func(holder string) HolderState
	// reachable reports whether the store can be called.
	reachable func() bool

	mutex       sync.Mutex
	allocations map[string]*allocation
	ended       bool // this host has returned its allocations and allocates nothing any more
}

// Dependencies are the dependencies of an allocator.
type Dependencies struct {
	Context    context.Context // ends with the host; by default it never does
	Store      store.Store
	Writer     *store.Writer
	Clock      clockwork.Clock
	Logger     log.Interface
	Metrics    *metric.Metrics
	Holder     string // incarnation of the host
	Partitions int
	Recall     RecallFunc
	// HolderState returns what is known of the incarnation of another host.
	HolderState func(holder string) HolderState
	Reachable   func() bool // reports whether the store can be called
	// AwaitSettled waits until this host knows which programs it coordinates, or the context
	// ends. By default, it knows from the start.
	AwaitSettled func(ctx context.Context)
	// BootTime returns the time since the start of the machine, including the time for
	// which it was suspended. By default, it is the time since the start by Clock.
	BootTime func() time.Duration
}

// NewAllocator returns an allocator without allocations.
func NewAllocator(dependencies Dependencies) *Allocator {
	allocator := &Allocator{
		clock: dependencies.Clock, logger: dependencies.Logger, metrics: dependencies.Metrics, recall: dependencies.Recall, holderState: dependencies.HolderState, reachable: dependencies.Reachable,
		allocations: make(map[string]*allocation),
	}
	allocator.entryLog = newEntryLog(dependencies, allocator.credit)
	allocator.entryLog.revoke = allocator.revoke
	return allocator
}

// credit applies an entry of this host once it has been read back.
func (allocator *Allocator) credit(entry entry, granted int) {
	allocator.mutex.Lock()
	allocation, ok := allocator.allocations[entry.Program]
	allocator.mutex.Unlock()
	if ok {
		allocation.credit(entry, granted)
	}
}

// Reserve reserves tokens for one turn. It returns ErrSpent if the rest of the
// budget is less than the claimed tokens, and another error if the rest cannot
// be determined.
func (allocator *Allocator) Reserve(ctx context.Context, claim Claim) (*Reservation, error) {
	program, tokens := claim.Program, claim.Tokens
	if err := allocator.entryLog.checkProgram(program); err != nil {
		return nil, err
	}
	allocation := allocator.allocation(program, claim.Budget)
	if allocation == nil {
		return nil, ErrEnded
	}
	allocator.learn(program, allocation, claim.Charges)
	if reservation := allocator.reserveFree(program, allocation, tokens); reservation != nil {
		return reservation, nil
	}
	allocation.mutex.Lock()
	defer allocation.mutex.Unlock()
	// A concurrent turn may have allocated enough tokens for both.
	if reservation := allocator.reserveFree(program, allocation, tokens); reservation != nil {
		return reservation, nil
	}
	reservation, err := allocator.replenish(ctx, claim, allocation)
	if err != nil || reservation != nil {
		return reservation, err
	}
	allocated, holders := allocator.entryLog.lookup(program)
	allocator.logger.WithFields(allocation.fields(program, tokens)).WithFields(log.Fields{"taken_by_all": allocated, "holders": holders}).Info("rest of the budget is too small for the turn")
	return nil, ErrSpent
}

// reserveFree sets aside a hold without a turn, and returns nil if there is none.
func (allocator *Allocator) reserveFree(program string, allocation *allocation, tokens int) *Reservation {
	return allocation.reserve(tokens, allocator.entryLog.confirmed(program), allocator.clock.Now())
}

// learn takes over the charges of kept turns that the store does not have. Those of a
// holder that may be running are left to it, unless it does not respond when the tokens
// are needed: hosts of older builds count what a holder itself reports only. A hold that
// has been given back is not recalled from its holder any more.
func (allocator *Allocator) learn(program string, allocation *allocation, charges []Charge) {
	for _, charge := range charges {
		uncharged, returned := allocator.entryLog.uncharged(program, charge.Hold)
		if charge.Used > 0 && charge.Used <= maxBudget && uncharged {
			own := charge.Hold.Holder == allocator.entryLog.holder
			allocator.learnCharge(program, allocation, charge, own, !own && (returned || allocator.holderState(charge.Hold.Holder) == HolderEnded))
		}
	}
}

// learnCharge takes over the charge of a kept turn.
func (allocator *Allocator) learnCharge(program string, allocation *allocation, charge Charge, own, report bool) {
	if !allocation.learn(charge, own, report) {
		return
	}
	allocator.metrics.Count("budget_charges_recovered")
	allocator.logger.WithFields(log.Fields{"program": program, "holder": charge.Hold.Holder, "spent": charge.Used}).Info("charge of a kept turn taken over from a host that does not report it")
}

// started reports whether this host knows of an allocation of the program's
// budget on any host.
func (allocator *Allocator) started(program string) bool {
	allocator.mutex.Lock()
	_, local := allocator.allocations[program]
	allocator.mutex.Unlock()
	allocated, holders := allocator.entryLog.lookup(program)
	return local || allocated > 0 || len(holders) > 0
}

// replenish allocates more of the budget, and recalls the unspent holds of other hosts if
// that is not enough. It returns nil if there is not enough.
func (allocator *Allocator) replenish(ctx context.Context, claim Claim, allocation *allocation) (*Reservation, error) {
	program, tokens := claim.Program, claim.Tokens
	reservation, err := allocator.allocate(ctx, claim, allocation)
	if err != nil || reservation != nil {
		return reservation, err
	}
	_, holders := allocator.entryLog.lookup(program)
	recalled := 0
	for _, holder := range holders {
		charges := allocation.evidenceFor(holder)
		returned, lost, err := allocator.recall(ctx, holder, program, charges)
		switch {
		case lost:
			for _, charge := range charges {
				allocator.learnCharge(program, allocation, charge, false, true)
			}
			returned = len(charges)
			allocator.metrics.Count("budget_holders_lost")
			allocator.logger.WithError(err).WithFields(allocation.fields(program, tokens)).WithField("holder", holder).Info("holder of a part of the budget is gone; the part counts as spent")
		case err != nil:
			return nil, fmt.Errorf("recall the part of host %q: %w", holder, err)
		}
		recalled += returned
	}
	// The hold of a lost host may not have been known when the first entry was written.
	if recalled > 0 || allocator.canTakeBack(program, allocation) {
		if reservation, err := allocator.allocate(ctx, claim, allocation); err != nil || reservation != nil {
			return reservation, err
		}
	}
	if allocator.awaitsRevocation(program, allocation, tokens) {
		return nil, ErrRevocationPending
	}
	return nil, nil
}

// allocate holds tokens of the budget for a turn by an entry in the store, which also
// has the charges of earlier turns. It makes no request if the store has refused one
// shortly before and the ledger shows no other holder, or a revocation is awaited: callers
// repeat refused turns.
func (allocator *Allocator) allocate(ctx context.Context, claim Claim, allocation *allocation) (*Reservation, error) {
	program, tokens := claim.Program, claim.Tokens
	allocated, holders := allocator.entryLog.lookup(program)
	now := allocator.clock.Now()
	settled := len(holders) == 0 || allocator.awaitsRevocation(program, allocation, tokens)
	if settled && allocation.budget-allocated+allocation.refundable() < tokens && allocation.refusedSince(now.Add(-refusalPause)) {
		return nil, nil
	}
	if !allocator.reachable() {
		return nil, ErrStoreUnreachable
	}
	entry := allocation.report(program, true)
	entry.Holds, entry.SingleAhead = []int{tokens}, true
	entry.Request, entry.Abandoned = claim.request, claim.abandoned
	if id, found := allocator.entryLog.ownAhead(program); found && allocation.begun(id) {
		entry.Begun = &id
	}
	if allocator.entryLog.aheadAllowed(entry, tokens) {
		entry.Holds = append(entry.Holds, tokens)
	}
	allocator.takeBack(allocation, &entry)
	entry.Tokens += len(entry.Holds) * tokens
	allocation.await(&waiter{tokens: tokens, request: claim.request})
	err := allocator.entryLog.write(ctx, entry)
	reservation := allocation.awaited()
	if err != nil && reservation != nil {
		reservation.drop()
	}
	if err != nil {
		return nil, err
	}
	allocator.recordTakeBack(allocation, entry)
	allocator.logger.WithFields(allocation.fields(program, tokens)).WithFields(log.Fields{
		"asked": len(entry.Holds) * tokens, "charges": len(entry.Charges), "taken_before": allocated,
	}).Info("budget tokens allocated")
	if reservation == nil {
		reservation = allocator.reserveFree(program, allocation, tokens)
	}
	if reservation == nil {
		allocation.refuse(now)
	}
	return reservation, nil
}

// Release reports this host's charges of a budget and its holds without a turn to the
// store, at the request of another host, and returns the number of tokens that this
// frees. The charges are those of kept turns that the other host knows.
func (allocator *Allocator) Release(ctx context.Context, program string, charges []Charge) (int, error) {
	allocator.mutex.Lock()
	allocation, ok := allocator.allocations[program]
	allocator.mutex.Unlock()
	if !ok {
		return 0, nil
	}
	allocator.learn(program, allocation, charges)
	returned := allocation.refundable()
	entry := allocation.report(program, true)
	if len(entry.Charges) == 0 {
		return 0, nil
	}
	if err := allocator.entryLog.writeOnly(ctx, entry); err != nil {
		return 0, err
	}
	return returned, nil
}

// ReleaseAll reports the charges and the holds without a turn of all programs to the
// store, so that other hosts can spend the tokens after this one has ended. It returns
// the number of programs.
func (allocator *Allocator) ReleaseAll(ctx context.Context) (programs int, err error) {
	allocator.mutex.Lock()
	allocator.ended = true
	allocations := maps.Clone(allocator.allocations)
	allocator.mutex.Unlock()
	var pending []store.PendingAppend
	for program, allocation := range allocations {
		entry := allocation.report(program, true)
		if len(entry.Charges) == 0 {
			continue
		}
		returned, err := allocator.entryLog.queueWhenFree(ctx, entry)
		if err != nil {
			return len(pending), err
		}
		pending = append(pending, returned)
	}
	for _, returned := range pending {
		if _, err := returned.Wait(ctx); err != nil {
			return len(pending), err
		}
	}
	return len(pending), nil
}

// allocation returns this host's allocation of a program's budget, which is empty at
// first, or nil if the host has returned all allocations.
func (allocator *Allocator) allocation(program string, budget int) *allocation {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	if allocator.ended {
		return nil
	}
	found, ok := allocator.allocations[program]
	if !ok {
		found = newAllocation(budget)
		allocator.allocations[program] = found
	}
	found.touch(allocator.clock.Now())
	return found
}

// evict returns what this host holds of programs that have been idle, because they may go
// on at other hosts, and removes ended programs from the ledgers.
func (allocator *Allocator) evict() {
	now := allocator.clock.Now()
	allocator.mutex.Lock()
	allocations := maps.Clone(allocator.allocations)
	allocator.mutex.Unlock()
	for program, allocation := range allocations {
		switch {
		case allocation.idleSince(now.Add(-allocationIdle)):
			allocator.returnIdle(program, allocation)
		case allocation.owesRevoked():
			allocator.queueReport(program, allocation)
		case allocation.idleSince(now.Add(-holdIdle)):
			allocator.returnUnused(program, allocation)
		}
	}
	allocator.entryLog.evict()
}

// returnUnused queues an entry that returns the free holds of a tight budget.
func (allocator *Allocator) returnUnused(program string, allocation *allocation) {
	tokens, found := allocation.largestFree()
	if found && !allocator.entryLog.aheadUseful(program, allocation.budget, tokens) {
		allocator.queueReport(program, allocation)
	}
}

// returnDropped returns the hold of a reservation that its host does not use. That host has
// made one of its own, so this host may not see another turn of the program soon.
func (allocator *Allocator) returnDropped(program string) {
	allocator.mutex.Lock()
	allocation, ok := allocator.allocations[program]
	allocator.mutex.Unlock()
	if ok {
		allocator.queueReport(program, allocation)
	}
}

// returnIdle queues an entry with what is left of an idle allocation, and removes the
// allocation once the store has acknowledged the entry: another host may recall it
// before.
func (allocator *Allocator) returnIdle(program string, allocation *allocation) {
	returning := allocation.returned()
	if returning == nil {
		returning = allocator.queueReport(program, allocation)
	}
	if returning != nil && !returning.Done() {
		return
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	if allocation.idleSince(allocator.clock.Now().Add(-allocationIdle)) {
		delete(allocator.allocations, program)
	}
}

// queueReport queues an entry with the charges and free holds of an allocation, and
// returns nil if there are none or the queue is full.
func (allocator *Allocator) queueReport(program string, allocation *allocation) *store.PendingAppend {
	entry := allocation.report(program, true)
	if len(entry.Charges) == 0 {
		return nil
	}
	pending, err := allocator.entryLog.queue(entry)
	if err != nil {
		allocator.logger.WithError(err).WithField("program", program).Warn("returning an idle part of a budget failed; it counts as spent")
		return nil
	}
	allocation.setReturned(&pending)
	return &pending
}
