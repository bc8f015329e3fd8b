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
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/store"
)

// TestCacheChain checks that a chain is returned oldest first, and that a gap is
// reported by the ID of the first missing turn.
func TestCacheChain(t *testing.T) {
	is := is.New(t)
	cache := newTurnCache(memory.NewBudget(1 << 20))
	now := time.Unix(1000, 0)
	previous := ""
	for number := range 4 {
		id := fmt.Sprint("t", number)
		cache.put(&Turn{ID: id, Previous: previous, Root: "t0", StoredMillis: now.UnixMilli(), Retention: time.Minute}, now)
		previous = id
	}
	turns, missing := cache.chain("t3", nil)
	is.Equal(missing, "")
	is.Equal(len(turns), 4)
	is.Equal(turns[0].ID, "t0")
	cache.put(&Turn{ID: "u1", Previous: "u0", StoredMillis: now.UnixMilli(), Retention: time.Minute}, now)
	turns, missing = cache.chain("u1", nil)
	is.Equal(missing, "u0")
	is.Equal(len(turns), 1)
}

// TestCacheBounds checks that the cache is bounded by size and by age, and that
// the oldest turns are evicted first.
func TestCacheBounds(t *testing.T) {
	is := is.New(t)
	const maxBytes = 10 * (turnOverhead + 100) // two fifths of the budget
	budget := memory.NewBudget(maxBytes * 5 / 2)
	cache := newTurnCache(budget)
	now := time.Unix(1000, 0)
	for number := range 50 {
		cache.put(&Turn{ID: fmt.Sprint(number), Input: make([]byte, 100), StoredMillis: now.UnixMilli(), Retention: time.Minute}, now)
	}
	is.True(budget.HeldBy(memory.Cached) <= maxBytes)
	is.Equal(len(cache.byAge), 10)
	_, oldest := cache.get("0")
	_, newest := cache.get("49")
	is.True(!oldest && newest)
	cache.evict(1)
	is.Equal(len(cache.byAge), 9)
	cache.evict(maxBytes)
	is.Equal(budget.HeldBy(memory.Cached), int64(0))
	_, newest = cache.get("49")
	is.True(!newest)
	cache.put(&Turn{ID: "49", StoredMillis: now.UnixMilli(), Retention: time.Minute}, now)
	later := now.Add(5 * time.Minute)
	cache.put(&Turn{ID: "late", StoredMillis: later.UnixMilli(), Retention: time.Minute}, later)
	_, newest = cache.get("49")
	is.True(!newest)
}

// TestExpiredKeys guards against a chain that expires while its newest turn is
// still retained: older turns of the chain must not expire before it.
func TestExpiredKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(10000, 0)
	record := func(root, id string, age time.Duration) []store.Record {
		value, err := codec.Marshal(Turn{ID: id, Root: root, StoredMillis: now.Add(-age).UnixMilli(), Retention: time.Minute})
		is.NoErr(err)
		return []store.Record{{Key: turnPrefix + root + "/" + id, Value: value}, {Key: rootPrefix + id, Value: []byte(root)}}
	}
	var records []store.Record
	records = append(records, record("a", "a", time.Hour)...)
	records = append(records, record("a", "a2", 30*time.Second)...)
	records = append(records, record("b", "b", 111*time.Second)...)
	records = append(records, record("b", "b2", 111*time.Second)...)
	records = append(records, record("c", "c", 61*time.Second)...)  // a turn that continues it may still be running
	records = append(records, record("d", "d", 109*time.Second)...) // the same, if the clocks of two hosts differ by 20 s
	is.Equal(expiredKeys(records, now), []string{"t/b/b", "i/b", "t/b/b2", "i/b2"})
}

// TestKeyBefore checks that a listing after the returned key starts with the
// key.
func TestKeyBefore(t *testing.T) {
	is := is.New(t)
	for _, key := range []string{"i/abc0", "i/9", "i/f000", "i/a1"} {
		is.True(keyBefore(key) < key)
		is.True(keyBefore(key) > key[:len(key)-1])
	}
}

// isolatedHost implements Peers without other hosts, and a store that fails every
// call.
type isolatedHost struct{}

func (isolatedHost) FindChain(context.Context, string, string, string, bool) []Turn { return nil }
func (isolatedHost) FindKept(context.Context, string, string, string) ([]Turn, bool, error) {
	return nil, true, nil
}
func (isolatedHost) PushTurns(string, []Turn) {}
func (isolatedHost) FindStored(context.Context, *region.Constraint, string, string) ([]Turn, error) {
	return nil, errors.New("no host in the home regions")
}
func (isolatedHost) Append(context.Context, store.Append) (int64, error) {
	return 0, errors.New("store unreachable")
}
func (isolatedHost) Read(context.Context, store.Read) (store.Page, error) {
	return store.Page{}, errors.New("store unreachable")
}
func (isolatedHost) List(context.Context, store.List) (store.Listing, error) {
	return store.Listing{}, errors.New("store unreachable")
}

// TestUnknownTurnNeedsTheStore guards against reporting a turn as missing while
// the store cannot be read. A turn of another workspace is reported as missing
// without asking the store.
func TestUnknownTurnNeedsTheStore(t *testing.T) {
	is := is.New(t)
	for _, reachable := range []bool{true, false} {
		histories := New(Dependencies{
			Store: isolatedHost{}, Clock: clockwork.NewRealClock(), Logger: &log.Logger{Handler: discard.Default}, Peers: isolatedHost{}, Partitions: 8,
			Memory: memory.NewBudget(1 << 20), Reachable: func(context.Context) bool { return reachable },
		})
		_, err := histories.Transcript(context.Background(), "p", "w", "unknown", unbounded)
		is.True(err != nil && !errors.Is(err, ErrNoTurn))
		histories.CacheTurns([]Turn{{ID: "theirs", Workspace: "other", StoredMillis: time.Now().UnixMilli(), Retention: time.Minute}})
		_, err = histories.Transcript(context.Background(), "p", "w", "theirs", unbounded)
		is.True(errors.Is(err, ErrNoTurn))
	}
}
