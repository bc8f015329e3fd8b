package placement

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/request"
)

const (
	// prefixTTL is how long a target is expected to cache a prefix after its last use.
	// Under load, a few seconds of prompts fill the cache of a target.
	prefixTTL      = 4 * time.Second
	prefixCapacity = 8192 // prefixes; 700 prompts of a dozen parts
	prefixHolders  = 3    // targets remembered for a prefix
)

// prefixCache remembers which targets prompts were sent to, by the prefixes of the prompts.
// A host learns of the turns that other hosts have served when the program moves to it. It
// is not safe for concurrent use.
type prefixCache struct {
	entries map[uint64]*prefixEntry
	// previous contains the entries of the last generation. Entries that are not used
	// for a generation are dropped.
	previous  map[uint64]*prefixEntry
	rotatedAt time.Time
}

// prefixEntry lists the targets that cache a prefix.
type prefixEntry struct {
	holders [prefixHolders]prefixHolder
}

type prefixHolder struct {
	targetID string
	tokens   int // of the prefix when it was used; the part of a line of turns grows
	usedAt   time.Time
}

func newPrefixCache() *prefixCache {
	return &prefixCache{entries: make(map[uint64]*prefixEntry)}
}

// find returns the entry of a prefix, or nil.
func (cache *prefixCache) find(digest uint64) *prefixEntry {
	if entry, ok := cache.entries[digest]; ok {
		return entry
	}
	return cache.previous[digest]
}

// cached returns the number of tokens of the prefix that a target is expected to cache.
func (entry *prefixEntry) cached(id string, now time.Time) int {
	for _, holder := range entry.holders {
		if holder.targetID == id && now.Sub(holder.usedAt) < prefixTTL {
			return holder.tokens
		}
	}
	return 0
}

// held reports whether any target is expected to cache the prefix.
func (entry *prefixEntry) held(now time.Time) bool {
	for _, holder := range entry.holders {
		if holder.targetID != "" && now.Sub(holder.usedAt) < prefixTTL {
			return true
		}
	}
	return false
}

// use records that a target was sent the prefix. It replaces the holder that was used
// least recently.
func (entry *prefixEntry) use(id string, tokens int, now time.Time) {
	oldest := 0
	for index, holder := range entry.holders {
		if holder.targetID == id {
			if now.After(holder.usedAt) {
				entry.holders[index].usedAt, entry.holders[index].tokens = now, tokens
			}
			return
		}
		if holder.usedAt.Before(entry.holders[oldest].usedAt) {
			oldest = index
		}
	}
	if now.After(entry.holders[oldest].usedAt) {
		entry.holders[oldest] = prefixHolder{targetID: id, tokens: tokens, usedAt: now}
	}
}

// cached returns the number of tokens of a prompt that a target is expected to cache.
func (cache *prefixCache) cached(id string, prefix []request.PrefixPart, now time.Time) int {
	for index := len(prefix) - 1; index >= 0; index-- {
		entry := cache.find(prefix[index].Digest)
		if entry == nil {
			continue
		}
		if tokens := entry.cached(id, now); tokens > 0 {
			return min(tokens, prefix[index].Tokens)
		}
	}
	return 0
}

// holders returns the targets that are expected to cache the longest known prefix of a
// prompt beyond its first part, which most prompts share.
func (cache *prefixCache) holders(prefix []request.PrefixPart, now time.Time) (holders [prefixHolders]string) {
	for index := len(prefix) - 1; index > 0; index-- {
		entry := cache.find(prefix[index].Digest)
		if entry == nil {
			continue
		}
		found := false
		for position, holder := range entry.holders {
			if holder.targetID != "" && now.Sub(holder.usedAt) < prefixTTL {
				holders[position], found = holder.targetID, true
			}
		}
		if found {
			return holders
		}
	}
	return holders
}

// rotate drops the prefixes that were not used for a generation.
func (cache *prefixCache) rotate(now time.Time) {
	if now.Sub(cache.rotatedAt) >= prefixTTL || len(cache.entries) >= prefixCapacity/2 {
		cache.previous, cache.entries, cache.rotatedAt = cache.entries, make(map[uint64]*prefixEntry, len(cache.entries)), now
	}
}

// record records that a prompt was sent to a target.
func (cache *prefixCache) record(id string, prefix []request.PrefixPart, now time.Time) {
	cache.rotate(now)
	for _, part := range prefix {
		entry := cache.find(part.Digest)
		if entry == nil {
			entry = &prefixEntry{}
		}
		entry.use(id, part.Tokens, now)
		cache.entries[part.Digest] = entry
	}
}

// forget records that a target has lost its cache.
func (cache *prefixCache) forget(id string) {
	for _, entries := range []map[uint64]*prefixEntry{cache.entries, cache.previous} {
		for _, entry := range entries {
			for index, holder := range entry.holders {
				if holder.targetID == id {
					entry.holders[index] = prefixHolder{}
				}
			}
		}
	}
}

// RecordPrompt records that a prompt is sent to a target, and returns the number of its
// tokens that the target is not expected to have cached.
func (registry *Registry) RecordPrompt(id string, prefix []request.PrefixPart, now time.Time) int {
	if len(prefix) == 0 {
		return 0
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	uncached := prefix[len(prefix)-1].Tokens - registry.prefixes.cached(id, prefix, now)
	registry.prefixes.record(id, prefix, now)
	return uncached
}

// prefillCost returns the cost of reading the part of a prompt that a target has not
// cached. Reading delays all requests that run there.
func (registry *Registry) prefillCost(state *targetState, request Request, now time.Time) float64 {
	perToken := registry.prefill.costPerToken(request.Service)
	if perToken == 0 || len(request.Prefix) == 0 {
		return 0
	}
	uncached := request.Prefix[len(request.Prefix)-1].Tokens - registry.prefixes.cached(state.target.ID, request.Prefix, now)
	running := min(state.localInFlight+state.remoteInFlight, max(1, state.target.Slots)-1)
	return perToken * float64(uncached) * float64(running+1)
}
