package program

import (
	"github.com/godwitspread/godwitspread/internal/ledger"
)

// Replicas keeps copies of completed turns of other hosts' programs in memory
// until they are committed. It is not safe for concurrent use.
type Replicas struct {
	fences  [ledger.SlotCount]uint64
	entries map[string][]turnReplica
	limit   int
	count   int
}

type turnReplica struct {
	slot  int
	epoch uint64
	entry ledger.Entry
}

// replicaLimit bounds the number of turns that a host replicates for others.
const replicaLimit = 20_000

// NewReplicas returns an empty set of replicas.
func NewReplicas() *Replicas {
	return &Replicas{entries: make(map[string][]turnReplica), limit: replicaLimit}
}

// StoreReplica adds a turn of an owner's epoch and reports whether it was
// accepted. It refuses epochs before the last gathering, because the owner
// would answer a turn that its successor does not see. It also refuses turns
// beyond the limit.
func (replicas *Replicas) StoreReplica(slot int, epoch uint64, entry ledger.Entry) bool {
	if slot < 0 || slot >= ledger.SlotCount || epoch < replicas.fences[slot] || replicas.count >= replicas.limit {
		return false
	}
	for _, replica := range replicas.entries[entry.Program] {
		if replica.entry.Number == entry.Number && replica.epoch == epoch {
			return true
		}
	}
	replicas.entries[entry.Program] = append(replicas.entries[entry.Program], turnReplica{slot: slot, epoch: epoch, entry: entry})
	replicas.count++
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

// Gather fences a slot and returns its replicated turns. Of several turns with
// the same number, it returns those of the highest epoch.
func (replicas *Replicas) Gather(slot int, epoch uint64) []ledger.Entry {
	replicas.Fence(slot, epoch)
	var entries []ledger.Entry
	for _, turns := range replicas.entries {
		for _, replica := range turns {
			if replica.slot == slot && !superseded(replica, turns) {
				entries = append(entries, replica.entry)
			}
		}
	}
	return entries
}

// superseded reports whether a turn with the same number has a higher epoch.
func superseded(replica turnReplica, turns []turnReplica) bool {
	for _, other := range turns {
		if other.entry.Number == replica.entry.Number && other.epoch > replica.epoch {
			return true
		}
	}
	return false
}

// DropCommitted removes the turns of a program up to a committed number.
func (replicas *Replicas) DropCommitted(program string, number int) {
	turns, ok := replicas.entries[program]
	if !ok {
		return
	}
	remaining := turns[:0]
	for _, replica := range turns {
		if replica.entry.Number > number {
			remaining = append(remaining, replica)
		}
	}
	replicas.count -= len(turns) - len(remaining)
	if len(remaining) == 0 {
		delete(replicas.entries, program)
		return
	}
	replicas.entries[program] = remaining
}

// Len returns the number of replicated turns.
func (replicas *Replicas) Len() int { return replicas.count }
