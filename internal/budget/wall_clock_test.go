package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/hostclock/clocktest"
	"github.com/godwitspread/godwitspread/internal/store"
)

// TestRetentionAfterJump guards against forgetting what a program has spent while its turns
// can be continued, because the clock of the host that wrote the last entry or of the one
// that forgets programs was 10 s off. The program would then get its budget twice.
func TestRetentionAfterJump(t *testing.T) {
	const used = allocationIdle // the longest time without a turn
	for _, writer := range []time.Duration{0, 10 * time.Second, -10 * time.Second} {
		for _, reader := range []time.Duration{0, 10 * time.Second, -10 * time.Second} {
			is := is.New(t)
			clock := clocktest.New()
			clock.Jump(writer)
			entry := entry{Program: "p", Holder: "h", Budget: 100, Tokens: 10, Holds: []int{10}, Written: clock.Now().UnixMilli(), Serial: 1}
			value, err := codec.Marshal(entry)
			is.NoErr(err)
			records := []store.Record{{Key: "p|h|1", Value: value}}
			ledger := newLedger()
			ledger.apply(entry)
			clock.Jump(reader - writer)
			clock.Advance(used)
			is.Equal(len(expiredKeys(records, clock.Now())), 0)
			ledger.evict(clock.Now().Add(-programRetention))
			is.Equal(ledger.allocated("p"), 10)
			clock.Advance(programRetention - used + hostclock.Tolerance + time.Second)
			is.Equal(len(expiredKeys(records, clock.Now())), 1) // does not stay for ever
		}
	}
}
