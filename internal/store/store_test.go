package store

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// scripted answers appends as told and notes them.
type scripted struct {
	mutex   sync.Mutex
	batches []Append
	answer  func(call int) error
	delay   time.Duration
}

func (scripted *scripted) Append(ctx context.Context, batch Append) (int64, error) {
	scripted.mutex.Lock()
	scripted.batches = append(scripted.batches, batch)
	call := len(scripted.batches)
	delay := scripted.delay
	scripted.mutex.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if scripted.answer == nil {
		return 7, nil
	}
	return 7, scripted.answer(call)
}

func (scripted *scripted) Read(context.Context, Read) (Page, error)    { return Page{}, nil }
func (scripted *scripted) List(context.Context, List) (Listing, error) { return Listing{}, nil }

func (scripted *scripted) calls() int {
	scripted.mutex.Lock()
	defer scripted.mutex.Unlock()
	return len(scripted.batches)
}

var (
	errReset = errors.New("connection reset")
	quiet    = &log.Logger{Handler: discard.Default}
)

// TestWriterRepeats checks that a batch keeps its number until it is answered.
func TestWriterRepeats(t *testing.T) {
	is := is.New(t)
	target := &scripted{answer: func(call int) error {
		if call < 3 {
			return errReset
		}
		return nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, target, clockwork.NewRealClock(), quiet, "h/1")
	for number := range 2 {
		offset, err := writer.Append(context.Background(), "t", 0, Record{Key: "k", Value: []byte{byte(number)}})
		is.NoErr(err)
		is.Equal(offset, int64(7))
	}
	var sequences []int64
	for _, batch := range target.batches {
		sequences = append(sequences, batch.Sequence)
	}
	is.Equal(sequences, []int64{0, 0, 0, 1})
}

// TestWriterGathers checks that records that wait go out together, each with
// its own offset.
func TestWriterGathers(t *testing.T) {
	is := is.New(t)
	target := &scripted{delay: 50 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, target, clockwork.NewRealClock(), quiet, "h/1")
	var waiting []Queued
	for range 20 {
		queued, err := writer.Queue("t", 0, Record{Key: "k", Value: []byte("v")})
		is.NoErr(err)
		waiting = append(waiting, queued)
	}
	last := int64(0)
	for _, queued := range waiting {
		offset, err := queued.Wait(context.Background())
		is.NoErr(err)
		last = max(last, offset)
	}
	is.True(target.calls() <= 3)
	is.True(last > 7)
}

// TestWriterFollowsSequence checks that a batch out of sequence is appended
// under the number that the store expects, and that later ones follow it.
func TestWriterFollowsSequence(t *testing.T) {
	is := is.New(t)
	target := &scripted{answer: func(call int) error {
		if call == 2 {
			return &SequenceError{Expected: 5}
		}
		return nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, target, clockwork.NewRealClock(), quiet, "h/1")
	for range 3 {
		_, err := writer.Append(context.Background(), "t", 0, Record{Key: "k", Value: []byte("v")})
		is.NoErr(err)
	}
	var sequences []int64
	for _, batch := range target.batches {
		sequences = append(sequences, batch.Sequence)
	}
	is.Equal(sequences, []int64{0, 1, 5, 6})
}

// TestWriterBoundsBatches checks that no batch outgrows its size because of
// what waits behind it.
func TestWriterBoundsBatches(t *testing.T) {
	is := is.New(t)
	target := &scripted{delay: 20 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, target, clockwork.NewRealClock(), quiet, "h/1")
	var waiting []Queued
	for range 8 {
		queued, err := writer.Queue("t", 0, Record{Key: "k", Value: make([]byte, batchBytes*2/3)})
		is.NoErr(err)
		waiting = append(waiting, queued)
	}
	for _, queued := range waiting {
		_, err := queued.Wait(context.Background())
		is.NoErr(err)
	}
	for _, batch := range target.batches {
		size := 0
		for _, record := range batch.Records {
			size += len(record.Value)
		}
		is.True(size <= batchBytes)
	}
	is.Equal(target.calls(), 8)
}

// TestWriterRefuses checks that an answer of the store ends a batch.
func TestWriterRefuses(t *testing.T) {
	is := is.New(t)
	target := &scripted{answer: func(int) error { return ErrFull }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, target, clockwork.NewRealClock(), quiet, "h/1")
	_, err := writer.Append(context.Background(), "t", 0, Record{Key: "k", Value: []byte("v")})
	is.True(errors.Is(err, ErrFull))
	is.Equal(target.calls(), 1)
}

func TestFailover(t *testing.T) {
	healthy := func(int) error { return nil }
	broken := func(int) error { return errReset }
	tests := []struct {
		name          string
		direct, relay func(int) error
		delay         time.Duration // of direct answers
		fast          bool          // the relay answers quickly
		served        bool
		relayed       bool
		limit         time.Duration
	}{
		{"direct works", healthy, healthy, 0, true, true, false, 50 * time.Millisecond},
		{"direct fails", broken, healthy, 0, true, true, true, 50 * time.Millisecond},
		{"direct silent", healthy, healthy, time.Minute, true, true, true, 300 * time.Millisecond},
		{"all slow", healthy, healthy, 200 * time.Millisecond, false, true, false, 300 * time.Millisecond},
		{"store's own refusal is final", func(int) error { return ErrTrimmed }, healthy, 0, true, false, false, 50 * time.Millisecond},
		{"both fail", broken, broken, 0, true, false, true, 100 * time.Millisecond},
	}
	for _, test := range tests {
		is := is.New(t)
		direct, relay := &scripted{answer: test.direct, delay: test.delay}, &scripted{answer: test.relay}
		failover := NewFailover(direct, func() []Path { return []Path{{Store: relay, Fast: test.fast}} }, clockwork.NewRealClock(), quiet)
		begun := time.Now()
		_, err := failover.Append(context.Background(), Append{Topic: "t"})
		is.Equal(err == nil, test.served)         // test.name
		is.Equal(relay.calls() > 0, test.relayed) // test.name
		is.True(time.Since(begun) < test.limit)   // test.name
	}
}

// TestStalledPath checks that a direct call that takes long marks the path at
// once, and that an answer to a call from before does not clear the mark.
func TestStalledPath(t *testing.T) {
	is := is.New(t)
	direct := &scripted{delay: 500 * time.Millisecond}
	failover := NewFailover(direct, func() []Path { return nil }, clockwork.NewRealClock(), quiet)
	is.True(failover.Reachable())
	done := make(chan error, 1)
	go func() {
		_, err := failover.Append(context.Background(), Append{Topic: "t"})
		done <- err
	}()
	time.Sleep(stallAtLeast + 100*time.Millisecond)
	is.True(!failover.Reachable())
	is.NoErr(<-done)
	is.True(!failover.Reached()) // the answer is to a call from before the stall
	direct.mutex.Lock()
	direct.delay = 0
	direct.mutex.Unlock()
	_, err := failover.Append(context.Background(), Append{Topic: "t"})
	is.NoErr(err)
	is.True(failover.Reached())
}

// TestWellSince checks that a store that any path reaches is well.
func TestWellSince(t *testing.T) {
	is := is.New(t)
	direct, relay := &scripted{answer: func(int) error { return errReset }}, &scripted{}
	paths := []Path{{Store: relay}}
	failover := NewFailover(direct, func() []Path { return paths }, clockwork.NewRealClock(), quiet)
	_, err := failover.Append(context.Background(), Append{Topic: "t"})
	is.NoErr(err)
	_, well := failover.WellSince()
	is.True(well)
	paths = nil
	_, err = failover.Append(context.Background(), Append{Topic: "t"})
	is.True(err != nil)
	_, well = failover.WellSince()
	is.True(!well)
}

// TestHastyCaller replays callers with little time left on a slow store: they
// do not make the store count as lost.
func TestHastyCaller(t *testing.T) {
	is := is.New(t)
	direct := &scripted{}
	failover := NewFailover(direct, func() []Path { return nil }, clockwork.NewRealClock(), quiet)
	_, err := failover.Append(context.Background(), Append{Topic: "t"})
	is.NoErr(err)
	before, well := failover.WellSince()
	is.True(well)
	direct.mutex.Lock()
	direct.delay = 60 * time.Millisecond
	direct.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = failover.Append(ctx, Append{Topic: "t"})
	is.True(err != nil)
	after, well := failover.WellSince()
	is.True(well)
	is.Equal(after, before)
}
