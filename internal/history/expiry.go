package history

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/store"
)

// continuationGrace is how long a chain outlives its expiry, because a turn that
// continues it may be running when it expires. A turn runs for at most 30 s.
const continuationGrace = 30 * time.Second

// maxCheckedRoots bounds the root records that one sweep looks up, which it holds in memory.
const maxCheckedRoots = 10000

// Expiry implements store.Expiry for turns. A chain expires with its newest turn. Other
// hosts have stored the turns by their own clocks, so that a chain is deleted later by the
// tolerance for these.
type Expiry struct {
	now      time.Time
	chains   *store.Groups[storedChain]
	expired  []string
	deferred int
	roots    []rootRecord // a sample of the root records
	read     int          // root records
	known    map[uint64]bool
}

// storedChain is what a sweep holds of a chain.
type storedChain struct {
	expiry time.Time
	keys   []string
}

// rootRecord is a root record with the digest of its root.
type rootRecord struct {
	key  string
	root uint64
}

// NewExpiry returns the expiry of turns at the start of a sweep. A turn that continues an
// expired chain has been stored before.
func NewExpiry(now time.Time) *Expiry {
	expiry := &Expiry{now: now, known: make(map[uint64]bool)}
	expiry.chains = store.NewGroups(expiry.complete)
	return expiry
}

// Add implements store.Expiry.
func (expiry *Expiry) Add(record store.Record) []string {
	expiry.chains.Advance(record.Key)
	root, ok := rootInKey(record.Key)
	if !ok {
		expiry.sample(rootRecord{record.Key, xxhash.Sum64String(keyComponent(string(record.Value)))})
		return expiry.take()
	}
	chain, added := expiry.chains.At(turnPrefix + root + "/")
	if digest := xxhash.Sum64String(root); added {
		if _, checked := expiry.known[digest]; checked {
			expiry.known[digest] = true
		}
	}
	if len(chain.keys) < store.MaxGroupKeys {
		chain.keys = append(chain.keys, record.Key)
	} else {
		expiry.deferred++
	}
	if isChunkKey(record.Key) {
		return expiry.take()
	}
	var turn Turn
	// An unreadable turn is ignored; the other turns of the chain decide.
	if err := codec.Unmarshal(record.Value, &turn); err == nil && turn.expiresAt().After(chain.expiry) {
		chain.expiry = turn.expiresAt()
	}
	return expiry.take()
}

// Finish implements store.Expiry. It returns the root records of turns that are not stored.
func (expiry *Expiry) Finish() []string {
	expiry.chains.Finish()
	for _, root := range expiry.roots {
		if !expiry.known[root.root] {
			expiry.expired = append(expiry.expired, root.key)
		}
	}
	return expiry.take()
}

// sample adds a root record to the sample, in which all of them are equally likely to be.
// Root records sort before the turns.
func (expiry *Expiry) sample(record rootRecord) {
	expiry.read++
	if len(expiry.roots) < maxCheckedRoots {
		expiry.roots = append(expiry.roots, record)
	} else if index := rand.IntN(expiry.read); index < maxCheckedRoots {
		expiry.roots[index] = record
	} else {
		return
	}
	expiry.known[record.root] = false
}

// complete selects the keys of a chain that has expired, each turn with its root record.
func (expiry *Expiry) complete(chain storedChain) {
	if !expiry.now.After(chain.expiry.Add(continuationGrace + hostclock.Tolerance)) {
		return
	}
	for _, key := range chain.keys {
		expiry.expired = append(expiry.expired, key)
		if !isChunkKey(key) {
			expiry.expired = append(expiry.expired, rootPrefix+key[strings.LastIndexByte(key, '/')+1:])
		}
	}
}

// Deferred implements store.Expiry.
func (expiry *Expiry) Deferred() int { return expiry.deferred }

// take returns the keys that were selected since the last call.
func (expiry *Expiry) take() []string {
	expired := expiry.expired
	expiry.expired = nil
	return expired
}
