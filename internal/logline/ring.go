// Package logline writes structured log lines without blocking the code that logs.
// Lines wait in a bounded queue, and a limit on the lines a second drops
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

// Ring is a log.Handler with a bounded queue of lines.
type Ring struct {
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
}

type line struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
}

// NewRing returns a handler that writes at most perSecond informational lines a
// second. The limit is 50 percent higher for warnings and errors.
func NewRing(writer io.Writer, clock clockwork.Clock, perSecond int) *Ring {
	ring := &Ring{
		writer: writer, clock: clock, perSecond: perSecond, lines: make(chan line, queueCapacity),
		done: make(chan struct{}), stopped: make(chan struct{}),
	}
	go ring.run()
	return ring
}

// HandleLog implements log.Handler. It never blocks.
func (ring *Ring) HandleLog(entry *log.Entry) error {
	now := ring.clock.Now()
	dropped, allowed := ring.allowLine(entry.Level, now.Unix())
	if dropped > 0 {
		ring.enqueue(now, log.WarnLevel, "log lines dropped", log.Fields{"lines": dropped})
	}
	if allowed {
		ring.enqueue(now, entry.Level, entry.Message, entry.Fields)
	}
	return nil
}

// allowLine reports whether a line is within the limit of its second. When a new second
// begins, it also returns the number of lines dropped since the last such report.
func (ring *Ring) allowLine(level log.Level, second int64) (dropped int, allowed bool) {
	ring.mutex.Lock()
	defer ring.mutex.Unlock()
	if second != ring.second {
		dropped, ring.dropped = ring.dropped, 0
		ring.second, ring.written = second, 0
	}
	limit := ring.perSecond
	if level >= log.WarnLevel {
		limit += limit / 2
	}
	if ring.written >= limit {
		ring.dropped++
		return dropped, false
	}
	ring.written++
	return dropped, true
}

func (ring *Ring) enqueue(now time.Time, level log.Level, message string, fields log.Fields) {
	select {
	case ring.lines <- line{Time: now.UTC().Format("2006-01-02T15:04:05.000000Z"), Level: level.String(), Message: message, Fields: fields}:
	default:
		ring.mutex.Lock()
		ring.dropped++
		ring.mutex.Unlock()
	}
}

func (ring *Ring) run() {
	defer close(ring.stopped)
	buffer := bufio.NewWriterSize(ring.writer, 32<<10)
	encoder := json.NewEncoder(buffer)
	for {
		select {
		case line := <-ring.lines:
			ring.write(encoder, line)
			// Further lines usually follow and are written in the same batch.
			ring.clock.Sleep(flushInterval)
			ring.drain(encoder)
			// A failed write must not stop the host.
			_ = buffer.Flush()
		case <-ring.done:
			ring.drain(encoder)
			_ = buffer.Flush()
			return
		}
	}
}

func (ring *Ring) drain(encoder *json.Encoder) {
	for {
		select {
		case line := <-ring.lines:
			ring.write(encoder, line)
		default:
			return
		}
	}
}

// write encodes a line. If its fields cannot be encoded, the line is written with
// the encoding error in their place.
func (ring *Ring) write(encoder *json.Encoder, line line) {
	for name, value := range line.Fields {
		if err, ok := value.(error); ok {
			line.Fields[name] = err.Error()
		}
	}
	if err := encoder.Encode(line); err != nil {
		line.Fields = log.Fields{"encoding": err.Error()}
		_ = encoder.Encode(line)
	}
}

// Close writes the queued lines and stops the handler.
func (ring *Ring) Close() {
	close(ring.done)
	<-ring.stopped
}
