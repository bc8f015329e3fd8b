package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

const (
	laneRecords   = 4096                  // records that wait for one partition
	batchBytes    = 256 << 10             // records of one append, in bytes
	retryInterval = 40 * time.Millisecond // first pause after a failed append; about ten answers of a healthy store
	retryCeiling  = 500 * time.Millisecond
	maxResyncs    = 3                       // for one batch
	appendTimeout = 2500 * time.Millisecond // a slow store answers within 60 times its usual 4 ms, queued appends within 2 s
)

// ErrBacklog reports a partition with too many waiting records.
var ErrBacklog = errors.New("too many records wait for the store")

// Writer appends records of one host. Each partition has one append under way
// and gathers the records that come meanwhile; a batch is repeated under its
// number until the store has answered.
type Writer struct {
	store    Store
	clock    clockwork.Clock
	logger   log.Interface
	producer string

	mutex sync.Mutex
	lanes map[laneName]chan *pending
	ctx   context.Context
}

type laneName struct {
	topic string
	part  int
}

type pending struct {
	records []Record
	offset  int64
	err     error
	done    chan struct{}
}

// NewWriter returns a writer. The producer must be new for each start of the
// host. The writer stops with the context.
func NewWriter(ctx context.Context, store Store, clock clockwork.Clock, logger log.Interface, producer string) *Writer {
	return &Writer{store: store, clock: clock, logger: logger, producer: producer, lanes: make(map[laneName]chan *pending), ctx: ctx}
}

// Append waits until the records are durable and returns the offset of the
// first. Records stay queued when the context ends first.
func (writer *Writer) Append(ctx context.Context, topic string, part int, records ...Record) (int64, error) {
	waiting, err := writer.Queue(topic, part, records...)
	if err != nil {
		return 0, err
	}
	return waiting.Wait(ctx)
}

// Queued is an append that has not been answered yet.
type Queued struct{ pending *pending }

// Wait waits for the answer.
func (queued Queued) Wait(ctx context.Context) (int64, error) {
	select {
	case <-queued.pending.done:
		return queued.pending.offset, queued.pending.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Queue hands over records without waiting.
func (writer *Writer) Queue(topic string, part int, records ...Record) (Queued, error) {
	item := &pending{records: records, done: make(chan struct{})}
	select {
	case writer.lane(laneName{topic, part}) <- item:
		return Queued{item}, nil
	default:
		return Queued{}, fmt.Errorf("partition %d of topic %q: %w", part, topic, ErrBacklog)
	}
}

func (writer *Writer) lane(name laneName) chan *pending {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	lane, ok := writer.lanes[name]
	if !ok {
		lane = make(chan *pending, laneRecords)
		writer.lanes[name] = lane
		go writer.run(name, lane)
	}
	return lane
}

func (writer *Writer) run(name laneName, lane chan *pending) {
	sequence := int64(0)
	var next *pending // did not fit into the last batch
	for {
		if next == nil {
			select {
			case <-writer.ctx.Done():
				return
			case next = <-lane:
			}
		}
		var batch []*pending
		batch, next = gather(next, lane)
		var records []Record
		for _, item := range batch {
			records = append(records, item.records...)
		}
		offset, last, err := writer.number(Append{Topic: name.topic, Part: name.part, Producer: writer.producer, Sequence: sequence, Records: records})
		if err == nil {
			sequence = last + 1
		}
		for _, item := range batch {
			item.offset, item.err = offset, err
			offset += int64(len(item.records))
			close(item.done)
		}
	}
}

// number appends a batch under the number that the store expects, which is not
// the lane's if the store has lost or gained batches. Records appended twice do
// no harm: a key keeps its newest record.
func (writer *Writer) number(batch Append) (offset, sequence int64, err error) {
	for range maxResyncs {
		offset, err = writer.append(batch)
		var expected *SequenceError
		if !errors.As(err, &expected) {
			break
		}
		batch.Sequence = expected.Expected
	}
	return offset, batch.Sequence, err
}

// gather adds the records that wait already, up to the size of a batch. It
// returns the first that does not fit.
func gather(first *pending, lane chan *pending) (batch []*pending, next *pending) {
	batch = []*pending{first}
	size := bytesOf(first)
	for {
		select {
		case item := <-lane:
			if size += bytesOf(item); size > batchBytes {
				return batch, item
			}
			batch = append(batch, item)
		default:
			return batch, nil
		}
	}
}

func bytesOf(item *pending) int {
	size := 0
	for _, record := range item.records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}

// append repeats a batch until the store has answered.
func (writer *Writer) append(batch Append) (int64, error) {
	pause := retryInterval
	for attempt := 1; ; attempt++ {
		ctx, cancel := context.WithTimeout(writer.ctx, appendTimeout)
		offset, err := writer.store.Append(ctx, batch)
		cancel()
		if Answered(err) {
			if err != nil {
				writer.logger.WithError(err).WithFields(log.Fields{"topic": batch.Topic, "part": batch.Part, "sequence": batch.Sequence}).Error("append rejected")
			}
			return offset, err
		}
		if writer.ctx.Err() != nil {
			return 0, writer.ctx.Err()
		}
		if attempt == 1 {
			writer.logger.WithError(err).WithFields(log.Fields{"topic": batch.Topic, "part": batch.Part, "records": len(batch.Records)}).Warn("append failed; repeating it")
		}
		writer.clock.Sleep(pause)
		pause = min(2*pause, retryCeiling)
	}
}
