package budget

import (
	"slices"
	"strings"
	"time"

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
