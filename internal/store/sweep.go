package store

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
)

const (
	sweepPause       = 50 * time.Millisecond // between pages, so that a sweep leaves room for callers' requests
	sweepAttempts    = 6                     // of one page
	sweepRetry       = 500 * time.Millisecond
	sweepPageTimeout = 10 * time.Second
	deletionTimeout  = 10 * time.Second // of one batch of deletions
)

// MaxGroupKeys bounds the keys that an Expiry holds for records which expire together. A
// later sweep deletes the others.
const MaxGroupKeys = 20000

// Expiry selects the expired keys of a partition from its records, which it is given in
// the order of their keys. It must not keep values, because a partition may be larger than
// the memory of a host.
type Expiry interface {
	// Add takes the next record, and returns keys that are known to have expired.
	Add(record Record) (expired []string)
	// Finish returns the other expired keys once all records have been added.
	Finish() (expired []string)
	// Deferred returns the number of keys that were not held and are left to a later sweep.
	Deferred() int
}

// Sweep describes the sweep of one partition.
type Sweep struct {
	Store     Store
	Topic     string
	Partition int
	Expiry    Expiry
	// Continue reports whether this host still has to sweep the partition.
	Continue func() bool
}

// Sweep deletes the expired keys of a partition. It holds the records of one page at a
// time, and waits for the deletion of a batch of keys before it reads on. What it has not
// deleted when it returns an error is left to the next sweep.
func (expirer *Expirer) Sweep(ctx context.Context, sweep Sweep) error {
	scanner := NewScanner(sweep.Store, sweep.Topic, sweep.Partition)
	deletions := &deletions{expirer: expirer, partition: partitionID{sweep.Topic, sweep.Partition}}
	for !scanner.Done() {
		if !sweep.Continue() {
			expirer.metrics.Count("sweeps_handed_over")
			return nil
		}
		records, err := expirer.sweptPage(ctx, scanner)
		if err != nil {
			expirer.metrics.Count("sweeps_failed")
			return err
		}
		for _, record := range records {
			if err := deletions.add(ctx, sweep.Expiry.Add(record)); err != nil {
				return err
			}
		}
		expirer.clock.Sleep(sweepPause)
	}
	if err := deletions.add(ctx, sweep.Expiry.Finish()); err != nil {
		return err
	}
	if err := deletions.flush(ctx); err != nil {
		return err
	}
	expirer.metrics.Add("sweep_keys_deferred", sweep.Expiry.Deferred())
	if deletions.count > 0 {
		expirer.logger.WithFields(log.Fields{"topic": sweep.Topic, "part": sweep.Partition, "keys": deletions.count}).Info("expired keys deleted")
	}
	return nil
}

// sweptPage reads the next page of a sweep. Other requests may need the memory for a page,
// so it is asked for again after an increasing delay.
func (expirer *Expirer) sweptPage(ctx context.Context, scanner *Scanner) ([]Record, error) {
	delay := sweepRetry
	for attempt := 1; ; attempt++ {
		pageCtx, cancel := context.WithTimeout(ctx, sweepPageTimeout)
		records, err := scanner.Next(pageCtx)
		cancel()
		if err == nil || attempt == sweepAttempts || ctx.Err() != nil {
			return records, err
		}
		expirer.metrics.Count("sweep_pages_repeated")
		expirer.clock.Sleep(delay)
		delay *= 2
	}
}

// deletions deletes keys of a partition in batches.
type deletions struct {
	expirer   *Expirer
	partition partitionID
	records   []Record
	count     int
}

// add adds keys, and waits until the store has deleted each full batch.
func (deletions *deletions) add(ctx context.Context, keys []string) error {
	for _, key := range keys {
		deletions.records = append(deletions.records, Record{Key: key})
		if len(deletions.records) < expiryBatch {
			continue
		}
		if err := deletions.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

// flush waits until the store has deleted the keys that were added.
func (deletions *deletions) flush(ctx context.Context) error {
	if len(deletions.records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, deletionTimeout)
	defer cancel()
	if _, err := deletions.expirer.writer.Append(ctx, deletions.partition.topic, deletions.partition.number, deletions.records...); err != nil {
		return fmt.Errorf("delete %d expired keys: %w", len(deletions.records), err)
	}
	deletions.count += len(deletions.records)
	deletions.expirer.metrics.Add("expired_keys_deleted", len(deletions.records))
	deletions.records = nil
	return nil
}
