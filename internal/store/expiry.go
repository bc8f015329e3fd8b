package store

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/worker"
)

const (
	expiryInterval   = 5 * time.Second // between deletions of due keys; a key may outlive its due time by as much
	expiryBatch      = 500             // keys deleted with one append
	maxScheduledKeys = 200000          // bounds memory; Sweep deletes the keys beyond it
)

// Expirer deletes keys that are no longer needed: keys that this host has
// scheduled for deletion, and keys that Sweep finds in a partition.
type Expirer struct {
	writer  *Writer
	clock   clockwork.Clock
	logger  log.Interface
	metrics *metric.Metrics

	mutex sync.Mutex
	keys  []scheduledKey // in the order in which they were scheduled
}

// scheduledKey is a key that is deleted at a given time.
type scheduledKey struct {
	partition partitionID
	key       string
	dueAt     time.Time
}

// NewExpirer returns an expirer that deletes keys through the given writer.
func NewExpirer(writer *Writer, clock clockwork.Clock, logger log.Interface, metrics *metric.Metrics) *Expirer {
	return &Expirer{writer: writer, clock: clock, logger: logger, metrics: metrics}
}

// DeleteAfter schedules the deletion of keys after a delay. If too many keys are
// scheduled already, it leaves the deletion to Sweep.
func (expirer *Expirer) DeleteAfter(topic string, partition int, after time.Duration, keys ...string) {
	dueAt := expirer.clock.Now().Add(after)
	expirer.mutex.Lock()
	defer expirer.mutex.Unlock()
	for _, key := range keys {
		if len(expirer.keys) < maxScheduledKeys {
			expirer.keys = append(expirer.keys, scheduledKey{partitionID{topic, partition}, key, dueAt})
		}
	}
}

// Run deletes due keys until the context is cancelled.
func (expirer *Expirer) Run(ctx context.Context) {
	worker.Every(ctx, expirer.clock, expiryInterval, expirer.expireDue)
}

// expireDue queues deletions of the keys that are due. Keys are scheduled mostly
// in the order of their due times, so it stops at the first key that is not due.
func (expirer *Expirer) expireDue() {
	now := expirer.clock.Now()
	due := make(map[partitionID][]Record)
	expirer.mutex.Lock()
	count := 0
	for count < len(expirer.keys) && !expirer.keys[count].dueAt.After(now) {
		scheduled := expirer.keys[count]
		due[scheduled.partition] = append(due[scheduled.partition], Record{Key: scheduled.key})
		count++
	}
	expirer.keys = append([]scheduledKey(nil), expirer.keys[count:]...)
	expirer.mutex.Unlock()
	for partition, records := range due {
		expirer.enqueue(partition, records)
	}
}

func (expirer *Expirer) enqueue(partition partitionID, records []Record) {
	for len(records) > 0 {
		size := min(expiryBatch, len(records))
		if _, err := expirer.writer.Queue(partition.topic, partition.number, records[:size]...); err != nil {
			expirer.logger.WithError(err).WithField("keys", len(records)).Warn("could not queue deletions of expired keys; leaving them to the sweep")
			return
		}
		records = records[size:]
	}
}
