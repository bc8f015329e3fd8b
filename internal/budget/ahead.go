package budget

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/apex/log"
)

const (
	// ConfirmationTTL is how long after a host has read the end of a partition it may begin
	// turns on what it holds ahead there. A host that cannot be heard for longer has lost
	// its confirmations, so it counts as silent only after more than this time.
	ConfirmationTTL = 1900 * time.Millisecond
	// ConfirmInterval is the time between the renewals of confirmations. One of them may take
	// a second while the store is slow.
	ConfirmInterval = 750 * time.Millisecond
	// confirmIdle is how long after the last turn of a program its hold is kept confirmed.
	confirmIdle = 15 * time.Second
	// revocationTime is how long after an entry with a revocation the holder may begin a turn
	// on the hold: its last read may have begun just before. The clocks of hosts run at
	// about the same rate, for which a tenth is more than enough.
	revocationTime = ConfirmationTTL + ConfirmationTTL/10
)

// ErrRevocationPending reports that the rest of a budget is too small for a turn until a
// hold of a host that may go on is given back.
var ErrRevocationPending = errors.New("a part of the budget is held by a host that may go on, and is not given back yet")

// HolderState is what a host knows of the incarnation that has made a hold.
type HolderState int

// States of a holder.
const (
	HolderAlive   HolderState = iota // or not known for long enough
	HolderUnclear                    // its host runs another incarnation that may be an earlier one
	HolderSilent                     // it may go on, but has been silent for more than ConfirmationTTL
	HolderEnded                      // it has stopped, or its host runs a later incarnation
)

// revocation is a hold of another host that this host has revoked.
type revocation struct {
	hold HoldID
	at   time.Duration // boot time at which the entry had been read back
}

// account returns the account of a program as of the last read, and an empty one if
// there is none. The caller must have locked the partition.
func (partition *partition) account(program string) *account {
	if account, ok := partition.ledger.accounts[program]; ok {
		return account
	}
	return newAccount()
}

// uncharged reports whether a charge of a hold would change the account, as of the last
// read, and whether the hold has been given back.
func (entryLog *entryLog) uncharged(program string, id HoldID) (uncharged, returned bool) {
	partition := entryLog.partitions[entryLog.partitionOf(program)]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	size := partition.account(program).holds[id]
	return size != settled, size == givenBack
}

// aheadAllowed reports whether an entry of this host may hold the given tokens for a turn
// that has not arrived, beside as many for one that has, as of the last read.
func (entryLog *entryLog) aheadAllowed(entry entry, tokens int) bool {
	partition := entryLog.partitions[entryLog.partitionOf(entry.Program)]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	account := partition.account(entry.Program)
	entry.Holder = entryLog.holder
	return account.aheadAllowed(entry, entry.Budget-account.allocated-tokens, tokens)
}

// aheadUseful reports whether this host may keep a hold without a turn while the program
// is idle, as of the last read.
func (entryLog *entryLog) aheadUseful(program string, budget, tokens int) bool {
	partition := entryLog.partitions[entryLog.partitionOf(program)]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	account := partition.account(program)
	return !account.gaveBack && account.aheadCovered(entryLog.holder, budget-account.allocated-tokens, tokens)
}

// ownAhead returns a hold that is held ahead by this host, as of the last read.
func (entryLog *entryLog) ownAhead(program string) (id HoldID, found bool) {
	partition := entryLog.partitions[entryLog.partitionOf(program)]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	id, _, found = partition.account(program).aheadOf(func(holder string) bool { return holder == entryLog.holder })
	return id, found
}

// aheadElsewhere returns a hold that is held ahead by another host and could be given
// back, as of the last read.
func (entryLog *entryLog) aheadElsewhere(program string) (id HoldID, size int, found bool) {
	partition := entryLog.partitions[entryLog.partitionOf(program)]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	account := partition.account(program)
	if account.gaveBack {
		return HoldID{}, 0, false
	}
	return account.aheadOf(func(holder string) bool { return holder != entryLog.holder })
}

// confirmed reports whether this host has read the end of a program's partition so
// recently that no other host can have given back what it holds ahead.
func (entryLog *entryLog) confirmed(program string) bool {
	return entryLog.confirmationAge(entryLog.partitionOf(program)) < ConfirmationTTL
}

func (entryLog *entryLog) confirmationAge(number int) time.Duration {
	partition := entryLog.partitions[number]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return entryLog.bootTime() - partition.confirmedAt
}

// confirm reads a partition in the background, unless an entry has just confirmed it.
func (entryLog *entryLog) confirm(number int) {
	partition := entryLog.partitions[number]
	if entryLog.confirmationAge(number) < ConfirmInterval/2 {
		return
	}
	select {
	case partition.reading <- struct{}{}:
	default:
		return // the read in progress confirms it
	}
	go func() {
		defer func() { <-partition.reading }()
		ctx, cancel := context.WithTimeout(context.Background(), ConfirmationTTL)
		defer cancel()
		// Without a confirmation, turns take a new hold.
		_ = entryLog.readPage(ctx, number, -1)
	}()
}

// ConfirmAhead renews the confirmations of the partitions of active programs for which
// this host holds a turn ahead. It must be called every ConfirmInterval.
func (allocator *Allocator) ConfirmAhead() {
	allocator.mutex.Lock()
	allocations := maps.Clone(allocator.allocations)
	allocator.mutex.Unlock()
	since := allocator.clock.Now().Add(-confirmIdle)
	numbers := make(map[int]bool)
	for program, allocation := range allocations {
		if allocation.holdsAheadSince(since) {
			numbers[allocator.entryLog.partitionOf(program)] = true
		}
	}
	if len(numbers) == 0 || !allocator.reachable() {
		return
	}
	for number := range numbers {
		allocator.entryLog.confirm(number)
	}
}

