package store

import (
	"context"
	"errors"
	"time"

	"github.com/godwitspread/godwitspread/internal/region"
)

// respondingKey is the key of a function in the context of a call.
type respondingKey struct{}

// Responding reports that the store has begun to respond to the call of a context. A long
// response is then neither a stalled call nor a reason to call another path.
func Responding(ctx context.Context) {
	if report, ok := ctx.Value(respondingKey{}).(func()); ok {
		report()
	}
}

// callKind is a kind of call, and how much longer it may take than a short one.
type callKind struct {
	name  string        // in metrics
	begin time.Duration // until the store begins to respond
	hedge time.Duration // until the next path is called as well
	end   time.Duration // from then until the end of the response
}

// callResult is the result of a call on one path.
type callResult[T any] struct {
	value  T
	err    error
	direct bool
}

// callPaths calls the paths in order until one responds. It calls the next path
// when a path fails, or when no path has responded after a delay and the next one
// is fast.
func callPaths[T any](ctx context.Context, failover *Failover, kind callKind, call func(context.Context, Store) (T, error)) (T, error) {
	caller := ctx
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	start := failover.clock.Now()
	results := make(chan callResult[T], maxPaths)
	responding := make(chan struct{}, maxPaths)
	constraint := region.FromContext(ctx)
	paths := failover.paths(constraint)
	tried, running := 0, 0
	next := func() {
		path := paths[tried]
		tried++
		running++
		go func() {
			value, err := callPath(ctx, caller, start, failover, path, kind, responding, call)
			results <- callResult[T]{value, err, path == nil}
		}()
	}
	next()
	hedge := failover.clock.NewTimer(hedgeDelay + kind.begin + kind.hedge)
	defer hedge.Stop()
	var lastErr error
	for running > 0 || tried < len(paths) {
		if running == 0 {
			next()
		}
		select {
		case outcome := <-results:
			running--
			if IsResponse(outcome.err) {
				failover.recordOutcome(true)
				return outcome.value, outcome.err
			}
			lastErr = outcome.err
		case <-responding:
			hedge.Stop()
		case <-hedge.Chan():
			if tried < len(paths) && failover.mayHedge(paths[tried]) {
				next()
			}
		case <-ctx.Done():
			// A deadline shorter than a direct call may take is no sign of a failed store.
			if errors.Is(ctx.Err(), context.DeadlineExceeded) && failover.clock.Since(start) >= directTimeout && constraint == nil {
				failover.recordOutcome(false)
			}
			var zero T
			return zero, errors.Join(ctx.Err(), lastErr)
		}
	}
	if constraint == nil { // else there may be paths that this call must not take
		failover.recordOutcome(false)
	}
	var zero T
	return zero, lastErr
}

// callPath calls one path. The context is that of the caller, whose call has begun at a time,
// and ends as well when another path has responded.
func callPath[T any](ctx, caller context.Context, begun time.Time, failover *Failover, path *Path, kind callKind, responding chan<- struct{}, call func(context.Context, Store) (T, error)) (T, error) {
	failover.inFlight.Add(1)
	defer failover.inFlight.Add(-1)
	if path != nil {
		value, err := call(ctx, path.Store)
		failover.metrics.CountStoreCall(kind.name, "relay", IsResponse(err))
		return value, err
	}
	limited, cancel := context.WithTimeout(ctx, directTimeout+kind.begin+kind.end)
	defer cancel()
	start := failover.clock.Now()
	stallTimer := failover.clock.AfterFunc(kind.begin+failover.stallTimeout(), func() { failover.recordDirectCall(start, errStalled) })
	limited = context.WithValue(limited, respondingKey{}, func() {
		if stallTimer.Stop() {
			failover.recordDirectPoll(start)
		}
		select {
		case responding <- struct{}{}:
		default:
		}
	})
	value, err := call(limited, failover.direct)
	stallTimer.Stop()
	failover.metrics.CountStoreCall(kind.name, "direct", IsResponse(err))
	switch {
	case kind.begin+kind.end > 0 && err == nil:
		failover.recordDirectPoll(start)
	case caller.Err() != nil, ctx.Err() != nil && failover.clock.Since(begun) < hedgeDelay:
		// The caller has given up, which is no failure of the path: one that did not begin to
		// respond in time has been recorded as stalled.
	case errors.Is(err, ErrMemory):
		// The path has responded, or was not called.
	default:
		failover.recordDirectCall(start, err)
	}
	return value, err
}

// errStalled is recorded for a direct call that has not responded in time and is
// still in flight.
var errStalled = errors.New("no response yet")
