package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// registryWith returns a registry in data centre a with the given targets.
func registryWith(targets ...Target) *Registry {
	registry := NewRegistry("a", DefaultPolicy(rand.IntN))
	for _, target := range targets {
		registry.Put(target)
	}
	return registry
}

// TestChoose guards against sending requests to draining, failed, overloaded or
// unreachable targets while a better one is left. It checks which of two targets
// is preferred.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	near := Target{ID: "near", Service: "s", DataCentre: "a", Slots: 4}
	far := Target{ID: "far", Service: "s", DataCentre: "b", Slots: 4}
	tests := []struct {
		name    string
		prepare func(*Registry)
		request Request
		chosen  string
	}{
		{"prefers the data centre of the host", func(*Registry) {}, Request{Service: "s"}, "near"},
		{"prefers the less loaded target", func(registry *Registry) { registry.SetRemoteLoad(map[string]int{"near": 3}) }, Request{Service: "s"}, "far"},
		{"skips a draining target", func(registry *Registry) { draining := near; draining.Draining = true; registry.Put(draining) }, Request{Service: "s"}, "far"},
		{"skips a target that was already tried", func(*Registry) {}, Request{Service: "s", Tried: []string{"near"}}, "far"},
		{"skips a target that has just failed", func(registry *Registry) {
			registry.Choose(Request{Service: "s"}, now)
			registry.Done("near", Failed, now)
		}, Request{Service: "s"}, "far"},
		{"prefers the target of the affinity", func(registry *Registry) {
			registry.Choose(Request{Service: "s", Tried: []string{"near"}, Affinity: "x"}, now)
			registry.Done("far", Served, now)
		}, Request{Service: "s", Affinity: "x"}, "far"},
		{"skips an overloaded target of the affinity", func(registry *Registry) {
			registry.Choose(Request{Service: "s", Tried: []string{"near"}, Affinity: "x"}, now)
			registry.SetRemoteLoad(map[string]int{"far": 8})
		}, Request{Service: "s", Affinity: "x"}, "near"},
		{"uses a missing target only as a last resort", func(registry *Registry) {
			registry.SetRemoteLoad(map[string]int{"far": 9})
			registry.SetMissing(map[string]bool{"near": true})
		}, Request{Service: "s"}, "far"},
		{"uses an unreachable data centre only as a last resort", func(registry *Registry) {
			registry.SetRemoteLoad(map[string]int{"near": 9})
			registry.SetUnreachableDataCentres(map[string]bool{"b": true})
		}, Request{Service: "s"}, "near"},
	}
	for _, test := range tests {
		is := is.New(t)
		registry := registryWith(near, far)
		test.prepare(registry)
		chosen, found := registry.Choose(test.request, now)
		is.True(found)
		is.Equal(chosen.ID, test.chosen) // test.name
	}
}

// TestChooseNothing guards against sending a request to a target that must not
// run it. It checks that no target is returned if the service is unknown,
// every target was tried, or the target was removed.
func TestChooseNothing(t *testing.T) {
	is := is.New(t)
	registry := registryWith(Target{ID: "one", Service: "s", Slots: 1})
	_, found := registry.Choose(Request{Service: "other"}, time.Unix(1, 0))
	is.True(!found)
	_, found = registry.Choose(Request{Service: "s", Tried: []string{"one"}}, time.Unix(1, 0))
	is.True(!found)
	is.True(registry.Remove("one"))
	_, found = registry.Choose(Request{Service: "s"}, time.Unix(1, 0))
	is.True(!found)
}

// TestPause guards against sending requests to a target whose request limit leaves
// no room. It checks that the target whose pause ends first is offered when no
// other is left, and that a pause ends.
func TestPause(t *testing.T) {
	is := is.New(t)
	registry := registryWith(Target{ID: "one", Service: "s", Slots: 4}, Target{ID: "two", Service: "s", Slots: 4}, Target{ID: "other", Service: "r", Slots: 4})
	now, request := time.Unix(1000, 0), Request{Service: "s"}
	_, _, found := registry.ChoosePaused(request, now)
	is.True(!found)
	for _, id := range []string{"one", "two"} {
		chosen, _ := registry.Choose(Request{Service: "s", Tried: []string{map[string]string{"one": "two", "two": "one"}[id]}}, now)
		is.Equal(chosen.ID, id)
	}
	registry.Pause("two", now.Add(300*time.Millisecond))
	chosen, _ := registry.Choose(request, now)
	is.Equal(chosen.ID, "one")
	registry.Pause("one", now.Add(200*time.Millisecond))
	_, found = registry.Choose(request, now)
	is.True(!found)
	chosen, wait, found := registry.ChoosePaused(request, now)
	is.True(found)
	is.Equal(chosen.ID, "one")
	is.Equal(wait, 200*time.Millisecond)
	chosen, _, _ = registry.ChoosePaused(Request{Service: "s", Tried: []string{"one"}}, now)
	is.Equal(chosen.ID, "two")
	_, found = registry.Choose(request, now.Add(200*time.Millisecond))
	is.True(found)
	is.Equal(registry.LocalLoad(), map[string]int{"one": 3, "two": 1}) // withdrawn requests do not count
}

// overloaded reports whether a service is overloaded, without its load.
func overloaded(registry *Registry, service string, urgent bool) bool {
	_, overloaded := registry.Overloaded(service, urgent, time.Unix(1000, 0))
	return overloaded
}

