package owner

import (
	"fmt"
	"strings"
	"sync"
)

func errExpired(stream string, offset int64) error {
	return fmt.Errorf("stream %q does not hold offset %d any more", stream, offset)
}

// textStream is the text of a running call, which several callers may follow.
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

// write adds text and wakes the followers.
func (stream *textStream) write(text string) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.text.WriteString(text)
	close(stream.changed)
	stream.changed = make(chan struct{})
}

// from returns the text from an offset on, and a channel that is closed when
// more has come.
func (stream *textStream) from(offset int) (string, <-chan struct{}) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	text := stream.text.String()
	if offset > len(text) {
		offset = len(text)
	}
	return text[offset:], stream.changed
}
