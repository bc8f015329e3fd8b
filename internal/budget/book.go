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
const Topic = "budgets"

// partition is this host's copy of one partition.
type partition struct {
	mutex  sync.Mutex
	ledger *ledger
	next   int64 // offset to read on from; negative before the first listing
}

// book reads and writes takings.
type book struct {
	store  store.Store
	writer *store.Writer
	clock  clockwork.Clock
	holder string
	parts  []*partition
	// credit is called once for each entry of this host when it is read back,
	// whether or not somebody still waits for it.
	credit func(program string, held int)

	mutex  sync.Mutex
	serial int64
	open   map[int64]bool      // entries of this host that have not been read back
	keys   map[string][]string // of this host's entries, by program
	expiry *store.Expiry
}

func newBook(parts Parts, credit func(program string, held int)) *book {
	book := &book{
		store: parts.Store, writer: parts.Writer, expiry: parts.Expiry, clock: parts.Clock, holder: parts.Holder, credit: credit,
		open: make(map[int64]bool), keys: make(map[string][]string),
	}
	for range parts.Partitions {
		book.parts = append(book.parts, &partition{ledger: newLedger(), next: -1})
	}
	return book
}

func (book *book) partOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(len(book.parts)))
}

// take writes an entry and reads it back.
func (book *book) take(ctx context.Context, program string, budget, tokens int) error {
	number := book.partOf(program)
	book.mutex.Lock()
	book.serial++
	serial := book.serial
	book.open[serial] = true
	key := fmt.Sprintf("%s|%s|%d", program, book.holder, serial)
	book.keys[program] = append(book.keys[program], key)
	book.mutex.Unlock()
	value, err := codec.Marshal(entry{
		Program: program, Holder: book.holder, Budget: budget, Tokens: tokens, Written: book.clock.Now().UnixMilli(), Serial: serial,
	})
	if err != nil {
		return err
	}
	offset, err := book.writer.Append(ctx, Topic, number, store.Record{Key: key, Value: value})
	if err != nil {
		return err
	}
	return book.readTo(ctx, number, offset)
}

// readTo reads up to an own entry.
func (book *book) readTo(ctx context.Context, number int, offset int64) error {
	part := book.parts[number]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	for part.next <= offset {
		if err := book.read(ctx, number, part, offset); err != nil {
			return err
		}
	}
	return nil
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
	if len(page.Records) == 0 && page.End <= offset {
		return fmt.Errorf("partition %d ends at %d, expected an entry at %d", number, page.End, offset)
	}
	part.next = page.Next
	return part.ledger.fold(page.Records, page.Next, book.settle)
}

// list starts a partition anew from the newest records.
func (book *book) list(ctx context.Context, number int, part *partition) error {
	records, end, err := store.ListAll(ctx, book.store, Topic, number)
	if err != nil {
		return err
	}
	fresh := newLedger()
	if err := fresh.fold(records, end, book.settle); err != nil {
		return err
	}
	part.ledger, part.next = fresh, end
	return nil
}

// settle credits an own entry the first time that it is read.
func (book *book) settle(one entry, held int) {
	if one.Holder != book.holder {
		return
	}
	book.mutex.Lock()
	first := book.open[one.Serial]
	delete(book.open, one.Serial)
	book.mutex.Unlock()
	if first {
		book.credit(one.Program, held)
	}
}

// known returns what is known of a program without reading.
func (book *book) known(program string) (taken int, holders []string) {
	part := book.parts[book.partOf(program)]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	return part.ledger.taken(program), part.ledger.holders(program, book.holder)
}

// drop has this host's entries of a program that is over dropped.
func (book *book) drop(program string) {
	book.mutex.Lock()
	keys := book.keys[program]
	delete(book.keys, program)
	book.mutex.Unlock()
	if len(keys) > 0 {
		book.expiry.Drop(Topic, book.partOf(program), 0, keys...)
	}
}

// Over picks the keys of entries so old that their programs are over.
func Over(records []store.Record, now time.Time) []string {
	var keys []string
	for _, record := range records {
		var one entry
		if err := codec.Unmarshal(record.Value, &one); err == nil && now.Sub(time.UnixMilli(one.Written)) > ledgerTime {
			keys = append(keys, record.Key)
		}
	}
	return keys
}

// forget drops programs that are over from memory.
func (book *book) forget(before time.Time) {
	for _, part := range book.parts {
		part.mutex.Lock()
		part.ledger.forget(before)
		part.mutex.Unlock()
	}
}
