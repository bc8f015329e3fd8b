// Package placement selects a target for each request, based on this host's
// view of the targets' load. It performs no I/O.
package placement

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/spillover"
)

// Target is a process that serves the requests of a service.
type Target struct {
	ID              string
	Service         string
	Version         string // of the software; a stream can only continue at the version that began it
	Address         string
	DataCentre      string
	Slots           int // requests that the target runs concurrently
	Draining        bool
	ColdRemaining   time.Duration // remaining time of the slow phase after a start
	StartedAtMillis int64         // start time in Unix milliseconds
}

// Request contains the properties of a request that placement depends on.
type Request struct {
	Service  string
	Version  string               // software version that the target must have; empty for any
	Affinity string               // requests with the same value benefit from a cache on the same target
	Home     *region.Constraint   // regions whose targets may run the request; nil for all
	Tried    []string             // IDs of the targets that the request was already sent to
	Prefix   []request.PrefixPart // of the prompt; targets cache prompts by prefix

	PromptTokens int // length of the prompt; 0 if unknown
	MaxTokens    int // maximum number of generated tokens; 0 if unknown
	CacheTokens  int // tokens of running requests and cached prompts that a target of the service has memory for; 0 if unknown
}

// Registry contains the targets and their load. It is safe for concurrent use.
type Registry struct {
	dataCentre string
	policy     Policy
	departures *departures
	coldness   *coldness

	mutex       sync.Mutex
	targets     map[string]*targetState
	byService   map[string][]*targetState // targets by service, ordered by ID
	prefixes    *prefixCache
	prefill     *prefillModel
	affinities  map[uint64]affinityEntry // most recent target by digest of the affinity, which callers choose in any length
	scratch     []*targetState           // buffer reused by candidates
	unreachable map[string]bool          // data centres from which no host responds
	missing     map[string]bool          // targets whose store entries have expired but may be renewed
	evacuations evacuations
	spillover   map[string]spillover.Decision // by service

	requestBytes map[string]float64 // mean size of the requests of the services in spillover

	serviceSpeeds map[string]*serviceSpeed // by service; those whose targets announce a slowness
	memoryUse     MemoryUse
}

// targetState is a target with its load and its recent failures.
type targetState struct {
	target         Target
	localInFlight  int // requests that this host has in flight
	remoteInFlight int // requests that other hosts have in flight, as last reported
	failures       int // consecutive failures
	backoffUntil   time.Time
	pausedUntil    time.Time // until then the target's request limit leaves no room
	speed          targetSpeed
	localTokens    int // of the requests that this host has in flight
	remoteTokens   int // of the requests that other hosts have in flight, as last reported
}

// affinityEntry is the target chosen most recently for an affinity.
type affinityEntry struct {
	targetID string
	lastUsed time.Time
}

const (
	affinityCapacity = 20000                  // entries
	affinityTTL      = 60 * time.Second       // targets rarely cache a prompt for longer
	initialBackoff   = 500 * time.Millisecond // doubles with each consecutive failure
	maxBackoff       = 8 * time.Second
)

// Policy contains the parameters of target selection and overload detection.
type Policy struct {
	SampleSize        int           // number of random targets compared for each request
	OverloadThreshold float64       // in-flight requests per slot from which a service is overloaded
	RandomInt         func(int) int // returns a random integer in [0, n)
}

// DefaultPolicy returns the default policy of a host with a source of random
// integers.
func DefaultPolicy(randomInt func(int) int) Policy {
	return Policy{SampleSize: DefaultSampleSize, OverloadThreshold: DefaultOverloadThreshold, RandomInt: randomInt}
}

// NewRegistry returns an empty registry for a host in the given data centre.
func NewRegistry(dataCentre string, policy Policy) *Registry {
	return &Registry{
		dataCentre: dataCentre, policy: policy, departures: newDepartures(), coldness: newColdness(), prefixes: newPrefixCache(), prefill: newPrefillModel(), targets: make(map[string]*targetState), byService: make(map[string][]*targetState), affinities: make(map[uint64]affinityEntry),
		serviceSpeeds: make(map[string]*serviceSpeed),
		requestBytes:  make(map[string]float64),
	}
}

// Put adds or updates a target. It reports whether the target is new or has
// changed.
func (registry *Registry) Put(target Target) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	target.Draining = target.Draining || registry.departures.includes(target.ID, target.StartedAtMillis)
	if existing, ok := registry.targets[target.ID]; ok {
		changed := existing.target != target
		regrouped := existing.target.Service != target.Service
		if existing.target.StartedAtMillis != target.StartedAtMillis {
			existing.speed = targetSpeed{} // another machine may have the name
			registry.prefixes.forget(target.ID)
		}
		existing.target = target
		if regrouped {
			registry.rebuildIndex()
		}
		return changed
	}
	registry.targets[target.ID] = &targetState{target: target}
	registry.rebuildIndex()
	return true
}

