package configuration

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/godwitspread/godwitspread/internal/codec"
)

// Change publishes a new configuration text. It is accepted only if Base is the
// current version at its position in the stream.
type Change struct {
	Version uint64 `msgpack:"version"`
	Base    uint64 `msgpack:"base"`
	Author  string `msgpack:"author"`
	Text    []byte `msgpack:"text"`
	// Refresh marks a copy of the current text that is appended again before the log
	// deletes the original.
	Refresh bool `msgpack:"refresh,omitempty"`
}

// Give makes a key valid. It contains only the digest of the secret.
type Give struct {
	Key       string `msgpack:"key"`
	Digest    []byte `msgpack:"digest"`
	Workspace string `msgpack:"workspace"`
	Author    string `msgpack:"author"`
}

// Withdraw revokes a key permanently.
type Withdraw struct {
	Key    string `msgpack:"key"`
	Author string `msgpack:"author"`
}

// Record is the content of one append to the configuration stream. Exactly one of
// Change, Give and Withdraw is set.
type Record struct {
	ID       string    `msgpack:"id"`
	Change   *Change   `msgpack:"change,omitempty"`
	Give     *Give     `msgpack:"give,omitempty"`
	Withdraw *Withdraw `msgpack:"withdraw,omitempty"`
}

// Encode encodes a record and compresses its text.
func (record Record) Encode() ([]byte, error) {
	if record.Change != nil {
		change := *record.Change
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		if _, err := writer.Write(change.Text); err != nil {
			return nil, fmt.Errorf("compress text: %w", err)
		}
		if err := writer.Close(); err != nil {
			return nil, fmt.Errorf("compress text: %w", err)
		}
		change.Text = compressed.Bytes()
		record.Change = &change
	}
	data, err := codec.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode configuration record: %w", err)
	}
	return data, nil
}

// Decode decodes a record and decompresses its text.
func Decode(data []byte) (Record, error) {
	var record Record
	if err := codec.Unmarshal(data, &record); err != nil {
		return Record{}, fmt.Errorf("decode configuration record: %w", err)
	}
	payloadCount := 0
	for _, set := range []bool{record.Change != nil, record.Give != nil, record.Withdraw != nil} {
		if set {
			payloadCount++
		}
	}
	if payloadCount != 1 || record.ID == "" {
		return Record{}, fmt.Errorf("configuration record %q has %d payloads, expected 1", record.ID, payloadCount)
	}
	if record.Change == nil {
		return record, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(record.Change.Text))
	if err != nil {
		return Record{}, fmt.Errorf("decompress text of record %q: %w", record.ID, err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxTextBytes+1))
	if err != nil {
		return Record{}, fmt.Errorf("decompress text of record %q: %w", record.ID, err)
	}
	record.Change.Text = text
	return record, nil
}
