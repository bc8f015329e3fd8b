package platform

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/hostclock"
)

// Tail follows one stream and passes its pages to a handler in order.
type Tail struct {
	log        Log
	stream     string
	wait       time.Duration
	clock      clockwork.Clock
	next       atomic.Int64
	caughtUpAt atomic.Pointer[time.Duration] // uptime at which the last read that reached the end was requested; nil before the first one
	failures   atomic.Int64                  // failed reads
}

const tailRetryDelay = 100 * time.Millisecond // after a failed read

// NewTail returns a Tail that starts at the oldest retained entry. The wait is the
// duration of one long poll, which bounds the age of the view while nothing is
// appended.
func NewTail(log Log, stream string, wait time.Duration, clock clockwork.Clock) *Tail {
	return &Tail{log: log, stream: stream, wait: wait, clock: clock}
}

// Run reads until the context is cancelled. It calls handle with every page,
// including empty ones, and the time at which the page was requested.
func (tail *Tail) Run(ctx context.Context, handle func(page Page, requestedAt time.Time)) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		requestedAt, uptime := tail.clock.Now(), hostclock.Uptime(tail.clock)
		page, err := tail.log.Read(ctx, tail.stream, tail.next.Load(), 0, wait)
		if err != nil {
			tail.failures.Add(1)
			tail.waitForRetry(ctx)
			continue
		}
		tail.advance(page, uptime)
		handle(page, requestedAt)
		wait = tail.wait
	}
}

// advance moves the next offset beyond the page, which was requested at an uptime, and
// records whether the page reached the end of the stream.
func (tail *Tail) advance(page Page, requestedAt time.Duration) {
	for _, entry := range page.Entries {
		tail.next.Store(entry.Offset + 1)
	}
	if tail.next.Load() < page.First {
		tail.next.Store(page.First)
	}
	if tail.next.Load() >= page.End {
		tail.caughtUpAt.Store(&requestedAt)
	}
}

func (tail *Tail) waitForRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-tail.clock.After(tailRetryDelay):
	}
}

// Age returns the time since the last read that reached the end was requested, including
// the time in which the host was suspended, and false if no read has reached it.
func (tail *Tail) Age() (time.Duration, bool) {
	caughtUpAt := tail.caughtUpAt.Load()
	if caughtUpAt == nil {
		return 0, false
	}
	return hostclock.Uptime(tail.clock) - *caughtUpAt, true
}

// Next returns the offset of the next read.
func (tail *Tail) Next() int64 { return tail.next.Load() }

// Failures returns the number of failed reads.
func (tail *Tail) Failures() int64 { return tail.failures.Load() }
