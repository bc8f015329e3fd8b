// Package experiment simulates load patterns in virtual time to compare the
// decisions of the scheduler with alternatives.
package experiment

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/heap"
)

// eventLoop runs events in virtual time, ordered by time.
type eventLoop struct {
	now      time.Time
	sequence int
	events   *heap.Heap[*event]
}

// event is a function that the loop calls at a time.
type event struct {
	at       time.Time
	sequence int // order of creation, for events at the same time
	index    int
	run      func()
}

// HeapIndex implements heap.Item.
func (event *event) HeapIndex() *int { return &event.index }

// simulationStart is the virtual time at which a simulation begins.
var simulationStart = time.Unix(1_000_000, 0)

func newEventLoop() *eventLoop {
	return &eventLoop{now: simulationStart, events: heap.New(func(left, right *event) bool {
		if left.at.Equal(right.at) {
			return left.sequence < right.sequence
		}
		return left.at.Before(right.at)
	})}
}

// schedule adds an event that runs after a delay.
func (loop *eventLoop) schedule(delay time.Duration, run func()) {
	loop.sequence++
	loop.events.Push(&event{at: loop.now.Add(max(0, delay)), sequence: loop.sequence, run: run})
}

// run runs events until none is left.
func (loop *eventLoop) run() {
	for loop.events.Len() > 0 {
		next := loop.events.Pop()
		loop.now = next.at
		next.run()
	}
}
