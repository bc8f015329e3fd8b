package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Merger combines the batches of many hosts into single appends, so that the
// append rate of a data centre does not grow with the number of its hosts. Two
// mergers can run at the same time: readers deduplicate records by id, and
// history entries are located by the returned position.
type Merger struct {
	appender Appender
	clock    clockwork.Clock
	metrics  *metric.Metrics
	interval time.Duration

	mutex   sync.Mutex
	ctx     context.Context
	writers map[string]*batchWriter[*hostBatch]
}

// hostBatch is a batch of one host that waits for its position in the log.
type hostBatch struct {
	ctx       context.Context // done when the host stops waiting
	items     []codec.Raw
	position  chan Position
	abandoned bool // the host stopped waiting before the append
}

// maxBatchBytes bounds the encoded batch of one host.
const maxBatchBytes = 8 << 20

// NewMerger returns a merger that waits at least the interval between two
// appends to the same stream. It runs until the context is done.
func NewMerger(ctx context.Context, appender Appender, clock clockwork.Clock, metrics *metric.Metrics, interval time.Duration) *Merger {
	return &Merger{
		appender: appender, clock: clock, metrics: metrics, interval: interval, ctx: ctx,
		writers: make(map[string]*batchWriter[*hostBatch]),
	}
}

// Append implements Appender.
func (merger *Merger) Append(ctx context.Context, stream string, data []byte) (Position, error) {
	if len(data) > maxBatchBytes {
		return Position{}, fmt.Errorf("list of %d bytes is over the limit of %d", len(data), maxBatchBytes)
	}
	batch := &hostBatch{ctx: ctx, position: make(chan Position, 1)}
	if err := codec.Unmarshal(data, &batch.items); err != nil {
		return Position{}, refusal.New(refusal.BadRequest, "list for stream %q: %v", stream, err)
	}
	if !merger.writer(stream).write(batch) {
		return Position{}, refusal.New(refusal.QueueFull, "stream %q has too many lists waiting", stream)
	}
	select {
	case position := <-batch.position:
		return position, nil
	case <-ctx.Done():
		return Position{}, ctx.Err()
	}
}

func (merger *Merger) writer(stream string) *batchWriter[*hostBatch] {
	merger.mutex.Lock()
	defer merger.mutex.Unlock()
	writer, ok := merger.writers[stream]
	if !ok {
		writer = newBatchWriter(merger.appender, merger.clock, merger.metrics, stream, merger.interval, mergeBatches, sendPositions)
		merger.writers[stream] = writer
		go writer.run(merger.ctx)
	}
	return writer
}

// mergeBatches omits the batches of hosts that stopped waiting. These hosts
// append them again, and otherwise the backlog of an outage would contain many
// copies of each batch.
func mergeBatches(batches []*hostBatch) ([]byte, error) {
	merged := []codec.Raw{}
	for _, batch := range batches {
		if batch.abandoned = batch.ctx.Err() != nil; batch.abandoned {
			continue
		}
		merged = append(merged, batch.items...)
	}
	return codec.Marshal(merged)
}

func sendPositions(batches []*hostBatch, position Position) {
	for _, batch := range batches {
		if batch.abandoned {
			continue
		}
		batch.position <- position
		position.Preceding += len(batch.items)
	}
}
