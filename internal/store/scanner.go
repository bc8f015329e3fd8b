package store

import (
	"context"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Scanner reads the newest record of each key of a partition, page by page in the order of
// the keys. It is not safe for concurrent use.
type Scanner struct {
	store   Store
	list    List
	end     int64
	started bool
	done    bool
}

// NewScanner returns a scanner at the first key of a partition.
func NewScanner(store Store, topic string, partition int) *Scanner {
	return &Scanner{store: store, list: List{Topic: topic, Partition: partition, Bulk: true}}
}

// Next returns the next page. After an error it may be called again for the same page.
func (scanner *Scanner) Next(ctx context.Context) ([]Record, error) {
	listing, err := scanner.store.List(ctx, scanner.list)
	if err != nil {
		return nil, err
	}
	if !scanner.started {
		scanner.started, scanner.end = true, listing.End
	}
	if !listing.More || len(listing.Records) == 0 {
		scanner.done = true
		return listing.Records, nil
	}
	next := pageEnd(listing.Records[len(listing.Records)-1].Key)
	if next == scanner.list.After {
		return nil, fmt.Errorf("listing of topic %q does not go on after key %q", scanner.list.Topic, next)
	}
	scanner.list.After = next
	return listing.Records, nil
}

// Done reports whether the last page has been read.
func (scanner *Scanner) Done() bool { return scanner.done }

// End returns the offset from which to read on after the last page. Records at or after
// that offset may have been in a page already.
func (scanner *Scanner) End() int64 { return scanner.end }

// Scan calls visit with each page of a partition, and returns the offset from which to
// read on. A visit that keeps no records needs the memory for one page only.
func Scan(ctx context.Context, store Store, topic string, partition int, visit func([]Record)) (end int64, err error) {
	scanner := NewScanner(store, topic, partition)
	for !scanner.Done() {
		records, err := scanner.Next(ctx)
		if err != nil {
			return 0, err
		}
		visit(records)
	}
	return scanner.End(), nil
}

// ListAll returns all records of a partition, and the offset from which to read on. It is
// meant for small topics; Scan does not hold them all.
func ListAll(ctx context.Context, store Store, topic string, partition int) ([]Record, int64, error) {
	var records []Record
	end, err := Scan(ctx, store, topic, partition, func(page []Record) { records = append(records, page...) })
	return records, end, err
}

// pageEnd returns the key after which a listing continues. A key that is not UTF-8 does
// not survive the encoding of a page, so the listing continues after all keys that
// differ in the replaced bytes only.
func pageEnd(last string) string {
	if prefix, _, replaced := strings.Cut(last, string(utf8.RuneError)); replaced {
		return prefix + "\xff\xff\xff\xff"
	}
	return last
}
