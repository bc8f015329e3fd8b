package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
)

// TestMissingTargets covers an entry that goes while the store is well, while
// it is lost, and shortly after its return: a target that left then must not
// stay in use for the whole time to return once more.
func TestMissingTargets(t *testing.T) {
	entry := []byte(`{"service":"tools","address":"127.0.0.1:1","slots":1,"state":"ready"}`)
	tests := []struct {
		name  string
		well  time.Duration // how long the store has been well when the entry goes; negative while it is lost
		after time.Duration // when the board is looked at
		gone  bool
	}{
		{"store well", time.Minute, 0, true},
		{"store lost", -1, time.Minute, false},
		{"store just back", 0, 2 * time.Second, false},
		{"store back, entry not renewed", 0, 2300 * time.Millisecond, true},
		{"left a second after the return", 1100 * time.Millisecond, 1200 * time.Millisecond, true},
	}
	for _, test := range tests {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		since, well := clock.Now().Add(-test.well), test.well >= 0
		registry := placement.NewBoard("dc", placement.Usual(rand.IntN))
		targetTracker := newTargetTracker(clock, &log.Logger{Handler: discard.Default}, registry, func() (time.Time, bool) { return since, well })
		targetTracker.apply([]store.Record{{Key: "t-1", Value: entry}}, true)
		targetTracker.apply([]store.Record{{Key: "t-1"}}, false)
		clock.Advance(test.after)
		targetTracker.apply(nil, false)
		is.Equal(registry.Len() == 0, test.gone) // test.name
	}
}

// TestLapsedEntryReturns covers an entry that is renewed in time.
func TestLapsedEntryReturns(t *testing.T) {
	is := is.New(t)
	entry := []byte(`{"service":"tools","address":"127.0.0.1:1","slots":1,"state":"ready"}`)
	clock := clockwork.NewFakeClock()
	back := clock.Now()
	registry := placement.NewBoard("dc", placement.Usual(rand.IntN))
	targetTracker := newTargetTracker(clock, &log.Logger{Handler: discard.Default}, registry, func() (time.Time, bool) { return back, true })
	targetTracker.apply([]store.Record{{Key: "t-1", Value: entry}}, true)
	targetTracker.apply(nil, true)
	clock.Advance(2 * time.Second)
	targetTracker.apply([]store.Record{{Key: "t-1", Value: entry}}, false)
	clock.Advance(time.Minute)
	targetTracker.apply(nil, false)
	is.Equal(registry.Len(), 1)
}

// TestOlderConfiguration checks that an older version, or one that cannot be
// read, never replaces the one in force.
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
	configuration.apply([]store.Record{{Key: "config"}}, false) // dropped
	is.Equal(configuration.Table().Version(), int64(5))
	configuration.apply(record(`{"version":9}`), false)
	is.Equal(configuration.Table().Version(), int64(9))
}
