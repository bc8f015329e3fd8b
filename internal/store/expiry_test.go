package store

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// TestExpiry guards against keys that are deleted before they are due, and
// against keys that are due and stay.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewFakeClock()
	expirer := NewExpirer(NewWriter(ctx, store, clockwork.NewRealClock(), discardLogger, "h/1"), clock, discardLogger, metric.Discard())
	for number := range 700 {
		expirer.DeleteAfter("t", 0, time.Minute, fmt.Sprint(number))
	}
	expirer.DeleteAfter("t", 0, 2*time.Minute, "later")
	clock.Advance(59 * time.Second)
	expirer.expireDue()
	is.Equal(len(expirer.keys), 701)
	clock.Advance(time.Second)
	expirer.expireDue()
	is.Equal(len(expirer.keys), 1)
	deleted := 0
	for end := time.Now().Add(time.Second); deleted < 700 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		deleted = 0
		store.mutex.Lock()
		for _, batch := range store.batches {
			for _, record := range batch.Records {
				is.True(record.IsTombstone())
			}
			deleted += len(batch.Records)
		}
		store.mutex.Unlock()
	}
	is.Equal(deleted, 700)
}
