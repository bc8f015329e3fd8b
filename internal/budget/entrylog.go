package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Topic is the topic of the store with the budget entries of all hosts.
const Topic = "budgets"

// partition is this host's copy of one partition of the topic.
type partition struct {
	reading chan struct{} // has room for the one read of the store in progress
	mutex   sync.Mutex    // protects the fields below; never held during calls of the store
	ledger  *ledger
	next    int64     // offset of the next read; negative if the partition must be loaded first
	loading *load     // the load in progress, if any
	readAt  time.Time // all entries written before are in the ledger
	// confirmedAt is like readAt, by the clock that counts suspended time.
	confirmedAt time.Duration
}

// entryLog appends this host's entries to the store and folds the entries of all
// hosts.
type entryLog struct {
	ctx          context.Context // of the host
	store        store.Store
	writer       *store.Writer
	clock        clockwork.Clock
	logger       log.Interface
	metrics      *metric.Metrics
	holder       string
	partitions   []*partition
	awaitSettled func(ctx context.Context)
	loads        chan struct{} // has an element for each load in progress
	// credit is called once for each entry of this host when it is read back,
	// even if the request that appended it has given up.
	credit func(entry entry, granted int)
	// revoke is called when an entry takes a hold of this host that it holds ahead.
	revoke   func(program string, id HoldID)
	bootTime func() time.Duration

	mutex   sync.Mutex
	serial  int64
	pending map[int64]bool // serials of this host's entries that have not been read back
}

func newEntryLog(dependencies Dependencies, credit func(entry entry, granted int)) *entryLog {
	entryLog := &entryLog{
		ctx: dependencies.Context, awaitSettled: dependencies.AwaitSettled, loads: make(chan struct{}, maxLoads),
		store: dependencies.Store, writer: dependencies.Writer, clock: dependencies.Clock, logger: dependencies.Logger, metrics: dependencies.Metrics, holder: dependencies.Holder, credit: credit,
		pending: make(map[int64]bool), revoke: func(string, HoldID) {}, bootTime: dependencies.BootTime,
	}
	if entryLog.awaitSettled == nil {
		entryLog.awaitSettled = func(context.Context) {}
	}
	if entryLog.ctx == nil {
		entryLog.ctx = context.Background()
	}
	if entryLog.bootTime == nil {
		start := dependencies.Clock.Now()
		entryLog.bootTime = func() time.Duration { return dependencies.Clock.Since(start) }
	}
	for range dependencies.Partitions {
		entryLog.partitions = append(entryLog.partitions, &partition{reading: make(chan struct{}, 1), ledger: newLedger(), next: -1, confirmedAt: entryLog.bootTime() - ConfirmationTTL})
	}
	return entryLog
}

func (entryLog *entryLog) partitionOf(program string) int {
	return int(xxhash.Sum64String(program) % uint64(len(entryLog.partitions)))
}

// partitionName returns the name of a program's partition.
func (entryLog *entryLog) partitionName(program string) string {
	return fmt.Sprintf("%s/%d", Topic, entryLog.partitionOf(program))
}

// write appends an entry to the store and reads it back.
func (entryLog *entryLog) write(ctx context.Context, entry entry) error {
	return entryLog.append(ctx, entry, true)
}

// writeOnly appends an entry to the store. It reads the entry back only if its partition has
// been loaded; otherwise the load does.
func (entryLog *entryLog) writeOnly(ctx context.Context, entry entry) error {
	return entryLog.append(ctx, entry, entryLog.loaded(entry.Program))
}

