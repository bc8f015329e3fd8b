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

// scriptedStore records appends and responds to them as the test defines.
type scriptedStore struct {
	mutex   sync.Mutex
	batches []Append
	respond func(call int) error
	delay   time.Duration
}

func (store *scriptedStore) Append(ctx context.Context, batch Append) (int64, error) {
	store.mutex.Lock()
	store.batches = append(store.batches, batch)
	call := len(store.batches)
	delay := store.delay
	store.mutex.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if store.respond == nil {
		return 7, nil
	}
	return 7, store.respond(call)
}

func (store *scriptedStore) Read(context.Context, Read) (Page, error)    { return Page{}, nil }
func (store *scriptedStore) List(context.Context, List) (Listing, error) { return Listing{}, nil }

func (store *scriptedStore) calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return len(store.batches)
}

var (
	errReset      = errors.New("connection reset")
	discardLogger = &log.Logger{Handler: discard.Default}
)

// TestWriterRepeats guards against appending a batch twice: a batch that is
// repeated after a failed call must keep its sequence number.
func TestWriterRepeats(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{respond: func(call int) error {
		if call < 3 {
			return errReset
		}
		return nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, store, clockwork.NewRealClock(), discardLogger, "h/1")
	for number := range 2 {
		offset, err := writer.Append(context.Background(), "t", 0, Record{Key: "k", Value: []byte{byte(number)}})
		is.NoErr(err)
		is.Equal(offset, int64(7))
	}
	var sequences []int64
	for _, batch := range store.batches {
		sequences = append(sequences, batch.Sequence)
	}
	is.Equal(sequences, []int64{0, 0, 0, 1})
}

// TestWriterBatches checks that queued records are appended in one batch, and that
// each append gets its own offset.
func TestWriterBatches(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{delay: 50 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, store, clockwork.NewRealClock(), discardLogger, "h/1")
	var pending []PendingAppend
	for range 20 {
		queued, err := writer.Queue("t", 0, Record{Key: "k", Value: []byte("v")})
		is.NoErr(err)
		pending = append(pending, queued)
	}
	last := int64(0)
	for _, queued := range pending {
		offset, err := queued.Wait(context.Background())
		is.NoErr(err)
		last = max(last, offset)
	}
	is.True(store.calls() <= 3)
	is.True(last > 7)
}

// TestWriterFollowsSequence guards against a writer that is stuck after the store
// has lost batches: a batch out of sequence is appended with the number that the
// store expects, and later batches continue from there.
func TestWriterFollowsSequence(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{respond: func(call int) error {
		if call == 2 {
			return &SequenceError{Expected: 5}
		}
		return nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, store, clockwork.NewRealClock(), discardLogger, "h/1")
	for range 3 {
		_, err := writer.Append(context.Background(), "t", 0, Record{Key: "k", Value: []byte("v")})
		is.NoErr(err)
	}
	var sequences []int64
	for _, batch := range store.batches {
		sequences = append(sequences, batch.Sequence)
	}
	is.Equal(sequences, []int64{0, 1, 5, 6})
}

// TestWriterBoundsBatches guards against batches that exceed their size limit
// because of the appends queued behind the first one.
func TestWriterBoundsBatches(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{delay: 20 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, store, clockwork.NewRealClock(), discardLogger, "h/1")
	var pending []PendingAppend
	for range 8 {
		queued, err := writer.Queue("t", 0, Record{Key: "k", Value: make([]byte, batchBytes*2/3)})
		is.NoErr(err)
		pending = append(pending, queued)
	}
	for _, queued := range pending {
		_, err := queued.Wait(context.Background())
		is.NoErr(err)
	}
	for _, batch := range store.batches {
		size := 0
		for _, record := range batch.Records {
			size += len(record.Value)
		}
		is.True(size <= batchBytes)
	}
	is.Equal(store.calls(), 8)
}

// TestWriterRejectedBatch checks that a batch which the store rejects is not repeated.
func TestWriterRejectedBatch(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{respond: func(int) error { return ErrFull }}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := NewWriter(ctx, store, clockwork.NewRealClock(), discardLogger, "h/1")
	_, err := writer.Append(context.Background(), "t", 0, Record{Key: "k", Value: []byte("v")})
	is.True(errors.Is(err, ErrFull))
	is.Equal(store.calls(), 1)
}

// TestFailover guards against calls that fail or hang although another path
// reaches the store, and against relayed calls while the direct path works.
func TestFailover(t *testing.T) {
	healthy := func(int) error { return nil }
	broken := func(int) error { return errReset }
	tests := []struct {
		name          string
		direct, relay func(int) error
		delay         time.Duration // of direct responses
		fast          bool          // the relay responds with low latency
		served        bool
		relayed       bool
		limit         time.Duration
	}{
		{"direct path works", healthy, healthy, 0, true, true, false, 50 * time.Millisecond},
		{"direct path fails", broken, healthy, 0, true, true, true, 50 * time.Millisecond},
		{"direct path does not respond", healthy, healthy, time.Minute, true, true, true, 300 * time.Millisecond},
		{"all paths are slow", healthy, healthy, 200 * time.Millisecond, false, true, false, 300 * time.Millisecond},
		{"an error response of the store is not retried on another path", func(int) error { return ErrTrimmed }, healthy, 0, true, false, false, 50 * time.Millisecond},
		{"both paths fail", broken, broken, 0, true, false, true, 100 * time.Millisecond},
	}
	for _, test := range tests {
		is := is.New(t)
		direct, relay := &scriptedStore{respond: test.direct, delay: test.delay}, &scriptedStore{respond: test.relay}
		failover := NewFailover(direct, func() []Path { return []Path{{Store: relay, Fast: test.fast}} }, clockwork.NewRealClock(), discardLogger)
		start := time.Now()
		_, err := failover.Append(context.Background(), Append{Topic: "t"})
		is.Equal(err == nil, test.served)         // test.name
		is.Equal(relay.calls() > 0, test.relayed) // test.name
		is.True(time.Since(start) < test.limit)   // test.name
	}
}

// TestStalledPath guards against further calls on a stalled path: a direct call
// that takes long marks the path as failed while it is still in flight, and the
// late response to that call does not clear the mark.
func TestStalledPath(t *testing.T) {
	is := is.New(t)
	direct := &scriptedStore{delay: 500 * time.Millisecond}
	failover := NewFailover(direct, func() []Path { return nil }, clockwork.NewRealClock(), discardLogger)
	is.True(failover.Reachable())
	done := make(chan error, 1)
	go func() {
		_, err := failover.Append(context.Background(), Append{Topic: "t"})
		done <- err
	}()
	time.Sleep(minStallTimeout + 100*time.Millisecond)
	is.True(!failover.Reachable())
	is.NoErr(<-done)
	is.True(!failover.DirectReachable()) // the response belongs to a call from before the stall
	direct.mutex.Lock()
	direct.delay = 0
	direct.mutex.Unlock()
	_, err := failover.Append(context.Background(), Append{Topic: "t"})
	is.NoErr(err)
	is.True(failover.DirectReachable())
}

// TestHealthySince checks that the store counts as healthy while any path
// reaches it.
func TestHealthySince(t *testing.T) {
	is := is.New(t)
	direct, relay := &scriptedStore{respond: func(int) error { return errReset }}, &scriptedStore{}
	paths := []Path{{Store: relay}}
	failover := NewFailover(direct, func() []Path { return paths }, clockwork.NewRealClock(), discardLogger)
	_, err := failover.Append(context.Background(), Append{Topic: "t"})
	is.NoErr(err)
	_, healthy := failover.HealthySince()
	is.True(healthy)
	paths = nil
	_, err = failover.Append(context.Background(), Append{Topic: "t"})
	is.True(err != nil)
	_, healthy = failover.HealthySince()
	is.True(!healthy)
}

// TestShortCallerDeadline guards against a store that counts as unreachable
// because a caller with a short deadline gave up on it while it was slow.
func TestShortCallerDeadline(t *testing.T) {
	is := is.New(t)
	direct := &scriptedStore{}
	failover := NewFailover(direct, func() []Path { return nil }, clockwork.NewRealClock(), discardLogger)
	_, err := failover.Append(context.Background(), Append{Topic: "t"})
	is.NoErr(err)
	before, healthy := failover.HealthySince()
	is.True(healthy)
	direct.mutex.Lock()
	direct.delay = 60 * time.Millisecond
	direct.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = failover.Append(ctx, Append{Topic: "t"})
	is.True(err != nil)
	after, healthy := failover.HealthySince()
	is.True(healthy)
	is.Equal(after, before)
}
