package target

import "time"

// Choice is where a request goes. A nil target means that it has to wait; with
// Park set it waits for that target alone.
type Choice struct {
	Target *Target
	Park   *Target
}

// Placement picks a target for a request among those of a pool.
type Placement interface {
	Choose(pool *Pool, request *Request) Choice
}

// PrefixPlacement prefers the target that holds the program's prefix, unless
// waiting there costs more than recomputing it elsewhere.
type PrefixPlacement struct{}

// Choose implements Placement. It looks at two targets only: the holder of
// the prefix and the least loaded one.
func (PrefixPlacement) Choose(pool *Pool, request *Request) Choice {
	least := pool.leastLoaded(request)
	holder := pool.holder(request)
	if holder == nil || holder == least {
		return Choice{Target: least}
	}
	other := pool.commonWait()
	if least != nil {
		other = least.crowding(request)
	}
	other += pool.saved(holder, request)
	cached := min(holder.prefixes.held(request.Program), request.Prompt)
	if holder.available() && pool.admits(holder, request, cached) {
		if holder.crowding(request) <= other {
			return Choice{Target: holder}
		}
		return Choice{Target: least}
	}
	if !request.moved && pool.expectedWait(holder)+holder.crowding(request) <= other {
		return Choice{Park: holder}
	}
	return Choice{Target: least}
}

// crowding is the time by which the calls that run on a target slow a request
// down, in seconds.
func (target *Target) crowding(request *Request) float64 {
	share := float64(len(target.running)) / float64(target.window)
	return share * crowdingPart * float64(request.Output) * target.speed.token
}

// crowdingPart is how much longer a token takes in a full batch than alone,
// relative to the full batch.
const crowdingPart = 0.4

// RoundRobinPlacement takes the targets in turn.
type RoundRobinPlacement struct{ next int }

// Choose implements Placement.
func (placement *RoundRobinPlacement) Choose(pool *Pool, request *Request) Choice {
	for range pool.list {
		target := pool.list[placement.next%len(pool.list)]
		placement.next++
		if target.available() && target.address != request.Avoid {
			return Choice{Target: target}
		}
	}
	return Choice{Target: pool.leastLoaded(request)}
}

// TwoChoicePlacement takes the less loaded of two random targets by a load
// that is known with a lag.
type TwoChoicePlacement struct {
	Random func() float64
	Lag    time.Duration

	taken  time.Time
	lagged map[string]int
}

// Choose implements Placement.
func (placement *TwoChoicePlacement) Choose(pool *Pool, request *Request) Choice {
	if placement.lagged == nil || pool.now.Sub(placement.taken) >= placement.Lag {
		placement.taken = pool.now
		placement.lagged = make(map[string]int, len(pool.list))
		for _, target := range pool.list {
			placement.lagged[target.address] = len(target.running)
		}
	}
	pick := func() *Target { return pool.list[int(placement.Random()*float64(len(pool.list)))%len(pool.list)] }
	first, second := pick(), pick()
	if placement.lagged[second.address] < placement.lagged[first.address] {
		first = second
	}
	if first.available() && first.address != request.Avoid {
		return Choice{Target: first}
	}
	return Choice{Target: pool.leastLoaded(request)}
}

// AffinityPlacement sends every call of a program to the same target.
type AffinityPlacement struct{ homes map[string]*Target }

// Choose implements Placement.
func (placement *AffinityPlacement) Choose(pool *Pool, request *Request) Choice {
	if placement.homes == nil {
		placement.homes = make(map[string]*Target)
	}
	home := placement.homes[request.Program]
	if home == nil || home.leaving || home.breaker.open || home.address == request.Avoid {
		home = pool.leastLoaded(request)
		if home == nil {
			return Choice{}
		}
		placement.homes[request.Program] = home
	}
	if home.available() {
		return Choice{Target: home}
	}
	return Choice{Park: home}
}
