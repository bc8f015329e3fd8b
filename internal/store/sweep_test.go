package store

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"weak"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// pagedStore lists pages with one value each, and knows which values are still in memory.
type pagedStore struct {
	mutex    sync.Mutex
	pages    int
	failures int // of listings before the next success
	values   []weak.Pointer[[1 << 20]byte]
	held     int // most values in memory at the time of a listing
	deleted  []string
}

func (store *pagedStore) List(_ context.Context, list List) (Listing, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.failures > 0 {
		store.failures--
		return Listing{}, fmt.Errorf("list: %w", ErrMemory)
	}
	runtime.GC()
	held := 0
	for _, value := range store.values {
		if value.Value() != nil {
			held++
		}
	}
	store.held = max(store.held, held)
	number := 0
	if list.After != "" {
		if _, err := fmt.Sscanf(list.After, "k%d", &number); err != nil {
			return Listing{}, err
		}
		number++
	}
	value := new([1 << 20]byte)
	store.values = append(store.values, weak.Make(value))
	return Listing{Records: []Record{{Key: fmt.Sprintf("k%04d", number), Value: value[:]}}, More: number < store.pages-1}, nil
}

func (store *pagedStore) Read(context.Context, Read) (Page, error) {
	return Page{}, errors.New("not used")
}

func (store *pagedStore) Append(_ context.Context, batch Append) (int64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, record := range batch.Records {
		store.deleted = append(store.deleted, record.Key)
	}
	return 0, nil
}

// evenExpiry selects the keys with an even number.
type evenExpiry struct{}

func (evenExpiry) Add(record Record) []string {
	if strings.ContainsAny(record.Key[len(record.Key)-1:], "02468") {
		return []string{record.Key}
	}
	return nil
}

func (evenExpiry) Finish() []string { return nil }
func (evenExpiry) Deferred() int    { return 0 }

// TestSweepHoldsOnePage guards against hosts that are killed for their memory because they
// sweep a partition that is larger, and against sweeps that end at a page for which there
// was no memory.
func TestSweepHoldsOnePage(t *testing.T) {
	is := is.New(t)
	const pages = 24
	store := &pagedStore{pages: pages, failures: 1}
	expirer := NewExpirer(NewWriter(t.Context(), store, clockwork.NewRealClock(), discardLogger, "h/1"), clockwork.NewRealClock(), discardLogger, metric.Discard())
	sweep := Sweep{Store: store, Topic: "t", Expiry: evenExpiry{}, Continue: func() bool { return true }}
	is.NoErr(expirer.Sweep(t.Context(), sweep))
	is.True(store.held <= 2) // the page before, and one that its caller has not released
	is.Equal(len(store.deleted), pages/2)
	remaining := pages / 2
	sweep.Continue = func() bool { remaining--; return remaining >= 0 }
	store.values = nil
	is.NoErr(expirer.Sweep(t.Context(), sweep))
	is.Equal(len(store.values), pages/2) // another host sweeps the rest
}

// TestGroups guards against a group that is completed before the last of its keys, because
// the prefix of another one begins with its own.
func TestGroups(t *testing.T) {
	is := is.New(t)
	var completed []string
	groups := NewGroups(func(keys []string) { completed = append(completed, strings.Join(keys, " ")) })
	for _, test := range []struct{ prefix, key string }{
		{"a|", "a|b"}, {"a|c|", "a|c|1"}, {"a|", "a|c|2"}, {"a|c|", "a|c|3"}, {"a|", "a|d"}, {"b|", "b|1"},
		{"c|d|", "c|d|1"}, {"c|", "c|d|2"}, {"c|", "c|e"},
	} {
		groups.Advance(test.key)
		keys, _ := groups.At(test.prefix)
		*keys = append(*keys, test.key)
	}
	groups.Finish()
	is.Equal(completed, []string{"a|c|1 a|c|3", "a|b a|c|2 a|d", "b|1", "c|d|1", "c|d|2 c|e"})
}
