package ledger

import (
	"fmt"

	"github.com/godwitspread/godwitspread/internal/codec"
)

// Entry is one turn of a program in the history stream. Each entry links to the
// previous one, so that a new owner reads only the entries of the programs it
// needs. Tokens is the number of generated tokens, and Spent the number that
// the budget is charged.
type Entry struct {
	Program string   `msgpack:"program"`
	Call    string   `msgpack:"call"`
	Number  int      `msgpack:"number"`
	Service string   `msgpack:"service"`
	Input   string   `msgpack:"input"`
	Output  string   `msgpack:"output"`
	Status  int      `msgpack:"status,omitempty"`
	Result  Result   `msgpack:"result"`
	Tokens  int      `msgpack:"tokens"`
	Spent   int64    `msgpack:"spent"`
	Prev    Location `msgpack:"prev"`
	// Earlier contains the preceding turns if this entry consolidates a history
	// whose older entries are about to expire.
	Earlier []Entry `msgpack:"earlier,omitempty"`
}

// EncodeEntries encodes the history entries of one append.
func EncodeEntries(entries []Entry) ([]byte, error) {
	data, err := codec.Marshal(entries)
	if err != nil {
		return nil, fmt.Errorf("encode history entries: %w", err)
	}
	return data, nil
}

// DecodeEntry decodes one append and returns the entry at the index of the
// location.
func DecodeEntry(data []byte, location Location) (Entry, error) {
	var entries []Entry
	if err := codec.Unmarshal(data, &entries); err != nil {
		return Entry{}, fmt.Errorf("decode history append at offset %d: %w", location.Offset, err)
	}
	if location.Index < 1 || location.Index > len(entries) {
		return Entry{}, fmt.Errorf("history append at offset %d has %d entries, entry %d is asked for",
			location.Offset, len(entries), location.Index)
	}
	return entries[location.Index-1], nil
}
