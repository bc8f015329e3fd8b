package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func boardOf(targets ...Target) *Board {
	board := NewBoard("a", Usual(rand.IntN))
	for _, target := range targets {
		board.Put(target)
	}
	return board
}

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	near := Target{ID: "near", Service: "s", DataCentre: "a", Slots: 4}
	far := Target{ID: "far", Service: "s", DataCentre: "b", Slots: 4}
	tests := []struct {
		name    string
		prepare func(*Board)
		request Request
		chosen  string
	}{
		{"own data centre first", func(*Board) {}, Request{Service: "s"}, "near"},
		{"the less loaded", func(board *Board) { board.SetOthers(map[string]int{"near": 3}) }, Request{Service: "s"}, "far"},
		{"not a draining one", func(board *Board) { draining := near; draining.Draining = true; board.Put(draining) }, Request{Service: "s"}, "far"},
		{"not one that was tried", func(*Board) {}, Request{Service: "s", Tried: []string{"near"}}, "far"},
		{"not one that has just failed", func(board *Board) {
			board.Choose(Request{Service: "s"}, now)
			board.Done("near", Failed, now)
		}, Request{Service: "s"}, "far"},
		{"the one with the cache", func(board *Board) {
			board.Choose(Request{Service: "s", Tried: []string{"near"}, Affinity: "x"}, now)
			board.Done("far", Served, now)
		}, Request{Service: "s", Affinity: "x"}, "far"},
		{"not a full one with the cache", func(board *Board) {
			board.Choose(Request{Service: "s", Tried: []string{"near"}, Affinity: "x"}, now)
			board.SetOthers(map[string]int{"far": 8})
		}, Request{Service: "s", Affinity: "x"}, "near"},
		{"missing one last", func(board *Board) {
			board.SetOthers(map[string]int{"far": 9})
			board.SetMissing(map[string]bool{"near": true})
		}, Request{Service: "s"}, "far"},
		{"silent data centre last", func(board *Board) {
			board.SetOthers(map[string]int{"near": 9})
			board.SetSilent(map[string]bool{"b": true})
		}, Request{Service: "s"}, "near"},
	}
	for _, test := range tests {
		is := is.New(t)
		board := boardOf(near, far)
		test.prepare(board)
		chosen, found := board.Choose(test.request, now)
		is.True(found)
		is.Equal(chosen.ID, test.chosen) // test.name
	}
}

func TestChooseNothing(t *testing.T) {
	is := is.New(t)
	board := boardOf(Target{ID: "one", Service: "s", Slots: 1})
	_, found := board.Choose(Request{Service: "other"}, time.Unix(1, 0))
	is.True(!found)
	_, found = board.Choose(Request{Service: "s", Tried: []string{"one"}}, time.Unix(1, 0))
	is.True(!found)
	is.True(board.Remove("one"))
	_, found = board.Choose(Request{Service: "s"}, time.Unix(1, 0))
	is.True(!found)
}

func crowded(board *Board, service string, urgent bool) bool {
	_, crowded := board.Crowded(service, urgent)
	return crowded
}

// TestCrowded checks from which load on no program is begun, the less urgent
// first, and that leaving targets do not count as room.
func TestCrowded(t *testing.T) {
	is := is.New(t)
	one, two := Target{ID: "one", Service: "s", DataCentre: "a", Slots: 10}, Target{ID: "two", Service: "s", DataCentre: "b", Slots: 10}
	board := boardOf(one, two)
	for _, test := range []struct {
		load            int // at each target
		crowded, urgent bool
	}{{10, false, false}, {14, false, false}, {15, true, false}, {19, true, false}, {20, true, true}} {
		board.SetOthers(map[string]int{"one": test.load, "two": test.load})
		is.Equal(crowded(board, "s", false), test.crowded) // test.load
		is.Equal(crowded(board, "s", true), test.urgent)   // test.load
	}
	board.SetOthers(map[string]int{"one": 15})
	is.True(!crowded(board, "s", false))
	two.Draining = true
	board.Put(two)
	is.True(crowded(board, "s", false))
	is.True(!crowded(board, "unknown", false))
}

// TestFailedTargetReturns checks that a failed target is tried again after a
// pause that doubles with each failure.
func TestFailedTargetReturns(t *testing.T) {
	is := is.New(t)
	board := boardOf(Target{ID: "one", Service: "s", DataCentre: "a", Slots: 4}, Target{ID: "two", Service: "s", DataCentre: "b", Slots: 4})
	now := time.Unix(1000, 0)
	for _, pause := range []time.Duration{avoidInterval, 2 * avoidInterval, 4 * avoidInterval} {
		board.Done("one", Failed, now)
		chosen, _ := board.Choose(Request{Service: "s"}, now.Add(pause-time.Millisecond))
		is.Equal(chosen.ID, "two")
		board.Done("two", Served, now)
		now = now.Add(pause)
		chosen, _ = board.Choose(Request{Service: "s"}, now)
		is.Equal(chosen.ID, "one")
	}
}

// BenchmarkChoose decides among 100 targets with 1,000 affinities.
func BenchmarkChoose(b *testing.B) {
	board := NewBoard("a", Usual(rand.IntN))
	for number := range 100 {
		board.Put(Target{ID: fmt.Sprintf("t-%d", number), Service: "s", DataCentre: []string{"a", "b"}[number%2], Slots: 8})
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
		chosen, _ := board.Choose(Request{Service: "s", Affinity: affinities[number%len(affinities)]}, now)
		board.Done(chosen.ID, Served, now)
	}
}
