package history

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

// expiredKeys returns the keys that a sweep of a partition with the given records deletes.
func expiredKeys(records []store.Record, now time.Time) []string {
	records = slices.SortedFunc(slices.Values(records), func(a, b store.Record) int { return strings.Compare(a.Key, b.Key) })
	expiry := NewExpiry(now)
	var keys []string
	for _, record := range records {
		keys = append(keys, expiry.Add(record)...)
	}
	return append(keys, expiry.Finish()...)
}

// TestExpiryOfRootRecords guards against root records that stay in the store for ever
// because the sweep that deleted their turns was interrupted.
func TestExpiryOfRootRecords(t *testing.T) {
	is := is.New(t)
	now := time.Unix(10000, 0)
	value, err := codec.Marshal(Turn{ID: "a", Root: "a", StoredMillis: now.UnixMilli(), Retention: time.Minute})
	is.NoErr(err)
	records := []store.Record{{Key: "i/a", Value: []byte("a")}, {Key: "i/b", Value: []byte("b")}, {Key: "i/c", Value: []byte("b")}, {Key: "t/a/a", Value: value}}
	is.Equal(expiredKeys(records, now), []string{"i/b", "i/c"})
}
