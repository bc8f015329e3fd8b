package owner

import (
	"fmt"
	"strings"
	"sync"
)

func expiredError(stream string, offset int64) error {
	return fmt.Errorf("stream %q does not hold offset %d any more", stream, offset)
}

// textStream is the text of a call in flight. Several callers can subscribe to
// it.
type textStream struct {
	mutex   sync.Mutex
	text    strings.Builder
	changed chan struct{}
}

func newTextStream(text string) *textStream {
	stream := &textStream{changed: make(chan struct{})}
	stream.text.WriteString(text)
	return stream
}

// write appends text and wakes the subscribers.
func (stream *textStream) write(text string) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.text.WriteString(text)
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// readFrom returns the text from an offset on, and a channel that is closed
// when more text is available.
func (stream *textStream) readFrom(offset int) (string, <-chan struct{}) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	text := stream.text.String()
	if offset > len(text) {
		offset = len(text)
	}
	return text[offset:], stream.changed
}
