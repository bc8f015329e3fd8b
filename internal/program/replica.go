package program

import (
	"github.com/godwitspread/godwitspread/internal/ledger"
)

// Replicas holds answered turns of other hosts' programs in memory until they
// are committed. It is not safe for concurrent use.
type Replicas struct {
	fences  [ledger.SlotCount]uint64
	entries map[string][]heldTurn
	limit   int
	length  int
}

type heldTurn struct {
	slot  int
	epoch uint64
	entry ledger.Entry
}

// replicaLimit bounds the turns that one host holds for others.
const replicaLimit = 20_000

// NewReplicas returns an empty store.
func NewReplicas() *Replicas {
	return &Replicas{entries: make(map[string][]heldTurn), limit: replicaLimit}
}

// Hold keeps a turn of an owner's epoch. It refuses epochs before one that has
// gathered already, so that no answer is given that a successor cannot see.
func (replicas *Replicas) Hold(slot int, epoch uint64, entry ledger.Entry) bool {
	if slot < 0 || slot >= ledger.SlotCount || epoch < replicas.fences[slot] || replicas.length >= replicas.limit {
		return false
	}
	for _, held := range replicas.entries[entry.Program] {
		if held.entry.Number == entry.Number && held.epoch == epoch {
			return true
		}
	}
	replicas.entries[entry.Program] = append(replicas.entries[entry.Program], heldTurn{slot: slot, epoch: epoch, entry: entry})
	replicas.length++
	return true
}

// Fence refuses epochs before the given one from now on.
func (replicas *Replicas) Fence(slot int, epoch uint64) {
	if slot >= 0 && slot < ledger.SlotCount {
		replicas.fences[slot] = max(replicas.fences[slot], epoch)
	}
}

// Fenced reports whether an epoch of a slot is refused.
func (replicas *Replicas) Fenced(slot int, epoch uint64) bool {
	return slot < 0 || slot >= ledger.SlotCount || epoch < replicas.fences[slot]
}

// Gather fences a slot and returns the turns held for it. Of several turns
// with the same number, the one of the highest epoch counts.
func (replicas *Replicas) Gather(slot int, epoch uint64) []ledger.Entry {
	replicas.Fence(slot, epoch)
	var entries []ledger.Entry
	for _, turns := range replicas.entries {
		for _, held := range turns {
			if held.slot == slot && !overruled(held, turns) {
				entries = append(entries, held.entry)
			}
		}
	}
	return entries
}

func overruled(held heldTurn, turns []heldTurn) bool {
	for _, other := range turns {
		if other.entry.Number == held.entry.Number && other.epoch > held.epoch {
			return true
		}
	}
	return false
}

// Committed drops the turns of a program up to a number.
func (replicas *Replicas) Committed(program string, number int) {
	turns, ok := replicas.entries[program]
	if !ok {
		return
	}
	kept := turns[:0]
	for _, held := range turns {
		if held.entry.Number > number {
			kept = append(kept, held)
		}
	}
	replicas.length -= len(turns) - len(kept)
	if len(kept) == 0 {
		delete(replicas.entries, program)
		return
	}
	replicas.entries[program] = kept
}

// Len returns the number of turns held.
func (replicas *Replicas) Len() int { return replicas.length }