// Remove deletes a target and reports whether it was present. Its in-flight
// requests continue.
func (registry *Registry) Remove(id string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if _, ok := registry.targets[id]; !ok {
		return false
	}
	delete(registry.targets, id)
	registry.rebuildIndex()
	return true
}

// rebuildIndex rebuilds the index of targets by service.
func (registry *Registry) rebuildIndex() {
	registry.byService = make(map[string][]*targetState)
	for _, state := range registry.targets {
		registry.byService[state.target.Service] = append(registry.byService[state.target.Service], state)
	}
	for _, group := range registry.byService {
		slices.SortFunc(group, func(left, right *targetState) int { return strings.Compare(left.target.ID, right.target.ID) })
	}
}

// Target returns the target with an ID, if it is known.
func (registry *Registry) Target(id string) (Target, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	state, ok := registry.targets[id]
	if !ok {
		return Target{}, false
	}
	return state.target, true
}

// Sample returns a number of random targets other than the one with an ID. Those of
// evacuated data centres may be switched off and are left out.
func (registry *Registry) Sample(count int, except string) []Target {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	targets := make([]Target, 0, len(registry.targets))
	for id, state := range registry.targets {
		if id != except && !registry.evacuations.active[state.target.DataCentre] {
			targets = append(targets, state.target)
		}
	}
	for index := range min(count, len(targets)) {
		other := index + registry.policy.RandomInt(len(targets)-index)
		targets[index], targets[other] = targets[other], targets[index]
	}
	return targets[:min(count, len(targets))]
}

// Version returns the software version of the target with an ID, if it is known.
func (registry *Registry) Version(id string) (string, bool) {
	target, known := registry.Target(id)
	return target.Version, known
}

// Len returns the number of targets.
func (registry *Registry) Len() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.targets)
}

// Targets returns all targets.
func (registry *Registry) Targets() []Target {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	targets := make([]Target, 0, len(registry.targets))
	for _, state := range registry.targets {
		targets = append(targets, state.target)
	}
	return targets
}

// recordAffinity stores the most recent target of an affinity. If the map is
// full, it evicts expired entries, or all entries if none has expired.
func (registry *Registry) recordAffinity(affinity uint64, id string, now time.Time) {
	if len(registry.affinities) >= affinityCapacity {
		for key, entry := range registry.affinities {
			if now.Sub(entry.lastUsed) > affinityTTL {
				delete(registry.affinities, key)
			}
		}
		if len(registry.affinities) >= affinityCapacity {
			clear(registry.affinities)
		}
	}
	registry.affinities[affinity] = affinityEntry{targetID: id, lastUsed: now}
}

// Outcome is the result of a request at a target.
type Outcome uint8

// Outcomes of a request at a target.
const (
	Served    Outcome = iota // the target returned a response
	Refused                  // the target declined to run the request
	Failed                   // the target was unreachable or returned no complete response
	Abandoned                // the caller left or the deadline passed first
)

// Pause withdraws a request that Choose placed on a target, because the request
// limit of the target leaves no room, and chooses the target no more until then.
func (registry *Registry) Pause(id string, until time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if state, ok := registry.targets[id]; ok {
		state.localInFlight = max(0, state.localInFlight-1)
		state.pausedUntil = until
	}
}

// Done records the end of a request that Choose placed on a target. After a
// refusal or failure the target is used only as a last resort until its
// backoff has elapsed. The backoff after a refusal is short and constant.
func (registry *Registry) Done(id string, outcome Outcome, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	state, ok := registry.targets[id]
	if !ok {
		return
	}
	state.localInFlight = max(0, state.localInFlight-1)
	switch outcome {
	case Served:
		state.failures = 0
		state.backoffUntil = time.Time{}
	case Refused, Failed:
		state.failures++
		backoff := initialBackoff << min(state.failures-1, 5)
		if outcome == Refused {
			backoff = initialBackoff / 5
		}
		state.backoffUntil = now.Add(min(backoff, maxBackoff))
	}
}

// SetRemoteLoad replaces the numbers of requests that other hosts have in
// flight, by target ID.
func (registry *Registry) SetRemoteLoad(load map[string]int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for id, state := range registry.targets {
		state.remoteInFlight = load[id]
	}
}

// SetUnreachableDataCentres replaces the set of unreachable data centres. Their
// targets are used only as a last resort.
func (registry *Registry) SetUnreachableDataCentres(dataCentres map[string]bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.unreachable = dataCentres
}

// SetMissing replaces the set of targets whose store entries have expired but may be
// renewed. They are used only as a last resort.
func (registry *Registry) SetMissing(ids map[string]bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.missing = ids
}

// LocalLoad returns the numbers of requests that this host has in flight, by
// target ID. Targets without requests are omitted.
func (registry *Registry) LocalLoad() map[string]int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	load := make(map[string]int)
	for id, state := range registry.targets {
		if state.localInFlight > 0 {
			load[id] = state.localInFlight
		}
	}
	return load
}

func contains(list []string, value string) bool {
	for _, element := range list {
		if element == value {
			return true
		}
	}
	return false
}
