package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

const (
	probeInterval = 500 * time.Millisecond  // between tries of a path that failed
	directLimit   = 1200 * time.Millisecond // for one call on the direct path
	hedgeAfter    = 120 * time.Millisecond  // thirty usual answers; then a faster path is tried as well
	goodTime      = 900 * time.Millisecond  // a path that has answered within it counts as reached; three reads of the targets
	stallFactor   = 6                       // usual answers after which a direct call counts as stalled
	stallAtLeast  = 250 * time.Millisecond
)

// Path is another host's way to the store.
type Path struct {
	Store Store
	Fast  bool // it has answered quickly of late
}

// Failover calls the store directly, and through another host while that
// fails.
type Failover struct {
	direct Store
	relays func() []Path
	clock  clockwork.Clock
	logger log.Interface

	mutex    sync.Mutex
	bad      bool
	probed   time.Time
	answered time.Time
	failed   time.Time
	latency  time.Duration // moving average of direct answers
	well     time.Time     // since when every call has been answered, by whichever path
}

// NewFailover returns a store with two ways. Relays lists the hosts that reach
// the store, the best first.
func NewFailover(direct Store, relays func() []Path, clock clockwork.Clock, logger log.Interface) *Failover {
	return &Failover{direct: direct, relays: relays, clock: clock, logger: logger}
}

// Reached reports whether the direct path has answered lately.
func (failover *Failover) Reached() bool {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return !failover.bad && failover.clock.Since(failover.answered) < goodTime
}

// Fast reports whether direct answers come as quickly as usual.
func (failover *Failover) Fast() bool {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return failover.latency < hedgeAfter/2
}

// Failed returns when the direct path last failed.
func (failover *Failover) Failed() time.Time {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return failover.failed
}

// WellSince returns since when every call has been answered, by whichever
// path, and false while calls fail.
func (failover *Failover) WellSince() (time.Time, bool) {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return failover.well, !failover.well.IsZero()
}

// served notes whether a call was answered by any path.
func (failover *Failover) served(answered bool) {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	switch {
	case !answered:
		failover.well = time.Time{}
	case failover.well.IsZero():
		failover.well = failover.clock.Now()
	}
}

// Append implements Store.
func (failover *Failover) Append(ctx context.Context, batch Append) (int64, error) {
	return attempt(ctx, failover, 0, func(ctx context.Context, store Store) (int64, error) { return store.Append(ctx, batch) })
}

// Read implements Store.
func (failover *Failover) Read(ctx context.Context, read Read) (Page, error) {
	return attempt(ctx, failover, read.Wait, func(ctx context.Context, store Store) (Page, error) { return store.Read(ctx, read) })
}

// List implements Store.
func (failover *Failover) List(ctx context.Context, list List) (Listing, error) {
	return attempt(ctx, failover, 0, func(ctx context.Context, store Store) (Listing, error) { return store.List(ctx, list) })
}

// result is the end of one try.
type result[T any] struct {
	value  T
	err    error
	direct bool
}

// attempt tries the paths until one answers. The next path is tried when one
// fails, or when it stays silent while another one is fast.
func attempt[T any](ctx context.Context, failover *Failover, wait time.Duration, call func(context.Context, Store) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := failover.clock.Now()
	results := make(chan result[T], maxPaths)
	paths := failover.paths()
	started, running := 0, 0
	next := func() {
		path := paths[started]
		started++
		running++
		go func() {
			value, err := try(ctx, failover, path, wait, call)
			results <- result[T]{value, err, path == nil}
		}()
	}
	next()
	hedge := failover.clock.NewTimer(hedgeAfter + wait)
	defer hedge.Stop()
	var lastErr error
	for running > 0 || started < len(paths) {
		if running == 0 {
			next()
		}
		select {
		case one := <-results:
			running--
			if Answered(one.err) {
				failover.served(true)
				return one.value, one.err
			}
			lastErr = one.err
		case <-hedge.Chan():
			if started < len(paths) && failover.mayHedge(paths[started]) {
				next()
			}
		case <-ctx.Done():
			// A caller with little time left says nothing about the store.
			if errors.Is(ctx.Err(), context.DeadlineExceeded) && failover.clock.Since(begun) >= directLimit {
				failover.served(false)
			}
			var none T
			return none, errors.Join(ctx.Err(), lastErr)
		}
	}
	failover.served(false)
	var none T
	return none, lastErr
}

