package history

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/hostclock/clocktest"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/store"
)

// retention is the retention of a kept turn.
const retention = time.Minute

// TestRetentionAfterJump guards against kept turns that are deleted while they may be
// continued, because the clock of the host that stored them or of the one that deletes
// expired turns was 10 s off. A turn that continues a kept one at the end of its retention
// runs for up to 30 s, and its chain must still be there when it ends.
func TestRetentionAfterJump(t *testing.T) {
	tests := []struct {
		name            string
		writer, sweeper time.Duration // by which the wall clock is ahead
		age             time.Duration
		kept            bool
	}{
		{"no jump", 0, 0, retention + continuationGrace - time.Millisecond, true},
		{"writer behind", -10 * time.Second, 0, retention + continuationGrace - time.Millisecond, true},
		{"sweeper ahead", 0, 10 * time.Second, retention + continuationGrace - time.Millisecond, true},
		{"writer behind, sweeper ahead", -10 * time.Second, 10 * time.Second, retention + continuationGrace - time.Millisecond, true},
		{"writer ahead, sweeper behind", 10 * time.Second, -10 * time.Second, retention + continuationGrace - time.Millisecond, true},
		{"expired", 0, 0, retention + continuationGrace + 21*time.Second, false},
		{"expired, writer ahead, sweeper behind", 10 * time.Second, -10 * time.Second, retention + continuationGrace + 41*time.Second, false},
	}
	for _, test := range tests {
		is := is.New(t)
		clock := clocktest.New()
		clock.Jump(test.writer)
		value, err := codec.Marshal(Turn{ID: "a", Root: "a", StoredMillis: clock.Now().UnixMilli(), Retention: retention})
		is.NoErr(err)
		records := []store.Record{{Key: turnPrefix + "a/a", Value: value}, {Key: rootPrefix + "a", Value: []byte("a")}}
		clock.Jump(test.sweeper - test.writer)
		clock.Advance(test.age)
		is.Equal(len(expiredKeys(records, clock.Now())) == 0, test.kept) // test.name
	}
}

// TestCacheAfterJump guards against kept turns that a jump of the wall clock evicts from the
// memory of a host within their retention: others may then not reach them while the store
// is lost.
func TestCacheAfterJump(t *testing.T) {
	for _, jump := range []time.Duration{10 * time.Second, -10 * time.Second, 20 * time.Second, -20 * time.Second} {
		is := is.New(t)
		clock := clocktest.New()
		cache := newTurnCache(memory.NewBudget(1 << 20))
		cache.put(&Turn{ID: "a", StoredMillis: clock.Now().UnixMilli(), Retention: retention}, clock.Now())
		clock.Jump(jump)
		clock.Advance(retention)
		cache.put(&Turn{ID: "b", StoredMillis: clock.Now().UnixMilli(), Retention: retention}, clock.Now())
		_, kept := cache.get("a")
		is.True(kept) // jump
	}
}
