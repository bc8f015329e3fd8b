package history

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

const (
	rootPrefix = "i/" // key of a turn's root: the turn's id follows
	textPrefix = "t/" // key of a turn: the root and the turn's id follow, and the number of a piece
)

const (
	longestID     = 64        // characters of an id that stands in keys as it is
	recordMargin  = 512       // bytes of a record beside its value
	defaultRecord = 256 << 10 // bytes, for settings that name no bound
	defaultCall   = 1 << 20
)

func (bounds Bounds) orDefault() Bounds {
	if bounds.Record <= 2*recordMargin {
		bounds.Record = defaultRecord
	}
	if bounds.Call < bounds.Record {
		bounds.Call = max(defaultCall, bounds.Record)
	}
	return bounds
}

// keyOf returns an id as it stands in keys, which are short and have slashes
// between their parts. Callers choose the ids.
func keyOf(id string) string {
	plain := len(id) <= longestID && id != ""
	for _, letter := range []byte(id) {
		plain = plain && (letter >= '0' && letter <= '9' || letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' || letter == '-' || letter == '_')
	}
	if plain {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	return "~" + hex.EncodeToString(digest[:20])
}

// encode returns the records of a turn. One that is too large for a record is
// spread over several, after a first one that has no texts.
func encode(turn Turn, bound int) ([]store.Record, error) {
	value, err := codec.Marshal(turn)
	if err != nil {
		return nil, err
	}
	key := textPrefix + keyOf(turn.Root) + "/" + keyOf(turn.ID)
	root := store.Record{Key: rootPrefix + keyOf(turn.ID), Value: []byte(turn.Root)}
	if size := bound - recordMargin; len(value) > size {
		var pieces []store.Record
		for rest := value; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			pieces = append(pieces, store.Record{Key: fmt.Sprintf("%s/%04d", key, len(pieces)), Value: rest[:min(size, len(rest))]})
		}
		turn.Input, turn.Output, turn.Pieces = nil, nil, len(pieces)
		if value, err = codec.Marshal(turn); err != nil {
			return nil, err
		}
		return append([]store.Record{{Key: key, Value: value}, root}, pieces...), nil
	}
	return []store.Record{{Key: key, Value: value}, root}, nil
}

// reader joins the records of a chain, which come ordered by key.
type reader struct {
	prefix string
	after  string // key to go on from
	ended  bool
	turns  []*Turn
	pieces map[string][][]byte // by key of the turn
	split  map[string]int      // number of pieces, by key of the turn
}

func newReader(root string) *reader {
	prefix := textPrefix + keyOf(root) + "/"
	return &reader{prefix: prefix, after: prefix, pieces: make(map[string][][]byte), split: make(map[string]int)}
}

func (reader *reader) read(record store.Record) error {
	reader.after = record.Key
	rest, ok := strings.CutPrefix(record.Key, reader.prefix)
	if !ok {
		reader.ended = reader.ended || record.Key > reader.prefix
		return nil
	}
	key, number, piece := strings.Cut(rest, "/")
	if piece {
		return reader.readPiece(key, number, record)
	}
	var turn Turn
	if err := codec.Unmarshal(record.Value, &turn); err != nil {
		return fmt.Errorf("decode turn %q: %w", record.Key, err)
	}
	if turn.Pieces > 0 {
		reader.split[key] = turn.Pieces
		return nil
	}
	reader.turns = append(reader.turns, &turn)
	return nil
}

func (reader *reader) readPiece(key, number string, record store.Record) error {
	index, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("record %q is no piece of a turn: %w", record.Key, err)
	}
	if index != len(reader.pieces[key]) {
		return fmt.Errorf("record %q does not follow piece %d", record.Key, len(reader.pieces[key]))
	}
	reader.pieces[key] = append(reader.pieces[key], record.Value)
	if len(reader.pieces[key]) < reader.split[key] {
		return nil
	}
	var value []byte
	for _, piece := range reader.pieces[key] {
		value = append(value, piece...)
	}
	delete(reader.pieces, key)
	var turn Turn
	if err := codec.Unmarshal(value, &turn); err != nil {
		return fmt.Errorf("decode the pieces of turn %q: %w", record.Key, err)
	}
	reader.turns = append(reader.turns, &turn)
	return nil
}

// rootOfKey returns the key of the root in the key of a turn.
func rootOfKey(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, textPrefix)
	if !ok {
		return "", false
	}
	root, _, _ := strings.Cut(rest, "/")
	return root, true
}

// isPiece reports whether a record holds a part of a turn's texts.
func isPiece(key string) bool { return strings.Count(key, "/") > strings.Count(textPrefix, "/")+1 }

// before returns a key that sorts before a key and after nearly all that are
// less.
func before(key string) string {
	last := len(key) - 1
	return key[:last] + string([]byte{key[last] - 1, '~'})
}
