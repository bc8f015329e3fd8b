package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/region"
)

const (
	maxQueuedAppends    = 4096                  // for one partition
	maxQueuedBytes      = 16 << 20              // for all partitions, unless SetMaxQueuedBytes is called
	queuedAppendBytes   = 256                   // memory for an append beside its keys and values
	batchBytes          = 256 << 10             // keys and values of one append
	retryInterval       = 40 * time.Millisecond // first delay after a failed append; about ten response times of a healthy store
	maxRetryInterval    = 500 * time.Millisecond
	maxSequenceAttempts = 3                       // of one batch
	appendTimeout       = 2500 * time.Millisecond // a slow store responds within 60 times its normal 4 ms, and to queued appends within 2 s
)

// ErrQueueFull reports that too many appends wait for a partition, or too many bytes for
// all of them.
var ErrQueueFull = errors.New("queue of appends to the store is full")

// Writer appends the records of one host. Each partition has at most one append
// in flight; records that arrive meanwhile form the next batch. A batch is
// repeated with the same sequence number until the store responds.
type Writer struct {
	store    Store
	clock    clockwork.Clock
	logger   log.Interface
	producer string

	mutex  sync.Mutex
	queues map[queueID]chan *queuedAppend
	ctx    context.Context

	queuedBytes    int64 // of appends without a response
	maxQueuedBytes int64
}

type partitionID struct {
	topic  string
	number int
}

// queueID is a partition with the key of the constraint of the records for it.
type queueID struct {
	partitionID
	constraint string
}

type queuedAppend struct {
	records []Record
	offset  int64
	err     error
	done    chan struct{}
}

// NewWriter returns a Writer that stops when the context is cancelled. The
// producer's name must be different for each start of the host.
func NewWriter(ctx context.Context, store Store, clock clockwork.Clock, logger log.Interface, producer string) *Writer {
	return &Writer{store: store, clock: clock, logger: logger, producer: producer, queues: make(map[queueID]chan *queuedAppend), ctx: ctx, maxQueuedBytes: maxQueuedBytes}
}

// SetMaxQueuedBytes sets the bound of the memory for appends to which the store has not
// responded. It must be called before the first append.
func (writer *Writer) SetMaxQueuedBytes(bytes int64) { writer.maxQueuedBytes = bytes }

// Append waits until the records are durable and returns the offset of the first
// one. If the context is cancelled before, the records stay queued.
func (writer *Writer) Append(ctx context.Context, topic string, partition int, records ...Record) (int64, error) {
	return writer.AppendWithin(ctx, nil, topic, partition, records...)
}

// AppendWithin is Append for records that only hosts which the constraint allows may see.
func (writer *Writer) AppendWithin(ctx context.Context, constraint *region.Constraint, topic string, partition int, records ...Record) (int64, error) {
	pending, err := writer.queue(constraint, topic, partition, records)
	if err != nil {
		return 0, err
	}
	return pending.Wait(ctx)
}

// PendingAppend is an append that is queued or in flight.
type PendingAppend struct{ queued *queuedAppend }