func (entryLog *entryLog) append(ctx context.Context, entry entry, readBack bool) error {
	number := entryLog.partitionOf(entry.Program)
	record, serial, err := entryLog.record(entry)
	if err != nil {
		return err
	}
	start := entryLog.bootTime()
	pending, err := entryLog.queueRecord(number, record, serial)
	if err != nil {
		return err
	}
	if record.Offset, err = pending.Wait(ctx); err != nil {
		// Callers choose the ID of the program, so the store may reject any number of entries.
		if errors.Is(err, store.ErrInvalid) || errors.Is(err, store.ErrFull) {
			entryLog.forget(serial)
		}
		return err
	}
	if entryLog.foldNext(number, record, start) || !readBack {
		return nil
	}
	return entryLog.readThrough(ctx, number, record.Offset)
}

// queue queues an entry without waiting for the store.
func (entryLog *entryLog) queue(entry entry) (store.PendingAppend, error) {
	record, serial, err := entryLog.record(entry)
	if err != nil {
		return store.PendingAppend{}, err
	}
	return entryLog.queueRecord(entryLog.partitionOf(entry.Program), record, serial)
}

// queueRecord queues the record of a new entry. An entry for which the queue has no room
// is never written, so its serial is forgotten; otherwise each attempt would leave one
// while the store does not respond. Other entries may still be written after an error.
func (entryLog *entryLog) queueRecord(number int, record store.Record, serial int64) (store.PendingAppend, error) {
	pending, err := entryLog.writer.Queue(Topic, number, record)
	if err != nil {
		entryLog.forget(serial)
	}
	return pending, err
}

// forget removes the serial of an entry that has not been and will not be written.
func (entryLog *entryLog) forget(serial int64) {
	entryLog.mutex.Lock()
	defer entryLog.mutex.Unlock()
	delete(entryLog.pending, serial)
}

// queueWhenFree queues an entry once the queue has room.
func (entryLog *entryLog) queueWhenFree(ctx context.Context, entry entry) (store.PendingAppend, error) {
	record, serial, err := entryLog.record(entry)
	if err != nil {
		return store.PendingAppend{}, err
	}
	for {
		pending, err := entryLog.writer.Queue(Topic, entryLog.partitionOf(entry.Program), record)
		if !errors.Is(err, store.ErrQueueFull) {
			return pending, err
		}
		select {
		case <-entryLog.clock.After(queueRetryInterval):
		case <-ctx.Done():
			entryLog.forget(serial)
			return store.PendingAppend{}, ctx.Err()
		}
	}
}

// queueRetryInterval is the time in which the store responds to an append.
const queueRetryInterval = 10 * time.Millisecond

// record completes a new entry of this host, and returns its record and its serial.
func (entryLog *entryLog) record(entry entry) (store.Record, int64, error) {
	entryLog.mutex.Lock()
	entryLog.serial++
	serial := entryLog.serial
	entryLog.pending[serial] = true
	entryLog.mutex.Unlock()
	entry.Holder, entry.Written, entry.Serial = entryLog.holder, entryLog.clock.Now().UnixMilli(), serial
	value, err := codec.Marshal(entry)
	key := fmt.Sprintf("%s|%s|%d", entry.Program, entryLog.holder, serial)
	if err == nil {
		err = checkKeyLength(len(key))
	}
	if err != nil {
		entryLog.forget(serial)
	}
	return store.Record{Key: key, Value: value}, serial, err
}

// maxKeyBytes is the length of a key, in bytes, up to which the store accepts it.
const maxKeyBytes = 255

// checkKeyLength returns an error for a key that the store rejects. The key must not get
// there: the store would reject the entries of other programs in the same append as well.
func checkKeyLength(length int) error {
	if length > maxKeyBytes {
		return fmt.Errorf("key of a budget entry has %d bytes, expected at most %d: %w", length, maxKeyBytes, store.ErrInvalid)
	}
	return nil
}

// checkProgram returns an error if the ID of a program is too long for any entry.
func (entryLog *entryLog) checkProgram(program string) error {
	return checkKeyLength(len(program) + len(entryLog.holder) + len("||1"))
}

