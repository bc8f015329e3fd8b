package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/hostclock"
)

const (
	// departureTTL is how long a departure is remembered: an entry of the store that is
	// older than the departure does not come back later.
	departureTTL = 10 * time.Minute
	// departureNews is how long hosts tell each other of a departure.
	departureNews     = 10 * time.Second
	maxDepartures     = 4096 // remembered; a departure is needed until the target has ended
	maxDepartureNews  = 256  // in one message
	maxDepartedStarts = 8    // of one target; more of them within hostclock.Tolerance are not expected
	maxDepartureDelay = time.Minute
)

// Departure tells another host that a target is leaving. It contains an age, because the
// clocks of hosts differ.
type Departure struct {
	Boot int64         `msgpack:"b,omitempty"` // start time of the target, in Unix milliseconds
	Age  time.Duration `msgpack:"a,omitempty"` // since the response that said so
}

// departures are the targets that have said that they are leaving, by ID. Until a target
// starts again, no entry of the store overrides what it said itself.
type departures struct {
	mutex   sync.Mutex
	entries map[string]departed
}

type departed struct {
	starts []int64 // of the target that are leaving or have left, in Unix milliseconds, in the order in which they were recorded
	at     time.Time
}

// includes reports whether a start of the target is leaving. Starts have left as well that
// precede another one by more than the clocks of targets can be off. A closer one may be a
// restart after the wall clock of the target was set back.
func (departed departed) includes(start int64) bool {
	return slices.Contains(departed.starts, start) || start < slices.Max(departed.starts)-hostclock.Tolerance.Milliseconds()
}

func newDepartures() *departures { return &departures{entries: make(map[string]departed)} }

// record records that a target is leaving, and reports whether that is news.
func (departures *departures) record(id string, boot int64, at time.Time) bool {
	departures.mutex.Lock()
	defer departures.mutex.Unlock()
	known, ok := departures.entries[id]
	if ok && known.includes(boot) {
		return false
	}
	if !ok && len(departures.entries) >= maxDepartures {
		departures.dropOldest()
	}
	starts := append(slices.Clone(known.starts), boot)
	departures.entries[id] = departed{starts: starts[max(0, len(starts)-maxDepartedStarts):], at: at}
	return true
}

// dropOldest makes room for a departure. The caller must hold the mutex.
func (departures *departures) dropOldest() {
	oldest := ""
	for id, entry := range departures.entries {
		if oldest == "" || entry.at.Before(departures.entries[oldest].at) {
			oldest = id
		}
	}
	delete(departures.entries, oldest)
}

// includes reports whether a target that started at a time is leaving.
func (departures *departures) includes(id string, boot int64) bool {
	departures.mutex.Lock()
	defer departures.mutex.Unlock()
	known, ok := departures.entries[id]
	return ok && known.includes(boot)
}

// news returns the departures that this host tells other hosts.
func (departures *departures) news(now time.Time) map[string]Departure {
	departures.mutex.Lock()
	defer departures.mutex.Unlock()
	var news map[string]Departure
	for id, entry := range departures.entries {
		age := max(0, now.Sub(entry.at))
		if age > departureNews || len(news) >= maxDepartureNews {
			continue
		}
		if news == nil {
			news = make(map[string]Departure)
		}
		news[id] = Departure{Boot: entry.starts[len(entry.starts)-1], Age: age}
	}
	return news
}

// evict deletes the departures of targets that have ended long ago.
func (departures *departures) evict(now time.Time) {
	departures.mutex.Lock()
	defer departures.mutex.Unlock()
	for id, entry := range departures.entries {
		if now.Sub(entry.at) > departureTTL {
			delete(departures.entries, id)
		}
	}
}

// MarkLeaving records that a target has said that it is leaving: it gets no further
// requests until it has started again. It reports whether that is news.
func (registry *Registry) MarkLeaving(id string, boot int64, now time.Time) bool {
	if !registry.departures.record(id, boot, now) {
		return false
	}
	registry.applyDeparture(id)
	return true
}

// MergeDeparture records the departure of a target that another host tells. It reports
// whether that is news.
func (registry *Registry) MergeDeparture(id string, departure Departure, now time.Time) bool {
	if id == "" || departure.Age < 0 || departure.Age > maxDepartureDelay {
		return false
	}
	return registry.MarkLeaving(id, departure.Boot, now.Add(-departure.Age))
}

// Departures returns what this host tells other hosts of targets that are leaving, by
// target ID.
func (registry *Registry) Departures(now time.Time) map[string]Departure {
	return registry.departures.news(now)
}

// EvictDepartures forgets targets that left long ago.
func (registry *Registry) EvictDepartures(now time.Time) { registry.departures.evict(now) }

func (registry *Registry) applyDeparture(id string) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if state, ok := registry.targets[id]; ok {
		state.target.Draining = state.target.Draining || registry.departures.includes(id, state.target.StartedAtMillis)
	}
}

// Draining reports whether a target gets no further requests, because it is leaving or its
// data centre is evacuated, and is true for unknown targets.
func (registry *Registry) Draining(id string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	state, known := registry.targets[id]
	return !known || !registry.accepts(Request{}, state.target)
}

// AllDraining reports whether a service has targets and none of them accepts further
// requests.
func (registry *Registry) AllDraining(service string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, state := range registry.byService[service] {
		if !state.target.Draining {
			return false
		}
	}
	return len(registry.byService[service]) > 0
}
