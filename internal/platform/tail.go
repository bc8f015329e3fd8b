package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Tail follows one stream and hands its pages on in order.
type Tail struct {
	log      Log
	stream   string
	wait     time.Duration
	clock    clockwork.Clock
	next     atomic.Int64
	fresh    atomic.Int64 // clock time of the last read that reached the end
	failures atomic.Int64
}

const tailBackoff = 100 * time.Millisecond // pause after a failed read

// NewTail returns a follower that starts at the oldest retained entry. Wait is
// the long poll of one read, which bounds the age of the view of a quiet
// stream.
func NewTail(log Log, stream string, wait time.Duration, clock clockwork.Clock) *Tail {
	return &Tail{log: log, stream: stream, wait: wait, clock: clock}
}

// Run reads until the context ends. Handle gets every page, also empty ones,
// and the time at which the read was asked for.
func (tail *Tail) Run(ctx context.Context, handle func(page Page, asked time.Time)) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		asked := tail.clock.Now()
		page, err := tail.log.Read(ctx, tail.stream, tail.next.Load(), 0, wait)
		if err != nil {
			tail.failures.Add(1)
			tail.pause(ctx)
			continue
		}
		tail.note(page, asked)
		handle(page, asked)
		wait = tail.wait
	}
}

func (tail *Tail) note(page Page, asked time.Time) {
	for _, entry := range page.Entries {
		tail.next.Store(entry.Offset + 1)
	}
	if tail.next.Load() < page.First {
		tail.next.Store(page.First)
	}
	if tail.next.Load() >= page.End {
		tail.fresh.Store(asked.UnixNano())
	}
}

func (tail *Tail) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-tail.clock.After(tailBackoff):
	}
}

// Age returns the time since the last read that reached the end was asked
// for, and false if none has.
func (tail *Tail) Age() (time.Duration, bool) {
	fresh := tail.fresh.Load()
	if fresh == 0 {
		return 0, false
	}
	return tail.clock.Now().Sub(time.Unix(0, fresh)), true
}

// Next returns the offset that will be read next.
func (tail *Tail) Next() int64 { return tail.next.Load() }

// Failures returns the number of failed reads.
func (tail *Tail) Failures() int64 { return tail.failures.Load() }
