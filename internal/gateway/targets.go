package gateway

import (
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

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
	missing      map[string]bool          // IDs of the targets without an entry
}

func newTargetTracker(clock clockwork.Clock, logger log.Interface, registry *placement.Registry, healthySince func() (time.Time, bool)) *targetTracker {
	return &targetTracker{clock: clock, logger: logger, registry: registry, healthySince: healthySince, missing: make(map[string]bool)}
}

// apply updates the registry from target entries. complete is true if the records
// contain all current entries. It runs on the follower's goroutine.
func (targetTracker *targetTracker) apply(records []store.Record, complete bool) {
	present := make(map[string]bool)
	for _, record := range records {
		if record.IsTombstone() {
			targetTracker.missing[record.Key] = true
			continue
		}
		present[record.Key] = true
		target, err := platform.DecodeTarget(record.Key, record.Value)
		if err != nil {
			targetTracker.logger.WithError(err).Debug("entry of a target cannot be decoded")
			continue
		}
		delete(targetTracker.missing, target.ID)
		if targetTracker.registry.Put(target) && target.Draining {
			targetTracker.logger.WithFields(log.Fields{"target": target.ID, "service": target.Service}).Info("target is draining")
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
