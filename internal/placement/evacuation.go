package placement

import (
	"maps"
	"slices"
	"time"
)

const (
	// After an evacuation the targets of a data centre regain their share of requests in
	// steps: they are cold, and all hosts learn of it at about the same moment, so that
	// idle targets would win every comparison on all of them.
	returnSteps    = 5
	returnStep     = 2 * time.Second
	maxLiftedTimes = 64 // data centres whose return is remembered
)

// evacuations are the evacuated data centres, and those that have returned.
type evacuations struct {
	active   map[string]bool
	liftedAt map[string]time.Time
}

// SetEvacuated replaces the set of evacuated data centres. Their targets get no further
// requests.
func (registry *Registry) SetEvacuated(dataCentres map[string]bool, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for dataCentre := range registry.evacuations.active {
		if !dataCentres[dataCentre] {
			registry.evacuations.recordLift(dataCentre, now)
		}
	}
	for dataCentre := range dataCentres {
		delete(registry.evacuations.liftedAt, dataCentre)
	}
	registry.evacuations.active = maps.Clone(dataCentres)
}

// recordLift records that the evacuation of a data centre has been lifted.
func (evacuations *evacuations) recordLift(dataCentre string, now time.Time) {
	if evacuations.liftedAt == nil {
		evacuations.liftedAt = make(map[string]time.Time)
	}
	if len(evacuations.liftedAt) >= maxLiftedTimes {
		oldest, first := "", now
		for name, at := range evacuations.liftedAt {
			if !at.After(first) {
				oldest, first = name, at
			}
		}
		delete(evacuations.liftedAt, oldest)
	}
	evacuations.liftedAt[dataCentre] = now
}

// LiftedAt returns the moment when this host saw the evacuation of a data centre lifted.
// It returns false if it has seen none, and while the data centre is evacuated.
func (registry *Registry) LiftedAt(dataCentre string) (time.Time, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	at, lifted := registry.evacuations.liftedAt[dataCentre]
	return at, lifted
}

// Evacuated reports whether a data centre is evacuated.
func (registry *Registry) Evacuated(dataCentre string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.evacuations.active[dataCentre]
}

// accepts reports whether a target may run a request. The caller holds the mutex.
func (registry *Registry) accepts(request Request, target Target) bool {
	return request.accepts(target) && !registry.evacuations.active[target.DataCentre]
}

// OnlyEvacuated reports whether there are targets that would accept a request, also after it
// was sent to some of them, and all of them are in evacuated data centres.
func (registry *Registry) OnlyEvacuated(request Request) bool {
	request.Tried = nil
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	evacuated := false
	for _, state := range registry.byService[request.Service] {
		switch {
		case !request.accepts(state.target):
		case registry.evacuations.active[state.target.DataCentre]:
			evacuated = true
		default:
			return false
		}
	}
	return evacuated
}

// returnStepAt returns the step at a time after the evacuation of a data centre was
// lifted. It returns returnSteps for a data centre that has its whole share.
func (evacuations *evacuations) returnStepAt(dataCentre string, now time.Time) int {
	at, lifted := evacuations.liftedAt[dataCentre]
	if !lifted {
		return returnSteps
	}
	return min(returnSteps, 1+int(max(0, now.Sub(at))/returnStep))
}

// heldBack returns the returning data centres that one request does not consider, drawn
// at random so that they regain their share in steps. It returns none if the request has
// no healthy target elsewhere. The caller holds the mutex.
func (registry *Registry) heldBack(request Request, now time.Time) map[string]bool {
	var returning []string
	for dataCentre := range registry.evacuations.liftedAt {
		if registry.evacuations.returnStepAt(dataCentre, now) < returnSteps {
			returning = append(returning, dataCentre)
		}
	}
	slices.Sort(returning) // equal draws hold the same data centres back
	var held map[string]bool
	for _, dataCentre := range returning {
		if registry.policy.RandomInt(returnSteps) < registry.evacuations.returnStepAt(dataCentre, now) {
			continue
		}
		if held == nil {
			held = make(map[string]bool)
		}
		held[dataCentre] = true
	}
	if held == nil {
		return nil
	}
	for _, state := range registry.byService[request.Service] {
		if registry.accepts(request, state.target) && !now.Before(state.pausedUntil) && !registry.lastResort(state, now) && !held[state.target.DataCentre] {
			return held
		}
	}
	return nil
}

// usableSlots returns the slots of a target of which requests may use their share.
func (registry *Registry) usableSlots(target Target, now time.Time) int {
	step := registry.evacuations.returnStepAt(target.DataCentre, now)
	return max(1, target.Slots*step/returnSteps)
}

// HasDataCentre reports whether a target is in a data centre.
func (registry *Registry) HasDataCentre(dataCentre string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, state := range registry.targets {
		if state.target.DataCentre == dataCentre {
			return true
		}
	}
	return false
}
