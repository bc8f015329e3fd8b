package history

import (
	"bytes"
	"context"
	"errors"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/godwitspread/godwitspread/internal/store"
)

// memoryStore is a store that rejects oversized records and appends, and returns
// at most three records in a listing, unless it has another limit.
type memoryStore struct {
	maxRecordBytes, maxAppendBytes int
	newest                         map[string][]byte
	page                           int
}

func (memory *memoryStore) Append(_ context.Context, batch store.Append) (int64, error) {
	size := 0
	for _, record := range batch.Records {
		if size += len(record.Value); len(record.Key) > 255 || len(record.Value)+len(record.Key)+1 > memory.maxRecordBytes || size > memory.maxAppendBytes {
			return 0, store.ErrInvalid
		}
	}
	for _, record := range batch.Records {
		memory.newest[record.Key] = record.Value
	}
	return 0, nil
}

func (memory *memoryStore) Read(context.Context, store.Read) (store.Page, error) {
	return store.Page{}, nil
}

func (memory *memoryStore) List(_ context.Context, list store.List) (store.Listing, error) {
	var keys []string
	for key := range memory.newest {
		if key > list.After {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := max(3, memory.page)
	more := len(keys) > page
	var records []store.Record
	for _, key := range keys[:min(page, len(keys))] {
		records = append(records, store.Record{Key: key, Value: memory.newest[key]})
	}
	return store.Listing{Records: records, More: more}, nil
}

func (memory *memoryStore) newHistories(t *testing.T) *Histories {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	logger := &log.Logger{Handler: discard.Default}
	clock := clockwork.NewRealClock()
	return New(Dependencies{
		Store: memory, Writer: store.NewWriter(ctx, memory, clock, logger, "h/1"), Clock: clock, Logger: logger, Peers: isolatedHost{}, Partitions: 1,
		StoreLimits: StoreLimits{RecordBytes: memory.maxRecordBytes, AppendBytes: memory.maxAppendBytes}, Reachable: func(context.Context) bool { return true },
	})
}

// TestLargeTurn checks that a turn larger than a record is stored in chunks and
// read back whole, and that a turn too large for one append is rejected before
// it runs.
func TestLargeTurn(t *testing.T) {
	is := is.New(t)
	memory := &memoryStore{maxRecordBytes: 4096, maxAppendBytes: 64 << 10, newest: make(map[string][]byte)}
	first := Turn{ID: "a1", Workspace: "w", Input: bytes.Repeat([]byte("question "), 2000), Output: bytes.Repeat([]byte("answer\n"), 2000), Retention: time.Minute}
	second := Turn{ID: "a2", Previous: "a1", Workspace: "w", Input: []byte("and then"), Output: []byte("yes\n"), Retention: time.Minute}
	writingHost := memory.newHistories(t)
	is.NoErr(writingHost.CheckStorable(t.Context(), len(first.Input)))
	is.NoErr(writingHost.Save(context.Background(), "p", first))
	is.NoErr(writingHost.Save(context.Background(), "p", second))
	is.True(errors.Is(writingHost.CheckStorable(t.Context(), 60<<10), ErrTooLarge))
	readingHost := memory.newHistories(t)
	transcript, err := readingHost.Transcript(context.Background(), "p", "w", "a2", unbounded)
	is.NoErr(err)
	is.True(bytes.Equal(bytes.Join(transcript.Texts(), nil), bytes.Join([][]byte{first.Input, first.Output, second.Input, second.Output}, nil)))
	var records []store.Record
	for key, value := range memory.newest {
		records = append(records, store.Record{Key: key, Value: value})
	}
	is.Equal(len(expiredKeys(records, time.Now())), 0)
	is.Equal(len(expiredKeys(records, time.Now().Add(time.Hour))), len(records))
}

// TestAnyID guards against IDs that collide or break the format of keys: callers
// choose the IDs of turns, and may use any characters.
func TestAnyID(t *testing.T) {
	ids := rapid.OneOf(rapid.String(), rapid.StringMatching(`[a-z/~. -]{1,6}`), rapid.Just(strings.Repeat("x", 128)))
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		first, second := ids.Draw(r, "first"), ids.Draw(r, "second")
		if first == second || first == "" || second == "" {
			return
		}
		memory := &memoryStore{maxRecordBytes: 4096, maxAppendBytes: 64 << 10, newest: make(map[string][]byte)}
		host := memory.newHistories(t)
		is.NoErr(host.Save(context.Background(), "p", Turn{ID: first, Workspace: "w", Input: []byte("1"), Retention: time.Minute}))
		is.NoErr(host.Save(context.Background(), "p", Turn{ID: second, Previous: first, Workspace: "w", Input: []byte("2"), Retention: time.Minute}))
		transcript, err := memory.newHistories(t).Transcript(context.Background(), "p", "w", second, unbounded)
		is.NoErr(err)
		is.Equal(string(bytes.Join(transcript.Texts(), nil)), "12")
		var records []store.Record
		for key, value := range memory.newest {
			records = append(records, store.Record{Key: key, Value: value})
		}
		is.Equal(len(expiredKeys(records, time.Now())), 0)
		_, err = memory.newHistories(t).Transcript(context.Background(), "p", "w", first+"?", unbounded)
		is.True(first+"?" == second || errors.Is(err, ErrNoTurn))
	})
}

// unbounded reserves any number of bytes.
func unbounded(int64) error { return nil }

// TestChainsAreReservedWhileTheyAreRead guards against chains that are read from the store
// into memory which nobody has reserved.
func TestChainsAreReservedWhileTheyAreRead(t *testing.T) {
	is := is.New(t)
	memory := &memoryStore{maxRecordBytes: 4096, maxAppendBytes: 64 << 10, newest: make(map[string][]byte)}
	writer := memory.newHistories(t)
	previous := ""
	for _, id := range []string{"a1", "a2", "a3"} {
		is.NoErr(writer.Save(context.Background(), "p", Turn{ID: id, Previous: previous, Workspace: "w", Input: bytes.Repeat([]byte("x"), 10000), Retention: time.Minute}))
		previous = id
	}
	exhausted := errors.New("no memory")
	reserved := int64(0)
	_, err := memory.newHistories(t).Transcript(context.Background(), "p", "w", previous, func(bytes int64) error {
		if reserved += bytes; reserved > 15000 {
			return exhausted
		}
		return nil
	})
	is.True(errors.Is(err, exhausted))
	is.True(reserved < 20000) // it stops at once
	reserved = 0
	_, err = memory.newHistories(t).Transcript(context.Background(), "p", "w", previous, func(bytes int64) error {
		reserved += bytes
		return nil
	})
	is.NoErr(err)
	is.True(reserved >= 30000)
}
