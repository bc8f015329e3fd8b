package gateway

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/platform"
)

// configuration follows the operator's topic and keeps the newest version of the
// configuration. It passes the records on to evacuations.
type configuration struct {
	clock       clockwork.Clock
	logger      log.Interface
	maxAge      time.Duration // the version counts as current for this long after the store has confirmed it
	table       atomic.Pointer[route.Table]
	follower    *store.Follower
	onChange    func(*route.Table)
	evacuations *evacuationTracker // nil in tests of the configuration alone
}

const (
	// configurationPolls is the number of long polls of the operator's topic within
	// the time in which a version or an evacuation must be in force. The store may not wake a poll,
	// which then returns the version when it ends.
	configurationPolls = 2
	// maxConfigurationWait is the longest duration of such a poll. A connection that
	// has stopped responding is detected after it.
	maxConfigurationWait = 3 * time.Second
	minConfigurationWait = 200 * time.Millisecond
)

func newConfiguration(settings platform.Settings, configurationStore store.Store, clock clockwork.Clock, logger log.Interface) *configuration {
	configuration := &configuration{clock: clock, logger: logger, maxAge: settings.Bounds.Configuration + maxConfigurationWait}
	bound := settings.Bounds.Configuration
	if settings.Bounds.Evacuation > 0 {
		bound = min(bound, settings.Bounds.Evacuation)
	}
	configurationWait := max(minConfigurationWait, min(maxConfigurationWait, bound/configurationPolls))
	configuration.follower = &store.Follower{
		Store: configurationStore, Clock: clock, Logger: logger, Topic: platform.OperatorTopic, Wait: configurationWait, Apply: configuration.apply,
	}
	return configuration
}

// refreshIfOlder interrupts the long poll and reads the configuration again if
// another host has a newer version.
func (configuration *configuration) refreshIfOlder(version int64) {
	if table := configuration.table.Load(); version > 0 && (table == nil || table.Version() < version) {
		configuration.follower.Refresh()
	}
}

// Table implements front.Configuration.
func (configuration *configuration) Table() *route.Table { return configuration.table.Load() }

// Current implements front.Configuration.
func (configuration *configuration) Current() bool {
	return configuration.follower.ViewAge() <= configuration.maxAge
}

// apply decodes the operator's records. An older version never replaces a newer
// one.
func (configuration *configuration) apply(records []store.Record, complete bool) {
	if configuration.evacuations != nil {
		configuration.evacuations.apply(records, complete, configuration.follower.Next())
	}
	for _, record := range records {
		if record.Key != platform.ConfigurationKey || record.IsTombstone() {
			continue
		}
		table, err := platform.DecodeConfiguration(record.Value)
		if err != nil {
			configuration.logger.WithError(err).Error("configuration cannot be decoded; keeping the current version")
			continue
		}
		if current := configuration.table.Load(); current != nil && current.Version() >= table.Version() {
			continue
		}
		table.KeepCold(configuration.table.Load())
		for _, service := range table.Services() {
			if service.ColdFault != nil {
				configuration.logger.WithError(service.ColdFault).WithFields(log.Fields{"version": table.Version(), "cold_ms": service.Cold.Duration.Milliseconds(), "per_second": service.Cold.Rate}).Error("cold phase of a service cannot be decoded; keeping the previous one")
			}
		}
		configuration.table.Store(table)
		if configuration.onChange != nil {
			configuration.onChange(table)
		}
		configuration.logger.WithFields(log.Fields{"version": table.Version(), "workspaces": len(table.Workspaces())}).Info("configuration applied")
	}
}
