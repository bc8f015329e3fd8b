package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/evacuation"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/platform"
)

// storeSource is the source of an evacuation whose record this host has read.
const storeSource = "store"

// evacuationTracker keeps the evacuated data centres of the registry up to date.
type evacuationTracker struct {
	clock    clockwork.Clock
	logger   log.Interface
	metrics  *metric.Metrics
	registry *placement.Registry
	known    func(dataCentre string) bool // whether a host, a target or a setting names it
	board    *evacuation.Board

	mutex     sync.Mutex      // makes changes of the board and of the registry one step
	announced map[string]bool // evacuated data centres, with whether they were known when they were logged
	invalid   map[string]bool // keys without a valid name of a data centre
}

func newEvacuationTracker(clock clockwork.Clock, logger log.Interface, metrics *metric.Metrics, registry *placement.Registry, known func(string) bool) *evacuationTracker {
	return &evacuationTracker{
		clock: clock, logger: logger, metrics: metrics, registry: registry, known: known,
		board: evacuation.NewBoard(), announced: make(map[string]bool), invalid: make(map[string]bool),
	}
}

// apply applies records of the operator's topic. next is the offset up to which they, or
// the listing if complete is true, cover the topic.
func (evacuationTracker *evacuationTracker) apply(records []store.Record, complete bool, next int64) {
	evacuationTracker.mutex.Lock()
	defer evacuationTracker.mutex.Unlock()
	decoded := make([]evacuation.Record, 0, len(records))
	for _, record := range records {
		decoded = append(decoded, evacuationTracker.decode(record))
	}
	now := evacuationTracker.clock.Now()
	if complete {
		evacuationTracker.enforce(evacuationTracker.board.ApplyListing(decoded, next, storeSource, now))
		return
	}
	evacuationTracker.enforce(evacuationTracker.board.Apply(decoded, next, storeSource, now))
}

// decode returns what a record says.
func (evacuationTracker *evacuationTracker) decode(record store.Record) evacuation.Record {
	dataCentre, related := platform.EvacuatedDataCentre(record.Key)
	decoded := evacuation.Record{DataCentre: dataCentre, Offset: record.Offset}
	if !related {
		return decoded
	}
	if err := platform.CheckDataCentreName(dataCentre); err != nil {
		evacuationTracker.recordInvalid(record.Key, err)
		return decoded
	}
	if record.IsTombstone() {
		decoded.State = evacuation.Withdrawn
		return decoded
	}
	decoded.State = evacuation.Requested
	if err := platform.CheckEvacuation(record.Value); err != nil {
		decoded.State = evacuation.Unreadable
		evacuationTracker.metrics.Count("evacuation_records_unreadable")
		evacuationTracker.logger.WithError(err).WithField("key", record.Key).Debug("record of an evacuation cannot be decoded")
	}
	return decoded
}

// recordInvalid logs once that a key names no data centre.
func (evacuationTracker *evacuationTracker) recordInvalid(key string, err error) {
	evacuationTracker.metrics.Count("evacuation_records_unreadable")
	if evacuationTracker.invalid[key] {
		return
	}
	if len(evacuationTracker.invalid) >= maxUnreadable {
		clear(evacuationTracker.invalid)
	}
	evacuationTracker.invalid[key] = true
	evacuationTracker.logger.WithError(err).WithField("key", key).Warn("evacuation names no valid data centre; ignoring it")
}

// merge applies what another host says. A host of an older build says nothing.
func (evacuationTracker *evacuationTracker) merge(snapshot *evacuation.Snapshot, source string) {
	if snapshot == nil {
		return
	}
	evacuationTracker.mutex.Lock()
	defer evacuationTracker.mutex.Unlock()
	evacuationTracker.enforce(evacuationTracker.board.Merge(*snapshot, source, evacuationTracker.clock.Now()))
}

// snapshot returns what this host tells other hosts, and nil before it knows anything.
func (evacuationTracker *evacuationTracker) snapshot() *evacuation.Snapshot {
	snapshot := evacuationTracker.board.Snapshot(evacuationTracker.clock.Now())
	if snapshot.End == 0 {
		return nil
	}
	return &snapshot
}

// enforce puts changes in force. The caller holds the mutex.
func (evacuationTracker *evacuationTracker) enforce(changes []evacuation.Change) {
	if len(changes) == 0 {
		return
	}
	now := evacuationTracker.clock.Now()
	active := make(map[string]bool)
	for _, current := range evacuationTracker.board.Evacuations() {
		active[current.DataCentre] = true
	}
	for _, change := range changes {
		if change.Kind == evacuation.Began && !active[change.DataCentre] {
			// A later one of the changes lifts it, and the registry must see that.
			passing := maps.Clone(active)
			passing[change.DataCentre] = true
			evacuationTracker.registry.SetEvacuated(passing, now)
		}
	}
	evacuationTracker.registry.SetEvacuated(active, now)
	for _, change := range changes {
		evacuationTracker.report(change, now)
	}
	evacuationTracker.metrics.SetGauge("data_centres_evacuated", float64(evacuationTracker.countKnown(active)))
}

