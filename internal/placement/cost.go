package placement

import "time"

// Cost is the estimated delay of a further request at a target, relative to one turn at
// a target without load. Its parts are added up.
type Cost struct {
	Load     float64 // of the slots in use
	Queue    float64 // of waiting for requests to end
	Way      float64 // to another data centre
	Cold     float64 // surcharge of a target that has just started
	Prefill  float64 // of reading the part of the prompt that is not cached
	Affinity float64 // negative if the target caches the prompt
	Speed    float64 // by which the turn and the wait take longer than at a normal target; negative if shorter
	Memory   float64 // of the tokens in flight that exceed the target's memory
}

// Total returns the sum of the parts.
func (cost Cost) Total() float64 {
	return cost.Load + cost.Queue + cost.Way + cost.Cold + cost.Prefill + cost.Affinity + cost.Speed + cost.Memory
}

// cost estimates the cost of a request at a target, as seen from the data centre of this
// host. cached reports whether the target is the most recent one of the request's affinity.
func (registry *Registry) cost(state *targetState, request Request, cached bool, now time.Time) Cost {
	load := float64(state.localInFlight + state.remoteInFlight)
	slots := float64(max(1, state.target.Slots))
	cost := Cost{Load: (load + 1) / slots}
	if load >= slots {
		cost.Queue = queueCost * (load - slots + 1) / slots
	}
	if state.target.DataCentre != registry.dataCentre {
		cost.Way = crossDataCentreCost
	}
	if _, cold := registry.coldness.until(state.target, now); cold {
		cost.Cold = coldSurcharge * (cost.Load + cost.Queue + cost.Way)
	}
	cost.Prefill = registry.prefillCost(state, request, now)
	if cached {
		cost.Affinity = -affinityDiscount
	}
	return cost
}
