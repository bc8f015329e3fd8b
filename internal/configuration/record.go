package configuration

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/godwitspread/godwitspread/internal/codec"
)

// Change proposes a text. It counts only if Base is the version in force at
// its position in the stream.
type Change struct {
	Version uint64 `msgpack:"version"`
	Base    uint64 `msgpack:"base"`
	Author  string `msgpack:"author"`
	Text    []byte `msgpack:"text"`
	// Refresh repeats a text that is in force before the log drops it.
	Refresh bool `msgpack:"refresh,omitempty"`
}

// Give makes a key valid. Only its digest is published.
type Give struct {
	Key       string `msgpack:"key"`
	Digest    []byte `msgpack:"digest"`
	Workspace string `msgpack:"workspace"`
	Author    string `msgpack:"author"`
}

// Withdraw ends a key for good.
type Withdraw struct {
	Key    string `msgpack:"key"`
	Author string `msgpack:"author"`
}

// Record is one append of the configuration stream. Exactly one of the
// pointers is set.
type Record struct {
	ID       string    `msgpack:"id"`
	Change   *Change   `msgpack:"change,omitempty"`
	Give     *Give     `msgpack:"give,omitempty"`
	Withdraw *Withdraw `msgpack:"withdraw,omitempty"`
}

// Encode packs a record and compresses its text.
func (record Record) Encode() ([]byte, error) {
	if record.Change != nil {
		change := *record.Change
		var packed bytes.Buffer
		writer := gzip.NewWriter(&packed)
		if _, err := writer.Write(change.Text); err != nil {
			return nil, fmt.Errorf("compress text: %w", err)
		}
		if err := writer.Close(); err != nil {
			return nil, fmt.Errorf("compress text: %w", err)
		}
		change.Text = packed.Bytes()
		record.Change = &change
	}
	data, err := codec.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	return data, nil
}

// Decode unpacks a record.
func Decode(data []byte) (Record, error) {
	var record Record
	if err := codec.Unmarshal(data, &record); err != nil {
		return Record{}, fmt.Errorf("decode configuration record: %w", err)
	}
	bodies := 0
	for _, set := range []bool{record.Change != nil, record.Give != nil, record.Withdraw != nil} {
		if set {
			bodies++
		}
	}
	if bodies != 1 || record.ID == "" {
		return Record{}, fmt.Errorf("configuration record %q has %d bodies, expected 1", record.ID, bodies)
	}
	if record.Change == nil {
		return record, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(record.Change.Text))
	if err != nil {
		return Record{}, fmt.Errorf("expand text of record %q: %w", record.ID, err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxText+1))
	if err != nil {
		return Record{}, fmt.Errorf("expand text of record %q: %w", record.ID, err)
	}
	record.Change.Text = text
	return record, nil
}