func (evacuationTracker *evacuationTracker) countKnown(active map[string]bool) int {
	count := 0
	for dataCentre := range active {
		if evacuationTracker.known(dataCentre) {
			count++
		}
	}
	return count
}

// report logs and counts a change.
func (evacuationTracker *evacuationTracker) report(change evacuation.Change, now time.Time) {
	entry := evacuationTracker.logger.WithFields(log.Fields{
		"data_centre": change.DataCentre, "source": change.Source, "offset": change.Offset, "age_ms": now.Sub(change.Since).Milliseconds(),
	})
	switch change.Kind {
	case evacuation.Began:
		if evacuationTracker.known(change.DataCentre) {
			evacuationTracker.announce(change.Evacuation, now)
		}
	case evacuation.Lifted:
		delete(evacuationTracker.announced, change.DataCentre)
		evacuationTracker.metrics.Count("evacuations_lifted")
		entry.Info("evacuation of a data centre lifted")
	case evacuation.Garbled:
		entry.Warn("record of an evacuation cannot be decoded; keeping the state of before")
	case evacuation.Ignored:
		evacuationTracker.metrics.Count("evacuations_ignored")
		evacuationTracker.logger.WithFields(log.Fields{"data_centre": change.DataCentre, "offset": change.Offset}).Warn("too many data centres are evacuated; ignoring one")
	}
}

// announce logs an evacuation. The caller holds the mutex.
func (evacuationTracker *evacuationTracker) announce(current evacuation.Evacuation, now time.Time) {
	there, elsewhere := 0, 0
	for _, target := range evacuationTracker.registry.Targets() {
		if target.DataCentre == current.DataCentre {
			there++
		} else {
			elsewhere++
		}
	}
	evacuationTracker.announced[current.DataCentre] = true
	evacuationTracker.metrics.Count("evacuations_begun")
	evacuationTracker.logger.WithFields(log.Fields{
		"data_centre": current.DataCentre, "source": current.Source, "offset": current.Offset, "age_ms": now.Sub(current.Since).Milliseconds(),
		"targets": there, "targets_elsewhere": elsewhere,
	}).Info("data centre is evacuated; sending nothing more to its targets")
}

// checkNames logs evacuations of data centres that were unknown when their record was
// read: once that they have no effect, and if they become known, that they have. A host
// that starts knows few names before it has read the entries of targets.
func (evacuationTracker *evacuationTracker) checkNames() {
	if evacuationTracker.registry.Len() == 0 {
		return
	}
	evacuationTracker.mutex.Lock()
	defer evacuationTracker.mutex.Unlock()
	active := make(map[string]bool)
	for _, current := range evacuationTracker.board.Evacuations() {
		active[current.DataCentre] = true
		announcedAsKnown, announced := evacuationTracker.announced[current.DataCentre]
		switch {
		case announcedAsKnown:
		case evacuationTracker.known(current.DataCentre):
			evacuationTracker.announce(current, evacuationTracker.clock.Now())
		case !announced:
			evacuationTracker.announced[current.DataCentre] = false
			evacuationTracker.metrics.Count("evacuations_unknown")
			evacuationTracker.logger.WithFields(log.Fields{"data_centre": current.DataCentre, "source": current.Source, "offset": current.Offset}).
				Warn("evacuation names a data centre that no host, target or setting names; it has no effect")
		}
	}
	evacuationTracker.metrics.SetGauge("data_centres_evacuated", float64(evacuationTracker.countKnown(active)))
}

// EvacuationStatus is the evacuation of a data centre.
type EvacuationStatus struct {
	DataCentre string `json:"data_centre"`
	Age        string `json:"age"`    // time since a host first saw the request
	Source     string `json:"source"` // "store", or the host from which this one learned it
	Unknown    bool   `json:"unknown,omitempty"`
}

// status returns the evacuations in force.
func (evacuationTracker *evacuationTracker) status() []EvacuationStatus {
	var statuses []EvacuationStatus
	for _, current := range evacuationTracker.board.Evacuations() {
		statuses = append(statuses, EvacuationStatus{
			DataCentre: current.DataCentre, Age: evacuationTracker.clock.Since(current.Since).Round(time.Millisecond).String(),
			Source: current.Source, Unknown: !evacuationTracker.known(current.DataCentre),
		})
	}
	return statuses
}

// knowsDataCentre reports whether a setting, a host or a target names a data centre.
func (gateway *Gateway) knowsDataCentre(dataCentre string) bool {
	if dataCentre == gateway.settings.DataCentre || gateway.mesh.UnreachableDataCentres()[dataCentre] {
		return true
	}
	for _, name := range gateway.settings.DataCentres {
		if name == dataCentre {
			return true
		}
	}
	for _, state := range gateway.mesh.Reachable() {
		if state.DataCentre == dataCentre {
			return true
		}
	}
	return gateway.registry.HasDataCentre(dataCentre)
}