// takeBack adds to an entry what is needed to give back a hold that a lost host held
// ahead. A host that is silent cannot begin a turn on it any more without a read of the
// store, which tells it. If it is unclear whether the host is lost, the hold is revoked first
// and given back once the host must have read that.
func (allocator *Allocator) takeBack(allocation *allocation, entry *entry) {
	id, _, found := allocator.entryLog.aheadElsewhere(entry.Program)
	if !found {
		return
	}
	age, revoked := allocation.revocationAge(id, allocator.entryLog.bootTime())
	switch state := allocator.holderState(id.Holder); {
	case state == HolderAlive:
	case state != HolderUnclear || revoked && age >= revocationTime:
		entry.GivenBack = &id
	case !revoked:
		entry.Revoked = &id
	}
}

// canTakeBack reports whether the next entry of a program takes a hold from a lost host.
func (allocator *Allocator) canTakeBack(program string, allocation *allocation) bool {
	next := entry{Program: program}
	allocator.takeBack(allocation, &next)
	return next.Revoked != nil || next.GivenBack != nil
}

// recordTakeBack records what an entry that has been read back takes from a lost host.
func (allocator *Allocator) recordTakeBack(allocation *allocation, entry entry) {
	for _, taken := range []struct {
		hold             *HoldID
		counter, message string
	}{
		{entry.Revoked, "budget_holds_revoked", "hold of a host that may be lost revoked; no turn begins on it"},
		{entry.GivenBack, "budget_holds_given_back", "hold of a lost host given back to the budget"},
	} {
		if taken.hold == nil {
			continue
		}
		age, _ := allocation.revocationAge(*taken.hold, allocator.entryLog.bootTime())
		allocator.metrics.Count(taken.counter)
		allocator.logger.WithFields(log.Fields{
			"program": entry.Program, "holder": taken.hold.Holder, "serial": taken.hold.Serial, "revoked_ms": age.Milliseconds(),
		}).Info(taken.message)
	}
	if entry.Revoked != nil {
		allocation.recordRevocation(*entry.Revoked, allocator.entryLog.bootTime())
	}
}

// awaitsRevocation reports whether a turn fits into the budget once a hold that this
// host has revoked is given back, which is not possible yet.
func (allocator *Allocator) awaitsRevocation(program string, allocation *allocation, tokens int) bool {
	id, size, found := allocator.entryLog.aheadElsewhere(program)
	if !found || allocator.holderState(id.Holder) != HolderUnclear {
		return false
	}
	if age, revoked := allocation.revocationAge(id, allocator.entryLog.bootTime()); !revoked || age >= revocationTime {
		return false
	}
	allocated, _ := allocator.entryLog.lookup(program)
	return allocation.budget-allocated+allocation.refundable()+size >= tokens
}

// revoke takes a hold of this host that another host has revoked or given back.
func (allocator *Allocator) revoke(program string, id HoldID) {
	allocator.mutex.Lock()
	allocation, ok := allocator.allocations[program]
	allocator.mutex.Unlock()
	if !ok || !allocation.revoke(id) {
		return
	}
	allocator.metrics.Count("budget_own_holds_revoked")
	allocator.logger.WithFields(log.Fields{"program": program, "serial": id.Serial}).Info("another host has revoked a hold of this host; no turn begins on it")
}

// holdsAheadSince reports whether there is a free hold of a turn that has not arrived, and
// the last turn arrived after a time.
func (allocation *allocation) holdsAheadSince(after time.Time) bool {
	allocation.countsMutex.Lock()
	defer allocation.countsMutex.Unlock()
	for id := range allocation.free {
		if id.Index > 0 {
			return allocation.lastUsed.After(after)
		}
	}
	return false
}

// begun reports whether a turn has begun on a hold.
func (allocation *allocation) begun(id HoldID) bool {
	allocation.countsMutex.Lock()
	defer allocation.countsMutex.Unlock()
	_, forfeited := allocation.forfeited[id]
	return allocation.running[id] != nil || forfeited
}

// revoke removes a free hold, which is then reported as unused, or marks the hold of a
// running turn, so that no other turn uses it. It reports whether this host has the hold.
func (allocation *allocation) revoke(id HoldID) bool {
	allocation.countsMutex.Lock()
	defer allocation.countsMutex.Unlock()
	size, free := allocation.free[id]
	if free {
		delete(allocation.free, id)
		allocation.unreported[id] = pendingCharge{size: size}
	}
	if !free && allocation.running[id] == nil {
		return false
	}
	first := !allocation.revoked[id]
	allocation.revoked[id] = true
	return first
}

// owesRevoked reports whether there is a charge of a revoked hold that is in no entry yet.
func (allocation *allocation) owesRevoked() bool {
	allocation.countsMutex.Lock()
	defer allocation.countsMutex.Unlock()
	for id := range allocation.revoked {
		if charge, ok := allocation.unreported[id]; ok && !charge.sent {
			return true
		}
	}
	return false
}

// recordRevocation records that this host has revoked a hold of another one.
func (allocation *allocation) recordRevocation(id HoldID, at time.Duration) {
	allocation.countsMutex.Lock()
	defer allocation.countsMutex.Unlock()
	allocation.revocation = &revocation{hold: id, at: at}
}

// revocationAge returns how long ago this host has revoked a hold of another one, and
// false if it has not.
func (allocation *allocation) revocationAge(id HoldID, now time.Duration) (age time.Duration, revoked bool) {
	allocation.countsMutex.Lock()
	defer allocation.countsMutex.Unlock()
	if allocation.revocation == nil || allocation.revocation.hold != id {
		return 0, false
	}
	return now - allocation.revocation.at, true
}
