package bench

import (
	"container/list"
	"math"
	"time"
)

// fakeEngine simulates a model engine in virtual time. It decodes its calls in one
// batch and prefills one prompt at a time, during which decoding continues at half
// speed. Its prefix cache has a limited capacity and evicts the least recently
// used prefix.
type fakeEngine struct {
	address      string
	settings     engineSettings
	fleet        *policyFleet
	decoding     []*engineCall
	prefillQueue []*engineCall
	prefilling   *engineCall
	updatedAt    time.Time
	eventVersion int // version of the scheduled event; events of earlier versions are ignored
	cache        map[string]*list.Element
	lru          *list.List // cached prefixes, least recently used first
	cachedTokens int
	crashed      bool
}

// engineSettings describes the speed and cache capacity of an engine.
type engineSettings struct {
	window          int           // maximum number of calls in flight
	prefillPerToken time.Duration // prefill time of one prompt token
	step            time.Duration // between two tokens of a call that runs alone
	batchingCost    float64       // fraction of a step that each further call in the batch adds
	maxCacheTokens  int           // capacity of the prefix cache
}

// tokenInterval returns the time in seconds between two tokens of a call in a
// batch of the given size.
func (settings engineSettings) tokenInterval(calls int) float64 {
	return settings.step.Seconds() * (1 + settings.batchingCost*float64(calls-1))
}

type engineCall struct {
	request      *policyCall
	outputLeft   float64 // tokens that remain to be generated
	promptLeft   float64 // prompt tokens that remain to be prefilled
	promptTokens int
	reused       int // prompt tokens found in the prefix cache
	firstToken   time.Time
	started      time.Time
}

type enginePrefix struct {
	program string
	tokens  int
}

func newFakeEngine(address string, settings engineSettings, fleet *policyFleet) *fakeEngine {
	return &fakeEngine{
		address: address, settings: settings, fleet: fleet, updatedAt: fleet.now,
		cache: make(map[string]*list.Element), lru: list.New(),
	}
}

// submit adds a call to the prefill queue.
func (engine *fakeEngine) submit(request *policyCall) {
	engine.advance()
	reused := min(engine.prefixTokens(request.program.name), request.promptTokens)
	call := &engineCall{
		request: request, outputLeft: float64(request.output), promptTokens: request.promptTokens, reused: reused,
		promptLeft: float64(request.promptTokens - reused), started: engine.fleet.now,
	}
	if element, ok := engine.cache[request.program.name]; ok {
		engine.lru.MoveToBack(element)
	}
	engine.prefillQueue = append(engine.prefillQueue, call)
	engine.startPrefill()
	engine.scheduleNext()
}

func (engine *fakeEngine) prefixTokens(program string) int {
	if element, ok := engine.cache[program]; ok {
		return element.Value.(*enginePrefix).tokens
	}
	return 0
}

func (engine *fakeEngine) startPrefill() {
	if engine.prefilling == nil && len(engine.prefillQueue) > 0 {
		engine.prefilling, engine.prefillQueue = engine.prefillQueue[0], engine.prefillQueue[1:]
	}
}

// tokenRate returns the number of tokens per second of each decoding call.
func (engine *fakeEngine) tokenRate() float64 {
	if len(engine.decoding) == 0 {
		return 0
	}
	rate := 1 / engine.settings.tokenInterval(len(engine.decoding))
	if engine.prefilling != nil {
		rate /= 2
	}
	return rate
}

// advance subtracts the work done since the last update.
func (engine *fakeEngine) advance() {
	elapsed := engine.fleet.now.Sub(engine.updatedAt).Seconds()
	engine.updatedAt = engine.fleet.now
	rate := engine.tokenRate()
	for _, call := range engine.decoding {
		call.outputLeft -= rate * elapsed
	}
	if engine.prefilling != nil {
		engine.prefilling.promptLeft -= elapsed / engine.settings.prefillPerToken.Seconds()
	}
}

// workTolerance is the number of remaining tokens below which work counts as done.
// It absorbs the rounding of virtual time.
const workTolerance = 1e-6

// scheduleNext schedules an event for the next end of a prefill or a call.
func (engine *fakeEngine) scheduleNext() {
	engine.eventVersion++
	version := engine.eventVersion
	delay := math.Inf(1)
	if engine.prefilling != nil {
		delay = math.Max(0, engine.prefilling.promptLeft) * engine.settings.prefillPerToken.Seconds()
	}
	if rate := engine.tokenRate(); rate > 0 {
		for _, call := range engine.decoding {
			delay = math.Min(delay, math.Max(0, call.outputLeft)/rate)
		}
	}
	if math.IsInf(delay, 1) {
		return
	}
	engine.fleet.schedule(time.Duration(delay*float64(time.Second))+time.Microsecond, func() {
		if version == engine.eventVersion && !engine.crashed {
			engine.advance()
			engine.finishCalls()
			engine.scheduleNext()
		}
	})
}

// finishCalls moves the call whose prefill is done to the decoding batch and
// completes the calls that have generated all their tokens.
func (engine *fakeEngine) finishCalls() {
	if call := engine.prefilling; call != nil && call.promptLeft <= workTolerance {
		engine.prefilling = nil
		call.firstToken = engine.fleet.now
		engine.decoding = append(engine.decoding, call)
		engine.startPrefill()
	}
	remaining := engine.decoding[:0]
	var finished []*engineCall
	for _, call := range engine.decoding {
		if call.outputLeft <= workTolerance {
			finished = append(finished, call)
			continue
		}
		remaining = append(remaining, call)
	}
	engine.decoding = remaining
	for _, call := range finished {
		engine.cachePrefix(call.request.program.name, call.promptTokens+call.request.output)
		engine.fleet.callCompleted(engine, call)
	}
}

func (engine *fakeEngine) cachePrefix(program string, tokens int) {
	if element, ok := engine.cache[program]; ok {
		engine.cachedTokens -= element.Value.(*enginePrefix).tokens
		engine.lru.Remove(element)
	}
	engine.cache[program] = engine.lru.PushBack(&enginePrefix{program: program, tokens: tokens})
	engine.cachedTokens += tokens
	for engine.cachedTokens > engine.settings.maxCacheTokens && engine.lru.Len() > 1 {
		engine.evictPrefix(engine.lru.Front().Value.(*enginePrefix).program)
	}
}

func (engine *fakeEngine) evictPrefix(program string) {
	if element, ok := engine.cache[program]; ok {
		engine.cachedTokens -= element.Value.(*enginePrefix).tokens
		engine.lru.Remove(element)
		delete(engine.cache, program)
	}
}

// crash fails every call and clears the cache. The engine accepts calls again
// after the restart delay.
func (engine *fakeEngine) crash(restartDelay time.Duration) {
	engine.advance()
	lost := append(append([]*engineCall{}, engine.decoding...), engine.prefillQueue...)
	if engine.prefilling != nil {
		lost = append(lost, engine.prefilling)
	}
	engine.decoding, engine.prefillQueue, engine.prefilling = nil, nil, nil
	engine.cache, engine.cachedTokens = make(map[string]*list.Element), 0
	engine.lru.Init()
	engine.eventVersion++
	engine.crashed = true
	engine.fleet.schedule(restartDelay, func() { engine.crashed = false; engine.updatedAt = engine.fleet.now })
	for _, call := range lost {
		engine.fleet.callFailed(call.request)
	}
}
