package placement

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	quarantineThreshold = 2               // crashes, summed over all hosts, from which a request is refused
	quarantineDuration  = 5 * time.Minute // since the last crash
	maxTrackedDigests   = 256             // of the crashes that one host has seen
	maxRemoteDigests    = 16 << 10        // of the crashes that all other hosts have reported
)

// CrashTracker tracks the requests that were running when a target crashed.
// They are identified by a digest of their content, since callers repeat such a
// request at any host.
type CrashTracker struct {
	mutex  sync.Mutex
	local  map[uint64]*crashRecord // crashes seen by this host, by digest
	remote map[string]crashReport  // by reporting host
	// remoteDigests is the number of digests in all reports.
	remoteDigests int
}

// crashReport is the newest report of another host. It is forgotten when the host has
// not repeated it for so long that it would have forgotten the crashes itself.
type crashReport struct {
	crashes   map[uint64]int // by digest
	expiresAt time.Time
}

// crashRecord counts the crashes attributed to a request.
type crashRecord struct {
	crashes   int
	expiresAt time.Time
}

// NewCrashTracker returns an empty crash tracker.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{local: make(map[uint64]*crashRecord), remote: make(map[string]crashReport)}
}

// Digest returns a hash of the content of a request within its workspace.
func Digest(workspace, uri, previous string, body [][]byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{workspace, uri, previous} {
		// Writing to a digest never returns an error.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	for _, part := range body {
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// RecordCrash attributes the crash of a target to the request that it was
// running. If the tracker is full, the crash is not recorded.
func (tracker *CrashTracker) RecordCrash(digest uint64, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	record, ok := tracker.local[digest]
	if !ok {
		tracker.expire(now)
		if len(tracker.local) >= maxTrackedDigests {
			return
		}
		record = &crashRecord{}
		tracker.local[digest] = record
	}
	record.crashes++
	record.expiresAt = now.Add(quarantineDuration)
}

// expire evicts the records whose quarantine has ended.
func (tracker *CrashTracker) expire(now time.Time) {
	for digest, record := range tracker.local {
		if now.After(record.expiresAt) {
			delete(tracker.local, digest)
		}
	}
}

// Quarantined reports whether the crashes of a request on all hosts have reached
// the threshold from which it is refused.
func (tracker *CrashTracker) Quarantined(digest uint64, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	crashes := 0
	if record, ok := tracker.local[digest]; ok && now.Before(record.expiresAt) {
		crashes = record.crashes
	}
	for _, report := range tracker.remote {
		if now.Before(report.expiresAt) {
			crashes += report.crashes[digest]
		}
	}
	return crashes >= quarantineThreshold
}

// LocalCrashes returns the numbers of crashes that this host has seen, by
// request digest. It returns nil if there are none.
func (tracker *CrashTracker) LocalCrashes(now time.Time) map[uint64]int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.expire(now)
	if len(tracker.local) == 0 {
		return nil
	}
	counts := make(map[uint64]int, len(tracker.local))
	for digest, record := range tracker.local {
		counts[digest] = record.crashes
	}
	return counts
}

// SetRemoteCrashes replaces the numbers of crashes that another host has
// reported, by request digest. The report of a host that becomes unreachable is
// kept until the quarantine of its crashes has ended. Digests beyond the bound of a
// report or of all reports are not recorded.
func (tracker *CrashTracker) SetRemoteCrashes(host string, crashes map[uint64]int, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.forget(host)
	if len(crashes) == 0 {
		return
	}
	for other, report := range tracker.remote {
		if !now.Before(report.expiresAt) {
			tracker.forget(other)
		}
	}
	room := min(maxTrackedDigests, maxRemoteDigests-tracker.remoteDigests)
	if room <= 0 {
		return
	}
	if len(crashes) > room {
		crashes = firstDigests(crashes, room)
	}
	tracker.remote[host] = crashReport{crashes: crashes, expiresAt: now.Add(quarantineDuration)}
	tracker.remoteDigests += len(crashes)
}

// forget removes the report of another host. The caller must hold the mutex.
func (tracker *CrashTracker) forget(host string) {
	tracker.remoteDigests -= len(tracker.remote[host].crashes)
	delete(tracker.remote, host)
}

// firstDigests returns the part of a report with the lowest digests, so that a host that
// repeats its report keeps the same ones.
func firstDigests(crashes map[uint64]int, count int) map[uint64]int {
	part := make(map[uint64]int, count)
	for _, digest := range slices.Sorted(maps.Keys(crashes))[:count] {
		part[digest] = crashes[digest]
	}
	return part
}
