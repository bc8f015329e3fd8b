package gateway

import (
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/origin"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/platform"
)

// renewalGrace is the time for targets to renew entries that expired during an
// outage of the store. Targets renew them within about two seconds after it.
const renewalGrace = 2200 * time.Millisecond

// targetTracker updates the registry of targets from their entries in the store.
type targetTracker struct {
	clock        clockwork.Clock
	logger       log.Interface
	registry     *placement.Registry
	healthySince func() (time.Time, bool) // start of the period in which the store has responded to every call; false while calls fail
	missing      map[string]bool          // IDs of the targets without an entry that names one
	unreadable   map[string]bool          // keys of entries that cannot be decoded
	metrics      *metric.Metrics
	versions     *origin.VersionHistory
	onCold       func(target placement.Target) // a cold phase has begun; may be nil
	applied      bool                          // entries have been applied
	lastApplied  time.Duration                 // uptime at which they were applied last
}

func newTargetTracker(clock clockwork.Clock, logger log.Interface, metrics *metric.Metrics, registry *placement.Registry, healthySince func() (time.Time, bool)) *targetTracker {
	return &targetTracker{
		clock: clock, logger: logger, metrics: metrics, registry: registry, healthySince: healthySince,
		missing: make(map[string]bool), unreadable: make(map[string]bool), versions: origin.NewVersionHistory(),
	}
}

// maxListingGap is the longest time between two listings of the entries in which no
// target can have started, served and left: it serves for longer than its start takes
// and reports that it is draining two seconds before it leaves.
const maxListingGap = 2 * time.Second

// observeVersions records the software versions that have been in use until now.
func (targetTracker *targetTracker) observeVersions() {
	now := targetTracker.clock.Now()
	for _, target := range targetTracker.registry.Targets() {
		targetTracker.versions.Observe(target.Service, target.Version, now)
	}
}

// continueHistory restarts the history of versions if entries may have been missed.
func (targetTracker *targetTracker) continueHistory(complete bool) {
	now, uptime := targetTracker.clock.Now(), hostclock.Uptime(targetTracker.clock)
	if complete && (!targetTracker.applied || uptime-targetTracker.lastApplied > maxListingGap) {
		targetTracker.versions.Restart(now)
	}
	targetTracker.applied, targetTracker.lastApplied = true, uptime
}

// apply updates the registry from target entries. complete is true if the records
// contain all current entries. It runs on the follower's goroutine.
func (targetTracker *targetTracker) apply(records []store.Record, complete bool) {
	targetTracker.continueHistory(complete)
	targetTracker.observeVersions()
	present := make(map[string]bool)
	for _, record := range records {
		if record.IsTombstone() {
			targetTracker.missing[record.Key] = true
			continue
		}
		target, err := platform.DecodeTarget(record.Key, record.Value)
		if err != nil {
			targetTracker.recordUnreadable(record.Key, err)
			targetTracker.missing[record.Key] = true
			continue
		}
		present[record.Key] = true
		delete(targetTracker.unreadable, record.Key)
		delete(targetTracker.missing, target.ID)
		targetTracker.versions.Observe(target.Service, target.Version, targetTracker.clock.Now())
		cold := targetTracker.observeCold(target, record.Value)
		if targetTracker.registry.Put(target) && target.Draining {
			targetTracker.logger.WithFields(log.Fields{"target": target.ID, "service": target.Service}).Info("target is draining")
		}
		if cold && targetTracker.onCold != nil {
			targetTracker.onCold(target)
		}
	}
	if complete {
		for _, target := range targetTracker.registry.Targets() {
			if !present[target.ID] {
				targetTracker.missing[target.ID] = true
			}
		}
	}
	targetTracker.removeMissing()
}

// maxUnreadable bounds the memory for keys of entries that cannot be decoded.
const maxUnreadable = 1000

// recordUnreadable logs that an entry names no target, once until it is readable again.
func (targetTracker *targetTracker) recordUnreadable(key string, err error) {
	targetTracker.metrics.Count("target_entries_unreadable")
	if targetTracker.unreadable[key] {
		return
	}
	if len(targetTracker.unreadable) >= maxUnreadable {
		clear(targetTracker.unreadable)
	}
	targetTracker.unreadable[key] = true
	targetTracker.logger.WithError(err).Warn("entry of a target cannot be decoded; using the others")
}

// removeMissing removes the targets without an entry once the store has been
// available for long enough that a running target would have renewed its entry.
func (targetTracker *targetTracker) removeMissing() {
	defer func() { targetTracker.registry.SetMissing(maps.Clone(targetTracker.missing)) }()
	since, healthy := targetTracker.healthySince()
	if !healthy || targetTracker.clock.Since(since) < renewalGrace {
		return
	}
	for id := range targetTracker.missing {
		delete(targetTracker.missing, id)
		if targetTracker.registry.Remove(id) {
			targetTracker.logger.WithField("target", id).Info("target removed")
		}
	}
}

// targetView implements origin.Targets.
type targetView struct {
	*placement.Registry
	*store.Follower
	*targetLog
}
