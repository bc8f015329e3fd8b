package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// TestElectionAfterChanges guards against aggregators that were chosen among other hosts than
// those that are candidates now.
func TestElectionAfterChanges(t *testing.T) {
	state := func(host string, capacity int) State {
		return State{Member: Member{Host: host, Incarnation: host + "/1", Address: host + ":1", DataCentre: host[:1], Protocol: Protocol, Capacity: capacity}}
	}
	tests := []struct {
		name   string
		change func(candidates []State) []State
	}{
		{"host joins", func(candidates []State) []State { return append(candidates, state("a99", 100)) }},
		{"host leaves", func(candidates []State) []State { return candidates[1:] }},
		{"host restarts", func(candidates []State) []State {
			candidates[2].Incarnation = "later"
			return candidates
		}},
		{"host has more processor time", func(candidates []State) []State {
			candidates[3].Capacity = 100
			return candidates
		}},
		{"all hosts leave", func([]State) []State { return nil }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := clockwork.NewFakeClock().Now()
			view := NewView(state("a0", 19).Member, now)
			var candidates []State
			for number := range 60 {
				candidates = append(candidates, state(fmt.Sprintf("%c%d", 'a'+number%3, number), 19))
			}
			view.aggregators(candidates)
			changed := test.change(candidates)
			is.Equal(view.aggregators(changed), NewView(view.self.Member, now.Add(time.Second)).aggregators(changed))
		})
	}
}

// BenchmarkNext measures the work of a host of a large fleet in one interval.
func BenchmarkNext(b *testing.B) {
	clock := clockwork.NewFakeClock()
	view := NewView(Member{Host: "a0", DataCentre: "a"}, clock.Now())
	for number := range 300 {
		host := fmt.Sprintf("%c%d", 'a'+number%3, number+1)
		view.ObserveStatus(State{Member: Member{Host: host, Incarnation: host + "/1", Address: host + ":1", DataCentre: host[:1], Protocol: Protocol}}, Summary{}, clock.Now())
	}
	for b.Loop() {
		view.Next(clock.Now())
	}
}
