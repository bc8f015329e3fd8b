package store

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// listingStore is a store with one record in each topic.
type listingStore struct{ Store }

func (listingStore) List(context.Context, List) (Listing, error) {
	return Listing{Records: []Record{{Key: "k", Value: []byte("odd")}}, End: 1}, nil
}

func (listingStore) Read(_ context.Context, read Read) (Page, error) {
	return Page{Next: read.From, End: read.From}, nil
}

// TestApplyPanic guards against a record of the store whose content ends the
// process: every host reads it again after its restart.
func TestApplyPanic(t *testing.T) {
	is := is.New(t)
	lines := memory.New()
	var applied atomic.Int64
	follower := &Follower{
		Store: listingStore{}, Clock: clockwork.NewRealClock(), Logger: &log.Logger{Handler: lines, Level: log.InfoLevel}, Topic: "t", ReadInterval: time.Millisecond,
		Apply: func(records []Record, _ bool) {
			applied.Add(1)
			if len(records) > 0 {
				panic("index out of range")
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	for end := time.Now().Add(2 * time.Second); applied.Load() < 3 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	cancel()
	<-done
	is.True(applied.Load() >= 3) // later records are applied
	is.Equal(lines.Entries[0].Level, log.ErrorLevel)
}

// TestConfirm guards against taking records for current that were read before the
// call: Confirm must not wait for the pause between two reads, and must fail while
// the store does.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	var reads atomic.Int64
	var failing atomic.Bool
	follower := &Follower{
		Store: countingStore{reads: &reads, failing: &failing}, Clock: clockwork.NewRealClock(), Logger: &log.Logger{Handler: memory.New()}, Topic: "t",
		ReadInterval: time.Hour, Apply: func([]Record, bool) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	confirm := func() error {
		confirmCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		return follower.Confirm(confirmCtx)
	}
	is.NoErr(confirm())
	for range 3 {
		before := reads.Load()
		is.NoErr(confirm())
		is.True(reads.Load() > before)
	}
	failing.Store(true)
	is.Equal(confirm(), context.DeadlineExceeded)
	failing.Store(false)
	is.NoErr(confirm())
	cancel()
	follower.signals()
	select { // Run ends at the next pause
	case follower.wake <- struct{}{}:
	default:
	}
	<-done
}

// TestLongFirstListing guards against a host that lists a topic again and again while the
// store responds slowly, because all hosts have started at once.
func TestLongFirstListing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	slow := &listedStore{scriptedStore: scriptedStore{delay: followTimeout + 500*time.Millisecond}}
	applied := make(chan struct{})
	follower := &Follower{
		Store: slow, Clock: clockwork.NewRealClock(), Logger: discardLogger, Topic: "t", ReadInterval: time.Hour,
		Apply: func(_ []Record, full bool) {
			if full {
				close(applied)
			}
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go follower.Run(ctx)
	select {
	case <-applied:
	case <-time.After(2 * listTimeout):
	}
	is.Equal(slow.listings.Load(), int64(1))
}

// countingStore is an empty store that counts the reads.
type countingStore struct {
	listingStore
	reads   *atomic.Int64
	failing *atomic.Bool
}

func (store countingStore) Read(ctx context.Context, read Read) (Page, error) {
	if store.failing.Load() {
		return Page{}, context.DeadlineExceeded
	}
	store.reads.Add(1)
	return store.listingStore.Read(ctx, read)
}