// TestOverloaded guards against starting programs on overloaded targets. It checks
// that urgent programs have the higher threshold and that draining targets do
// not count as capacity.
func TestOverloaded(t *testing.T) {
	is := is.New(t)
	first, second := Target{ID: "one", Service: "s", DataCentre: "a", Slots: 10}, Target{ID: "two", Service: "s", DataCentre: "b", Slots: 10}
	registry := registryWith(first, second)
	for _, test := range []struct {
		load           int  // at each target
		normal, urgent bool // whether the service is overloaded for programs of that priority
	}{{10, false, false}, {14, false, false}, {15, true, false}, {19, true, false}, {20, true, true}} {
		registry.SetRemoteLoad(map[string]int{"one": test.load, "two": test.load})
		is.Equal(overloaded(registry, "s", false), test.normal) // test.load
		is.Equal(overloaded(registry, "s", true), test.urgent)  // test.load
	}
	registry.SetRemoteLoad(map[string]int{"one": 15})
	is.True(!overloaded(registry, "s", false))
	second.Draining = true
	registry.Put(second)
	is.True(overloaded(registry, "s", false))
	is.True(!overloaded(registry, "unknown", false))
}

// TestOverloadedAtRequestLimits guards against starting programs because targets
// at their request limits look idle: it leaves their slots free.
func TestOverloadedAtRequestLimits(t *testing.T) {
	is := is.New(t)
	limited, unlimited := Target{ID: "limited", Service: "s", Slots: 10}, Target{ID: "unlimited", Service: "s", Slots: 10}
	registry := registryWith(limited, unlimited)
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name       string
		sinceStart time.Duration // of the pause, which lasts 100 ms
		load       int           // at the target without a limit
		overloaded bool
	}{
		{"other target has room", 50 * time.Millisecond, 14, false},
		{"other target is full", 50 * time.Millisecond, 15, true},
		{"pause has just ended", 200 * time.Millisecond, 15, true},
		{"pause ended long ago", 2 * time.Second, 15, false},
	} {
		registry.Pause("limited", now.Add(100*time.Millisecond))
		registry.SetRemoteLoad(map[string]int{"unlimited": test.load})
		_, overloaded := registry.Overloaded("s", false, now.Add(test.sinceStart))
		is.Equal(overloaded, test.overloaded) // test.name
	}
}

// TestFailedTargetReturns guards against sending requests to a failing target
// too early or never again. It checks that the backoff doubles with each
// failure and that the target is used once it has elapsed.
func TestFailedTargetReturns(t *testing.T) {
	is := is.New(t)
	registry := registryWith(Target{ID: "one", Service: "s", DataCentre: "a", Slots: 4}, Target{ID: "two", Service: "s", DataCentre: "b", Slots: 4})
	now := time.Unix(1000, 0)
	for _, backoff := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff} {
		registry.Done("one", Failed, now)
		chosen, _ := registry.Choose(Request{Service: "s"}, now.Add(backoff-time.Millisecond))
		is.Equal(chosen.ID, "two")
		registry.Done("two", Served, now)
		now = now.Add(backoff)
		chosen, _ = registry.Choose(Request{Service: "s"}, now)
		is.Equal(chosen.ID, "one")
	}
}

// TestVersionOfStream guards against sending a stream to a target of another software
// version than the one that began it, also if it is the only one or the first that
// will have room.
func TestVersionOfStream(t *testing.T) {
	is := is.New(t)
	registry := registryWith(
		Target{ID: "old", Service: "s", Version: "v1", Slots: 1}, Target{ID: "new", Service: "s", Version: "v2", Slots: 8}, Target{ID: "leaving", Service: "s", Version: "v1", Draining: true},
	)
	now := time.Unix(1000, 0)
	for range 20 {
		chosen, found := registry.Choose(Request{Service: "s", Version: "v1", Affinity: "a"}, now)
		is.True(found)
		is.Equal(chosen.ID, "old")
	}
	_, found := registry.Choose(Request{Service: "s", Version: "v1", Tried: []string{"old"}}, now)
	is.True(!found)
	registry.Done("old", Failed, now)
	chosen, _ := registry.Choose(Request{Service: "s", Version: "v1"}, now)
	is.Equal(chosen.ID, "old") // a target that has just failed is the last resort
	registry.Pause("new", now.Add(time.Second))
	registry.Pause("old", now.Add(2*time.Second))
	chosen, _, _ = registry.ChoosePaused(Request{Service: "s", Version: "v1"}, now)
	is.Equal(chosen.ID, "old")
	version, known := registry.Version("new")
	is.True(known)
	is.Equal(version, "v2")
	_, known = registry.Version("gone")
	is.True(!known)
}

// BenchmarkChoose measures the choice among 100 targets with 1,000 affinities.
func BenchmarkChoose(b *testing.B) {
	registry := NewRegistry("a", DefaultPolicy(rand.IntN))
	for number := range 100 {
		registry.Put(Target{ID: fmt.Sprintf("t-%d", number), Service: "s", DataCentre: []string{"a", "b"}[number%2], Slots: 8})
	}
	affinities := make([]string, 1000)
	for number := range affinities {
		affinities[number] = fmt.Sprint(number)
	}
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		chosen, _ := registry.Choose(Request{Service: "s", Affinity: affinities[number%len(affinities)]}, now)
		registry.Done(chosen.ID, Served, now)
	}
}
