package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/godwitspread/godwitspread/internal/spillover"
)

// Detach returns a registry that places a request as this one would at the same moment, and
// shares no state with it, so that placing there changes nothing here. It knows only the
// targets of the request's service, its affinity and its prompt. A random source that
// continues like the one of this registry makes Choose return the same target.
func (registry *Registry) Detach(request Request, randomInt func(int) int) *Registry {
	policy := registry.policy
	policy.RandomInt = randomInt
	detached := NewRegistry(registry.dataCentre, policy)
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	states := make([]targetState, len(registry.byService[request.Service]))
	group := make([]*targetState, len(states))
	for index, state := range registry.byService[request.Service] {
		states[index] = *state
		group[index] = &states[index]
		detached.targets[state.target.ID] = group[index]
	}
	if len(group) > 0 {
		detached.byService[request.Service] = group
	}
	if request.Affinity != "" {
		digest := affinityDigest(request.Affinity)
		if entry, known := registry.affinities[digest]; known {
			detached.affinities[digest] = entry
		}
	}
	for _, part := range request.Prefix {
		if entry := registry.prefixes.find(part.Digest); entry != nil {
			copied := *entry
			detached.prefixes.entries[part.Digest] = &copied
		}
	}
	if estimate, known := registry.prefill.services[request.Service]; known {
		copied := *estimate
		detached.prefill.services[request.Service] = &copied
	}
	if service, known := registry.serviceSpeeds[request.Service]; known {
		copied := *service
		detached.serviceSpeeds[request.Service] = &copied
	}
	// These are replaced as a whole and never changed.
	detached.unreachable, detached.missing, detached.spillover = registry.unreachable, registry.missing, registry.spillover
	detached.evacuations = evacuations{active: registry.evacuations.active, liftedAt: maps.Clone(registry.evacuations.liftedAt)}
	detached.coldness = registry.detachColdness(group)
	return detached
}

// Reset makes a copy that Detach has returned equal to another one of the same registry,
// request and moment, with a random source of its own. It saves the memory of a new copy.
func (registry *Registry) Reset(other *Registry, randomInt func(int) int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.policy.RandomInt = randomInt
	for id, state := range registry.targets {
		*state = *other.targets[id]
	}
	clear(registry.affinities)
	maps.Copy(registry.affinities, other.affinities)
	for name, service := range registry.serviceSpeeds {
		*service = *other.serviceSpeeds[name]
	}
	registry.memoryUse = other.memoryUse
}

// detachColdness returns a copy of the cold phases of some targets.
func (registry *Registry) detachColdness(states []*targetState) *coldness {
	coldness := registry.coldness
	coldness.mutex.Lock()
	defer coldness.mutex.Unlock()
	detached := newColdness()
	detached.times, detached.lifted = coldness.times, maps.Clone(coldness.lifted)
	for _, state := range states {
		if phase, known := coldness.phases[state.target.ID]; known {
			detached.phases[state.target.ID] = phase
		}
	}
	return detached
}

// Exclusion says why a target does not get a request.
type Exclusion string

// Exclusions of targets. An empty one stands for a target that may get the request.
const (
	ExcludedDraining    Exclusion = "draining"
	ExcludedVersion     Exclusion = "other_version" // the stream began at another software version
	ExcludedTried       Exclusion = "tried"         // the request was sent there before
	ExcludedRegion      Exclusion = "outside_home"  // outside the home regions of the request
	ExcludedEvacuated   Exclusion = "evacuated"     // its data centre is evacuated
	ExcludedPaused      Exclusion = "paused"        // its request limit leaves no room
	ExcludedBackoff     Exclusion = "backoff"       // last resort: it has just refused or failed a request
	ExcludedUnreachable Exclusion = "unreachable"   // last resort: no host of its data centre responds
	ExcludedMissing     Exclusion = "missing"       // last resort: its entry in the store has expired
)

