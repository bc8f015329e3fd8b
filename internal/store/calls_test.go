package store

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// listedStore begins to respond to a listing at once, and ends after a delay.
type listedStore struct {
	scriptedStore
	silent   bool // does not begin to respond before the end
	listings atomic.Int64
}

func (store *listedStore) List(ctx context.Context, _ List) (Listing, error) {
	store.listings.Add(1)
	if !store.silent {
		Responding(ctx)
	}
	select {
	case <-time.After(store.delay):
		return Listing{End: 7}, nil
	case <-ctx.Done():
		return Listing{}, ctx.Err()
	}
}

// TestHedgesOfListings guards against a page of a scan that is called for twice because the
// store is busy with pages for all hosts, and against a short listing that waits for a slow path.
func TestHedgesOfListings(t *testing.T) {
	const delay = 500 * time.Millisecond // less than bulkPatience/3
	for _, bulk := range []bool{false, true} {
		t.Run(fmt.Sprintf("bulk %v", bulk), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			direct := &listedStore{scriptedStore: scriptedStore{delay: delay}, silent: true}
			relay := &listedStore{}
			failover := NewFailover(direct, func() []Path { return []Path{{Store: relay, Fast: true}} }, clockwork.NewRealClock(), discardLogger)
			_, err := failover.List(t.Context(), List{Topic: "t", Bulk: bulk})
			is.NoErr(err)
			is.Equal(relay.listings.Load() == 0, bulk)
		})
	}
}

// TestLongListings guards against a path to the store that counts as failed because a page
// takes long on the link of a small host, or because its caller has given up. All calls of
// the host would go through other hosts then, whose links carry the page as well.
func TestLongListings(t *testing.T) {
	tests := []struct {
		name          string
		delay, caller time.Duration // of the response, and of the caller's patience
		silent, bulk  bool
		served        bool
		relayed       bool
		failed        bool
	}{
		{"page takes long", 400 * time.Millisecond, time.Minute, false, false, true, false, false},
		{"page of a scan takes longer", 2 * time.Second, time.Minute, false, true, true, false, false},
		{"caller gives up before the path counts as stalled", time.Minute, 200 * time.Millisecond, true, false, false, false, false},
		{"caller gives up during the response", time.Minute, 600 * time.Millisecond, false, false, false, false, false},
		{"store does not respond", time.Minute, time.Minute, true, false, true, true, true},
		{"store does not respond to a scan", time.Minute, time.Minute, true, true, true, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			direct := &listedStore{scriptedStore: scriptedStore{delay: test.delay}, silent: test.silent}
			relay := &listedStore{}
			fast := test.relayed || test.delay < time.Minute
			failover := NewFailover(direct, func() []Path { return []Path{{Store: relay, Fast: fast}} }, clockwork.NewRealClock(), discardLogger)
			ctx, cancel := context.WithTimeout(t.Context(), test.caller)
			defer cancel()
			start := time.Now()
			_, err := failover.List(ctx, List{Topic: "t", Bulk: test.bulk})
			is.Equal(err == nil, test.served)
			is.True(err == nil || errors.Is(err, context.DeadlineExceeded))
			is.Equal(err == nil && time.Since(start) < test.delay, test.relayed)
			time.Sleep(50 * time.Millisecond) // the call of the direct path returns
			is.Equal(!failover.LastDirectFailure().IsZero(), test.failed)
		})
	}
}
