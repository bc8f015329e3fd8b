// Package history stores completed turns, so that later turns can continue them
// through any host, and makes each turn durable before its response ends.
package history

import (
	"errors"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/memory"
)

// ErrNoTurn reports a turn that does not exist in its workspace.
var ErrNoTurn = errors.New("no such turn in the workspace")

// Turn is a completed turn of a program. Root is the ID of the first turn of its
// chain, or of a later turn if the host that stored that turn did not know the
// segment of the turn before it. Turns with the same root form a segment of the chain.
type Turn struct {
	ID           string        `msgpack:"i"`
	Previous     string        `msgpack:"p,omitempty"`
	Root         string        `msgpack:"r"`
	Workspace    string        `msgpack:"w"`
	Input        []byte        `msgpack:"n,omitempty"`
	Output       []byte        `msgpack:"o,omitempty"`
	StoredMillis int64         `msgpack:"k"` // Unix time at which the turn was stored
	Retention    time.Duration `msgpack:"t"`
	Chunks       int           `msgpack:"c,omitempty"` // number of records with the texts; 0 if the turn fits into one record
	// Charge is what the turn has generated of its program's budget, if it has one.
	// Hosts that continue the turn tell the store if the host that counted it is lost.
	Charge *budget.Charge `msgpack:"b,omitempty"`
	// Holder is the address of the host that has run the turn, and so has read the turns before
	// it, if that host has sent a copy here. It is neither stored nor passed on with the turn.
	Holder string `msgpack:"-"`
}

// size returns the memory that a turn occupies, in bytes.
func (turn *Turn) size() int { return cap(turn.Input) + cap(turn.Output) + turnOverhead }

// cacheGrace is how long turns stay cached after they expire. Chains that are
// still being continued need them, and reading them from the store is slower.
const cacheGrace = time.Minute

const turnOverhead = 256 // bytes of a turn in addition to its texts

// turnCache caches turns in memory. It evicts the oldest turns first, when there is no
// memory for more, when the memory is needed elsewhere, or when their grace period has
// passed.
type turnCache struct {
	mutex    sync.Mutex
	reserved *memory.Reservation
	turns    map[string]*Turn
	byAge    []*Turn // oldest first
}

func newTurnCache(budget *memory.Budget) *turnCache {
	cache := &turnCache{turns: make(map[string]*Turn)}
	// An empty reservation always fits.
	cache.reserved, _ = budget.Reserve(memory.Cached, 0)
	return cache
}

// put caches a turn that is not cached yet, and evicts turns.
func (cache *turnCache) put(turn *Turn, now time.Time) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if _, known := cache.turns[turn.ID]; known {
		return
	}
	for len(cache.byAge) > 0 && now.After(cache.byAge[0].expiresAt().Add(cacheGrace)) {
		cache.evictOldest()
	}
	for cache.reserved.Grow(int64(turn.size())) != nil {
		if len(cache.byAge) == 0 {
			return
		}
		cache.evictOldest()
	}
	cache.turns[turn.ID] = turn
	cache.byAge = append(cache.byAge, turn)
}

// putSpare caches a turn if there is memory without evicting others, and reports whether
// there is.
func (cache *turnCache) putSpare(turn *Turn) bool {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if _, known := cache.turns[turn.ID]; known {
		return true
	}
	if cache.reserved.Grow(int64(turn.size())) != nil {
		return false
	}
	cache.turns[turn.ID] = turn
	cache.byAge = append(cache.byAge, turn)
	return true
}

// evict evicts the oldest turns until it has released a number of bytes, or has none.
func (cache *turnCache) evict(bytes int64) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	for released := int64(0); released < bytes && len(cache.byAge) > 0; {
		released += cache.evictOldest()
	}
}

// evictOldest evicts the oldest turn and returns its size in bytes. The caller holds the
// mutex.
func (cache *turnCache) evictOldest() int64 {
	oldest := cache.byAge[0]
	cache.byAge[0] = nil
	cache.byAge = cache.byAge[1:]
	delete(cache.turns, oldest.ID)
	size := int64(oldest.size())
	cache.reserved.Shrink(size)
	return size
}

// expiresAt returns when the turn's own retention ends. A later turn of the
// chain extends the retention of the whole chain.
func (turn *Turn) expiresAt() time.Time { return time.UnixMilli(turn.StoredMillis).Add(turn.Retention) }

func (cache *turnCache) get(id string) (*Turn, bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	turn, ok := cache.turns[id]
	return turn, ok
}

// chain returns the turns of the chain that ends with the given turn, oldest
// first, and the ID of the first turn that is neither cached nor among the given ones, if
// any. A turn that continues itself, because a caller has used an ID twice, counts as missing.
func (cache *turnCache) chain(id string, loaded map[string]*Turn) (turns []*Turn, missing string) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	last, checked := id, ""
	for id != "" {
		if id == checked {
			return nil, last
		}
		if count := len(turns); count&(count-1) == 0 { // with growing distance, so that any cycle is noticed
			checked = id
		}
		turn, ok := cache.turns[id]
		if !ok {
			turn, ok = loaded[id]
		}
		if !ok {
			missing = id
			break
		}
		turns = append(turns, turn)
		id = turn.Previous
	}
	for left, right := 0, len(turns)-1; left < right; left, right = left+1, right-1 {
		turns[left], turns[right] = turns[right], turns[left]
	}
	return turns, missing
}
