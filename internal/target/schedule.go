package target

import (
	"time"
)

// schedule grants permits until the next request can't be placed.
func (pool *Pool) schedule() []Decision {
	if pool.deferred.Len() > 0 {
		pool.serveDeferred()
	}
	for {
		request := pool.queue.Peek()
		if request == nil {
			return pool.decisions
		}
		choice := pool.placement.Choose(pool, request)
		switch {
		case choice.Target != nil:
			pool.queue.Remove(request)
			pool.grant(choice.Target, request)
		case choice.Park != nil:
			pool.queue.Remove(request)
			pool.park(choice.Park, request)
		case pool.byLoad.Peek().available():
			// Some target has a free slot, but none admits this request.
			// Deferring it prevents head-of-line blocking.
			pool.queue.Remove(request)
			request.deferred = true
			pool.deferred.Push(request)
		default:
			return pool.decisions
		}
	}
}

// serveDeferred grants deferred requests in order, up to the first that no
// target admits.
func (pool *Pool) serveDeferred() {
	for pool.deferred.Len() > 0 {
		request := pool.deferred.Peek()
		target := pool.leastLoaded(request)
		if target == nil {
			return
		}
		pool.deferred.Remove(request)
		request.deferred = false
		pool.grant(target, request)
	}
}

// serveParked grants a target's free slots to the requests parked for it,
// except when the first request of the shared queue precedes them and would be
// placed on the same target.
func (pool *Pool) serveParked(target *Target) {
	for target.available() {
		request := target.parked.Peek()
		if request == nil || !pool.admits(target, request, target.prefixes.tokens(request.Program)) {
			return
		}
		if first := pool.queue.Peek(); first != nil && pool.queue.Before(first, request) &&
			pool.placement.Choose(pool, first).Target == target {
			pool.queue.Remove(first)
			pool.grant(target, first)
			continue
		}
		target.parked.Remove(request)
		request.parkedOn = nil
		pool.grant(target, request)
	}
}

func (pool *Pool) park(target *Target, request *Request) {
	request.parkedOn = target
	timeout := parkTimeoutFactor * (pool.prefixSavings(target, request) + pool.sharedQueueWait())
	request.unparkAt = pool.now.Add(max(minParkTimeout, time.Duration(timeout*float64(time.Second))))
	target.parked.Push(pool.now, request)
}

// parkTimeoutFactor allows for errors in the estimates of the waiting times by
// which the target was chosen.
const parkTimeoutFactor = 3

// minParkTimeout prevents a parked request from returning to the shared queue
// at once.
const minParkTimeout = 50 * time.Millisecond

func (pool *Pool) grant(target *Target, request *Request) {
	delete(pool.requests, request.ID)
	cached := min(target.prefixes.tokens(request.Program), request.Prompt)
	target.running[request.ID] = request
	target.cached[request.ID] = cached
	target.load += request.work(cached)
	if pool.isLongCall(request, cached) {
		target.longCalls++
	}
	pool.permits[request.ID] = target
	pool.byLoad.Fix(target)
	pool.queue.Charge(request.Workspace, request.work(0))
	pool.decisions = append(pool.decisions, Decision{Request: request.ID, Target: target.address, Cached: cached})
}

func (pool *Pool) isLongCall(request *Request, cached int) bool {
	return request.Prompt-cached >= pool.settings.LongPrefill
}

// admits reports whether a target may run a request. A request isn't retried on
// the target on which it failed last, unless that is the only one. Long calls may
// use at most a quarter of the target's window, but at least one slot. Two
// requests suspected of a crash don't run on the same target, so that a further
// crash identifies its cause.
func (pool *Pool) admits(target *Target, request *Request, cached int) bool {
	if request.Avoid == target.address && len(pool.sorted) > 1 {
		return false
	}
	if pool.isLongCall(request, cached) && target.longCalls >= max(1, target.window/4) {
		return false
	}
	return !pool.quarantine.suspected(request) || !target.runsSuspect(pool.quarantine)
}

// leastLoaded returns the available target with the least expected work that
// admits the request, or nil if there is none.
func (pool *Pool) leastLoaded(request *Request) *Target {
	if pool.byLoad.Len() == 0 {
		return nil
	}
	if first := pool.byLoad.Peek(); !first.available() {
		return nil
	} else if pool.admits(first, request, first.prefixes.tokens(request.Program)) {
		return first
	}
	// The linear search is needed only if the least loaded target rejects a
	// long, suspect or retried call.
	var best *Target
	for _, target := range pool.sorted {
		if !target.available() || !pool.admits(target, request, target.prefixes.tokens(request.Program)) {
			continue
		}
		if best == nil || lessLoaded(target, best) {
			best = target
		}
	}
	return best
}

// prefixTarget returns the target with the program's cached prefix, or nil if
// none is known or it isn't usable.
func (pool *Pool) prefixTarget(request *Request) *Target {
	target := pool.prefixTargets[request.Program]
	if target == nil || target.leaving || target.breaker.open || target.address == request.Avoid {
		return nil
	}
	return target
}

// expectedWait estimates the time until a full target starts one more parked
// request, in seconds.
func (pool *Pool) expectedWait(target *Target) float64 {
	running := max(1, len(target.running))
	perCall := target.load / float64(running) * target.speed.secondsPerOutputToken
	return perCall * float64(target.parked.Len()+1) / float64(running)
}

// sharedQueueWait estimates the time until any target starts one more request
// of the shared queue, in seconds.
func (pool *Pool) sharedQueueWait() float64 {
	if pool.byLoad.Len() == 0 {
		return 0
	}
	least := pool.byLoad.Peek()
	if least.available() {
		return 0
	}
	targets := float64(len(pool.sorted))
	return pool.expectedWait(least) * (1 + float64(pool.queue.Len())/targets/float64(least.parked.Len()+1))
}

// prefillInterference is the delay that a prefill adds to each running or
// waiting call, relative to the duration of the prefill. A prefill halves the
// speed of its batch, and this delays every call that waits behind the batch.
const prefillInterference = 2.0

// prefixSavings returns the time that the cached prefix of a request saves on a
// target, in seconds, summed over the request, the running calls and the
// waiting calls.
func (pool *Pool) prefixSavings(target *Target, request *Request) float64 {
	cached := min(target.prefixes.tokens(request.Program), request.Prompt)
	others := float64(len(target.running)) + float64(len(pool.requests))/float64(len(pool.sorted))
	return float64(cached) * target.speed.secondsPerPrefillToken * (1 + prefillInterference*others)
}
