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
	rootPrefix = "i/" // prefix of a root record's key, followed by the turn's ID
	turnPrefix = "t/" // prefix of a turn's key, followed by the root, the turn's ID and the number of a chunk
)

const (
	maxIDLength        = 64        // characters; a longer ID is replaced by its digest
	recordOverhead     = 512       // bytes of a record in addition to its value
	defaultRecordBytes = 256 << 10 // used if the settings have no limit
	defaultAppendBytes = 1 << 20
)

func (limits StoreLimits) withDefaults() StoreLimits {
	if limits.RecordBytes <= 2*recordOverhead {
		limits.RecordBytes = defaultRecordBytes
	}
	if limits.AppendBytes < limits.RecordBytes {
		limits.AppendBytes = max(defaultAppendBytes, limits.RecordBytes)
	}
	return limits
}

// keyComponent returns the form of an ID that is used in keys. Keys are limited in
// length and have slashes between their components, but callers choose IDs freely.
// So an ID that is long or has other characters than letters, digits, '-' and '_'
// is replaced by its digest.
func keyComponent(id string) string {
	plain := len(id) <= maxIDLength && id != ""
	for _, letter := range []byte(id) {
		plain = plain && (letter >= '0' && letter <= '9' || letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' || letter == '-' || letter == '_')
	}
	if plain {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	return "~" + hex.EncodeToString(digest[:20])
}

// encodeTurn returns the records of a turn. A turn that does not fit into one
// record is split into chunks, which follow a first record without texts.
func encodeTurn(turn Turn, maxRecordBytes int) ([]store.Record, error) {
	value, err := codec.Marshal(turn)
	if err != nil {
		return nil, err
	}
	key := turnPrefix + keyComponent(turn.Root) + "/" + keyComponent(turn.ID)
	root := store.Record{Key: rootPrefix + keyComponent(turn.ID), Value: []byte(turn.Root)}
	if size := maxRecordBytes - recordOverhead; len(value) > size {
		var chunks []store.Record
		for rest := value; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			chunks = append(chunks, store.Record{Key: fmt.Sprintf("%s/%04d", key, len(chunks)), Value: rest[:min(size, len(rest))]})
		}
		turn.Input, turn.Output, turn.Chunks = nil, nil, len(chunks)
		if value, err = codec.Marshal(turn); err != nil {
			return nil, err
		}
		return append([]store.Record{{Key: key, Value: value}, root}, chunks...), nil
	}
	return []store.Record{{Key: key, Value: value}, root}, nil
}

// chainReader decodes the turns of a chain from records that arrive in the order
// of their keys.
type chainReader struct {
	prefix      string
	after       string // key after which the next listing starts
	done        bool   // a key after those of the chain was read
	turns       []*Turn
	chunks      map[string][][]byte // by key of the turn
	chunkCounts map[string]int      // by key of the turn
}

func newChainReader(root string) *chainReader {
	prefix := turnPrefix + keyComponent(root) + "/"
	return &chainReader{prefix: prefix, after: prefix, chunks: make(map[string][][]byte), chunkCounts: make(map[string]int)}
}

// read decodes a record of the chain, and ignores records of other chains.
func (reader *chainReader) read(record store.Record) error {
	reader.after = record.Key
	rest, ok := strings.CutPrefix(record.Key, reader.prefix)
	if !ok {
		reader.done = reader.done || record.Key > reader.prefix
		return nil
	}
	key, number, isChunk := strings.Cut(rest, "/")
	if isChunk {
		return reader.readChunk(key, number, record)
	}
	var turn Turn
	if err := codec.Unmarshal(record.Value, &turn); err != nil {
		return fmt.Errorf("decode turn %q: %w", record.Key, err)
	}
	if turn.Chunks > 0 {
		reader.chunkCounts[key] = turn.Chunks
		return nil
	}
	reader.turns = append(reader.turns, &turn)
	return nil
}

// readChunk adds a chunk of a turn, and decodes the turn with its last chunk.
func (reader *chainReader) readChunk(key, number string, record store.Record) error {
	index, err := strconv.Atoi(number)
	if err != nil {
		return fmt.Errorf("record %q is not a chunk of a turn: %w", record.Key, err)
	}
	if index != len(reader.chunks[key]) {
		return fmt.Errorf("record %q is out of order, %d chunks were read before it", record.Key, len(reader.chunks[key]))
	}
	reader.chunks[key] = append(reader.chunks[key], record.Value)
	if len(reader.chunks[key]) < reader.chunkCounts[key] {
		return nil
	}
	var value []byte
	for _, chunk := range reader.chunks[key] {
		value = append(value, chunk...)
	}
	delete(reader.chunks, key)
	var turn Turn
	if err := codec.Unmarshal(value, &turn); err != nil {
		return fmt.Errorf("decode the chunks of turn %q: %w", record.Key, err)
	}
	reader.turns = append(reader.turns, &turn)
	return nil
}

// rootInKey returns the root that is part of a turn's key.
func rootInKey(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, turnPrefix)
	if !ok {
		return "", false
	}
	root, _, _ := strings.Cut(rest, "/")
	return root, true
}

// isChunkKey reports whether a key belongs to a chunk of a turn.
func isChunkKey(key string) bool { return strings.Count(key, "/") > strings.Count(turnPrefix, "/")+1 }

// keyBefore returns a key that sorts before the given key and after nearly all
// smaller keys. A listing starts after a key, so a listing after the returned key
// begins with the given key.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string([]byte{key[last] - 1, '~'})
}
