package target

import (
	"time"
)

// schedule grants permits while requests and targets match.
func (pool *Pool) schedule() []Decision {
	if pool.deferred.Len() > 0 {
		pool.serveDeferred()
	}
	for {
		request := pool.order.Peek()
		if request == nil {
			return pool.decisions
		}
		choice := pool.placement.Choose(pool, request)
		switch {
		case choice.Target != nil:
			pool.order.Remove(request)
			pool.grant(choice.Target, request)
		case choice.Park != nil:
			pool.order.Remove(request)
			pool.park(choice.Park, request)
		case pool.byLoad.Peek().available():
			// Targets have room, only not for this request: it must not
			// hold up the others.
			pool.order.Remove(request)
			request.deferred = true
			pool.deferred.Push(request)
		default:
			return pool.decisions
		}
	}
}

// serveDeferred grants the first deferred requests that a target admits.
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

// serveParked gives a free target to the requests that wait for it, as far as
// they go before the common queue.
func (pool *Pool) serveParked(target *Target) {
	for target.available() {
		request := target.parked.Peek()
		if request == nil || !pool.admits(target, request, target.prefixes.held(request.Program)) {
			return
		}
		if first := pool.order.Peek(); first != nil && pool.order.Before(first, request) &&
			pool.placement.Choose(pool, first).Target == target {
			pool.order.Remove(first)
			pool.grant(target, first)
			continue
		}
		target.parked.Remove(request)
		request.parked = nil
		pool.grant(target, request)
	}
}

func (pool *Pool) park(target *Target, request *Request) {
	request.parked = target
	patience := patienceFactor * (pool.saved(target, request) + pool.commonWait())
	request.unpark = pool.now.Add(max(minPark, time.Duration(patience*float64(time.Second))))
	target.parked.Push(pool.now, request)
}

// patienceFactor allows for the error of the estimates that sent a request to
// wait for one target.
const patienceFactor = 3

// minPark keeps a parked request from going back at once.
const minPark = 50 * time.Millisecond

func (pool *Pool) grant(target *Target, request *Request) {
	delete(pool.requests, request.ID)
	cached := min(target.prefixes.held(request.Program), request.Prompt)
	target.running[request.ID] = request
	target.cached[request.ID] = cached
	target.load += request.work(cached)
	if pool.isLong(request, cached) {
		target.long++
	}
	pool.permits[request.ID] = target
	pool.byLoad.Fix(target)
	pool.order.Charge(request.Workspace, request.work(0))
	pool.decisions = append(pool.decisions, Decision{Request: request.ID, Target: target.address, Cached: cached})
}

func (pool *Pool) isLong(request *Request, cached int) bool {
	return request.Prompt-cached >= pool.settings.LongPrefill
}

// admits bounds the share of a target's window that long calls take, and
// keeps two suspects of a crash apart.
func (pool *Pool) admits(target *Target, request *Request, cached int) bool {
	if request.Avoid == target.address && len(pool.list) > 1 {
		return false
	}
	if pool.isLong(request, cached) && target.long >= max(1, target.window/4) {
		return false
	}
	return !pool.quarantine.suspected(request) || !target.suspect(pool.quarantine)
}

// leastLoaded returns the available target with the least expected work, nil
// if none admits the request.
func (pool *Pool) leastLoaded(request *Request) *Target {
	if pool.byLoad.Len() == 0 {
		return nil
	}
	if first := pool.byLoad.Peek(); !first.available() {
		return nil
	} else if pool.admits(first, request, first.prefixes.held(request.Program)) {
		return first
	}
	// The common case ends above. A long, suspect or repeated call looks for
	// the least loaded of the targets that admit it.
	var best *Target
	for _, target := range pool.list {
		if !target.available() || !pool.admits(target, request, target.prefixes.held(request.Program)) {
			continue
		}
		if best == nil || lessLoaded(target, best) {
			best = target
		}
	}
	return best
}

// holder returns the target that holds the program's prefix, nil if none is
// known or it cannot be used.
func (pool *Pool) holder(request *Request) *Target {
	target := pool.holders[request.Program]
	if target == nil || target.leaving || target.breaker.open || target.address == request.Avoid {
		return nil
	}
	return target
}

// expectedWait estimates the time until a full target takes one more parked
// request, in seconds.
func (pool *Pool) expectedWait(target *Target) float64 {
	running := max(1, len(target.running))
	perCall := target.load / float64(running) * target.speed.token
	return perCall * float64(target.parked.Len()+1) / float64(running)
}

// commonWait estimates the time until any target takes one more request of
// the common queue, in seconds.
func (pool *Pool) commonWait() float64 {
	if pool.byLoad.Len() == 0 {
		return 0
	}
	least := pool.byLoad.Peek()
	if least.available() {
		return 0
	}
	targets := float64(len(pool.list))
	return pool.expectedWait(least) * (1 + float64(pool.order.Len())/targets/float64(least.parked.Len()+1))
}

// interference is what a prefill costs each call that runs on the target or
// waits for it, relative to its own time. A prefill halves the pace of its
// batch, and a lost pace is felt again by every call that queues behind.
const interference = 2.0

// saved is the time that the cached prefix of a request saves on a target, for
// the request itself, for the calls beside it and for those that wait, in
// seconds.
func (pool *Pool) saved(target *Target, request *Request) float64 {
	cached := min(target.prefixes.held(request.Program), request.Prompt)
	others := float64(len(target.running)) + float64(len(pool.requests))/float64(len(pool.list))
	return float64(cached) * target.speed.prefill * (1 + interference*others)
}
