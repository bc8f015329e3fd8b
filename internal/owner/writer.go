// Package owner is the shell round the program machine of a host: it writes
// and follows the ledger, stores and loads history, keeps replicas for other
// hosts, and connects callers with their calls.
package owner

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// groupWriter appends items to a stream in order, many to one append. An
// append whose answer is lost is repeated: readers drop what they have seen.
type groupWriter[T any] struct {
	appender Appender
	clock    clockwork.Clock
	metrics  *metric.Metrics
	stream   string
	interval time.Duration
	encode   func([]T) ([]byte, error)
	// stored is told the position of each append.
	stored func(items []T, position Position)
	ring   chan T
}

// Position is where the items of an append stand: First is the number of items
// before them in the append at the offset.
type Position struct {
	Offset int64 `msgpack:"o"`
	First  int   `msgpack:"f"`
}

// Appender adds an encoded list of items to a stream.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (Position, error)
}

// Direct appends to the log itself.
type Direct struct{ Log platform.Log }

// Append implements Appender.
func (direct Direct) Append(ctx context.Context, stream string, data []byte) (Position, error) {
	offset, err := direct.Log.Append(ctx, stream, data)
	return Position{Offset: offset}, err
}

const (
	writerRing    = 32768
	maxBatch      = 2000                   // items of one append
	appendBackoff = 100 * time.Millisecond // first pause after a failed append
	appendLimit   = 2 * time.Second        // longest pause
)

func newGroupWriter[T any](appender Appender, clock clockwork.Clock, metrics *metric.Metrics, stream string,
	interval time.Duration, encode func([]T) ([]byte, error), stored func([]T, Position)) *groupWriter[T] {
	return &groupWriter[T]{
		appender: appender, clock: clock, metrics: metrics, stream: stream, interval: interval,
		encode: encode, stored: stored, ring: make(chan T, writerRing),
	}
}

// write queues an item. It reports false if the ring is full.
func (writer *groupWriter[T]) write(item T) bool {
	select {
	case writer.ring <- item:
		return true
	default:
		return false
	}
}

// run appends until the context ends. Between appends at least the interval
// passes, which bounds the appends a second of one host; an item that arrives
// after a quiet interval is written at once.
func (writer *groupWriter[T]) run(ctx context.Context) {
	for {
		var items []T
		select {
		case <-ctx.Done():
			return
		case item := <-writer.ring:
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

func (writer *groupWriter[T]) drain(first T) []T {
	items := []T{first}
	for len(items) < maxBatch {
		select {
		case item := <-writer.ring:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}

func (writer *groupWriter[T]) append(ctx context.Context, items []T) {
	data, err := writer.encode(items)
	if err != nil {
		writer.metrics.Count("append_encode_failed")
		return
	}
	backoff := appendBackoff
	for ctx.Err() == nil {
		started := writer.clock.Now()
		position, err := writer.appender.Append(ctx, writer.stream, data)
		if err == nil {
			writer.metrics.Latency("append", writer.clock.Now().Sub(started))
			if writer.stored != nil {
				writer.stored(items, position)
			}
			return
		}
		writer.metrics.Retried("append")
		select {
		case <-ctx.Done():
		case <-writer.clock.After(backoff):
		}
		backoff = min(appendLimit, backoff*2)
	}
}

// loadHistory reads the chain of turns that ends at a location, oldest first.
func loadHistory(ctx context.Context, log platform.Log, stream string, head ledger.Location) ([]ledger.Entry, error) {
	var reversed []ledger.Entry
	for location := head; !location.IsZero(); {
		page, err := log.Read(ctx, stream, location.Offset, 1, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 || page.Entries[0].Offset != location.Offset {
			return nil, errExpired(stream, location.Offset)
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
