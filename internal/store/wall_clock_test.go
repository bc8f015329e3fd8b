package store

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/hostclock/clocktest"
	"github.com/godwitspread/godwitspread/internal/metric"
)

// TestConfirmAfterJump guards against taking records for current that were read before the
// call, because the wall clock was set back since, and against waiting for reads of the
// future because it was set ahead and back.
func TestConfirmAfterJump(t *testing.T) {
	is := is.New(t)
	clock := clocktest.New()
	var reads atomic.Int64
	var failing atomic.Bool
	follower := &Follower{
		Store: countingStore{reads: &reads, failing: &failing}, Clock: clock, Logger: &log.Logger{Handler: memory.New()}, Topic: "t",
		ReadInterval: time.Hour, Apply: func([]Record, bool) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	confirm := func() error {
		confirmCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		return follower.Confirm(confirmCtx)
	}
	is.NoErr(confirm())
	for _, jump := range []time.Duration{-10 * time.Second, 10 * time.Second, 10 * time.Second, -10 * time.Second} {
		before := reads.Load()
		clock.Jump(jump)
		clock.Advance(time.Millisecond)
		is.NoErr(confirm())
		is.True(reads.Load() > before) // jump
	}
	cancel()
	for { // the pause between two reads does not end with the context
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			clock.Advance(time.Hour)
		}
	}
}

// TestDeletionsAfterJump guards against records that are deleted before their time, because
// the wall clock was set ahead.
func TestDeletionsAfterJump(t *testing.T) {
	is := is.New(t)
	clock := clocktest.New()
	expirer := NewExpirer(nil, clock, &log.Logger{Handler: memory.New()}, metric.Discard())
	expirer.DeleteAfter("t", 0, 9*time.Second, "a")
	clock.Jump(10 * time.Second)
	clock.Advance(8 * time.Second)
	expirer.expireDue()
	is.Equal(len(expirer.keys), 1)
}
