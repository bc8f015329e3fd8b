package budget

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Expiry implements store.Expiry for the entries of ended programs. The entries of a
// program expire together: without some of them, too few of its tokens would count as
// allocated.
type Expiry struct {
	now      time.Time
	programs *store.Groups[storedProgram]
	expired  []string
	deferred int
}

// storedProgram is what a sweep holds of a program.
type storedProgram struct {
	newest int64 // Unix milliseconds at which the last entry was written
	keys   []string
}

// NewExpiry returns the expiry of entries at the start of a sweep.
func NewExpiry(now time.Time) *Expiry {
	expiry := &Expiry{now: now}
	expiry.programs = store.NewGroups(expiry.complete)
	return expiry
}

// Add implements store.Expiry. It keeps entries that cannot be decoded.
func (expiry *Expiry) Add(record store.Record) []string {
	expiry.programs.Advance(record.Key)
	var decoded entry
	if err := codec.Unmarshal(record.Value, &decoded); err != nil {
		return expiry.take()
	}
	program, _ := expiry.programs.At(keyPrefix(record.Key))
	program.newest = max(program.newest, decoded.Written)
	if len(program.keys) < store.MaxGroupKeys {
		program.keys = append(program.keys, record.Key)
	} else {
		expiry.deferred++
	}
	return expiry.take()
}

// Finish implements store.Expiry.
func (expiry *Expiry) Finish() []string {
	expiry.programs.Finish()
	return expiry.take()
}

func (expiry *Expiry) complete(program storedProgram) {
	if hasEnded(program.newest, expiry.now) {
		expiry.expired = append(expiry.expired, program.keys...)
	}
}

// Deferred implements store.Expiry.
func (expiry *Expiry) Deferred() int { return expiry.deferred }

// take returns the keys that were selected since the last call.
func (expiry *Expiry) take() []string {
	expired := expiry.expired
	expiry.expired = nil
	return expired
}

// hasEnded reports whether a program has ended whose last entry was written at a time in
// Unix milliseconds.
func hasEnded(written int64, now time.Time) bool {
	return now.Sub(time.UnixMilli(written)) > programRetention
}
