package target

import "time"

// Choice is the result of a placement. If Target is nil, the request has to
// wait: for the target in Park only, or for any target if Park is nil as well.
type Choice struct {
	Target *Target
	Park   *Target
}

// Placement is a policy that selects a target of a pool for a request.
type Placement interface {
	Choose(pool *Pool, request *Request) Choice
}

// PrefixPlacement prefers the target with the program's cached prefix, unless
// waiting for it costs more than recomputing the prefix elsewhere.
type PrefixPlacement struct{}

// Choose compares the target with the cached prefix to the least loaded one.
func (PrefixPlacement) Choose(pool *Pool, request *Request) Choice {
	least := pool.leastLoaded(request)
	prefixTarget := pool.prefixTarget(request)
	if prefixTarget == nil || prefixTarget == least {
		return Choice{Target: least}
	}
	otherCost := pool.sharedQueueWait()
	if least != nil {
		otherCost = least.slowdown(request)
	}
	otherCost += pool.prefixSavings(prefixTarget, request)
	cached := min(prefixTarget.prefixes.tokens(request.Program), request.Prompt)
	if prefixTarget.available() && pool.admits(prefixTarget, request, cached) {
		if prefixTarget.slowdown(request) <= otherCost {
			return Choice{Target: prefixTarget}
		}
		return Choice{Target: least}
	}
	if !request.parkedBefore && pool.expectedWait(prefixTarget)+prefixTarget.slowdown(request) <= otherCost {
		return Choice{Park: prefixTarget}
	}
	return Choice{Target: least}
}

// slowdown estimates the time that the calls running on a target add to a
// request, in seconds.
func (target *Target) slowdown(request *Request) float64 {
	load := float64(len(target.running)) / float64(target.window)
	return load * fullBatchSlowdown * float64(request.Output) * target.speed.secondsPerOutputToken
}

// fullBatchSlowdown is the extra time per output token in a full batch compared
// to a call that runs alone, as a fraction of the time in the full batch.
const fullBatchSlowdown = 0.4

// RoundRobinPlacement selects the targets in turn.
type RoundRobinPlacement struct{ next int }

// Choose returns the next available target.
func (placement *RoundRobinPlacement) Choose(pool *Pool, request *Request) Choice {
	for range pool.sorted {
		target := pool.sorted[placement.next%len(pool.sorted)]
		placement.next++
		if target.available() && target.address != request.Avoid {
			return Choice{Target: target}
		}
	}
	return Choice{Target: pool.leastLoaded(request)}
}

// TwoChoicePlacement selects the less loaded of two random targets, based on
// load samples that are up to Lag old.
type TwoChoicePlacement struct {
	Random func() float64
	Lag    time.Duration

	sampledAt    time.Time
	sampledLoads map[string]int
}

// Choose compares two random targets, and falls back to the least loaded target
// if the selected one is unavailable.
func (placement *TwoChoicePlacement) Choose(pool *Pool, request *Request) Choice {
	if placement.sampledLoads == nil || pool.now.Sub(placement.sampledAt) >= placement.Lag {
		placement.sampledAt = pool.now
		placement.sampledLoads = make(map[string]int, len(pool.sorted))
		for _, target := range pool.sorted {
			placement.sampledLoads[target.address] = len(target.running)
		}
	}
	pick := func() *Target { return pool.sorted[int(placement.Random()*float64(len(pool.sorted)))%len(pool.sorted)] }
	first, second := pick(), pick()
	if placement.sampledLoads[second.address] < placement.sampledLoads[first.address] {
		first = second
	}
	if first.available() && first.address != request.Avoid {
		return Choice{Target: first}
	}
	return Choice{Target: pool.leastLoaded(request)}
}

// AffinityPlacement sends every call of a program to the same target.
type AffinityPlacement struct{ assigned map[string]*Target }

// Choose returns the target assigned to the program. It assigns the least
// loaded target to a new program and to one whose target is unusable.
func (placement *AffinityPlacement) Choose(pool *Pool, request *Request) Choice {
	if placement.assigned == nil {
		placement.assigned = make(map[string]*Target)
	}
	assigned := placement.assigned[request.Program]
	if assigned == nil || assigned.leaving || assigned.breaker.open || assigned.address == request.Avoid {
		assigned = pool.leastLoaded(request)
		if assigned == nil {
			return Choice{}
		}
		placement.assigned[request.Program] = assigned
	}
	if assigned.available() {
		return Choice{Target: assigned}
	}
	return Choice{Park: assigned}
}
