package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func (engine *Engine) addRunning(change int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.running += change
	engine.peakRunning = max(engine.peakRunning, engine.running)
	engine.loadSamples = append(engine.loadSamples, loadSample{at: time.Now(), running: engine.running})
	if len(engine.loadSamples) > 1000 {
		engine.loadSamples = engine.loadSamples[500:]
	}
}

// lookup returns the number of cached tokens of a program and marks its prefix
// as recently used.
func (engine *Engine) lookup(program string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	element, ok := engine.cache[program]
	if !ok {
		return 0
	}
	engine.lru.MoveToBack(element)
	return element.Value.(*cachedPrefix).tokens
}

// storePrefix caches the prefix of a program and evicts the least recently used
// other prefixes while the cache exceeds its capacity.
func (engine *Engine) storePrefix(program string, tokens int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.evictPrefix(program, false)
	engine.cache[program] = engine.lru.PushBack(&cachedPrefix{program: program, tokens: tokens})
	engine.cachedTokens += tokens
	engine.recordEvent(program, tokens)
	for engine.cachedTokens > engine.settings.CacheTokens && engine.lru.Len() > 1 {
		engine.evictPrefix(engine.lru.Front().Value.(*cachedPrefix).program, true)
	}
}

// evictPrefix removes the prefix of a program. If publish is true, it records a
// cache event.
func (engine *Engine) evictPrefix(program string, publish bool) {
	element, ok := engine.cache[program]
	if !ok {
		return
	}
	engine.cachedTokens -= element.Value.(*cachedPrefix).tokens
	engine.lru.Remove(element)
	delete(engine.cache, program)
	if publish {
		engine.recordEvent(program, 0)
	}
}

// recordEvent appends a cache event, or loses it with the probability EventLoss. A lost
// event leaves no gap in the sequence numbers.
func (engine *Engine) recordEvent(program string, tokens int) {
	sequence := 1
	if len(engine.events) > 0 {
		sequence = engine.events[len(engine.events)-1].Sequence + 1
	}
	event := CacheEvent{Sequence: sequence, Program: program, Tokens: tokens}
	if engine.settings.Random != nil && engine.settings.Random() < engine.settings.EventLoss {
		return
	}
	engine.events = append(engine.events, event)
	if len(engine.events) > 1000 {
		engine.events = engine.events[500:]
	}
}

func (engine *Engine) deletePrefix(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.evictPrefix(request.PathValue("program"), true)
	writeJSON(writer, struct{}{})
}

func (engine *Engine) exportPrefix(writer http.ResponseWriter, request *http.Request) {
	writeJSON(writer, map[string]int{"tokens": engine.lookup(request.PathValue("program"))})
}

func (engine *Engine) importPrefix(writer http.ResponseWriter, request *http.Request) {
	var prefix struct {
		Tokens int `json:"tokens"`
	}
	if err := json.NewDecoder(request.Body).Decode(&prefix); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.storePrefix(request.PathValue("program"), prefix.Tokens)
	writeJSON(writer, struct{}{})
}

// reportLoad reports the load of LoadLag ago, as a real engine reports it late.
func (engine *Engine) reportLoad(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	running := 0
	for _, sample := range engine.loadSamples {
		if time.Since(sample.at) >= engine.settings.LoadLag {
			running = sample.running
		}
	}
	writeJSON(writer, map[string]any{"running": running, "model": engine.model})
}

func (engine *Engine) listEvents(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	writeJSON(writer, engine.events)
}

func (engine *Engine) acceptOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Fence uint64 `json:"fence"`
		Model string `json:"model"`
	}
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.settings.Fenced && order.Fence < engine.fence {
		http.Error(writer, fmt.Sprintf("fencing number %d is older than %d", order.Fence, engine.fence), http.StatusConflict)
		return
	}
	engine.fence = max(engine.fence, order.Fence)
	engine.model = order.Model
	writeJSON(writer, struct{}{})
}
