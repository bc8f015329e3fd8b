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

// TestRingBounds guards against a flood of informational lines that exceeds the limit
// of a second or displaces warnings: the lines beyond the limit must be dropped and
// counted, and a warning must still be written.
func TestRingBounds(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	clock := clockwork.NewFakeClock()
	handler := NewHandler(&output, clock, 10)
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	for range 100 {
		logger.Info("served")
	}
	logger.WithError(errors.New("reset")).Warn("lost") // the limit is higher for warnings
	clock.Advance(time.Second)
	logger.Info("next second")
	go func() {
		for {
			clock.Advance(flushInterval)
			time.Sleep(time.Millisecond)
		}
	}()
	handler.Close()
	text := output.String()
	is.Equal(strings.Count(text, `"served"`), 10)
	is.True(strings.Contains(text, `"error":"reset"`))
	is.True(strings.Contains(text, `"lines":90`))
	is.True(strings.Contains(text, `"next second"`))
}

// blockedWriter blocks every write until it is released.
type blockedWriter struct{ release chan struct{} }

func (blockedWriter blockedWriter) Write([]byte) (int, error) {
	<-blockedWriter.release
	return 0, errors.New("closed")
}

// TestRingNeverBlocks guards against logging that blocks its caller while the output
// is blocked and the queue is full.
func TestRingNeverBlocks(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	handler := NewHandler(blockedWriter{release}, clockwork.NewRealClock(), 1<<20)
	logger := &log.Logger{Handler: handler, Level: log.InfoLevel}
	start := time.Now()
	for range 3 * queueCapacity {
		logger.Info(strings.Repeat("x", 100))
	}
	is.True(time.Since(start) < 2*time.Second)
	is.True(handler.dropped > 0)
	close(release)
	handler.Close()
}
