// Package origin finds out at which software version a stream began, so that a host
// to which a caller comes back continues it at that version only. Each host records
// the streams that it begins and sends a copy to other hosts.
package origin

import (
	"sync"
	"time"
)

// Origin is where a stream began.
type Origin struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"` // software version of the target
	Target  string `msgpack:"t"` // ID of the target
}

// Key identifies a stream by the attempt that brought its first event.
type Key struct {
	Workspace string `msgpack:"w,omitempty"`
	Attempt   string `msgpack:"a"`
}

// Record is an origin that one host sends to another.
type Record struct {
	Key    Key           `msgpack:"k"`
	Origin Origin        `msgpack:"o"`
	TTL    time.Duration `msgpack:"l"` // time in which the stream may still be resumed
}

// MaxTTL is the longest time for which the origin of a stream is kept.
const MaxTTL = 5 * time.Minute

// maxRecords bounds the records of a host, of about 300 bytes each.
const maxRecords = 20000

// directory contains the origins that this host knows. It is safe for concurrent
// use.
type directory struct {
	mutex   sync.Mutex
	entries map[Key]entry
}

type entry struct {
	origin    Origin
	expiresAt time.Time
}

func newDirectory() *directory { return &directory{entries: make(map[Key]entry)} }

// put stores a record. If the directory is full of records that have not expired, it
// drops an arbitrary one, whose stream can then be resumed at other hosts only.
func (directory *directory) put(record Record, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if _, known := directory.entries[record.Key]; !known && len(directory.entries) >= maxRecords {
		directory.evict(now)
		for key := range directory.entries {
			if len(directory.entries) < maxRecords {
				break
			}
			delete(directory.entries, key)
		}
	}
	directory.entries[record.Key] = entry{origin: record.Origin, expiresAt: now.Add(min(record.TTL, MaxTTL))}
}

func (directory *directory) find(key Key, now time.Time) (Origin, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	found, ok := directory.entries[key]
	if !ok || now.After(found.expiresAt) {
		return Origin{}, false
	}
	return found.origin, true
}

// evict deletes expired records. The caller must hold the mutex.
func (directory *directory) evict(now time.Time) {
	for key, entry := range directory.entries {
		if now.After(entry.expiresAt) {
			delete(directory.entries, key)
		}
	}
}
