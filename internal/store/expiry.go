package store

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/duty"
)

const (
	expiryInterval   = 5 * time.Second // between deletions of due keys; a key may outlive its due time by as much
	expiryBatch      = 500             // keys deleted with one append
	maxScheduledKeys = 200000          // bounds memory; Sweep deletes the keys beyond it
)

// Expiry deletes keys that are no longer needed: keys that this host has
// scheduled with Drop, and keys that Sweep finds in a partition.
type Expiry struct {
	writer *Writer
	clock  clockwork.Clock
	logger log.Interface

	mutex sync.Mutex
	keys  []scheduledKey // in the order of the calls of Drop
}

// scheduledKey is a key that is deleted at a given time.
type scheduledKey struct {
	partition partitionID
	key       string
	dueAt     time.Time
}

// NewExpiry returns an Expiry that deletes keys through the given writer.
func NewExpiry(writer *Writer, clock clockwork.Clock, logger log.Interface) *Expiry {
	return &Expiry{writer: writer, clock: clock, logger: logger}
}

// Drop schedules keys for deletion after a delay.
func (expiry *Expiry) Drop(topic string, partition int, after time.Duration, keys ...string) {
	dueAt := expiry.clock.Now().Add(after)
	expiry.mutex.Lock()
	defer expiry.mutex.Unlock()
	for _, key := range keys {
		if len(expiry.keys) < maxScheduledKeys {
			expiry.keys = append(expiry.keys, scheduledKey{partitionID{topic, partition}, key, dueAt})
		}
	}
}

// Run deletes due keys until the context is cancelled.
func (expiry *Expiry) Run(ctx context.Context) {
	duty.Every(ctx, expiry.clock, expiryInterval, expiry.expireDue)
}

// expireDue queues deletions of the keys that are due. Keys are scheduled mostly
// in the order of their due times, so it stops at the first key that is not due.
func (expiry *Expiry) expireDue() {
	now := expiry.clock.Now()
	due := make(map[partitionID][]Record)
	expiry.mutex.Lock()
	count := 0
	for count < len(expiry.keys) && !expiry.keys[count].dueAt.After(now) {
		scheduled := expiry.keys[count]
		due[scheduled.partition] = append(due[scheduled.partition], Record{Key: scheduled.key})
		count++
	}
	expiry.keys = append([]scheduledKey(nil), expiry.keys[count:]...)
	expiry.mutex.Unlock()
	for partition, records := range due {
		expiry.enqueue(partition, records)
	}
}

func (expiry *Expiry) enqueue(partition partitionID, records []Record) {
	for len(records) > 0 {
		size := min(expiryBatch, len(records))
		if _, err := expiry.writer.Queue(partition.topic, partition.partition, records[:size]...); err != nil {
			expiry.logger.WithError(err).WithField("keys", len(records)).Warn("could not queue deletions of expired keys; leaving them to the sweep")
			return
		}
		records = records[size:]
	}
}

// Sweep deletes the keys of a partition that expiredKeys selects from all its
// records.
func (expiry *Expiry) Sweep(ctx context.Context, store Store, topic string, partition int, expiredKeys func([]Record) []string) error {
	records, _, err := ListAll(ctx, store, topic, partition)
	if err != nil {
		return err
	}
	keys := expiredKeys(records)
	if len(keys) == 0 {
		return nil
	}
	deletions := make([]Record, 0, len(keys))
	for _, key := range keys {
		deletions = append(deletions, Record{Key: key})
	}
	expiry.logger.WithFields(log.Fields{"topic": topic, "part": partition, "keys": len(keys)}).Info("deleting expired keys")
	expiry.enqueue(partitionID{topic, partition}, deletions)
	return nil
}
