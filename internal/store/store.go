// Package store is the scheduler's interface to the platform's store: topics of
// keyed records, split into partitions, that keep the newest record of each key.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a key with its value. A record without a value deletes its key.
type Record struct {
	Key    string `msgpack:"k"`
	Value  []byte `msgpack:"v,omitempty"`
	Offset int64  `msgpack:"o,omitempty"`
}

// IsTombstone reports whether the record deletes its key.
func (record Record) IsTombstone() bool { return len(record.Value) == 0 }

// Append is a batch of records for one partition. The batches of a producer have
// consecutive sequence numbers, so that the store appends a repeated batch only
// once.
type Append struct {
	Topic     string   `msgpack:"t"`
	Partition int      `msgpack:"p,omitempty"`
	Producer  string   `msgpack:"w,omitempty"`
	Sequence  int64    `msgpack:"s,omitempty"`
	Records   []Record `msgpack:"r"`
}

// Read requests the records of a partition, starting at an offset.
type Read struct {
	Topic     string        `msgpack:"t"`
	Partition int           `msgpack:"p,omitempty"`
	From      int64         `msgpack:"f,omitempty"`
	Wait      time.Duration `msgpack:"w,omitempty"` // long poll: how long the store waits for a record
}

// Page is the response to Read. Next is the offset of the next read.
type Page struct {
	Records []Record `msgpack:"r,omitempty"`
	Next    int64    `msgpack:"n,omitempty"`
	End     int64    `msgpack:"e,omitempty"`
}

// List requests the newest record of each key that sorts after a given key.
type List struct {
	Topic     string `msgpack:"t"`
	Partition int    `msgpack:"p,omitempty"`
	After     string `msgpack:"a,omitempty"`
	Bulk      bool   `msgpack:"-"` // one of many pages, for which no request waits for long
}

// Patience returns how much longer a listing may take than a short call. A page has up to a
// megabyte, for which a small host needs a second beside its requests.
func (list List) Patience() time.Duration {
	if list.Bulk {
		return bulkPatience
	}
	return 0
}

const bulkPatience = 2 * time.Second

// Listing is the response to List, ordered by key.
type Listing struct {
	Records []Record `msgpack:"r,omitempty"`
	More    bool     `msgpack:"m,omitempty"`
	End     int64    `msgpack:"e,omitempty"`
}

// Store is the platform's store.
type Store interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, batch Append) (int64, error)
	// Read returns records starting at an offset, and waits for one if there is none.
	Read(ctx context.Context, read Read) (Page, error)
	// List returns the first keys after a given key, in order.
	List(ctx context.Context, list List) (Listing, error)
}

// Errors that are responses of the store. Any other error means that the store
// was not reached or did not serve the call.
var (
	ErrTrimmed = errors.New("records have expired")
	ErrFull    = errors.New("store is full")
	ErrInvalid = errors.New("store rejected the call")
)

// ErrMemory reports that this host has no memory for a call. It is not a response of the
// store, and no failure of the path to it.
var ErrMemory = errors.New("no memory for a call of the store")

// SequenceError reports a batch whose sequence number does not follow the
// producer's last one.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (err *SequenceError) Error() string {
	return fmt.Sprintf("batch is out of sequence, expected number %d", err.Expected)
}

// IsResponse reports whether the store responded to a call that returned err,
// with success or with an error of its own.
func IsResponse(err error) bool {
	var sequenceError *SequenceError
	return err == nil || errors.Is(err, ErrTrimmed) || errors.Is(err, ErrFull) || errors.Is(err, ErrInvalid) || errors.As(err, &sequenceError)
}
