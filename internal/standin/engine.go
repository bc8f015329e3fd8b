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

// EngineSettings is the shape of a model engine.
type EngineSettings struct {
	Slots        int           // calls that are batched at one time
	CacheTokens  int           // prompt tokens kept for later calls
	PrefillToken time.Duration // time for one prompt token that is not cached
	Step         time.Duration // time between tokens
	LoadLag      time.Duration // age of the reported load
	Fenced       bool          // refuses orders with an old number
	EventLoss    float64       // fraction of cache events that are never published
	Random       func() float64
}

// Engine is a model engine that answers with text derived from the prompt. It
// batches calls, keeps prefixes in limited memory, streams over SSE, resumes
// and cancels streams, and takes fenced orders.
type Engine struct {
	settings EngineSettings

	mutex   sync.Mutex
	cache   map[string]*list.Element
	recent  *list.List // cachedPrefix, oldest first
	cached  int
	streams map[string]*engineStream
	running int
	peak    int
	slots   chan struct{}
	fence   uint64
	model   string
	events  []CacheEvent
	load    []loadSample
	poison  string
	headers []http.Header
	holds   map[string]time.Time
}

// CacheEvent tells that a prefix was dropped or stored.
type CacheEvent struct {
	Number  int    `json:"number"`
	Program string `json:"program"`
	Tokens  int    `json:"tokens"`
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
	mutex   sync.Mutex
	text    strings.Builder
	tokens  int
	done    bool
	reused  int
	prompt  int
	changed chan struct{}
	cancel  chan struct{}
	once    sync.Once
}

// GenerateRequest asks an engine for a completion.
type GenerateRequest struct {
	Stream    string `json:"stream"`
	Program   string `json:"program"`
	Prompt    string `json:"prompt"`
	Prefix    string `json:"prefix"`
	MaxTokens int    `json:"max_tokens"`
	Offset    int    `json:"offset"`
}

const tokenBytes = 4

// NewEngine returns an idle engine.
func NewEngine(settings EngineSettings) *Engine {
	return &Engine{
		settings: settings, cache: make(map[string]*list.Element), recent: list.New(),
		streams: make(map[string]*engineStream), slots: make(chan struct{}, settings.Slots),
		holds: make(map[string]time.Time),
	}
}

// Poison makes prompts that contain the text crash the engine's connections.
func (engine *Engine) Poison(text string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.poison = text
}

// Headers returns the headers of every request received.
func (engine *Engine) Headers() []http.Header {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]http.Header{}, engine.headers...)
}

// Holds returns the number of programs whose prefix is cached.
func (engine *Engine) Holds() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.cache)
}

// Handler returns the HTTP interface.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", engine.generate)
	mux.HandleFunc("GET /streams/{stream}", engine.resume)
	mux.HandleFunc("DELETE /streams/{stream}", engine.cancel)
	mux.HandleFunc("DELETE /prefixes/{program}", engine.release)
	mux.HandleFunc("GET /prefixes/{program}", engine.export)
	mux.HandleFunc("PUT /prefixes/{program}", engine.importPrefix)
	mux.HandleFunc("GET /load", engine.report)
	mux.HandleFunc("GET /events", engine.publish)
	mux.HandleFunc("POST /orders", engine.order)
	return mux
}

func (engine *Engine) generate(writer http.ResponseWriter, request *http.Request) {
	var generate GenerateRequest
	if err := json.NewDecoder(io.LimitReader(request.Body, maxAppend)).Decode(&generate); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.mutex.Lock()
	engine.headers = append(engine.headers, request.Header.Clone())
	poisoned := engine.poison != "" && strings.Contains(generate.Prompt, engine.poison)
	stream, known := engine.streams[generate.Stream]
	if !known {
		stream = &engineStream{changed: make(chan struct{}), cancel: make(chan struct{})}
		engine.streams[generate.Stream] = stream
	}
	engine.mutex.Unlock()
	if poisoned {
		drop(writer)
		return
	}
	if !known {
		go engine.run(generate, stream)
	}
	engine.follow(writer, request, stream, 0)
}

// run generates the tokens of one stream at the engine's pace.
func (engine *Engine) run(generate GenerateRequest, stream *engineStream) {
	engine.slots <- struct{}{}
	engine.count(1)
	defer func() {
		<-engine.slots
		engine.count(-1)
		time.AfterFunc(time.Minute, func() {
			engine.mutex.Lock()
			defer engine.mutex.Unlock()
			delete(engine.streams, generate.Stream)
		})
	}()
	prompt := (len(generate.Prompt) + len(generate.Prefix)) / tokenBytes
	reused := min(prompt, engine.lookup(generate.Program))
	stream.mutex.Lock()
	stream.prompt, stream.reused = prompt, reused
	stream.mutex.Unlock()
	if !pause(stream, time.Duration(prompt-reused)*engine.settings.PrefillToken) {
		stream.finish()
		return
	}
	whole := Completion(generate.Prompt, generate.MaxTokens)
	rest := strings.TrimPrefix(whole, generate.Prefix)
	for len(rest) > 0 {
		if !pause(stream, engine.settings.Step) {
			break
		}
		cut := min(tokenBytes, len(rest))
		stream.write(rest[:cut])
		rest = rest[cut:]
	}
	engine.store(generate.Program, prompt+stream.tokens)
	stream.finish()
}

// Completion returns the text that an engine generates for a prompt. The same
// prompt gives the same text, so that a continuation can be checked.
func Completion(prompt string, maxTokens int) string {
	hash := xxhash.Sum64String(prompt)
	count := 8 + int(hash%17)
	var text strings.Builder
	for index := range min(count, maxTokens) {
		fmt.Fprintf(&text, "%03x ", (hash>>(index%13))&0xfff)
	}
	return text.String()
}

func pause(stream *engineStream, duration time.Duration) bool {
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
	stream.tokens++
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

// follow sends a stream from an offset of its text on.
func (engine *Engine) follow(writer http.ResponseWriter, request *http.Request, stream *engineStream, offset int) {
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
		usage := map[string]int{"prompt": stream.prompt, "reused": stream.reused, "output": stream.tokens}
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
	engine.follow(writer, request, stream, offset)
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	stream, ok := engine.streams[request.PathValue("stream")]
	engine.mutex.Unlock()
	if ok {
		stream.once.Do(func() { close(stream.cancel) })
	}
	answer(writer, struct{}{})
}