// maxPaths bounds the ways that one call tries.
const maxPaths = 3

// paths returns the ways to try in order; nil is the direct one.
func (failover *Failover) paths() []*Path {
	relays := failover.relays()
	paths := make([]*Path, 0, maxPaths)
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	now := failover.clock.Now()
	directFirst := !failover.bad || now.Sub(failover.probed) >= probeInterval && len(relays) == 0
	if directFirst {
		paths = append(paths, nil)
	}
	for index := range relays {
		if len(paths) < maxPaths-1 || directFirst && len(paths) < maxPaths {
			paths = append(paths, &relays[index])
		}
	}
	if !directFirst {
		paths = append(paths, nil)
		if now.Sub(failover.probed) >= probeInterval {
			failover.probed = now
			go failover.probe()
		}
	}
	return paths
}

// probe asks whether a failed direct path answers again.
func (failover *Failover) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directLimit)
	defer cancel()
	begun := failover.clock.Now()
	_, err := failover.direct.List(ctx, List{Topic: probeTopic})
	failover.note(begun, err)
}

// probeTopic is a topic with little in it.
const probeTopic = "hosts"

func (failover *Failover) mayHedge(path *Path) bool { return path == nil || path.Fast }

func try[T any](ctx context.Context, failover *Failover, path *Path, wait time.Duration, call func(context.Context, Store) (T, error)) (T, error) {
	if path != nil {
		return call(ctx, path.Store)
	}
	limited, cancel := context.WithTimeout(ctx, directLimit+wait)
	defer cancel()
	begun := failover.clock.Now()
	stall := failover.clock.AfterFunc(wait+failover.stallTime(), func() { failover.note(begun, errStalled) })
	value, err := call(limited, failover.direct)
	stall.Stop()
	switch {
	case wait > 0 && err == nil:
		failover.polled(begun)
	case ctx.Err() != nil && failover.clock.Since(begun) < hedgeAfter:
		// The caller left early; the path is not to blame.
	default:
		failover.note(begun, err)
	}
	return value, err
}

// errStalled marks a direct call that is still under way.
var errStalled = errors.New("no answer yet")

// stallTime is how long a direct call may take before other paths are used.
func (failover *Failover) stallTime() time.Duration {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return max(stallAtLeast, stallFactor*failover.latency)
}

// Reachable reports whether the store can be called now, by whichever path.
func (failover *Failover) Reachable() bool {
	failover.mutex.Lock()
	bad := failover.bad
	failover.mutex.Unlock()
	return !bad || len(failover.relays()) > 0
}

// note records how a direct call that began at a time ended.
func (failover *Failover) note(begun time.Time, err error) {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	now := failover.clock.Now()
	if Answered(err) {
		failover.latency += (now.Sub(begun) - failover.latency) / 8
		failover.works(begun, now)
		return
	}
	failover.failed = now
	failover.probed = now
	if !failover.bad {
		failover.bad = true
		failover.logger.WithError(err).Warn("direct path to the store failed; calling through other hosts")
	}
}

// polled records the answer to a poll. How long it took says nothing about the
// path.
func (failover *Failover) polled(begun time.Time) {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	failover.works(begun, failover.clock.Now())
}

// works notes an answer. One to a call from before the last failure does not
// show that calls are served again. The caller holds the mutex.
func (failover *Failover) works(begun, now time.Time) {
	if failover.bad && begun.Before(failover.failed) {
		return
	}
	failover.answered = now
	if failover.bad {
		failover.bad = false
		failover.logger.Info("direct path to the store works again")
	}
}
