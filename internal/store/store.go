// Package store is what the scheduler needs of the platform's store: keyed,
// partitioned topics that keep the newest record of each key.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is a key with its value. A record without a value drops its key.
type Record struct {
	Key    string `msgpack:"k"`
	Value  []byte `msgpack:"v,omitempty"`
	Offset int64  `msgpack:"o,omitempty"`
}

// Dropped reports whether the record ends its key.
func (record Record) Dropped() bool { return len(record.Value) == 0 }

// Append is a batch of records for one partition. Batches of one producer are
// numbered without gaps, so that a repeated batch is appended once.
type Append struct {
	Topic    string   `msgpack:"t"`
	Part     int      `msgpack:"p,omitempty"`
	Producer string   `msgpack:"w,omitempty"`
	Sequence int64    `msgpack:"s,omitempty"`
	Records  []Record `msgpack:"r"`
}

// Read asks for the records of a partition from an offset on.
type Read struct {
	Topic string        `msgpack:"t"`
	Part  int           `msgpack:"p,omitempty"`
	From  int64         `msgpack:"f,omitempty"`
	Wait  time.Duration `msgpack:"w,omitempty"` // how long to wait for a record
}

// Page is the answer to Read. Next is the offset to continue from.
type Page struct {
	Records []Record `msgpack:"r,omitempty"`
	Next    int64    `msgpack:"n,omitempty"`
	End     int64    `msgpack:"e,omitempty"`
}

// List asks for the newest record of each key after a key.
type List struct {
	Topic string `msgpack:"t"`
	Part  int    `msgpack:"p,omitempty"`
	After string `msgpack:"a,omitempty"`
}

// Listing is the answer to List, ordered by key.
type Listing struct {
	Records []Record `msgpack:"r,omitempty"`
	More    bool     `msgpack:"m,omitempty"`
	End     int64    `msgpack:"e,omitempty"`
}

// Store is the platform's store.
type Store interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, batch Append) (int64, error)
	Read(ctx context.Context, read Read) (Page, error)
	List(ctx context.Context, list List) (Listing, error)
}

// Errors that are answers of the store. All others mean that it was not
// reached or did not serve the call.
var (
	ErrTrimmed = errors.New("records have expired")
	ErrFull    = errors.New("store is full")
	ErrInvalid = errors.New("store rejected the call")
)

// SequenceError reports a batch that does not follow the last one.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (err *SequenceError) Error() string {
	return fmt.Sprintf("batch is out of sequence, expected number %d", err.Expected)
}

// Answered reports whether an error is an answer of the store.
func Answered(err error) bool {
	var sequence *SequenceError
	return err == nil || errors.Is(err, ErrTrimmed) || errors.Is(err, ErrFull) || errors.Is(err, ErrInvalid) || errors.As(err, &sequence)
}

// ListAll reads the newest record of each key of a partition. The returned
// offset is where reading goes on; records from there on may be in the list.
func ListAll(ctx context.Context, store Store, topic string, part int) ([]Record, int64, error) {
	var records []Record
	var end int64
	after := ""
	for first := true; ; first = false {
		listing, err := store.List(ctx, List{Topic: topic, Part: part, After: after})
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = listing.End
		}
		records = append(records, listing.Records...)
		if !listing.More || len(listing.Records) == 0 {
			return records, end, nil
		}
		after = listing.Records[len(listing.Records)-1].Key
	}
}
