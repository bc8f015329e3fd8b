package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func (engine *Engine) count(change int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.running += change
	engine.peak = max(engine.peak, engine.running)
	engine.load = append(engine.load, loadSample{at: time.Now(), running: engine.running})
	if len(engine.load) > 1000 {
		engine.load = engine.load[500:]
	}
}

// lookup returns the cached tokens of a program and marks them as used.
func (engine *Engine) lookup(program string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	element, ok := engine.cache[program]
	if !ok {
		return 0
	}
	engine.recent.MoveToBack(element)
	return element.Value.(*cachedPrefix).tokens
}

// store keeps the prefix of a program and drops the oldest beyond the memory.
func (engine *Engine) store(program string, tokens int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.drop(program, false)
	engine.cache[program] = engine.recent.PushBack(&cachedPrefix{program: program, tokens: tokens})
	engine.cached += tokens
	engine.event(program, tokens)
	for engine.cached > engine.settings.CacheTokens && engine.recent.Len() > 1 {
		engine.drop(engine.recent.Front().Value.(*cachedPrefix).program, true)
	}
}

func (engine *Engine) drop(program string, publish bool) {
	element, ok := engine.cache[program]
	if !ok {
		return
	}
	engine.cached -= element.Value.(*cachedPrefix).tokens
	engine.recent.Remove(element)
	delete(engine.cache, program)
	if publish {
		engine.event(program, 0)
	}
}

func (engine *Engine) event(program string, tokens int) {
	number := 1
	if len(engine.events) > 0 {
		number = engine.events[len(engine.events)-1].Number + 1
	}
	event := CacheEvent{Number: number, Program: program, Tokens: tokens}
	if engine.settings.Random != nil && engine.settings.Random() < engine.settings.EventLoss {
		return
	}
	engine.events = append(engine.events, event)
	if len(engine.events) > 1000 {
		engine.events = engine.events[500:]
	}
}

func (engine *Engine) release(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.drop(request.PathValue("program"), true)
	answer(writer, struct{}{})
}

func (engine *Engine) export(writer http.ResponseWriter, request *http.Request) {
	answer(writer, map[string]int{"tokens": engine.lookup(request.PathValue("program"))})
}

func (engine *Engine) importPrefix(writer http.ResponseWriter, request *http.Request) {
	var prefix struct {
		Tokens int `json:"tokens"`
	}
	if err := json.NewDecoder(request.Body).Decode(&prefix); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.store(request.PathValue("program"), prefix.Tokens)
	answer(writer, struct{}{})
}

// report tells the load as it was some time ago.
func (engine *Engine) report(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	running := 0
	for _, sample := range engine.load {
		if time.Since(sample.at) >= engine.settings.LoadLag {
			running = sample.running
		}
	}
	answer(writer, map[string]any{"running": running, "model": engine.model})
}

func (engine *Engine) publish(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	answer(writer, engine.events)
}

func (engine *Engine) order(writer http.ResponseWriter, request *http.Request) {
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
	answer(writer, struct{}{})
}
