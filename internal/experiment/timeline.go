// Package experiment replays load patterns in virtual time over the decisions
// of the scheduler and their rivals.
package experiment

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/heap"
)

// timeline runs events in the order of their times.
type timeline struct {
	now    time.Time
	number int
	events *heap.Heap[*event]
}

type event struct {
	at     time.Time
	number int // of its creation, which orders events of one time
	index  int
	run    func()
}

// HeapIndex implements heap.Item.
func (event *event) HeapIndex() *int { return &event.index }

func newTimeline() *timeline {
	return &timeline{now: time.Unix(1_000_000, 0), events: heap.New(func(left, right *event) bool {
		if left.at.Equal(right.at) {
			return left.number < right.number
		}
		return left.at.Before(right.at)
	})}
}

// after runs an event later.
func (timeline *timeline) after(wait time.Duration, run func()) {
	timeline.number++
	timeline.events.Push(&event{at: timeline.now.Add(max(0, wait)), number: timeline.number, run: run})
}

// run runs all events.
func (timeline *timeline) run() {
	for timeline.events.Len() > 0 {
		next := timeline.events.Pop()
		timeline.now = next.at
		next.run()
	}
}
