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
	expiryInterval = 5 * time.Second // between rounds that drop keys; a key may stay for a little longer
	expiryBatch    = 500             // keys dropped with one append
	expiryKeys     = 200000          // keys remembered; further ones are left to the sweep
)

// Expiry drops keys that are no longer needed: those that this host has been
// told of, and those that a sweep over a partition finds.
type Expiry struct {
	writer *Writer
	clock  clockwork.Clock
	logger log.Interface

	mutex sync.Mutex
	keys  []expiring // in the order in which they were given
}

type expiring struct {
	lane laneName
	key  string
	at   time.Time
}

// NewExpiry returns an expiry over a writer.
func NewExpiry(writer *Writer, clock clockwork.Clock, logger log.Interface) *Expiry {
	return &Expiry{writer: writer, clock: clock, logger: logger}
}

// Drop has keys dropped after a time.
func (expiry *Expiry) Drop(topic string, part int, after time.Duration, keys ...string) {
	at := expiry.clock.Now().Add(after)
	expiry.mutex.Lock()
	defer expiry.mutex.Unlock()
	for _, key := range keys {
		if len(expiry.keys) < expiryKeys {
			expiry.keys = append(expiry.keys, expiring{laneName{topic, part}, key, at})
		}
	}
}

// Run drops keys until the context ends.
func (expiry *Expiry) Run(ctx context.Context) {
	duty.Every(ctx, expiry.clock, expiryInterval, expiry.round)
}

// round queues the drops that are due. Keys are given mostly in the order of
// their times, so the first one that is not due ends the round.
func (expiry *Expiry) round() {
	now := expiry.clock.Now()
	due := make(map[laneName][]Record)
	expiry.mutex.Lock()
	count := 0
	for count < len(expiry.keys) && !expiry.keys[count].at.After(now) {
		one := expiry.keys[count]
		due[one.lane] = append(due[one.lane], Record{Key: one.key})
		count++
	}
	expiry.keys = append([]expiring(nil), expiry.keys[count:]...)
	expiry.mutex.Unlock()
	for lane, records := range due {
		expiry.queue(lane, records)
	}
}

func (expiry *Expiry) queue(lane laneName, records []Record) {
	for len(records) > 0 {
		size := min(expiryBatch, len(records))
		if _, err := expiry.writer.Queue(lane.topic, lane.part, records[:size]...); err != nil {
			expiry.logger.WithError(err).WithField("keys", len(records)).Warn("keys not dropped; the sweep will")
			return
		}
		records = records[size:]
	}
}

// Sweep drops the keys of a partition that over picks from all its records.
func (expiry *Expiry) Sweep(ctx context.Context, reading Store, topic string, part int, over func([]Record) []string) error {
	records, _, err := ListAll(ctx, reading, topic, part)
	if err != nil {
		return err
	}
	keys := over(records)
	if len(keys) == 0 {
		return nil
	}
	drops := make([]Record, 0, len(keys))
	for _, key := range keys {
		drops = append(drops, Record{Key: key})
	}
	expiry.logger.WithFields(log.Fields{"topic": topic, "part": part, "keys": len(keys)}).Info("dropping keys that are over")
	expiry.queue(laneName{topic, part}, drops)
	return nil
}
