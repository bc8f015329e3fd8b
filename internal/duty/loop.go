// Package duty runs the goroutines of a daemon: each duty is one goroutine
// that takes its work from a bounded ring.
package duty

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Loop is a duty whose state belongs to its goroutine alone.
type Loop struct {
	ring chan func()
	done chan struct{}
}

// NewLoop returns a duty with a ring of a size.
func NewLoop(size int) *Loop {
	return &Loop{ring: make(chan func(), size), done: make(chan struct{})}
}

// Run takes work until the context ends. It calls tick at each interval.
func (loop *Loop) Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, tick func()) {
	defer close(loop.done)
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-loop.ring:
			work()
		case <-ticker.Chan():
			tick()
		}
	}
}

// Post queues work. It waits while the ring is full and reports whether the
// duty is still running.
func (loop *Loop) Post(work func()) bool {
	select {
	case loop.ring <- work:
		return true
	case <-loop.done:
		return false
	}
}

// Do runs work on the duty and waits for its end. It reports false if the
// duty has ended.
func (loop *Loop) Do(work func()) bool {
	finished := make(chan struct{})
	if !loop.Post(func() { work(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-loop.done:
		return false
	}
}

// Len returns the number of waiting pieces of work.
func (loop *Loop) Len() int { return len(loop.ring) }