// Candidate is a target of the service of a request, as Choose sees it.
type Candidate struct {
	Target         Target
	Exclusion      Exclusion
	Cost           Cost
	LocalInFlight  int
	RemoteInFlight int
	Tokens         int           // in flight
	CachedTokens   int           // of the prompt, as far as this host knows
	Preferred      bool          // the most recent target of the request's affinity
	Held           bool          // returns from an evacuation, so that only a part of the requests considers it
	PausedFor      time.Duration // until the end of its pause
	BackoffFor     time.Duration
	ColdFor        time.Duration
	FigureAge      time.Duration // of the slowness that it has announced; 0 if there is none
}

// Candidates returns the targets of the service of a request, those that may get it first,
// by cost. It must be called on a detached registry only, since it updates the pace of the
// service.
func (registry *Registry) Candidates(request Request, now time.Time) []Candidate {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	preferred, resort := registry.preferred(request), registry.onlyLastResorts(request, now)
	candidates := make([]Candidate, 0, len(registry.byService[request.Service]))
	for _, state := range registry.byService[request.Service] {
		candidate := Candidate{
			Target: state.target, Exclusion: registry.exclusion(state, request, resort, now), Cost: registry.costOf(state, request, preferred, now),
			LocalInFlight: state.localInFlight, RemoteInFlight: state.remoteInFlight, Tokens: state.tokensInFlight(),
			CachedTokens: registry.prefixes.cached(state.target.ID, request.Prefix, now), Preferred: state.target.ID == preferred,
			Held:      registry.evacuations.returnStepAt(state.target.DataCentre, now) < returnSteps,
			PausedFor: max(0, state.pausedUntil.Sub(now)), BackoffFor: max(0, state.backoffUntil.Sub(now)),
		}
		if until, cold := registry.coldness.until(state.target, now); cold {
			candidate.ColdFor = until.Sub(now)
		}
		if !state.speed.figureAt.IsZero() {
			candidate.FigureAge = now.Sub(state.speed.figureAt)
		}
		candidates = append(candidates, candidate)
	}
	slices.SortStableFunc(candidates, func(left, right Candidate) int {
		if left.excluded() != right.excluded() {
			return strings.Compare(string(left.Exclusion), string(right.Exclusion))
		}
		return cmp.Compare(left.Cost.Total(), right.Cost.Total())
	})
	return candidates
}

func (candidate Candidate) excluded() bool { return candidate.Exclusion != "" }

// onlyLastResorts reports whether all targets that may run a request now are last resorts.
func (registry *Registry) onlyLastResorts(request Request, now time.Time) bool {
	for _, state := range registry.byService[request.Service] {
		if registry.accepts(request, state.target) && !now.Before(state.pausedUntil) && !registry.lastResort(state, now) {
			return false
		}
	}
	return true
}

// exclusion returns why a target does not get a request. resort tells that last resorts are
// used.
func (registry *Registry) exclusion(state *targetState, request Request, resort bool, now time.Time) Exclusion {
	target := state.target
	switch {
	case target.Draining:
		return ExcludedDraining
	case request.Version != "" && target.Version != request.Version:
		return ExcludedVersion
	case contains(request.Tried, target.ID):
		return ExcludedTried
	case !request.Home.AllowsTarget(target.DataCentre):
		return ExcludedRegion
	case registry.evacuations.active[target.DataCentre]:
		return ExcludedEvacuated
	case now.Before(state.pausedUntil):
		return ExcludedPaused
	case !resort && now.Before(state.backoffUntil):
		return ExcludedBackoff
	case !resort && registry.unreachable[target.DataCentre]:
		return ExcludedUnreachable
	case !resort && registry.missing[target.ID]:
		return ExcludedMissing
	}
	return ""
}

// Spillover returns the decision which requests of a service leave the data centre, and
// false if there is none.
func (registry *Registry) Spillover(service string) (spillover.Decision, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	decision, decided := registry.spillover[service]
	return decision, decided
}

// Announces reports whether targets of a service have announced their speed, so that their
// costs have a part for it.
func (registry *Registry) Announces(service string, now time.Time) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.serviceSpeeds[service].announces(now)
}
