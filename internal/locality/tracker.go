// Package locality remembers where the latest turns of programs ran, so that the next
// turns, which may arrive at other hosts, go to targets that have cached their prompts.
package locality

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// lifetime is how long a location is remembered at least. Under load, a few seconds of
	// prompts fill the cache of a target.
	lifetime = 5 * time.Second
	// programCapacity bounds the programs that are remembered for one lifetime, at some
	// 300 bytes each.
	programCapacity = 4096
	// maxLocations is the number of locations of a program: its own line of turns and
	// sub-agents that run beside each other.
	maxLocations = 4
)

// Prefix is the beginning of a prompt that a target has read.
type Prefix struct {
	Digest uint64 `msgpack:"d"`
	Tokens int    `msgpack:"t"`
}

// Location is the target that ran a turn.
type Location struct {
	Affinity uint64        `msgpack:"a,omitempty"` // digest of the affinity of the turn, or 0
	Prefixes []Prefix      `msgpack:"x,omitempty"` // longest prefixes of its prompt
	Target   string        `msgpack:"t"`
	Age      time.Duration `msgpack:"g,omitempty"` // since the end of the turn
}

// sameLine reports whether two turns of a program belong to one line of turns: they have the
// same affinity or, without one, the same last part of their prompts, which grows with the
// line.
func (location Location) sameLine(other Location) bool {
	if location.Affinity != 0 || other.Affinity != 0 {
		return location.Affinity == other.Affinity
	}
	return location.lastDigest() == other.lastDigest()
}

// lastDigest returns the digest of the longest prefix, or 0 if there is none.
func (location Location) lastDigest() uint64 {
	if len(location.Prefixes) == 0 {
		return 0
	}
	return location.Prefixes[len(location.Prefixes)-1].Digest
}

// Tracker remembers the locations of the latest turns of programs. It is safe for
// concurrent use.
type Tracker struct {
	clock clockwork.Clock

	mutex sync.Mutex
	// programs are those with a turn since the last rotation, previous those with one in
	// the lifetime before.
	programs, previous map[string][]observed
	rotatedAt          time.Time
}

type observed struct {
	location Location
	at       time.Time
}

// New returns an empty tracker.
func New(clock clockwork.Clock) *Tracker {
	return &Tracker{clock: clock, programs: make(map[string][]observed), rotatedAt: clock.Now()}
}

// Add records where a turn of a program ran. It replaces the location of an earlier turn of
// the same line, or the oldest one.
func (tracker *Tracker) Add(program string, location Location) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := tracker.clock.Now()
	locations := tracker.find(program, now)
	added := observed{location, now.Add(-max(0, location.Age))}
	same := slices.IndexFunc(locations, func(other observed) bool { return other.location.sameLine(location) })
	switch {
	case same >= 0 && locations[same].at.After(added.at):
		return // the settlement of an earlier turn came late
	case same >= 0:
		locations = slices.Delete(locations, same, same+1)
	case len(locations) == maxLocations:
		locations = slices.Delete(locations, 0, 1)
	}
	tracker.programs[program] = append(locations, added)
}

// Recent returns the locations of the latest turns of a program, the oldest first.
func (tracker *Tracker) Recent(program string) []Location {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := tracker.clock.Now()
	var recent []Location
	for _, observed := range tracker.find(program, now) {
		if age := now.Sub(observed.at); age <= lifetime {
			location := observed.location
			location.Age = age
			recent = append(recent, location)
		}
	}
	return recent
}

// find returns the locations of a program. It forgets programs without a turn for a
// lifetime.
func (tracker *Tracker) find(program string, now time.Time) []observed {
	if elapsed := now.Sub(tracker.rotatedAt); elapsed >= lifetime || len(tracker.programs) >= programCapacity {
		tracker.previous, tracker.programs, tracker.rotatedAt = tracker.programs, make(map[string][]observed), now
		if elapsed >= 2*lifetime {
			tracker.previous = nil
		}
	}
	if locations, ok := tracker.programs[program]; ok {
		return locations
	}
	return slices.Clone(tracker.previous[program])
}

// Includes reports whether one of the locations is that of a prompt with one of the
// prefixes, by their digests.
func Includes(locations []Location, digests []uint64) bool {
	return slices.ContainsFunc(locations, func(location Location) bool {
		return slices.ContainsFunc(location.Prefixes, func(prefix Prefix) bool { return slices.Contains(digests, prefix.Digest) })
	})
}
