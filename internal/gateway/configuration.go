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

// configuration is the version in force on this host.
type configuration struct {
	clock    clockwork.Clock
	logger   log.Interface
	maxAge   time.Duration // age up to which the version counts as current
	table    atomic.Pointer[route.Table]
	follower *store.Follower
	onChange func(*route.Table)
}

// configurationWait is the long poll of the configuration; a silent connection
// shows after it.
const configurationWait = 3 * time.Second

func newConfiguration(settings platform.Settings, configurationStore store.Store, clock clockwork.Clock, logger log.Interface) *configuration {
	configuration := &configuration{clock: clock, logger: logger, maxAge: settings.Bounds.Configuration + configurationWait}
	configuration.follower = &store.Follower{
		Store: configurationStore, Clock: clock, Logger: logger, Topic: platform.OperatorTopic, Wait: configurationWait, Apply: configuration.apply,
	}
	return configuration
}

// expect notes that another host has a version in force.
func (configuration *configuration) refreshIfOlder(version int64) {
	if table := configuration.table.Load(); version > 0 && (table == nil || table.Version() < version) {
		configuration.follower.Refresh()
	}
}

// Table implements front.Configuration.
func (configuration *configuration) Table() *route.Table { return configuration.table.Load() }

// Current implements front.Configuration.
func (configuration *configuration) Current() bool {
	return configuration.clock.Since(configuration.follower.Confirmed()) <= configuration.maxAge
}

// apply takes the operator's records. An older version never replaces a later
// one.
func (configuration *configuration) apply(records []store.Record, _ bool) {
	for _, record := range records {
		if record.Key != platform.ConfigurationKey || record.Dropped() {
			continue
		}
		table, err := platform.DecodeConfiguration(record.Value)
		if err != nil {
			configuration.logger.WithError(err).Error("configuration cannot be read; keeping the one in force")
			continue
		}
		if current := configuration.table.Load(); current != nil && current.Version() >= table.Version() {
			continue
		}
		configuration.table.Store(table)
		if configuration.onChange != nil {
			configuration.onChange(table)
		}
		configuration.logger.WithFields(log.Fields{"version": table.Version(), "workspaces": len(table.Workspaces())}).Info("configuration in force")
	}
}