// Wait waits for the response and returns the offset of the first record.
func (pending PendingAppend) Wait(ctx context.Context) (int64, error) {
	select {
	case <-pending.queued.done:
		return pending.queued.offset, pending.queued.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Done reports whether the store has responded.
func (pending PendingAppend) Done() bool {
	select {
	case <-pending.queued.done:
		return true
	default:
		return false
	}
}

// Queue queues records for appending without waiting for the response. The error wraps
// ErrQueueFull if too many wait.
func (writer *Writer) Queue(topic string, partition int, records ...Record) (PendingAppend, error) {
	return writer.queue(nil, topic, partition, records)
}

func (writer *Writer) queue(constraint *region.Constraint, topic string, partition int, records []Record) (PendingAppend, error) {
	item := &queuedAppend{records: records, done: make(chan struct{})}
	if !writer.hold(item) {
		return PendingAppend{}, fmt.Errorf("partition %d of topic %q, %d bytes: %w", partition, topic, sizeOf(item), ErrQueueFull)
	}
	select {
	case writer.queueOf(queueID{partitionID{topic, partition}, constraint.Key()}, constraint) <- item:
		return PendingAppend{item}, nil
	default:
		writer.release(item)
		return PendingAppend{}, fmt.Errorf("partition %d of topic %q: %w", partition, topic, ErrQueueFull)
	}
}

// hold counts the bytes of an append. It reports false if there are too many; a single
// append is never too long.
func (writer *Writer) hold(item *queuedAppend) bool {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	bytes := int64(sizeOf(item)) + queuedAppendBytes
	if writer.queuedBytes > 0 && writer.queuedBytes+bytes > writer.maxQueuedBytes {
		return false
	}
	writer.queuedBytes += bytes
	return true
}

// release stops counting the bytes of an append.
func (writer *Writer) release(item *queuedAppend) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.queuedBytes -= int64(sizeOf(item)) + queuedAppendBytes
}

func (writer *Writer) queueOf(id queueID, constraint *region.Constraint) chan *queuedAppend {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	queue, ok := writer.queues[id]
	if !ok {
		queue = make(chan *queuedAppend, maxQueuedAppends)
		writer.queues[id] = queue
		go writer.run(id, constraint, queue)
	}
	return queue
}

func (writer *Writer) run(id queueID, constraint *region.Constraint, queue chan *queuedAppend) {
	sequence := int64(0)
	ctx := region.NewContext(writer.ctx, constraint)
	// The store counts the batches of each producer, so a queue of its own needs its own name.
	producer := writer.producer + id.constraint
	var next *queuedAppend // first append of the next batch, if it did not fit into the last one
	for {
		if next == nil {
			select {
			case <-writer.ctx.Done():
				return
			case next = <-queue:
			}
		}
		var batch []*queuedAppend
		batch, next = collectBatch(next, queue)
		var records []Record
		for _, item := range batch {
			records = append(records, item.records...)
		}
		offset, last, err := writer.appendInSequence(ctx, Append{Topic: id.topic, Partition: id.number, Producer: producer, Sequence: sequence, Records: records})
		if err == nil {
			sequence = last + 1
		}
		for _, item := range batch {
			item.offset, item.err = offset, err
			offset += int64(len(item.records))
			writer.release(item)
			item.records = nil // the caller may keep the append for longer
			close(item.done)
		}
	}
}

// appendInSequence appends a batch and returns its sequence number. If the store
// expects another number, because it has lost or gained batches, the batch is
// repeated with that one. Appending records twice is harmless, because a key
// keeps its newest record.
func (writer *Writer) appendInSequence(ctx context.Context, batch Append) (offset, sequence int64, err error) {
	for range maxSequenceAttempts {
		offset, err = writer.appendWithRetry(ctx, batch)
		var expected *SequenceError
		if !errors.As(err, &expected) {
			break
		}
		batch.Sequence = expected.Expected
	}
	return offset, batch.Sequence, err
}

// collectBatch adds the appends that are already queued, up to the size of a
// batch. It returns the first append that does not fit.
func collectBatch(first *queuedAppend, queue chan *queuedAppend) (batch []*queuedAppend, next *queuedAppend) {
	batch = []*queuedAppend{first}
	size := sizeOf(first)
	for {
		select {
		case item := <-queue:
			if size += sizeOf(item); size > batchBytes {
				return batch, item
			}
			batch = append(batch, item)
		default:
			return batch, nil
		}
	}
}

func sizeOf(item *queuedAppend) int {
	size := 0
	for _, record := range item.records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}

// appendWithRetry repeats a batch until the store responds.
func (writer *Writer) appendWithRetry(ctx context.Context, batch Append) (int64, error) {
	delay := retryInterval
	for attempt := 1; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := writer.store.Append(callCtx, batch)
		cancel()
		if IsResponse(err) {
			if err != nil {
				writer.logger.WithError(err).WithFields(log.Fields{"topic": batch.Topic, "part": batch.Partition, "sequence": batch.Sequence}).Error("store rejected an append")
			}
			return offset, err
		}
		if writer.ctx.Err() != nil {
			return 0, writer.ctx.Err()
		}
		if attempt == 1 {
			writer.logger.WithError(err).WithFields(log.Fields{"topic": batch.Topic, "part": batch.Partition, "records": len(batch.Records)}).Warn("append to the store failed; retrying")
		}
		writer.clock.Sleep(delay)
		delay = min(2*delay, maxRetryInterval)
	}
}
