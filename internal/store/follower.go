package store

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/hostclock"
)

// Follower keeps a copy of one partition of a topic up to date.
type Follower struct {
	Store        Store
	Clock        clockwork.Clock
	Logger       log.Interface
	Topic        string
	Partition    int
	Wait         time.Duration // duration of the long poll of one read
	ReadInterval time.Duration // minimum time between two reads
	// Apply receives the records of each read in order, also when there are
	// none. If complete is true, the records are a complete listing and replace all
	// earlier ones.
	Apply func(records []Record, complete bool)

	next          atomic.Int64                  // offset before which all records were passed to Apply, or are in the listing
	confirmedAt   atomic.Pointer[time.Duration] // uptime at the start of the last successful read; nil before the first one
	unreachable   atomic.Bool                   // the last read failed, and this has been logged
	mutex         sync.Mutex
	interruptRead context.CancelFunc
	lastRefresh   time.Time
	wake          chan struct{} // interrupts the pause between two reads
	confirmed     chan struct{} // closed at the next successful read
}

// refreshInterval is the minimum time between two refreshes.
const refreshInterval = 200 * time.Millisecond

// Refresh interrupts the current long poll and lists the partition again. It is
// called when another host has seen a later record.
func (follower *Follower) Refresh() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.interruptRead != nil && follower.Clock.Since(follower.lastRefresh) >= refreshInterval {
		follower.lastRefresh = follower.Clock.Now()
		follower.interruptRead()
	}
}

// beginRead returns the context of a read, which Refresh cancels.
func (follower *Follower) beginRead(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.interruptRead = cancel
	return ctx, cancel
}

const (
	followRetry   = 100 * time.Millisecond // delay after a failed read
	followTimeout = 1500 * time.Millisecond
	listTimeout   = followTimeout + 2*bulkPatience // all hosts may list at once, on two paths
)

// ViewAge returns the time since the copy was last known to be complete, including the time
// in which the host was suspended, and the longest duration if it never was.
func (follower *Follower) ViewAge() time.Duration {
	if confirmedAt := follower.confirmedAt.Load(); confirmedAt != nil {
		return hostclock.Uptime(follower.Clock) - *confirmedAt
	}
	return math.MaxInt64
}

// Next returns the offset before which the records passed to Apply, together with the last
// complete listing, cover the partition. Apply may call it for what it is given.
func (follower *Follower) Next() int64 { return follower.next.Load() }

// Failing reports whether the last read failed.
func (follower *Follower) Failing() bool { return follower.unreachable.Load() }

// Confirm waits until a read that began after the call has been applied.
func (follower *Follower) Confirm(ctx context.Context) error {
	start := hostclock.Uptime(follower.Clock)
	for {
		wake, confirmed := follower.signals()
		if confirmedAt := follower.confirmedAt.Load(); confirmedAt != nil && *confirmedAt >= start {
			return nil
		}
		select {
		case wake <- struct{}{}:
		default:
		}
		select {
		case <-confirmed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// signals returns the channels between Confirm and Run.
func (follower *Follower) signals() (wake, confirmed chan struct{}) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.wake == nil {
		follower.wake, follower.confirmed = make(chan struct{}, 1), make(chan struct{})
	}
	return follower.wake, follower.confirmed
}

// confirm records a successful read and ends the waits for it.
func (follower *Follower) confirm(start time.Duration) {
	follower.confirmedAt.Store(&start)
	follower.signals()
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	close(follower.confirmed)
	follower.confirmed = make(chan struct{})
}

// pause waits between two reads, unless a confirmation is awaited.
func (follower *Follower) pause(duration time.Duration) {
	wake, _ := follower.signals()
	select {
	case <-follower.Clock.After(duration):
	case <-wake:
	}
}

// Run follows the partition until the context is cancelled.
func (follower *Follower) Run(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		start := hostclock.Uptime(follower.Clock)
		var err error
		if next < 0 {
			next, err = follower.list(ctx)
		} else {
			next, err = follower.read(ctx, next)
		}
		if err == nil {
			follower.confirm(start)
			if follower.unreachable.Swap(false) {
				follower.Logger.WithField("topic", follower.Topic).Info("store reachable again")
			}
			follower.pause(follower.ReadInterval)
			continue
		}
		if ctx.Err() == nil && !follower.unreachable.Swap(true) {
			follower.Logger.WithField("topic", follower.Topic).WithError(err).Warn("store unreachable; continuing with the last known records")
		}
		follower.Clock.Sleep(followRetry)
	}
}

func (follower *Follower) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, end, err := ListAll(ctx, follower.Store, follower.Topic, follower.Partition)
	if err != nil {
		return -1, err
	}
	follower.next.Store(end)
	follower.apply(records, true)
	return end, nil
}

func (follower *Follower) read(ctx context.Context, from int64) (int64, error) {
	readCtx, cancel := follower.beginRead(ctx, follower.Wait+followTimeout)
	defer cancel()
	page, err := follower.Store.Read(readCtx, Read{Topic: follower.Topic, Partition: follower.Partition, From: from, Wait: follower.Wait})
	if errors.Is(readCtx.Err(), context.Canceled) && ctx.Err() == nil {
		// Refresh cancelled the read: the path that served it may lag behind the store.
		return -1, nil
	}
	if errors.Is(err, ErrTrimmed) {
		return -1, nil
	}
	if err != nil {
		return from, err
	}
	follower.next.Store(page.Next)
	follower.apply(page.Records, false)
	return page.Next, nil
}

// apply applies records. A panic skips them: every host would read them again after
// a restart.
func (follower *Follower) apply(records []Record, complete bool) {
	defer func() {
		if recovered := recover(); recovered != nil {
			follower.Logger.WithFields(log.Fields{
				"topic": follower.Topic, "records": len(records), "panic": fmt.Sprint(recovered), "stack": string(debug.Stack()),
			}).Error("records of the store could not be applied; skipping them")
		}
	}()
	follower.Apply(records, complete)
}
