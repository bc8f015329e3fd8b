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

func TestReadEvent(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		ids    []string
		data   []string
		broken bool // ends inside an event
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, []string{"a", "b"}, false},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"1"}, []string{"a"}, false},
		{"lines of data", "id:7\ndata:a\ndata: b\n\n", []string{"7"}, []string{"a\nb"}, false},
		{"first line of a version", "godwitspread-weight-versions: 2\nid: 1\ndata: a\n\n", []string{"1"}, []string{"a"}, false},
		{"cut in a line", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, []string{"a"}, true},
		{"cut before the blank line", "id: 1\ndata: a\n", nil, nil, true},
		{"long line", "id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n", []string{"1"}, []string{strings.Repeat("x", 10000)}, false},
		{"nothing", "", nil, nil, false},
	}
	for _, test := range tests {
		is := is.New(t)
		reader := bufio.NewReader(strings.NewReader(test.text))
		var ids, data []string
		var err error
		for err == nil {
			var read event
			if read, err = readEvent(reader); err == nil {
				ids, data = append(ids, read.id), append(data, string(read.data))
			}
		}
		is.Equal(ids, test.ids)                                    // test.name
		is.Equal(data, test.data)                                  // test.name
		is.Equal(errors.Is(err, io.ErrUnexpectedEOF), test.broken) // test.name
	}
}

// TestReadEventIsBounded checks that a target cannot fill the memory with one
// line.
func TestReadEventIsBounded(t *testing.T) {
	is := is.New(t)
	source := &endless{}
	_, err := readEvent(bufio.NewReader(source))
	is.True(errors.Is(err, errEventTooLarge))
	is.True(source.read <= 2*maxEvent)
}

// endless is a line without end.
type endless struct{ read int }

func (endless *endless) Read(buffer []byte) (int, error) {
	if endless.read > 8*maxEvent {
		return 0, io.EOF
	}
	for index := range buffer {
		buffer[index] = 'x'
	}
	endless.read += len(buffer)
	return len(buffer), nil
}

// FuzzReadEvent checks that whole events together are the bytes that came, up
// to the one that is cut off.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid"))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), 64)
		var whole []byte
		for {
			read, err := readEvent(reader)
			if err != nil {
				break
			}
			whole = append(whole, read.raw...)
		}
		if !bytes.HasPrefix(data, whole) {
			t.Errorf("events %q are not a prefix of %q", whole, data)
		}
	})
}
