package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/request"
)

const (
	// maxPermitDelay is the longest time that a request waits for room at a target;
	// a program still meets its deadline after it.
	maxPermitDelay    = 400 * time.Millisecond
	maxTargetPause    = time.Second // after which a target without room is asked again; its limit may have changed
	maxPermitRequests = 8           // targets asked for room for one request, before it waits for one
)

// acquireTarget selects a target whose request limit leaves room, and waits for
// room only if no target has any. It returns false if no target is left, and a
// rejection if none will have room soon.
func (exchange *exchange) acquireTarget(ctx context.Context) (placement.Target, bool, *rejection) {
	if next := exchange.next; next != nil {
		exchange.next = nil
		return *next, true, nil
	}
	if target, found := exchange.acquireFreeTarget(ctx); found {
		return target, true, nil
	}
	handler, request := exchange.handler, exchange.placementRequest()
	target, wait, found := handler.registry.ChoosePaused(request, handler.clock.Now())
	if !found {
		return placement.Target{}, false, nil
	}
	permit := handler.targetLimiter.Acquire(ctx, target.ID, target.StartedAtMillis, handler.coldRateOf(target), min(maxPermitDelay, exchange.timeLeft()/2))
	if !permit.Granted {
		exchange.pauseTarget(target, handler.clock.Now().Add(min(maxTargetPause, max(wait, permit.RetryAfter))))
		return placement.Target{}, false, exchange.limitRejection(permit.RetryAfter)
	}
	handler.metrics.ObserveLatency("permit_wait", permit.Delay)
	exchange.waitTime += permit.Delay
	select {
	case <-handler.clock.After(permit.Delay):
		if handler.registry.Draining(target.ID) {
			exchange.recordOutcome(target, placement.Abandoned)
			exchange.triedTargets, exchange.triedVersions = append(exchange.triedTargets, target.ID), append(exchange.triedVersions, target.Version)
			return exchange.acquireTarget(ctx)
		}
		return target, true, nil
	case <-ctx.Done():
		exchange.recordOutcome(target, placement.Abandoned)
		return placement.Target{}, false, exchange.deadlineRejection()
	}
}

// acquireFreeTarget selects a target whose request limit leaves room at once. It returns
// false if there is none.
func (exchange *exchange) acquireFreeTarget(ctx context.Context) (placement.Target, bool) {
	handler, request := exchange.handler, exchange.placementRequest()
	for range maxPermitRequests {
		target, found := handler.registry.Choose(request, handler.clock.Now())
		if !found {
			break
		}
		coldRate := handler.coldRateOf(target)
		permit := handler.targetLimiter.Acquire(ctx, target.ID, target.StartedAtMillis, coldRate, 0)
		if permit.Granted {
			return target, true
		}
		exchange.pauseTarget(target, handler.clock.Now().Add(min(maxTargetPause, permit.RetryAfter)))
		handler.metrics.Count("target_limit_reached")
		if coldRate > 0 {
			handler.metrics.Count("cold_target_limit_reached")
		}
	}
	return placement.Target{}, false
}

// leaveTarget reports whether the request leaves a target that has not responded in time,
// and acquires the next one. A request that no other target has room for would end
// without a response, although it may be running.
func (exchange *exchange) leaveTarget(ctx context.Context) bool {
	if ctx.Err() != nil || exchange.next != nil {
		return true
	}
	if exchange.mayMove() && exchange.timeLeft().Milliseconds() > minRetryMillis {
		if target, found := exchange.acquireFreeTarget(ctx); found {
			exchange.next = &target
			return true
		}
	}
	exchange.handler.metrics.Count("silent_targets_kept")
	return false
}

// abandonNext ends the request at a target that was acquired, but is not used.
func (exchange *exchange) abandonNext() {
	if exchange.next != nil {
		exchange.recordOutcome(*exchange.next, placement.Abandoned)
		exchange.next = nil
	}
}

// limitRejection returns the rejection of a request for which no target has room
// until a delay has passed.
func (exchange *exchange) limitRejection(delay time.Duration) *rejection {
	if exchange.possibleRuns > 0 {
		return newRejection(http.StatusBadGateway, "outcome_unknown")
	}
	// The jitter spreads callers that would return for the same permit.
	return newRejection(http.StatusServiceUnavailable, "targets_limited").withRetryDelay(delay + exchange.handler.jitter(busyRetryDelay)).
		withCause(fmt.Errorf("no target of service %q has room under its request limit for %v", exchange.service, delay.Round(time.Millisecond)))
}

// observeDeparture records that a target has said that it is leaving. Any response on a
// connection to it says so, whichever request it belongs to.
func (exchange *exchange) observeDeparture(target placement.Target, head request.Response) {
	handler := exchange.handler
	if !head.Leaving || head.Target != "" && head.Target != target.ID {
		return
	}
	if handler.registry.MarkLeaving(target.ID, target.StartedAtMillis, handler.clock.Now()) {
		handler.metrics.Count("target_departures")
		handler.logger.WithFields(log.Fields{"target": target.ID, "service": target.Service, "source": "response", "attempt": exchange.request.Attempt}).Info("target is leaving")
	}
}

// observeLimit records what the response of a target says about the requests
// that it accepts. Only a response to a request that ran can lift a limit: a
// refusal need not repeat it.
func (exchange *exchange) observeLimit(target placement.Target, head request.Response) {
	handler := exchange.handler
	if head.Target != "" && head.Target != target.ID {
		return
	}
	announcement := capacity.Announcement{Boot: target.StartedAtMillis, ObservedAt: handler.clock.Now()}
	switch head.LimitState {
	case request.NamedLimit:
		announcement.Limited, announcement.Rate = true, head.Limit
		handler.metrics.Count("limited_responses")
	case request.UnreadableLimit:
		handler.metrics.Count("target_limits_unreadable")
		handler.logger.WithFields(exchange.logFields()).WithField("target", target.ID).Warn("request limit of a target is not a decimal number; keeping the previous one")
		return
	default:
		if !head.Signed || head.NotRun {
			return
		}
	}
	if handler.targetLimits.Observe(target.ID, announcement) {
		handler.metrics.Count("target_limits_changed")
		handler.logger.WithFields(log.Fields{
			"target": target.ID, "service": target.Service, "limited": announcement.Limited, "per_second": announcement.Rate,
			"source": "response", "attempt": exchange.request.Attempt,
		}).Info("request limit of a target changed")
	}
}
