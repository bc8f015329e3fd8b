package bench

import (
	"container/list"
	"math"
	"time"
)

// fakeEngine is a model engine in virtual time: it decodes its calls in one
// batch, prefills one prompt at a time while decoding goes on at half speed,
// and keeps prefixes in limited memory.
type fakeEngine struct {
	address  string
	settings engineShape
	fleet    *policyFleet
	calls    []*engineCall // decoding
	waiting  []*engineCall // for their prefill
	prefill  *engineCall
	updated  time.Time
	version  int // of the planned event
	cache    map[string]*list.Element
	recent   *list.List
	cached   int
	crashed  bool
}

// engineShape is the speed and memory of an engine.
type engineShape struct {
	window       int
	prefillToken time.Duration // time for one prompt token
	step         time.Duration // between the tokens of a single call
	batching     float64       // part of a step that each further call adds
	cacheTokens  int
}

// perToken returns the time between two tokens of a call in a batch.
func (shape engineShape) perToken(calls int) float64 {
	return shape.step.Seconds() * (1 + shape.batching*float64(calls-1))
}

type engineCall struct {
	request *policyCall
	left    float64 // tokens to generate
	fresh   float64 // prompt tokens to compute
	prompt  int
	reused  int
	first   time.Time
	started time.Time
}

type enginePrefix struct {
	program string
	tokens  int
}

func newFakeEngine(address string, shape engineShape, fleet *policyFleet) *fakeEngine {
	return &fakeEngine{
		address: address, settings: shape, fleet: fleet, updated: fleet.now,
		cache: make(map[string]*list.Element), recent: list.New(),
	}
}

// submit starts a call.
func (engine *fakeEngine) submit(request *policyCall) {
	engine.advance()
	reused := min(engine.held(request.program.name), request.prompt)
	call := &engineCall{
		request: request, left: float64(request.output), prompt: request.prompt, reused: reused,
		fresh: float64(request.prompt - reused), started: engine.fleet.now,
	}
	if element, ok := engine.cache[request.program.name]; ok {
		engine.recent.MoveToBack(element)
	}
	engine.waiting = append(engine.waiting, call)
	engine.nextPrefill()
	engine.plan()
}

func (engine *fakeEngine) held(program string) int {
	if element, ok := engine.cache[program]; ok {
		return element.Value.(*enginePrefix).tokens
	}
	return 0
}

func (engine *fakeEngine) nextPrefill() {
	if engine.prefill == nil && len(engine.waiting) > 0 {
		engine.prefill, engine.waiting = engine.waiting[0], engine.waiting[1:]
	}
}

// pace returns the tokens that each decoding call gets in a second.
func (engine *fakeEngine) pace() float64 {
	if len(engine.calls) == 0 {
		return 0
	}
	pace := 1 / engine.settings.perToken(len(engine.calls))
	if engine.prefill != nil {
		pace /= 2
	}
	return pace
}

// advance applies the work done since the last change.
func (engine *fakeEngine) advance() {
	elapsed := engine.fleet.now.Sub(engine.updated).Seconds()
	engine.updated = engine.fleet.now
	pace := engine.pace()
	for _, call := range engine.calls {
		call.left -= pace * elapsed
	}
	if engine.prefill != nil {
		engine.prefill.fresh -= elapsed / engine.settings.prefillToken.Seconds()
	}
}

// workLeft is below the rounding of virtual time.
const workLeft = 1e-6

// plan schedules the next end of a prefill or a call.
func (engine *fakeEngine) plan() {
	engine.version++
	version := engine.version
	next := math.Inf(1)
	if engine.prefill != nil {
		next = math.Max(0, engine.prefill.fresh) * engine.settings.prefillToken.Seconds()
	}
	if pace := engine.pace(); pace > 0 {
		for _, call := range engine.calls {
			next = math.Min(next, math.Max(0, call.left)/pace)
		}
	}
	if math.IsInf(next, 1) {
		return
	}
	engine.fleet.after(time.Duration(next*float64(time.Second))+time.Microsecond, func() {
		if version == engine.version && !engine.crashed {
			engine.advance()
			engine.complete()
			engine.plan()
		}
	})
}

// complete moves what has finished.
func (engine *fakeEngine) complete() {
	if call := engine.prefill; call != nil && call.fresh <= workLeft {
		engine.prefill = nil
		call.first = engine.fleet.now
		engine.calls = append(engine.calls, call)
		engine.nextPrefill()
	}
	kept := engine.calls[:0]
	var ended []*engineCall
	for _, call := range engine.calls {
		if call.left <= workLeft {
			ended = append(ended, call)
			continue
		}
		kept = append(kept, call)
	}
	engine.calls = kept
	for _, call := range ended {
		engine.store(call.request.program.name, call.prompt+call.request.output)
		engine.fleet.completed(engine, call)
	}
}

func (engine *fakeEngine) store(program string, tokens int) {
	if element, ok := engine.cache[program]; ok {
		engine.cached -= element.Value.(*enginePrefix).tokens
		engine.recent.Remove(element)
	}
	engine.cache[program] = engine.recent.PushBack(&enginePrefix{program: program, tokens: tokens})
	engine.cached += tokens
	for engine.cached > engine.settings.cacheTokens && engine.recent.Len() > 1 {
		engine.drop(engine.recent.Front().Value.(*enginePrefix).program)
	}
}

func (engine *fakeEngine) drop(program string) {
	if element, ok := engine.cache[program]; ok {
		engine.cached -= element.Value.(*enginePrefix).tokens
		engine.recent.Remove(element)
		delete(engine.cache, program)
	}
}

// crash ends every call and empties the memory. The engine is back after a
// while.
func (engine *fakeEngine) crash(back time.Duration) {
	engine.advance()
	lost := append(append([]*engineCall{}, engine.calls...), engine.waiting...)
	if engine.prefill != nil {
		lost = append(lost, engine.prefill)
	}
	engine.calls, engine.waiting, engine.prefill = nil, nil, nil
	engine.cache, engine.cached = make(map[string]*list.Element), 0
	engine.recent.Init()
	engine.version++
	engine.crashed = true
	engine.fleet.after(back, func() { engine.crashed = false; engine.updated = engine.fleet.now })
	for _, call := range lost {
		engine.fleet.failed(call.request)
	}
}
