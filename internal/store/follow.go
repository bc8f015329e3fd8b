package store

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

// Follower keeps a copy of one partition of a topic up to date.
type Follower struct {
	Store  Store
	Clock  clockwork.Clock
	Logger log.Interface
	Topic  string
	Part   int
	Wait   time.Duration // how long a read waits for a record
	Pause  time.Duration // least time between two reads
	// Apply takes the records of each read in order, be there any or none. A
	// whole listing replaces what was known.
	Apply func(records []Record, whole bool)

	confirmed atomic.Int64 // Unix nanoseconds of the start of the last good read
	lost      bool
	mutex     sync.Mutex
	interrupt context.CancelFunc
	refreshed time.Time
}

// refreshInterval is the least time between two reads out of turn.
const refreshInterval = 200 * time.Millisecond

// Refresh reads anew at once instead of waiting for a record: another host has
// seen a later one.
func (follower *Follower) Refresh() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.interrupt != nil && follower.Clock.Since(follower.refreshed) >= refreshInterval {
		follower.refreshed = follower.Clock.Now()
		follower.interrupt()
	}
}

// begin returns a context that Refresh ends.
func (follower *Follower) begin(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.interrupt = cancel
	return ctx, cancel
}

const (
	followRetry   = 100 * time.Millisecond // pause after a failed read
	followTimeout = 1500 * time.Millisecond
)

// Confirmed returns when the copy was last known to be complete.
func (follower *Follower) Confirmed() time.Time {
	nanos := follower.confirmed.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Run follows the partition until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		begun := follower.Clock.Now()
		var err error
		if next < 0 {
			next, err = follower.list(ctx)
		} else {
			next, err = follower.read(ctx, next)
		}
		if err == nil {
			follower.confirmed.Store(begun.UnixNano())
			if follower.lost {
				follower.lost = false
				follower.Logger.WithField("topic", follower.Topic).Info("store reached again")
			}
			follower.Clock.Sleep(follower.Pause)
			continue
		}
		if !follower.lost && ctx.Err() == nil {
			follower.lost = true
			follower.Logger.WithField("topic", follower.Topic).WithError(err).Warn("store lost; using what is known")
		}
		follower.Clock.Sleep(followRetry)
	}
}

func (follower *Follower) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	records, end, err := ListAll(ctx, follower.Store, follower.Topic, follower.Part)
	if err != nil {
		return -1, err
	}
	follower.Apply(records, true)
	return end, nil
}

func (follower *Follower) read(ctx context.Context, from int64) (int64, error) {
	reading, cancel := follower.begin(ctx, follower.Wait+followTimeout)
	defer cancel()
	page, err := follower.Store.Read(reading, Read{Topic: follower.Topic, Part: follower.Part, From: from, Wait: follower.Wait})
	if errors.Is(reading.Err(), context.Canceled) && ctx.Err() == nil {
		// Refreshed: the poll may have been answered by a path that is behind.
		return -1, nil
	}
	if errors.Is(err, ErrTrimmed) {
		return -1, nil
	}
	if err != nil {
		return from, err
	}
	follower.Apply(page.Records, false)
	return page.Next, nil
}
