package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
)

// TestMissingTargets guards against removing a running target whose entry expired
// because of an outage of the store, and against using a target that has left. A
// target that leaves shortly after an outage must not stay in use for another full
// renewal grace period.
func TestMissingTargets(t *testing.T) {
	entry := []byte(`{"service":"tools","version":"v1","address":"127.0.0.1:1","slots":1,"state":"ready"}`)
	tests := []struct {
		name       string
		healthyFor time.Duration // time since the store became available when the entry disappears; negative during an outage
		after      time.Duration // time from the removal of the entry to the check of the registry
		removed    bool
	}{
		{"store available", time.Minute, 0, true},
		{"store outage", -1, time.Minute, false},
		{"store just available again", 0, 2 * time.Second, false},
		{"entry not renewed after the outage", 0, 2300 * time.Millisecond, true},
		{"target leaves a second after the outage", 1100 * time.Millisecond, 1200 * time.Millisecond, true},
	}
	for _, test := range tests {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		since, healthy := clock.Now().Add(-test.healthyFor), test.healthyFor >= 0
		registry := placement.NewRegistry("dc", placement.DefaultPolicy(rand.IntN))
		targetTracker := newTargetTracker(clock, &log.Logger{Handler: discard.Default}, metric.Discard(), registry, func() (time.Time, bool) { return since, healthy })
		targetTracker.apply([]store.Record{{Key: "t-1", Value: entry}}, true)
		targetTracker.apply([]store.Record{{Key: "t-1"}}, false)
		clock.Advance(test.after)
		targetTracker.apply(nil, false)
		is.Equal(registry.Len() == 0, test.removed) // test.name
	}
}

// TestLapsedEntryReturns checks that a target stays in the registry if its expired
// entry is renewed within the grace period.
func TestLapsedEntryReturns(t *testing.T) {
	is := is.New(t)
	entry := []byte(`{"service":"tools","version":"v1","address":"127.0.0.1:1","slots":1,"state":"ready"}`)
	clock := clockwork.NewFakeClock()
	restored := clock.Now()
	registry := placement.NewRegistry("dc", placement.DefaultPolicy(rand.IntN))
	targetTracker := newTargetTracker(clock, &log.Logger{Handler: discard.Default}, metric.Discard(), registry, func() (time.Time, bool) { return restored, true })
	targetTracker.apply([]store.Record{{Key: "t-1", Value: entry}}, true)
	targetTracker.apply(nil, true)
	clock.Advance(2 * time.Second)
	targetTracker.apply([]store.Record{{Key: "t-1", Value: entry}}, false)
	clock.Advance(time.Minute)
	targetTracker.apply(nil, false)
	is.Equal(registry.Len(), 1)
}

// TestOlderConfiguration checks that an older or undecodable version never
// replaces the current one.
func TestOlderConfiguration(t *testing.T) {
	is := is.New(t)
	configuration := &configuration{clock: clockwork.NewFakeClock(), logger: &log.Logger{Handler: discard.Default}}
	record := func(text string) []store.Record { return []store.Record{{Key: "config", Value: []byte(text)}} }
	configuration.apply(record(`{"version":5}`), true)
	for _, text := range []string{`{"version":4}`, `{"version":5}`, `not readable`, `{"version":"6"}`} {
		before := configuration.Table()
		configuration.apply(record(text), false)
		is.Equal(configuration.Table(), before) // text
	}
	configuration.apply([]store.Record{{Key: "config"}}, false) // tombstone
	is.Equal(configuration.Table().Version(), int64(5))
	configuration.apply(record(`{"version":9}`), false)
	is.Equal(configuration.Table().Version(), int64(9))
}

// TestVersionsOfMissedTargets guards against counting a version as the only one of a
// service although a target of another one may have come and gone unseen.
func TestVersionsOfMissedTargets(t *testing.T) {
	const window = 5 * time.Second
	entry := func(version string) []byte {
		return []byte(`{"service":"engines","version":"` + version + `","address":"127.0.0.1:1","slots":1,"state":"ready"}`)
	}
	tests := []struct {
		name     string
		gap      time.Duration // before the last read of the entries
		records  []store.Record
		listed   bool // the last read is a listing, because the records in between have expired
		versions []string
		complete bool
	}{
		{"no gap", 300 * time.Millisecond, nil, false, []string{"v1"}, true},
		{"target came and left within one read", 300 * time.Millisecond, []store.Record{{Key: "t-2", Value: entry("v2")}, {Key: "t-2"}}, false, []string{"v1", "v2"}, true},
		{"target changed its version", 300 * time.Millisecond, []store.Record{{Key: "t-1", Value: entry("v2")}}, false, []string{"v1", "v2"}, true},
		{"all records of an outage were read", time.Minute, nil, false, []string{"v1"}, true},
		{"records of a moment have expired", time.Second, []store.Record{{Key: "t-1", Value: entry("v1")}}, true, []string{"v1"}, true},
		{"records of an outage have expired", time.Minute, []store.Record{{Key: "t-1", Value: entry("v1")}}, true, []string{"v1"}, false},
	}
	for _, test := range tests {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		since := clock.Now().Add(-time.Minute)
		registry := placement.NewRegistry("dc", placement.DefaultPolicy(rand.IntN))
		targetTracker := newTargetTracker(clock, &log.Logger{Handler: discard.Default}, metric.Discard(), registry, func() (time.Time, bool) { return since, true })
		targetTracker.apply([]store.Record{{Key: "t-1", Value: entry("v1")}}, true)
		for range 20 {
			clock.Advance(300 * time.Millisecond)
			targetTracker.apply(nil, false)
		}
		clock.Advance(test.gap)
		targetTracker.apply(test.records, test.listed)
		versions, complete := targetTracker.versions.Versions("engines", window, clock.Now())
		is.Equal(versions, test.versions) // test.name
		is.Equal(complete, test.complete) // test.name
	}
}
