package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// Coordinators locates and calls the coordinator of a target: the host that grants
// the permits for its limit.
type Coordinators interface {
	TargetCoordinator(target string) (address string, self bool)
	RequestPermit(ctx context.Context, address string, request PermitRequest) (PermitResponse, error)
	// ReachableShare returns the fraction of all hosts that are reachable from
	// this host, itself included, and the fraction that a single host makes up.
	ReachableShare() (reachable, single float64)
	// SettledFor returns for how long the same hosts have been reachable, at most since
	// this host started.
	SettledFor() time.Duration
}

const (
	bucketIdleTimeout = time.Minute // after which an unused bucket is evicted
	maxAhead          = time.Second // longest delay for which a permit is granted
	// fallbackShare is the fraction of a single host's share of the limit that
	// it grants without the coordinator, which may still grant the whole limit
	// because it has not yet detected that this host is isolated.
	fallbackShare = 0.3
)

// PermitRequest asks the coordinator of a target for a permit to send it a request.
type PermitRequest struct {
	Target   string        `msgpack:"t"`
	Boot     int64         `msgpack:"b,omitempty"` // start time of the target, in Unix milliseconds
	Rate     float64       `msgpack:"r"`           // limit that the asking host knows, in requests a second
	MaxDelay time.Duration `msgpack:"d,omitempty"` // longest time that the request can wait
	Cold     bool          `msgpack:"c,omitempty"` // the target is cold, and Rate at most the limit of a cold target
}

// PermitResponse is the decision of the coordinator.
type PermitResponse struct {
	Granted    bool          `msgpack:"g,omitempty"`
	Delay      time.Duration `msgpack:"d,omitempty"` // before a request with a permit may be sent
	RetryAfter time.Duration `msgpack:"t,omitempty"` // after which the target has room, if there is no permit
	// NotCoordinator reports that the responding host does not grant the permits
	// of the target.
	NotCoordinator bool `msgpack:"n,omitempty"`
}

// Limiter keeps the requests of all hosts to a target within the limit that the
// target announces.
type Limiter struct {
	board        *Board
	coordinators Coordinators
	clock        clockwork.Clock
	metrics      *metric.Metrics

	mutex    sync.Mutex
	buckets  map[string]*bucket // of the targets that this host coordinates
	fallback map[string]*bucket // used while the coordinator is unreachable
	isolated map[string]*chance // the same, for cold targets
}

// NewLimiter returns a limiter for the limits on a board.
func NewLimiter(board *Board, coordinators Coordinators, clock clockwork.Clock, metrics *metric.Metrics) *Limiter {
	return &Limiter{
		board: board, coordinators: coordinators, clock: clock, metrics: metrics,
		buckets: make(map[string]*bucket), fallback: make(map[string]*bucket), isolated: make(map[string]*chance),
	}
}

// Acquire returns a permit to send a request to a target within maxDelay. A positive
// coldRate is the limit of a target that is cold. A target that announces no limit and
// is not cold needs no permit.
func (limiter *Limiter) Acquire(ctx context.Context, target string, boot int64, coldRate float64, maxDelay time.Duration) PermitResponse {
	rate, limited := limiter.board.Limit(target, boot)
	cold := coldRate > 0
	if !limited && !cold {
		return PermitResponse{Granted: true}
	}
	if cold && (!limited || coldRate < rate) {
		rate = coldRate
	}
	request := PermitRequest{Target: target, Boot: boot, Rate: rate, MaxDelay: maxDelay, Cold: cold}
	address, self := limiter.coordinators.TargetCoordinator(target)
	if self {
		return limiter.Serve(request)
	}
	response, err := limiter.coordinators.RequestPermit(ctx, address, request)
	if err == nil && !response.NotCoordinator {
		return response
	}
	limiter.metrics.CountRetry("permit_coordinator_lost")
	_, single := limiter.coordinators.ReachableShare()
	if cold {
		return limiter.takeIsolated(request, single)
	}
	return limiter.take(limiter.fallback, request, single*fallbackShare)
}

// Serve decides on a permit as the coordinator of the target. It prefers the limit
// that this host knows: the asking host may not have heard of a change.
func (limiter *Limiter) Serve(request PermitRequest) PermitResponse {
	if _, self := limiter.coordinators.TargetCoordinator(request.Target); !self {
		return PermitResponse{NotCoordinator: true}
	}
	if rate, limited := limiter.board.Limit(request.Target, request.Boot); limited && (!request.Cold || rate < request.Rate) {
		request.Rate = rate
	}
	if !validRate(request.Rate) {
		request.Rate = 0
	}
	request.MaxDelay = min(request.MaxDelay, maxAhead)
	reachable, _ := limiter.coordinators.ReachableShare()
	return limiter.take(limiter.buckets, request, reachable)
}

// take takes a token from the target's bucket, which gets a share of the limit.
func (limiter *Limiter) take(buckets map[string]*bucket, request PermitRequest, share float64) PermitResponse {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	bucket, ok := buckets[request.Target]
	if !ok {
		bucket = newBucket(now)
		buckets[request.Target] = bucket
	}
	burst := burstInterval
	if request.Cold {
		burst = coldBurstInterval
		if !ok {
			bucket.updated = now.Add(max(0, coldTakeover-limiter.coordinators.SettledFor()))
		}
	}
	delay, granted := bucket.take(max(minRate, request.Rate)*share, burst, request.MaxDelay, now)
	if !granted {
		return PermitResponse{RetryAfter: delay}
	}
	return PermitResponse{Granted: true, Delay: delay}
}

// EvictBuckets evicts the buckets that have not been used for a while, and those of
// targets that another host coordinates now.
func (limiter *Limiter) EvictBuckets() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	for target, bucket := range limiter.buckets {
		if _, self := limiter.coordinators.TargetCoordinator(target); !self || now.Sub(bucket.updated) > bucketIdleTimeout {
			delete(limiter.buckets, target)
		}
	}
	for target, bucket := range limiter.fallback {
		if now.Sub(bucket.updated) > bucketIdleTimeout {
			delete(limiter.fallback, target)
		}
	}
	for target, chance := range limiter.isolated {
		if now.Sub(chance.next) > bucketIdleTimeout {
			delete(limiter.isolated, target)
		}
	}
}
