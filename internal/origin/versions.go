package origin

import (
	"slices"
	"sync"
	"time"
)

// VersionHistory contains the software versions that the targets of each service
// have had. It is safe for concurrent use.
type VersionHistory struct {
	mutex    sync.Mutex
	since    time.Time                       // no target has been missed from this time on
	lastSeen map[string]map[string]time.Time // by service and version
}

// NewVersionHistory returns an empty history.
func NewVersionHistory() *VersionHistory {
	return &VersionHistory{lastSeen: make(map[string]map[string]time.Time)}
}

// Restart records that targets may have been missed before now.
func (history *VersionHistory) Restart(now time.Time) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.since = now
}

// Observe records that a service has a target of a version.
func (history *VersionHistory) Observe(service, version string, now time.Time) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	versions, ok := history.lastSeen[service]
	if !ok {
		versions = make(map[string]time.Time)
		history.lastSeen[service] = versions
	}
	versions[version] = now
	for other, seen := range versions {
		if now.Sub(seen) > MaxTTL {
			delete(versions, other)
		}
	}
}

// Versions returns the versions of a service in the window of time up to now. It
// returns false if there may have been others.
func (history *VersionHistory) Versions(service string, window time.Duration, now time.Time) ([]string, bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	var versions []string
	for version, seen := range history.lastSeen[service] {
		if now.Sub(seen) <= window {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions, !history.since.IsZero() && now.Sub(history.since) >= window && window <= MaxTTL
}
