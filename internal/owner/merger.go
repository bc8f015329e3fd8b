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

// Merger appends the lists of many hosts as one, so that the appends of a data
// centre do not grow with its hosts. Two mergers at once are harmless: readers
// know records by their ids, and history by the position that is answered.
type Merger struct {
	appender Appender
	clock    clockwork.Clock
	metrics  *metric.Metrics
	interval time.Duration

	mutex   sync.Mutex
	ctx     context.Context
	writers map[string]*groupWriter[*mergedList]
}

// mergedList is the list of one host and the way back to it.
type mergedList struct {
	ctx      context.Context // of the host's wait
	items    []codec.Raw
	position chan Position
	dropped  bool // the host had given up before the append
}

// maxMerged bounds the list of one host, in bytes.
const maxMerged = 8 << 20

// NewMerger returns a merger that leaves at least an interval between its
// appends to a stream. It runs until the context ends.
func NewMerger(ctx context.Context, appender Appender, clock clockwork.Clock, metrics *metric.Metrics, interval time.Duration) *Merger {
	return &Merger{
		appender: appender, clock: clock, metrics: metrics, interval: interval, ctx: ctx,
		writers: make(map[string]*groupWriter[*mergedList]),
	}
}

// Append implements Appender.
func (merger *Merger) Append(ctx context.Context, stream string, data []byte) (Position, error) {
	if len(data) > maxMerged {
		return Position{}, fmt.Errorf("list of %d bytes is over the limit of %d", len(data), maxMerged)
	}
	list := &mergedList{ctx: ctx, position: make(chan Position, 1)}
	if err := codec.Unmarshal(data, &list.items); err != nil {
		return Position{}, refusal.New(refusal.BadRequest, "list for stream %q: %v", stream, err)
	}
	if !merger.writer(stream).write(list) {
		return Position{}, refusal.New(refusal.QueueFull, "stream %q has too many lists waiting", stream)
	}
	select {
	case position := <-list.position:
		return position, nil
	case <-ctx.Done():
		return Position{}, ctx.Err()
	}
}

func (merger *Merger) writer(stream string) *groupWriter[*mergedList] {
	merger.mutex.Lock()
	defer merger.mutex.Unlock()
	writer, ok := merger.writers[stream]
	if !ok {
		writer = newGroupWriter(merger.appender, merger.clock, merger.metrics, stream, merger.interval, joinLists, answerLists)
		merger.writers[stream] = writer
		go writer.run(merger.ctx)
	}
	return writer
}

// joinLists leaves out the lists of hosts that have given up: they append them
// again, and the backlog of an outage must not hold each of them many times.
func joinLists(lists []*mergedList) ([]byte, error) {
	joined := []codec.Raw{}
	for _, list := range lists {
		if list.dropped = list.ctx.Err() != nil; list.dropped {
			continue
		}
		joined = append(joined, list.items...)
	}
	return codec.Marshal(joined)
}

func answerLists(lists []*mergedList, position Position) {
	for _, list := range lists {
		if list.dropped {
			continue
		}
		list.position <- position
		position.First += len(list.items)
	}
}
