package budget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/store"
)

const (
	maxLoads         = 2 // of a host at a time; each holds one page and the entries of one program
	loadPageTimeout  = 8 * time.Second
	loadRetry        = 100 * time.Millisecond // first delay after a failed page
	maxLoadRetry     = time.Second
	loadStallTimeout = 30 * time.Second // without a page, after which a load is abandoned
)

// ErrLoading reports that this host has not read the entries of the program yet.
var ErrLoading = errors.New("entries of the budget are being loaded from the store")

// errLoadUnneeded ends a load that has not begun before the last waiting request ended.
var errLoadUnneeded = errors.New("no request waits for the entries any more")

// load is the listing of a partition by this host. It goes on when a request that waits
// for it ends, so that the next one need not begin again.
type load struct {
	waiting atomic.Int32
	done    chan struct{}
	err     error // valid once done is closed
}

// awaitLoad waits until a partition has been loaded, and starts the load if necessary. The
// error wraps ErrLoading if the context ends before.
func (entryLog *entryLog) awaitLoad(ctx context.Context, number int) error {
	for {
		load := entryLog.joinLoad(number)
		select {
		case <-load.done:
			if load.err != errLoadUnneeded {
				return load.err
			}
		case <-ctx.Done():
			load.waiting.Add(-1)
			return fmt.Errorf("partition %d: %w: %w", number, ErrLoading, ctx.Err())
		}
	}
}

// joinLoad returns the load of a partition with one more waiting request.
func (entryLog *entryLog) joinLoad(number int) *load {
	partition := entryLog.partitions[number]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if partition.loading == nil {
		partition.loading = &load{done: make(chan struct{})}
		go entryLog.runLoad(number, partition.loading)
	}
	partition.loading.waiting.Add(1)
	return partition.loading
}

// loaded reports whether the entries of a program have been read.
func (entryLog *entryLog) loaded(program string) bool {
	return entryLog.partitions[entryLog.partitionOf(program)].nextOffset() >= 0
}

// runLoad loads a partition once fewer than maxLoads others are being loaded.
func (entryLog *entryLog) runLoad(number int, load *load) {
	entryLog.awaitSettled(entryLog.ctx)
	select {
	case entryLog.loads <- struct{}{}:
		load.err = errLoadUnneeded
		if load.waiting.Load() > 0 {
			load.err = entryLog.load(entryLog.ctx, number)
		}
		<-entryLog.loads
	case <-entryLog.ctx.Done():
		load.err = entryLog.ctx.Err()
	}
	partition := entryLog.partitions[number]
	partition.mutex.Lock()
	partition.loading = nil
	partition.mutex.Unlock()
	close(load.done)
}

// load replaces the ledger of a partition by one of the newest record of each key.
func (entryLog *entryLog) load(ctx context.Context, number int) error {
	start, bootTime := entryLog.clock.Now(), entryLog.bootTime()
	scanner := store.NewScanner(entryLog.store, Topic, number)
	fresh := newLedger()
	programs := store.NewGroups(func(records []store.Record) {
		fresh.fold(records, 0, scanner.End(), entryLog.visit, entryLog.skip)
	})
	pages := 0
	for ; !scanner.Done(); pages++ {
		records, err := entryLog.loadPage(ctx, scanner)
		if err != nil {
			entryLog.metrics.Count("budget_loads_failed")
			return fmt.Errorf("load partition %d: %w", number, err)
		}
		for _, record := range records {
			programs.Advance(record.Key)
			entries, _ := programs.At(keyPrefix(record.Key))
			*entries = append(*entries, record)
		}
		fresh.evict(start.Add(-programRetention))
	}
	programs.Finish()
	partition := entryLog.partitions[number]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	partition.ledger, partition.next = fresh, scanner.End()
	partition.readAt, partition.confirmedAt = start, max(partition.confirmedAt, bootTime)
	elapsed := entryLog.clock.Since(start)
	entryLog.metrics.ObserveLatency("budget_load", elapsed)
	entryLog.logger.WithFields(log.Fields{"part": number, "pages": pages, "programs": len(fresh.accounts), "elapsed_ms": elapsed.Milliseconds()}).Info("entries of budgets loaded")
	return nil
}

// loadPage reads the next page of a load, and repeats it after failures.
func (entryLog *entryLog) loadPage(ctx context.Context, scanner *store.Scanner) ([]store.Record, error) {
	start, delay := entryLog.clock.Now(), loadRetry
	for {
		pageCtx, cancel := context.WithTimeout(ctx, loadPageTimeout)
		records, err := scanner.Next(pageCtx)
		cancel()
		if err == nil || ctx.Err() != nil || entryLog.clock.Since(start) > loadStallTimeout {
			return records, err
		}
		entryLog.metrics.Count("budget_load_pages_repeated")
		select {
		case <-entryLog.clock.After(delay/2 + rand.N(delay)):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		delay = min(2*delay, maxLoadRetry)
	}
}

// keyPrefix returns the prefix that the keys of a program's entries have in common. A key is
// the program, the holder and the serial, of which only the program may contain a bar.
func keyPrefix(key string) string {
	serial := max(0, strings.LastIndexByte(key, '|'))
	if holder := strings.LastIndexByte(key[:serial], '|'); holder >= 0 {
		return key[:holder+1]
	}
	return key
}

// awaitLoaded waits until the entries of a program have been read, for at most a time. The
// error wraps ErrLoading if they have not, and is ErrStoreUnreachable if they cannot be.
func (allocator *Allocator) awaitLoaded(ctx context.Context, program string, wait time.Duration) error {
	if allocator.entryLog.loaded(program) {
		return nil
	}
	if !allocator.reachable() {
		return ErrStoreUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	allocator.metrics.Count("budget_load_waits")
	return allocator.entryLog.awaitLoad(ctx, allocator.entryLog.partitionOf(program))
}
