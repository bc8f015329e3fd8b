package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/locality"
	"github.com/godwitspread/godwitspread/internal/request"
)

// locationPrefixes is the number of prefixes that a location names: the whole prompt, and
// the one without its last part, with which the prompts of sub-agents may begin.
const locationPrefixes = 2

// NewLocation returns the location of a turn that has ended at a target.
func NewLocation(affinity string, prefix []request.PrefixPart, target string) locality.Location {
	location := locality.Location{Affinity: affinityDigest(affinity), Target: target}
	for _, part := range ownParts(prefix) {
		location.Prefixes = append(location.Prefixes, locality.Prefix{Digest: part.Digest, Tokens: part.Tokens})
	}
	return location
}

// ownParts returns the last parts of a prompt. The first part is common to many prompts.
func ownParts(prefix []request.PrefixPart) []request.PrefixPart {
	if len(prefix) < 2 {
		return nil
	}
	return prefix[max(1, len(prefix)-locationPrefixes):]
}

// UnknownPrompt returns digests of the last parts of a prompt, if this host knows no target
// that has cached one of them, and nil otherwise. The last part belongs to a line of turns
// and grows with it; that of a first turn is new.
func (registry *Registry) UnknownPrompt(prefix []request.PrefixPart, first bool, now time.Time) []uint64 {
	parts := ownParts(prefix)
	if first && len(parts) > 0 {
		parts = parts[:len(parts)-1]
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var digests []uint64
	for _, part := range parts {
		if entry := registry.prefixes.find(part.Digest); entry != nil && entry.held(now) {
			return nil
		}
		digests = append(digests, part.Digest)
	}
	return digests
}

// Learn records where other hosts have sent the latest turns of a program, of which this
// host has received a turn with an affinity. What the host knows itself and is newer stays.
func (registry *Registry) Learn(affinity string, locations []locality.Location, now time.Time) {
	if len(locations) == 0 {
		return
	}
	digest := affinityDigest(affinity)
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, location := range locations {
		at := now.Add(-max(0, location.Age))
		for _, prefix := range location.Prefixes {
			registry.prefixes.learn(location.Target, request.PrefixPart(prefix), at, now)
		}
		if digest != 0 && location.Affinity == digest && at.After(registry.affinities[digest].lastUsed) {
			registry.recordAffinity(digest, location.Target, at)
		}
	}
}

// learn records that a target was sent a prefix at a time.
func (cache *prefixCache) learn(id string, prefix request.PrefixPart, at, now time.Time) {
	cache.rotate(now)
	entry := cache.find(prefix.Digest)
	if entry == nil {
		entry = &prefixEntry{}
	}
	entry.use(id, prefix.Tokens, at)
	cache.entries[prefix.Digest] = entry
}

// affinityDigest returns the key of an affinity, and 0 for none. Callers choose affinities
// in any length.
func affinityDigest(affinity string) uint64 {
	if affinity == "" {
		return 0
	}
	return xxhash.Sum64String(affinity)
}
