package history

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

func TestArchiveChain(t *testing.T) {
	is := is.New(t)
	archive := newArchive(1 << 20)
	now := time.Unix(1000, 0)
	previous := ""
	for number := range 4 {
		id := fmt.Sprint("t", number)
		archive.put(&Turn{ID: id, Previous: previous, Root: "t0", Kept: now.UnixMilli(), Retention: time.Minute}, now)
		previous = id
	}
	turns, missing := archive.chain("t3")
	is.Equal(missing, "")
	is.Equal(len(turns), 4)
	is.Equal(turns[0].ID, "t0")
	archive.put(&Turn{ID: "u1", Previous: "u0", Kept: now.UnixMilli(), Retention: time.Minute}, now)
	turns, missing = archive.chain("u1")
	is.Equal(missing, "u0")
	is.Equal(len(turns), 1)
}

// TestArchiveBounds checks that memory is bounded by bytes and by time, oldest
// first.
func TestArchiveBounds(t *testing.T) {
	is := is.New(t)
	archive := newArchive(10 * (turnOverhead + 100))
	now := time.Unix(1000, 0)
	for number := range 50 {
		archive.put(&Turn{ID: fmt.Sprint(number), Input: make([]byte, 100), Kept: now.UnixMilli(), Retention: time.Minute}, now)
	}
	is.True(archive.bytes <= archive.bound)
	_, oldest := archive.get("0")
	_, newest := archive.get("49")
	is.True(!oldest && newest)
	later := now.Add(5 * time.Minute)
	archive.put(&Turn{ID: "late", Kept: later.UnixMilli(), Retention: time.Minute}, later)
	_, newest = archive.get("49")
	is.True(!newest)
}

// TestOver checks that a chain is kept as a whole as long as its newest turn.
func TestOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(10000, 0)
	record := func(root, id string, age time.Duration) []store.Record {
		value, err := codec.Marshal(Turn{ID: id, Root: root, Kept: now.Add(-age).UnixMilli(), Retention: time.Minute})
		is.NoErr(err)
		return []store.Record{{Key: textPrefix + root + "/" + id, Value: value}, {Key: rootPrefix + id, Value: []byte(root)}}
	}
	var records []store.Record
	records = append(records, record("a", "a", time.Hour)...)
	records = append(records, record("a", "a2", 30*time.Second)...)
	records = append(records, record("b", "b", 91*time.Second)...)
	records = append(records, record("b", "b2", 91*time.Second)...)
	records = append(records, record("c", "c", 61*time.Second)...) // a turn that continues it may be under way
	is.Equal(Over(records, now), []string{"t/b/b", "i/b", "t/b/b2", "i/b2"})
}

// TestBefore checks that a listing after the returned key begins with the key.
func TestBefore(t *testing.T) {
	is := is.New(t)
	for _, key := range []string{"i/abc0", "i/9", "i/f000", "i/a1"} {
		is.True(before(key) < key)
		is.True(before(key) > key[:len(key)-1])
	}
}

// alone is a host without others, before a store that does not answer.
type alone struct{}

func (alone) Find(context.Context, string, string, string) []Turn { return nil }
func (alone) Push(string, []Turn)                                 {}
func (alone) Append(context.Context, store.Append) (int64, error) { return 0, errors.New("away") }
func (alone) Read(context.Context, store.Read) (store.Page, error) {
	return store.Page{}, errors.New("away")
}
func (alone) List(context.Context, store.List) (store.Listing, error) {
	return store.Listing{}, errors.New("away")
}

// TestUnknownTurnNeedsTheStore checks that a turn counts as missing only by the
// store's word, and at once if it belongs to another workspace.
func TestUnknownTurnNeedsTheStore(t *testing.T) {
	is := is.New(t)
	for _, reachable := range []bool{true, false} {
		histories := New(Parts{
			Store: alone{}, Clock: clockwork.NewRealClock(), Logger: &log.Logger{Handler: discard.Default}, Peers: alone{}, Partitions: 8,
			MemoryBytes: 1 << 20, Reachable: func() bool { return reachable },
		})
		_, err := histories.Input(context.Background(), "p", "w", "unknown")
		is.True(err != nil && !errors.Is(err, ErrNoTurn))
		histories.Gather([]Turn{{ID: "theirs", Workspace: "other", Kept: time.Now().UnixMilli(), Retention: time.Minute}})
		_, err = histories.Input(context.Background(), "p", "w", "theirs")
		is.True(errors.Is(err, ErrNoTurn))
	}
}