// foldNext folds an entry that this host began to append at a time, if it follows the
// last folded one and need not be read back.
func (entryLog *entryLog) foldNext(number int, record store.Record, start time.Duration) bool {
	partition := entryLog.partitions[number]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if partition.next != record.Offset {
		return false
	}
	partition.ledger.fold([]store.Record{record}, partition.next, record.Offset+1, entryLog.visit, entryLog.skip)
	partition.next = record.Offset + 1
	partition.confirmedAt = max(partition.confirmedAt, start)
	return true
}

// readThrough reads a partition until the record at the offset has been folded.
func (entryLog *entryLog) readThrough(ctx context.Context, number int, offset int64) error {
	partition := entryLog.partitions[number]
	select {
	case partition.reading <- struct{}{}:
		defer func() { <-partition.reading }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for partition.nextOffset() <= offset {
		if err := entryLog.readPage(ctx, number, offset); err != nil {
			return err
		}
	}
	return nil
}

// nextOffset returns the offset of the next read.
func (partition *partition) nextOffset() int64 {
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.next
}

// readPage folds the next page of a partition, or waits for the load of the
// partition if its next offset is unknown or trimmed. The caller must have begun a read.
func (entryLog *entryLog) readPage(ctx context.Context, number int, offset int64) error {
	partition := entryLog.partitions[number]
	start, bootTime := entryLog.clock.Now(), entryLog.bootTime()
	from := partition.nextOffset()
	if from < 0 {
		return entryLog.awaitLoad(ctx, number)
	}
	page, err := entryLog.store.Read(ctx, store.Read{Topic: Topic, Partition: number, From: from})
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if errors.Is(err, store.ErrTrimmed) {
		partition.next = -1
		return nil
	}
	if err != nil {
		return err
	}
	if len(page.Records) == 0 && page.End <= offset {
		return fmt.Errorf("partition %d ends at %d, expected an entry at %d", number, page.End, offset)
	}
	// Entries of this host may have been folded while the page was read.
	partition.ledger.fold(page.Records, partition.next, page.Next, entryLog.visit, entryLog.skip)
	partition.next = max(partition.next, page.Next)
	if page.Next >= page.End {
		partition.readAt, partition.confirmedAt = start, max(partition.confirmedAt, bootTime)
	}
	return nil
}

// skip records an entry that cannot be decoded.
func (entryLog *entryLog) skip(record store.Record, err error) {
	entryLog.metrics.Count("budget_entries_unreadable")
	entryLog.logger.WithError(err).WithFields(log.Fields{"key": record.Key, "offset": record.Offset}).Warn("entry of a budget cannot be decoded; skipping it")
}

// visit credits an entry of this host the first time that it is read, and takes the holds
// of this host that another one has revoked or given back.
func (entryLog *entryLog) visit(entry entry, granted int) {
	for _, id := range []*HoldID{entry.Revoked, entry.GivenBack} {
		if id != nil && id.Holder == entryLog.holder {
			entryLog.revoke(entry.Program, *id)
		}
	}
	if entry.Holder != entryLog.holder {
		return
	}
	entryLog.mutex.Lock()
	first := entryLog.pending[entry.Serial]
	delete(entryLog.pending, entry.Serial)
	entryLog.mutex.Unlock()
	if first {
		entryLog.credit(entry, granted)
	}
}

// lookup returns the tokens that all hosts have allocated to a program and the
// other holders of allocations, as of the last read.
func (entryLog *entryLog) lookup(program string) (allocated int, holders []string) {
	partition := entryLog.partitions[entryLog.partitionOf(program)]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	return partition.ledger.allocated(program), partition.ledger.holders(program, entryLog.holder)
}

// evict removes ended programs from the ledgers in memory. A program without recent
// entries may have newer ones that have not been read, so its age is that of the last
// read.
func (entryLog *entryLog) evict() {
	for _, partition := range entryLog.partitions {
		partition.mutex.Lock()
		partition.ledger.evict(partition.readAt.Add(-programRetention))
		partition.mutex.Unlock()
	}
}
