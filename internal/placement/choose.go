package placement

import (
	"time"
)

// Weights of the cost of a target. A fully used target costs about 1, the cost
// of waiting for one turn.
const (
	crossDataCentreCost = 0.15 // about 0.5 ms each way between data centres, against turns of several hundred ms
	affinityDiscount    = 0.6  // a cached prompt saves its prefill
	queueCost           = 4.0  // each request beyond the slots waits for another one to end
	coldSurcharge       = 0.5  // added fraction of the cost while a target is slow after its start
)

// DefaultSampleSize is the default number of random targets compared for each
// request. Hosts learn each other's load about 250 ms late: if every host
// compared all targets, all would send to the same one in the meantime.
const DefaultSampleSize = 2

// Choose selects the target with the lowest cost from a random sample and the
// most recent target of the request's affinity, and counts the request as in
// flight there. The caller must call Done with the ID of the target. Choose
// returns false if no target is left.
func (registry *Registry) Choose(request Request, now time.Time) (Target, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	best := registry.selectTarget(request, now)
	if best == nil {
		return Target{}, false
	}
	return registry.place(best, request, now), true
}

// selectTarget returns the target that Choose places a request on, or nil. The caller must
// hold the mutex.
func (registry *Registry) selectTarget(request Request, now time.Time) *targetState {
	preferred := registry.preferred(request)
	holders := registry.prefixes.holders(request.Prefix, now)
	var best *targetState
	lowestCost := 0.0
	candidates, sampled := registry.candidates(request, now)
	for index, state := range candidates {
		if index >= sampled && state.target.ID != preferred && !contains(holders[:], state.target.ID) {
			continue
		}
		if total := registry.costOf(state, request, preferred, now).Total(); best == nil || total < lowestCost {
			best, lowestCost = state, total
		}
	}
	return best
}

// preferred returns the ID of the most recent target of a request's affinity, or an empty
// string. The caller must hold the mutex.
func (registry *Registry) preferred(request Request) string {
	if request.Affinity == "" {
		return ""
	}
	return registry.affinities[affinityDigest(request.Affinity)].targetID
}

// costOf returns all parts of the cost of a request at a target. The caller must hold the
// mutex.
func (registry *Registry) costOf(state *targetState, request Request, preferred string, now time.Time) Cost {
	cost := registry.cost(state, request, state.target.ID == preferred, now)
	cost.Speed = registry.speedCost(cost, state, request, now)
	cost.Memory = state.memoryCostOf(request)
	return cost
}

// place counts a request as in flight at a target.
func (registry *Registry) place(state *targetState, request Request, now time.Time) Target {
	state.localInFlight++
	registry.holdTokens(state, request)
	if request.Affinity != "" {
		registry.recordAffinity(affinityDigest(request.Affinity), state.target.ID, now)
	}
	return state.target
}

// ChoosePaused selects the target whose pause ends first, for a request that
// Choose finds no target for, and counts the request as in flight there. It
// returns the time until the end of the pause, and false if no target is paused.
func (registry *Registry) ChoosePaused(request Request, now time.Time) (Target, time.Duration, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var first *targetState
	for _, state := range registry.byService[request.Service] {
		if !registry.accepts(request, state.target) || !now.Before(state.pausedUntil) {
			continue
		}
		if first == nil || state.pausedUntil.Before(first.pausedUntil) {
			first = state
		}
	}
	if first == nil {
		return Target{}, 0, false
	}
	return registry.place(first, request, now), first.pausedUntil.Sub(now), true
}

// Thresholds of in-flight requests per slot from which a service starts no new
// program. Urgent programs still start at a load that rejects others.
const (
	DefaultOverloadThreshold = 1.5
	UrgentOverloadThreshold  = 1.95
)

// saturationTime is how long a target counts as full after a pause. Its request
// limit soon leaves room for a single request again, but not for a program.
const saturationTime = time.Second

// ServiceLoad is the total load of the targets of a service.
type ServiceLoad struct {
	InFlight int
	Slots    int
	Paused   int // targets whose request limit leaves no room
}

// Overloaded returns the load of the targets of a service and reports whether
// they are overloaded, so that a new program would delay the active ones past
// their deadlines. Draining, missing and evacuated targets do not count. A target that
// is or was just paused counts as full.
func (registry *Registry) Overloaded(service string, urgent bool, now time.Time) (ServiceLoad, bool) {
	return registry.OverloadedFor(Request{Service: service}, urgent, now)
}

// OverloadedFor is Overloaded for the targets in the home regions of a request.
func (registry *Registry) OverloadedFor(request Request, urgent bool, now time.Time) (ServiceLoad, bool) {
	threshold := registry.policy.OverloadThreshold
	if urgent {
		threshold *= UrgentOverloadThreshold / DefaultOverloadThreshold
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var load ServiceLoad
	used := 0.0 // requests in flight, with those that would fill the paused targets
	for _, state := range registry.byService[request.Service] {
		if state.target.Draining || registry.missing[state.target.ID] || !request.Home.AllowsTarget(state.target.DataCentre) || registry.evacuations.active[state.target.DataCentre] {
			continue
		}
		inFlight, slots := state.localInFlight+state.remoteInFlight, registry.usableSlots(state.target, now)
		load.InFlight += inFlight
		load.Slots += slots
		if now.Before(state.pausedUntil.Add(saturationTime)) {
			load.Paused++
			used += max(float64(inFlight), threshold*float64(slots))
		} else {
			used += float64(inFlight)
		}
	}
	return load, load.Slots > 0 && used >= threshold*float64(load.Slots)
}

// accepts reports whether a target may run the request.
func (request Request) accepts(target Target) bool {
	return !target.Draining && (request.Version == "" || target.Version == request.Version) && !contains(request.Tried, target.ID) && request.Home.AllowsTarget(target.DataCentre)
}

// HasAlternative reports whether another target may run the request, apart from those
// that are a last resort.
func (registry *Registry) HasAlternative(request Request, now time.Time) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, state := range registry.byService[request.Service] {
		if registry.accepts(request, state.target) && !registry.lastResort(state, now) {
			return true
		}
	}
	return false
}

// candidates returns the targets that may run a request and are not paused,
// beginning with the random sample, and the size of the sample. It returns last-resort targets only if there are no others. The
// result is valid until the next call, which reuses its memory.
func (registry *Registry) candidates(request Request, now time.Time) ([]*targetState, int) {
	registry.scratch = registry.scratch[:0]
	healthy, held := 0, registry.heldBack(request, now)
	for _, state := range registry.byService[request.Service] {
		if !registry.accepts(request, state.target) || now.Before(state.pausedUntil) {
			continue
		}
		registry.scratch = append(registry.scratch, state)
		if !registry.lastResort(state, now) && !held[state.target.DataCentre] {
			last := len(registry.scratch) - 1
			registry.scratch[healthy], registry.scratch[last] = registry.scratch[last], registry.scratch[healthy]
			healthy++
		}
	}
	eligible := registry.scratch[:healthy]
	if healthy == 0 {
		eligible = registry.scratch
	}
	confined := eligible[:registry.confine(request.Service, eligible)]
	sampled := min(registry.policy.SampleSize, len(confined))
	for index := range sampled {
		other := registry.drawSample(confined, index, request.Service, now)
		confined[index], confined[other] = confined[other], confined[index]
	}
	registry.replaceFull(confined, request, now)
	return eligible, sampled
}

// lastResort reports whether a target is used only if no other is left.
func (registry *Registry) lastResort(state *targetState, now time.Time) bool {
	return now.Before(state.backoffUntil) || registry.unreachable[state.target.DataCentre] || registry.missing[state.target.ID]
}
