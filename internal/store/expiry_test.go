package store

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// TestExpiry checks that keys are dropped after their time, together, and not
// before.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	target := &scripted{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewFakeClock()
	expiry := NewExpiry(NewWriter(ctx, target, clockwork.NewRealClock(), quiet, "h/1"), clock, quiet)
	for number := range 700 {
		expiry.Drop("t", 0, time.Minute, fmt.Sprint(number))
	}
	expiry.Drop("t", 0, 2*time.Minute, "later")
	clock.Advance(59 * time.Second)
	expiry.round()
	is.Equal(len(expiry.keys), 701)
	clock.Advance(time.Second)
	expiry.round()
	is.Equal(len(expiry.keys), 1)
	dropped := 0
	for end := time.Now().Add(time.Second); dropped < 700 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		dropped = 0
		target.mutex.Lock()
		for _, batch := range target.batches {
			for _, record := range batch.Records {
				is.True(record.Dropped())
			}
			dropped += len(batch.Records)
		}
		target.mutex.Unlock()
	}
	is.Equal(dropped, 700)
}
