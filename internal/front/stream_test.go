package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReadEvent guards against passing on part of an event when a stream ends
// early, and against misreading the ID or data of an event.
func TestReadEvent(t *testing.T) {
	tests := []struct {
		name      string
		text      string
		ids       []string
		data      []string
		truncated bool // the text ends inside an event
	}{
		{"reads two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, []string{"a", "b"}, false},
		{"accepts carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"1"}, []string{"a"}, false},
		{"joins lines of data with line breaks", "id:7\ndata:a\ndata: b\n\n", []string{"7"}, []string{"a\nb"}, false},
		{"ignores an unknown field of the first event", "godwitspread-weight-versions: 2\nid: 1\ndata: a\n\n", []string{"1"}, []string{"a"}, false},
		{"reports a stream that ends inside a line", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, []string{"a"}, true},
		{"reports a stream that ends before the blank line", "id: 1\ndata: a\n", nil, nil, true},
		{"reads a line longer than the buffer", "id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n", []string{"1"}, []string{strings.Repeat("x", 10000)}, false},
		{"reads no event from an empty stream", "", nil, nil, false},
		{"joins empty lines and comments with the next event", "\n\n: waiting\n\nid: 1\ndata: a\n\n", []string{"1"}, []string{"a"}, false},
		{"passes on comments at the end", "id: 1\ndata: a\n\n: bye\n\n", []string{"1", ""}, []string{"a", ""}, false},
		{"reports a stream that ends inside a comment", "id: 1\ndata: a\n\n: by", []string{"1"}, []string{"a"}, true},
	}
	for _, test := range tests {
		is := is.New(t)
		reader := bufio.NewReader(strings.NewReader(test.text))
		var ids, data []string
		var err error
		for err == nil {
			var parsed event
			if parsed, err = readEvent(reader); err == nil {
				ids, data = append(ids, parsed.id), append(data, string(parsed.data))
			}
		}
		is.Equal(ids, test.ids)                                       // test.name
		is.Equal(data, test.data)                                     // test.name
		is.Equal(errors.Is(err, io.ErrUnexpectedEOF), test.truncated) // test.name
	}
}

// TestReadEventIsBounded guards against a target that exhausts the memory with an
// endless line.
func TestReadEventIsBounded(t *testing.T) {
	is := is.New(t)
	source := &endlessLine{}
	_, err := readEvent(bufio.NewReader(source))
	is.True(errors.Is(err, errEventTooLarge))
	is.True(source.read <= 2*maxEventBytes)
}

// endlessLine is a reader of a line without a line break. It ends after eight
// times the size limit of an event, so that an unbounded read fails the test.
type endlessLine struct{ read int }

func (line *endlessLine) Read(buffer []byte) (int, error) {
	if line.read > 8*maxEventBytes {
		return 0, io.EOF
	}
	for index := range buffer {
		buffer[index] = 'x'
	}
	line.read += len(buffer)
	return len(buffer), nil
}

// FuzzReadEvent checks that the complete events, concatenated, are a prefix of
// the input, so that no byte is lost, changed or reordered.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), 64)
		var events []byte
		for {
			parsed, err := readEvent(reader)
			if err != nil {
				break
			}
			events = append(events, parsed.raw...)
		}
		if !bytes.HasPrefix(data, events) {
			t.Errorf("got events %q, want a prefix of %q", events, data)
		}
	})
}
