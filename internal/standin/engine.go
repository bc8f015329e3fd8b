package standin

import (
	"bufio"
	"container/list"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineSettings are the capacity, timing and faults of a model engine.
type EngineSettings struct {
	Slots           int            // calls processed concurrently in one batch
	CacheTokens     int            // capacity of the prefix cache
	PrefillPerToken time.Duration  // time to process one prompt token that is not cached
	TokenInterval   time.Duration  // time between output tokens
	LoadLag         time.Duration  // age of the reported load
	Fenced          bool           // rejects orders whose fencing token is lower than the highest one received
	EventLoss       float64        // fraction of cache events that are lost
	Random          func() float64 // returns numbers from 0 to 1; cache events are never lost if nil
}

// Engine simulates a model engine that generates text derived from the prompt.
// It batches calls, caches prefixes up to a limit, streams tokens as
// server-sent events, resumes and cancels streams, and accepts fenced orders to
// load a model.
type Engine struct {
	settings EngineSettings

	mutex        sync.Mutex
	cache        map[string]*list.Element
	lru          *list.List // of *cachedPrefix, least recently used first
	cachedTokens int
	streams      map[string]*engineStream
	running      int
	peakRunning  int
	slots        chan struct{}
	fence        uint64
	model        string
	events       []CacheEvent
	loadSamples  []loadSample
	crashText    string
	headers      []http.Header
	holds        map[string]time.Time
}

// CacheEvent reports that a program's prefix was stored, or evicted if Tokens is
// zero.
type CacheEvent struct {
	Sequence int    `json:"number"`
	Program  string `json:"program"`
	Tokens   int    `json:"tokens"`
}

type cachedPrefix struct {
	program string
	tokens  int
}

type loadSample struct {
	at      time.Time
	running int
}

type engineStream struct {
	mutex        sync.Mutex
	text         strings.Builder
	outputTokens int
	done         bool
	reusedTokens int
	promptTokens int
	changed      chan struct{}
	cancel       chan struct{}
	cancelOnce   sync.Once
}

// GenerateRequest asks an engine for a completion of the prompt. Prefix is the
// part of the completion that the caller already has.
type GenerateRequest struct {
	Stream    string `json:"stream"`
	Program   string `json:"program"`
	Prompt    string `json:"prompt"`
	Prefix    string `json:"prefix"`
	MaxTokens int    `json:"max_tokens"`
	Offset    int    `json:"offset"`
}

const tokenBytes = 4 // length of every token

// NewEngine returns an idle engine.
func NewEngine(settings EngineSettings) *Engine {
	return &Engine{
		settings: settings, cache: make(map[string]*list.Element), lru: list.New(),
		streams: make(map[string]*engineStream), slots: make(chan struct{}, settings.Slots),
		holds: make(map[string]time.Time),
	}
}

// CrashOn makes the engine drop the connection of each request whose prompt
// contains the text.
func (engine *Engine) CrashOn(text string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.crashText = text
}

// Headers returns the headers of every request received.
func (engine *Engine) Headers() []http.Header {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]http.Header{}, engine.headers...)
}

// CachedPrograms returns the number of programs whose prefix is cached.
func (engine *Engine) CachedPrograms() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.cache)
}

// Handler returns the HTTP handler of the engine.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", engine.generate)
	mux.HandleFunc("GET /streams/{stream}", engine.resume)
	mux.HandleFunc("DELETE /streams/{stream}", engine.cancel)
	mux.HandleFunc("DELETE /prefixes/{program}", engine.deletePrefix)
	mux.HandleFunc("GET /prefixes/{program}", engine.exportPrefix)
	mux.HandleFunc("PUT /prefixes/{program}", engine.importPrefix)
	mux.HandleFunc("GET /load", engine.reportLoad)
	mux.HandleFunc("GET /events", engine.listEvents)
	mux.HandleFunc("POST /orders", engine.acceptOrder)
	return mux
}

func (engine *Engine) generate(writer http.ResponseWriter, request *http.Request) {
	var generateRequest GenerateRequest
	if err := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes)).Decode(&generateRequest); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.mutex.Lock()
	engine.headers = append(engine.headers, request.Header.Clone())
	crashes := engine.crashText != "" && strings.Contains(generateRequest.Prompt, engine.crashText)
	stream, known := engine.streams[generateRequest.Stream]
	if !known {
		stream = &engineStream{changed: make(chan struct{}), cancel: make(chan struct{})}
		engine.streams[generateRequest.Stream] = stream
	}
	engine.mutex.Unlock()
	if crashes {
		dropConnection(writer)
		return
	}
	if !known {
		go engine.run(generateRequest, stream)
	}
	engine.sendStream(writer, request, stream, 0)
}

