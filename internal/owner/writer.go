// Package owner runs the program state machine of a host. It writes and reads
// the ledger, stores and loads history, replicates turns between hosts, and
// delivers the results of calls to their callers.
package owner

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// batchWriter appends items to a stream in order and in batches. It repeats an
// append whose response was lost, so readers must deduplicate items.
type batchWriter[T any] struct {
	appender Appender
	clock    clockwork.Clock
	metrics  *metric.Metrics
	stream   string
	interval time.Duration
	encode   func([]T) ([]byte, error)
	// onAppended is called with the position of each append.
	onAppended func(items []T, position Position)
	queue      chan T
}

// Position is the location of items in a stream. Preceding is the number of
// items that precede them in the append at the offset.
type Position struct {
	Offset    int64 `msgpack:"o"`
	Preceding int   `msgpack:"f"`
}

// Appender appends an encoded batch of items to a stream.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (Position, error)
}

// LogAppender is an Appender that writes to the log without a merger.
type LogAppender struct{ Log platform.Log }

// Append implements Appender.
func (logAppender LogAppender) Append(ctx context.Context, stream string, data []byte) (Position, error) {
	offset, err := logAppender.Log.Append(ctx, stream, data)
	return Position{Offset: offset}, err
}

const (
	writerQueueSize  = 32768
	maxBatchItems    = 2000                   // items per append
	minAppendBackoff = 100 * time.Millisecond // delay after the first failed append
	maxAppendBackoff = 2 * time.Second
)

func newBatchWriter[T any](appender Appender, clock clockwork.Clock, metrics *metric.Metrics, stream string,
	interval time.Duration, encode func([]T) ([]byte, error), onAppended func([]T, Position)) *batchWriter[T] {
	return &batchWriter[T]{
		appender: appender, clock: clock, metrics: metrics, stream: stream, interval: interval,
		encode: encode, onAppended: onAppended, queue: make(chan T, writerQueueSize),
	}
}

// write queues an item and reports false if the queue is full.
func (writer *batchWriter[T]) write(item T) bool {
	select {
	case writer.queue <- item:
		return true
	default:
		return false
	}
}

// run appends batches until the context is done. It waits at least the interval
// between two appends, which bounds the append rate of a host. An item that
// arrives later than that is written at once.
func (writer *batchWriter[T]) run(ctx context.Context) {
	for {
		var items []T
		select {
		case <-ctx.Done():
			return
		case item := <-writer.queue:
			items = writer.drain(item)
		}
		writer.append(ctx, items)
		select {
		case <-ctx.Done():
			return
		case <-writer.clock.After(writer.interval):
		}
	}
}

func (writer *batchWriter[T]) drain(first T) []T {
	items := []T{first}
	for len(items) < maxBatchItems {
		select {
		case item := <-writer.queue:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}

func (writer *batchWriter[T]) append(ctx context.Context, items []T) {
	data, err := writer.encode(items)
	if err != nil {
		writer.metrics.Count("append_encode_failed")
		return
	}
	backoff := minAppendBackoff
	for ctx.Err() == nil {
		started := writer.clock.Now()
		position, err := writer.appender.Append(ctx, writer.stream, data)
		if err == nil {
			writer.metrics.ObserveLatency("append", writer.clock.Now().Sub(started))
			if writer.onAppended != nil {
				writer.onAppended(items, position)
			}
			return
		}
		writer.metrics.CountRetry("append")
		select {
		case <-ctx.Done():
		case <-writer.clock.After(backoff):
		}
		backoff = min(maxAppendBackoff, backoff*2)
	}
}

// loadHistory follows the links of the history entries backwards from a
// location and returns the turns, oldest first.
func loadHistory(ctx context.Context, log platform.Log, stream string, head ledger.Location) ([]ledger.Entry, error) {
	var reversed []ledger.Entry
	for location := head; !location.IsZero(); {
		page, err := log.Read(ctx, stream, location.Offset, 1, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 || page.Entries[0].Offset != location.Offset {
			return nil, expiredError(stream, location.Offset)
		}
		entry, err := ledger.DecodeEntry(page.Entries[0].Data, location)
		if err != nil {
			return nil, err
		}
		earlier := entry.Earlier
		entry.Earlier = nil
		reversed = append(reversed, entry)
		for index := len(earlier) - 1; index >= 0; index-- {
			reversed = append(reversed, earlier[index])
		}
		if len(earlier) > 0 {
			break
		}
		location = entry.Prev
	}
	entries := make([]ledger.Entry, 0, len(reversed))
	for index := len(reversed) - 1; index >= 0; index-- {
		entries = append(entries, reversed[index])
	}
	return entries, nil
}
