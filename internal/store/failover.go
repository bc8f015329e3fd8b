package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/region"
)

const (
	probeInterval   = 500 * time.Millisecond  // between probes of a failed direct path
	directTimeout   = 1200 * time.Millisecond // of one direct call, without its long poll
	hedgeDelay      = 120 * time.Millisecond  // 30 times the normal response time; then the next path is called as well if it is fast
	reachableWindow = 900 * time.Millisecond  // since the last response, for a path to count as reachable; three reads of the topic of targets
	stallFactor     = 6                       // multiple of the mean latency after which a direct call counts as stalled
	minStallTimeout = 250 * time.Millisecond
)

// Path calls the store through another host.
type Path struct {
	Store      Store
	DataCentre string // of the host
	Fast       bool   // calls through it may be hedges of slow calls, because its recent responses were fast
}

// Failover calls the store directly, and through another host while the direct
// path fails.
type Failover struct {
	direct   Store
	relays   func() []Path
	clock    clockwork.Clock
	logger   log.Interface
	metrics  *metric.Metrics
	inFlight atomic.Int64 // calls on all paths

	mutex        sync.Mutex
	directFailed bool
	lastProbe    time.Time
	lastResponse time.Time
	lastFailure  time.Time
	latency      time.Duration // moving average of direct calls
	healthySince time.Time     // start of the period in which every call got a response, on any path; zero while calls fail
}

// NewFailover returns a Failover. The function relays lists the hosts that reach
// the store, the best first.
func NewFailover(direct Store, relays func() []Path, clock clockwork.Clock, logger log.Interface) *Failover {
	return &Failover{direct: direct, relays: relays, clock: clock, logger: logger, metrics: metric.Discard()}
}

// SetMetrics sets where calls are counted. It must be called before the first call.
func (failover *Failover) SetMetrics(metrics *metric.Metrics) { failover.metrics = metrics }

// InFlight returns the number of calls in progress on all paths.
func (failover *Failover) InFlight() int64 { return failover.inFlight.Load() }

// listKind returns the kind of a listing. A hedge of a page of many would let a store that is
// busy with pages send more of them.
func listKind(list List) callKind {
	return callKind{name: "list", hedge: list.Patience() / 3, end: list.Patience()}
}

// DirectReachable reports whether the direct path has responded recently.
func (failover *Failover) DirectReachable() bool {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return !failover.directFailed && failover.clock.Since(failover.lastResponse) < reachableWindow
}

// DirectFast reports whether the mean latency of the direct path is less than half
// the hedge delay.
func (failover *Failover) DirectFast() bool {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return failover.latency < hedgeDelay/2
}

// LastDirectFailure returns the time of the last failure of the direct path.
func (failover *Failover) LastDirectFailure() time.Time {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return failover.lastFailure
}

// HealthySince returns the start of the period in which every call got a
// response, on any path. It returns false while calls fail.
func (failover *Failover) HealthySince() (time.Time, bool) {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return failover.healthySince, !failover.healthySince.IsZero()
}

// recordOutcome records whether a call got a response on any path.
func (failover *Failover) recordOutcome(responded bool) {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	switch {
	case !responded:
		failover.healthySince = time.Time{}
	case failover.healthySince.IsZero():
		failover.healthySince = failover.clock.Now()
	}
}

// Append implements Store.
func (failover *Failover) Append(ctx context.Context, batch Append) (int64, error) {
	return callPaths(ctx, failover, callKind{name: "append"}, func(ctx context.Context, store Store) (int64, error) { return store.Append(ctx, batch) })
}

// Read implements Store.
func (failover *Failover) Read(ctx context.Context, read Read) (Page, error) {
	return callPaths(ctx, failover, callKind{name: "read", begin: read.Wait}, func(ctx context.Context, store Store) (Page, error) { return store.Read(ctx, read) })
}

// List implements Store.
func (failover *Failover) List(ctx context.Context, list List) (Listing, error) {
	return callPaths(ctx, failover, listKind(list), func(ctx context.Context, store Store) (Listing, error) { return store.List(ctx, list) })
}

// maxPaths bounds the paths that one call tries.
const maxPaths = 3

// allowedRelays returns the paths through hosts that may see what a call carries.
func (failover *Failover) allowedRelays(constraint *region.Constraint) []Path {
	relays := failover.relays()
	if constraint == nil {
		return relays
	}
	var allowed []Path
	for _, path := range relays {
		if constraint.AllowsHost(path.DataCentre) {
			allowed = append(allowed, path)
		}
	}
	return allowed
}

// paths returns the paths to call, in order. A nil path is the direct one. While
// the direct path fails, paths also starts the probes of it that are due.
func (failover *Failover) paths(constraint *region.Constraint) []*Path {
	relays := failover.allowedRelays(constraint)
	paths := make([]*Path, 0, maxPaths)
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	now := failover.clock.Now()
	directFirst := !failover.directFailed || now.Sub(failover.lastProbe) >= probeInterval && len(relays) == 0
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
		if now.Sub(failover.lastProbe) >= probeInterval {
			failover.lastProbe = now
			go failover.probe()
		}
	}
	return paths
}

// probe checks whether a failed direct path responds again.
func (failover *Failover) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directTimeout)
	defer cancel()
	start := failover.clock.Now()
	_, err := failover.direct.List(ctx, List{Topic: probeTopic})
	failover.recordDirectCall(start, err)
}

// probeTopic is a small topic, so that a probe is cheap.
const probeTopic = "hosts"

func (failover *Failover) mayHedge(path *Path) bool { return path == nil || path.Fast }

// stallTimeout returns how long a direct call may run before the direct path
// counts as failed.
func (failover *Failover) stallTimeout() time.Duration {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	return max(minStallTimeout, stallFactor*failover.latency)
}

// Reachable reports whether the store can be called now, on any path.
func (failover *Failover) Reachable() bool { return failover.ReachableIn(context.Background()) }

// ReachableIn reports whether the store can be called now, on a path that the constraint of
// a context allows.
func (failover *Failover) ReachableIn(ctx context.Context) bool {
	failover.mutex.Lock()
	directFailed := failover.directFailed
	failover.mutex.Unlock()
	return !directFailed || len(failover.allowedRelays(region.FromContext(ctx))) > 0
}

// recordDirectCall records the result of a direct call that began at start.
func (failover *Failover) recordDirectCall(start time.Time, err error) {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	now := failover.clock.Now()
	if IsResponse(err) {
		failover.latency += (now.Sub(start) - failover.latency) / 8
		failover.recordDirectResponse(start, now)
		return
	}
	failover.lastFailure = now
	failover.lastProbe = now
	if !failover.directFailed {
		failover.directFailed = true
		failover.logger.WithError(err).Warn("direct path to the store failed; calling through other hosts")
	}
}

// recordDirectPoll records a response to a long poll. Its duration is not a
// latency, because the store waits for new records.
func (failover *Failover) recordDirectPoll(start time.Time) {
	failover.mutex.Lock()
	defer failover.mutex.Unlock()
	failover.recordDirectResponse(start, failover.clock.Now())
}

// recordDirectResponse marks the direct path as working. A response to a call
// that began before the last failure is ignored, because it does not show that
// new calls are served. The caller holds the mutex.
func (failover *Failover) recordDirectResponse(start, now time.Time) {
	if failover.directFailed && start.Before(failover.lastFailure) {
		return
	}
	failover.lastResponse = now
	if failover.directFailed {
		failover.directFailed = false
		failover.logger.Info("direct path to the store works again")
	}
}
