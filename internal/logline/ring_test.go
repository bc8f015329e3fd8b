package logline

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func TestRingBounds(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	clock := clockwork.NewFakeClock()
	ring := NewRing(&output, clock, 10)
	logger := &log.Logger{Handler: ring, Level: log.InfoLevel}
	for range 100 {
		logger.Info("served")
	}
	logger.WithError(errors.New("reset")).Warn("lost") // warnings have room of their own
	clock.Advance(time.Second)
	logger.Info("next second")
	go func() {
		for {
			clock.Advance(flushInterval)
			time.Sleep(time.Millisecond)
		}
	}()
	ring.Close()
	text := output.String()
	is.Equal(strings.Count(text, `"served"`), 10)
	is.True(strings.Contains(text, `"error":"reset"`))
	is.True(strings.Contains(text, `"lines":90`))
	is.True(strings.Contains(text, `"next second"`))
}

// stuck is an output that takes nothing.
type stuck struct{ release chan struct{} }

func (stuck stuck) Write([]byte) (int, error) { <-stuck.release; return 0, errors.New("closed") }

// TestRingNeverBlocks logs more than the ring holds while nothing is written.
func TestRingNeverBlocks(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	ring := NewRing(stuck{release}, clockwork.NewRealClock(), 1<<20)
	logger := &log.Logger{Handler: ring, Level: log.InfoLevel}
	begun := time.Now()
	for range 3 * ringLines {
		logger.Info(strings.Repeat("x", 100))
	}
	is.True(time.Since(begun) < 2*time.Second)
	is.True(ring.dropped > 0)
	close(release)
	ring.Close()
}
