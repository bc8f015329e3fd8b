package placement

import "time"

const (
	// memoryShare is the share of a target's memory from which its use has a cost. The rest
	// is for requests that other hosts send while their views are 250 ms old.
	memoryShare = 0.6
	// memoryCost weighs the tokens beyond that share, relative to the memory. A request that
	// does not fit interrupts another one, which is read again from its start.
	memoryCost = 5.0
	maxTokens  = 1 << 24 // of a prompt or an output; callers may state any number
)

// tokens returns the tokens that a request may hold at a target, at most those that the
// memory of one target has room for. It is 0 if the request or the service states none.
func (request Request) tokens() int {
	if request.CacheTokens <= 0 || request.MaxTokens <= 0 && request.PromptTokens <= 0 {
		return 0
	}
	return min(boundedTokens(request.PromptTokens)+boundedTokens(request.MaxTokens), request.CacheTokens)
}

func boundedTokens(tokens int) int { return min(max(0, tokens), maxTokens) }

// tokensInFlight returns the tokens of the requests that all hosts have at a target.
func (state *targetState) tokensInFlight() int { return state.localTokens + state.remoteTokens }

// overflows reports whether the memory of a target has no room for a request.
func (state *targetState) overflows(request Request) bool {
	tokens := request.tokens()
	return tokens > 0 && state.tokensInFlight()+tokens > request.CacheTokens
}

// replaceFull replaces the last target of the sample by another random one if none of the
// sample has memory for a request. Leaving out all full targets would not do: hosts with old
// views would all send to the few that had room. The caller must hold the mutex.
func (registry *Registry) replaceFull(eligible []*targetState, request Request, now time.Time) {
	size := registry.policy.SampleSize
	if size >= len(eligible) {
		return
	}
	for _, state := range eligible[:size] {
		if !state.overflows(request) {
			return
		}
	}
	registry.memoryUse.Replaced++
	other := registry.drawSample(eligible, size, request.Service, now)
	eligible[size-1], eligible[other] = eligible[other], eligible[size-1]
}

// memoryCostOf returns the cost of a request because of the memory in use at a target.
func (state *targetState) memoryCostOf(request Request) float64 {
	tokens := request.tokens()
	if tokens == 0 {
		return 0
	}
	return memoryCost * max(0, float64(state.tokensInFlight()+tokens)/float64(request.CacheTokens)-memoryShare)
}

// holdTokens counts the tokens of a request that is placed on a target. The caller must hold
// the mutex.
func (registry *Registry) holdTokens(state *targetState, request Request) {
	if state.overflows(request) {
		registry.memoryUse.Exceeded++
	}
	state.localTokens += request.tokens()
}

// ReleaseTokens ends the use of a target's memory by a request that Choose or ChoosePaused
// has placed there. It is called beside Done or Pause.
func (registry *Registry) ReleaseTokens(id string, request Request) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if state, ok := registry.targets[id]; ok {
		state.localTokens = max(0, state.localTokens-request.tokens())
	}
}

// LocalTokens returns the tokens of the requests that this host has in flight, by target
// ID. Targets without tokens are omitted.
func (registry *Registry) LocalTokens() map[string]int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var tokens map[string]int
	for id, state := range registry.targets {
		if state.localTokens == 0 {
			continue
		}
		if tokens == nil {
			tokens = make(map[string]int)
		}
		tokens[id] = state.localTokens
	}
	return tokens
}

// SetRemoteTokens replaces the tokens of the requests that other hosts have in flight, by
// target ID.
func (registry *Registry) SetRemoteTokens(tokens map[string]int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for id, state := range registry.targets {
		state.remoteTokens = max(0, tokens[id])
	}
}

// MemoryUse counts decisions about the memory of targets.
type MemoryUse struct {
	Replaced int // requests for which another target was considered, because the sample had no room
	Exceeded int // requests that exceed the memory of their target
}

// TakeMemoryUse returns the decisions since the last call.
func (registry *Registry) TakeMemoryUse() MemoryUse {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	use := registry.memoryUse
	registry.memoryUse = MemoryUse{}
	return use
}
