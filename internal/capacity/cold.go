package capacity

import (
	"math/rand/v2"
	"time"
)

const (
	// coldBurstInterval is the part of a second of which a cold target gets the requests
	// at once. The rule for cold targets counts single seconds, so that 1.2 times the rate
	// of the coordinator leaves room for the hosts that do not reach it.
	coldBurstInterval = 200 * time.Millisecond
	// coldTakeover is how long the reachable hosts must have been the same before a host
	// begins to grant permits for a cold target. The previous coordinator may grant the
	// whole rate until it, or the hosts that ask it, notice the change, and a host that
	// has just started may not have found the others.
	coldTakeover = time.Second
	// isolatedColdShare is the fraction of the rate of a cold target that all hosts
	// together send without the coordinator, which may still grant the whole rate.
	isolatedColdShare = 0.1
	// chanceLapse is how long an unused chance is valid. Chances that were kept longer
	// would add up over the hosts.
	chanceLapse = 100 * time.Millisecond
)

// ColdBounds bound the requests that all hosts together send to a cold target within any
// second: its rate times Overage, plus Slack.
type ColdBounds struct {
	Overage float64
	Slack   float64
}

// steadyOverage is the overage that the permits of a target's rate need: bursts, and
// hosts that do not reach the coordinator.
const steadyOverage = 1.5

// Rate returns the permits a second for a target that sustains perSecond requests while
// it is cold, or 0 without a bound. A bucket may grant one request beyond its rate, which
// the slack has to cover.
func (bounds ColdBounds) Rate(perSecond float64) float64 {
	if !(perSecond > 0) {
		return 0
	}
	rate := perSecond * min(1, bounds.Overage/steadyOverage)
	if bounds.Slack < 1 {
		rate--
	}
	return max(minRate, rate)
}

// chance decides at which moments a host that reaches no coordinator may send a request
// to a cold target. With several hundred hosts the share of one is far below a request
// in a second. The moments are random, so that hosts whose shares begin together do not
// send together.
type chance struct {
	next time.Time
}

// take returns the time until the next chance, and whether it comes within maxDelay and
// was taken.
func (chance *chance) take(rate float64, maxDelay time.Duration, now time.Time) (time.Duration, bool) {
	if chance.next.Add(chanceLapse).Before(now) {
		chance.next = now.Add(interval(rate))
	}
	delay := max(0, chance.next.Sub(now))
	if delay > maxDelay {
		return delay, false
	}
	chance.next = now.Add(delay + interval(rate))
	return delay, true
}

// maxChanceInterval keeps intervals within the range of a duration. It is so long that it
// does not align the chances of hosts.
const maxChanceInterval = 30 * 24 * time.Hour

// interval returns a random time between two events of a Poisson process with a rate.
func interval(rate float64) time.Duration {
	return time.Duration(min(rand.ExpFloat64()/rate, maxChanceInterval.Seconds()) * float64(time.Second))
}

// takeIsolated decides on a request to a cold target without the coordinator. While this
// host does not know for certain how many hosts there are, it sends none.
func (limiter *Limiter) takeIsolated(request PermitRequest, single float64) PermitResponse {
	if settled := limiter.coordinators.SettledFor(); settled < coldTakeover {
		return PermitResponse{RetryAfter: coldTakeover - settled}
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	rate := request.Rate * single * isolatedColdShare
	if !(rate > 0) {
		return PermitResponse{RetryAfter: maxAhead}
	}
	known, ok := limiter.isolated[request.Target]
	if !ok {
		known = &chance{next: now.Add(interval(rate))}
		limiter.isolated[request.Target] = known
	}
	delay, granted := known.take(rate, request.MaxDelay, now)
	if !granted {
		// The coordinator is usually reached again, or replaced, within this time.
		return PermitResponse{RetryAfter: min(delay, maxAhead)}
	}
	return PermitResponse{Granted: true, Delay: delay}
}