// run waits for a free slot and generates the tokens of one stream at the
// configured rate. The finished stream can be resumed for one minute.
func (engine *Engine) run(generateRequest GenerateRequest, stream *engineStream) {
	engine.slots <- struct{}{}
	engine.addRunning(1)
	defer func() {
		<-engine.slots
		engine.addRunning(-1)
		time.AfterFunc(time.Minute, func() {
			engine.mutex.Lock()
			defer engine.mutex.Unlock()
			delete(engine.streams, generateRequest.Stream)
		})
	}()
	promptTokens := (len(generateRequest.Prompt) + len(generateRequest.Prefix)) / tokenBytes
	reusedTokens := min(promptTokens, engine.lookup(generateRequest.Program))
	stream.mutex.Lock()
	stream.promptTokens, stream.reusedTokens = promptTokens, reusedTokens
	stream.mutex.Unlock()
	if !sleepUnlessCancelled(stream, time.Duration(promptTokens-reusedTokens)*engine.settings.PrefillPerToken) {
		stream.finish()
		return
	}
	completion := Completion(generateRequest.Prompt, generateRequest.MaxTokens)
	remaining := strings.TrimPrefix(completion, generateRequest.Prefix)
	for len(remaining) > 0 {
		if !sleepUnlessCancelled(stream, engine.settings.TokenInterval) {
			break
		}
		length := min(tokenBytes, len(remaining))
		stream.write(remaining[:length])
		remaining = remaining[length:]
	}
	engine.storePrefix(generateRequest.Program, promptTokens+stream.outputTokens)
	stream.finish()
}

// Completion returns the text that an engine generates for a prompt, which is 8 to 24
// tokens long unless maxTokens is lower. It is deterministic, so that tests can verify
// resumed and continued streams.
func Completion(prompt string, maxTokens int) string {
	hash := xxhash.Sum64String(prompt)
	count := 8 + int(hash%17)
	var text strings.Builder
	for index := range min(count, maxTokens) {
		fmt.Fprintf(&text, "%03x ", (hash>>(index%13))&0xfff)
	}
	return text.String()
}

// sleepUnlessCancelled waits for the duration and reports whether the stream was
// not cancelled in the meantime.
func sleepUnlessCancelled(stream *engineStream, duration time.Duration) bool {
	select {
	case <-stream.cancel:
		return false
	case <-time.After(duration):
		return true
	}
}

func (stream *engineStream) write(text string) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.text.WriteString(text)
	stream.outputTokens++
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (stream *engineStream) finish() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.done = true
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// sendStream sends the text of a stream from an offset until the stream ends or
// the client disconnects.
func (engine *Engine) sendStream(writer http.ResponseWriter, request *http.Request, stream *engineStream, offset int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	buffered := bufio.NewWriter(writer)
	send := func(event string, value any) bool {
		data, err := json.Marshal(value)
		if err != nil {
			return false
		}
		fmt.Fprintf(buffered, "event: %s\ndata: %s\n\n", event, data)
		return buffered.Flush() == nil && flusher.Flush() == nil
	}
	for {
		stream.mutex.Lock()
		text, done, changed := stream.text.String(), stream.done, stream.changed
		usage := map[string]int{"prompt": stream.promptTokens, "reused": stream.reusedTokens, "output": stream.outputTokens}
		stream.mutex.Unlock()
		if offset < len(text) {
			if !send("token", map[string]string{"text": text[offset:]}) {
				return
			}
			offset = len(text)
		}
		if done {
			send("end", usage)
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}

func (engine *Engine) resume(writer http.ResponseWriter, request *http.Request) {
	var offset int
	if _, err := fmt.Sscanf(request.FormValue("offset"), "%d", &offset); err != nil {
		http.Error(writer, "offset is not a number", http.StatusBadRequest)
		return
	}
	engine.mutex.Lock()
	stream, ok := engine.streams[request.PathValue("stream")]
	engine.mutex.Unlock()
	if !ok {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	engine.sendStream(writer, request, stream, offset)
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	stream, ok := engine.streams[request.PathValue("stream")]
	engine.mutex.Unlock()
	if ok {
		stream.cancelOnce.Do(func() { close(stream.cancel) })
	}
	writeJSON(writer, struct{}{})
}
