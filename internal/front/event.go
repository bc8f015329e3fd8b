package front

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/godwitspread/godwitspread/internal/memory"
)

const (
	maxEventBytes   = 256 << 10 // size limit of one event
	smallEventBytes = 8 << 10   // size up to which an event is part of the overhead of its request
)

// event is one complete server-sent event. Empty lines and comments before it
// belong to it.
type event struct {
	raw     []byte // bytes as received, with the final blank line
	id      string
	data    []byte
	comment bool // nothing but comments and empty lines
	foreign bool // a status line occurs in it
}

// readEvent reads up to the blank line that ends an event with data or an ID: a
// stream that only sends empty lines or comments is stalled. It returns io.EOF
// only at a boundary between events, and io.ErrUnexpectedEOF within an event.
func readEvent(reader *bufio.Reader) (event, error) {
	parsed := event{comment: true}
	firstData, complete := true, true
	for {
		line, err := readLine(reader, maxEventBytes-len(parsed.raw))
		if errors.Is(err, io.EOF) && len(line) == 0 && complete {
			if len(parsed.raw) > 0 {
				return parsed, nil
			}
			return event{}, io.EOF
		}
		parsed.raw = append(parsed.raw, line...)
		if err != nil {
			return event{}, unexpectedEOF(err)
		}
		text := bytes.TrimRight(line, "\r\n")
		if complete = len(text) == 0; complete {
			if !firstData || parsed.id != "" {
				return parsed, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(text, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		if err := checkLine(&parsed, name, text); err != nil {
			return event{}, err
		}
		switch string(name) {
		case "id":
			parsed.id = string(value)
		case "data":
			if !firstData {
				parsed.data = append(parsed.data, '\n')
			}
			firstData = false
			parsed.data = append(parsed.data, value...)
		}
	}
}

// eventSource reserves the memory of a large event while it is read: its bytes are held
// as received and as decoded.
type eventSource struct {
	reader   io.Reader
	memory   *memory.Reservation
	read     int   // bytes since the last release
	reserved int64 // bytes
}

// Read implements io.Reader.
func (source *eventSource) Read(buffer []byte) (int, error) {
	count, err := source.reader.Read(buffer)
	if source.read += count; source.read > smallEventBytes {
		if err := source.memory.Grow(2 * int64(count)); err != nil {
			return 0, err
		}
		source.reserved += 2 * int64(count)
	}
	return count, err
}

// release returns the memory of an event that was passed on.
func (source *eventSource) release() {
	source.memory.Shrink(source.reserved)
	source.read, source.reserved = 0, 0
}

// readLine reads a line of at most limit bytes, including its line break.
func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		fragment, err := reader.ReadSlice('\n')
		if len(line)+len(fragment) > limit {
			return nil, errEventTooLarge
		}
		if err == nil && line == nil {
			return fragment, nil // valid until the next read from reader
		}
		line = append(line, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

var errEventTooLarge = fmt.Errorf("event exceeds %d bytes", maxEventBytes)

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
