// Package worker runs the background goroutines of a host: event loops that
// execute functions from a bounded queue, and periodic tasks.
package worker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Loop is an event loop. The state that its functions access belongs to its
// goroutine alone and needs no lock.
type Loop struct {
	queue chan func()
	done  chan struct{}
}

// NewLoop returns an event loop with a queue of the given size.
func NewLoop(size int) *Loop {
	return &Loop{queue: make(chan func(), size), done: make(chan struct{})}
}

// Run executes queued functions until the context ends. It calls tick at each
// interval.
func (loop *Loop) Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, tick func()) {
	defer close(loop.done)
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-loop.queue:
			task()
		case <-ticker.Chan():
			tick()
		}
	}
}

// Post queues a function. It blocks while the queue is full and returns false if
// the loop has ended. A function that is still queued when the loop ends does not run.
func (loop *Loop) Post(task func()) bool {
	select {
	case loop.queue <- task:
		return true
	case <-loop.done:
		return false
	}
}

// Do executes a function on the loop and waits until it returns. It returns false
// if the loop ends first, in which case the function may or may not have run.
func (loop *Loop) Do(task func()) bool {
	finished := make(chan struct{})
	if !loop.Post(func() { task(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-loop.done:
		return false
	}
}

// Len returns the number of queued functions.
func (loop *Loop) Len() int { return len(loop.queue) }
