// Package logline writes structured log lines without blocking the code that logs.
// Lines wait in a queue that is bounded in lines and in bytes, and a limit on the lines a second drops
// informational lines before warnings and errors.
package logline

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

const (
	queueCapacity = 2048                   // capacity of the queue of lines to be written
	flushInterval = 100 * time.Millisecond // longest delay of a line, so that lines are written in batches
)

// Handler is a log.Handler with a bounded queue of lines.
type Handler struct {
	writer    io.Writer
	clock     clockwork.Clock
	perSecond int
	lines     chan line
	done      chan struct{}
	stopped   chan struct{}

	mutex   sync.Mutex
	second  int64
	written int
	dropped int
	queued  int // estimated bytes of the queued lines
}

// line is a queued line. Its fields are bounded copies.
type line struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`

	size int // estimated bytes
}

// NewHandler returns a handler that writes at most perSecond informational lines a
// second. The limit is 50 percent higher for warnings and errors.
func NewHandler(writer io.Writer, clock clockwork.Clock, perSecond int) *Handler {
	handler := &Handler{
		writer: writer, clock: clock, perSecond: perSecond, lines: make(chan line, queueCapacity),
		done: make(chan struct{}), stopped: make(chan struct{}),
	}
	go handler.run()
	return handler
}

// HandleLog implements log.Handler. It never blocks.
func (handler *Handler) HandleLog(entry *log.Entry) error {
	now := handler.clock.Now()
	dropped, allowed := handler.allowLine(entry.Level, now.Unix())
	if dropped > 0 && !handler.enqueue(now, log.WarnLevel, "log lines dropped", log.Fields{"lines": dropped}) {
		handler.countDropped(dropped)
	}
	if allowed && !handler.enqueue(now, entry.Level, entry.Message, entry.Fields) {
		handler.countDropped(1)
	}
	return nil
}

// allowLine reports whether a line is within the limit of its second. When a new second
// begins, it also returns the number of lines dropped since the last such report.
func (handler *Handler) allowLine(level log.Level, second int64) (dropped int, allowed bool) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	if second != handler.second {
		dropped, handler.dropped = handler.dropped, 0
		handler.second, handler.written = second, 0
	}
	limit := handler.perSecond
	if level >= log.WarnLevel {
		limit += limit / 2
	}
	if handler.written >= limit {
		handler.dropped++
		return dropped, false
	}
	handler.written++
	return dropped, true
}

// countDropped counts lines as dropped, to be reported in a later second.
func (handler *Handler) countDropped(lines int) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	handler.dropped += lines
}

// enqueue puts a bounded copy of a line in the queue and reports whether there was room.
func (handler *Handler) enqueue(now time.Time, level log.Level, message string, fields log.Fields) bool {
	message = boundText(message)
	fields, size := boundFields(fields)
	size += lineOverhead + len(message)
	if !handler.reserve(size) {
		return false
	}
	select {
	case handler.lines <- line{Time: now.UTC().Format("2006-01-02T15:04:05.000000Z"), Level: level.String(), Message: message, Fields: fields, size: size}:
		return true
	default:
		handler.release(size)
		return false
	}
}

// reserve counts the bytes of a line as queued if they fit, and reports whether they do.
func (handler *Handler) reserve(size int) bool {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	if handler.queued+size > maxQueueBytes {
		return false
	}
	handler.queued += size
	return true
}

// release ends the reservation of a line.
func (handler *Handler) release(size int) {
	handler.mutex.Lock()
	defer handler.mutex.Unlock()
	handler.queued -= size
}

// run writes the queued lines in batches until the handler is closed.
func (handler *Handler) run() {
	defer close(handler.stopped)
	buffer := bufio.NewWriterSize(handler.writer, 32<<10)
	encoder := json.NewEncoder(buffer)
	for {
		select {
		case line := <-handler.lines:
			handler.write(encoder, line)
			// Further lines usually follow and are written in the same batch.
			handler.clock.Sleep(flushInterval)
			handler.drain(encoder)
			// A failed write must not stop the host.
			_ = buffer.Flush()
		case <-handler.done:
			handler.drain(encoder)
			_ = buffer.Flush()
			return
		}
	}
}

// drain writes the lines that are queued now.
func (handler *Handler) drain(encoder *json.Encoder) {
	for {
		select {
		case line := <-handler.lines:
			handler.write(encoder, line)
		default:
			return
		}
	}
}

// write encodes a line. If its fields cannot be encoded, the line is written with
// the encoding error in their place, so that the rest of the line is not lost.
func (handler *Handler) write(encoder *json.Encoder, line line) {
	defer handler.release(line.size)
	if err := encoder.Encode(line); err != nil {
		line.Fields = log.Fields{"encoding": err.Error()}
		_ = encoder.Encode(line)
	}
}

// Close writes the queued lines and stops the handler.
func (handler *Handler) Close() {
	close(handler.done)
	<-handler.stopped
}
