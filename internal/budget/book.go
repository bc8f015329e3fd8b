package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Topic holds the takings.
const Topic = "keyed.budgets"

// partition is this host's copy of one partition.
type partition struct {
	mutex  sync.Mutex
	ledger *ledger
	next   int64         // offset to read on from; negative before the first listing
	own    map[int64]int // what holds of this host's entries, by offset
}

// book reads and writes takings.
type book struct {
	store  store.Store
	writer *store.Writer
	clock  clockwork.Clock
	holder string
	parts  []*partition

	mutex  sync.Mutex
	serial int64
}

func newBook(reading store.Store, writer *store.Writer, clock clockwork.Clock, holder string, partitions int) *book {
	book := &book{store: reading, writer: writer, clock: clock, holder: holder}
	for range partitions {
		book.parts = append(book.parts, &partition{ledger: newLedger(), next: -1, own: make(map[int64]int)})
	}
	return book
}

func (book *book) partOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(len(book.parts)))
}

// take writes an entry and returns how much of it holds.
func (book *book) take(ctx context.Context, program string, budget, tokens int) (int, error) {
	number := book.partOf(program)
	value, err := codec.Marshal(entry{Program: program, Holder: book.holder, Budget: budget, Tokens: tokens, Written: book.clock.Now().UnixMilli()})
	if err != nil {
		return 0, err
	}
	book.mutex.Lock()
	book.serial++
	key := fmt.Sprintf("%s|%s|%d", program, book.holder, book.serial)
	book.mutex.Unlock()
	offset, err := book.writer.Append(ctx, Topic, number, store.Record{Key: key, Value: value})
	if err != nil {
		return 0, err
	}
	return book.held(ctx, number, offset)
}

// held reads up to an own entry and returns how much of it holds.
func (book *book) held(ctx context.Context, number int, offset int64) (int, error) {
	part := book.parts[number]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	for part.next <= offset {
		if err := book.read(ctx, number, part, offset); err != nil {
			return 0, err
		}
	}
	held := part.own[offset]
	delete(part.own, offset)
	return held, nil
}

// read brings a partition up to date. The caller holds its mutex.
func (book *book) read(ctx context.Context, number int, part *partition, offset int64) error {
	if part.next < 0 {
		return book.list(ctx, number, part)
	}
	page, err := book.store.Read(ctx, store.Read{Topic: Topic, Part: number, From: part.next})
	if errors.Is(err, store.ErrTrimmed) {
		part.next = -1
		return nil
	}
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		part.next = record.Offset + 1
		if record.Dropped() {
			continue
		}
		var each entry
		if err := codec.Unmarshal(record.Value, &each); err != nil {
			return fmt.Errorf("decode taking at offset %d: %w", record.Offset, err)
		}
		held := part.ledger.apply(each)
		if each.Holder == book.holder {
			part.own[record.Offset] = held
		}
	}
	if len(page.Records) == 0 && page.End <= offset {
		return fmt.Errorf("partition %d ends at %d, expected an entry at %d", number, page.End, offset)
	}
	return nil
}

// list starts a partition anew from the newest records.
func (book *book) list(ctx context.Context, number int, part *partition) error {
	records, end, err := store.ListAll(ctx, book.store, Topic, number)
	if err != nil {
		return err
	}
	fresh := newLedger()
	own := make(map[int64]int)
	if err := fresh.fold(records, end, book.holder, own); err != nil {
		return err
	}
	part.ledger, part.next, part.own = fresh, end, own
	return nil
}

// known returns what is known of a program without reading.
func (book *book) known(program string) (taken int, holders []string) {
	part := book.parts[book.partOf(program)]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	return part.ledger.taken(program), part.ledger.holders(program, book.holder)
}

// forget drops programs that are over from memory.
func (book *book) forget(before time.Time) {
	for _, part := range book.parts {
		part.mutex.Lock()
		part.ledger.forget(before)
		part.mutex.Unlock()
	}
}
