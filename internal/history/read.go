package history

import (
	"context"
	"strings"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

// maxStoreReads bounds the requests of a host that read from the store at a time. Each page
// has up to a megabyte; more of them would end too late on the link of a small host.
const maxStoreReads = 2

// beginRead waits until fewer than maxStoreReads other requests read from the store. It
// returns the error of the context if it ends before.
func (histories *Histories) beginRead(ctx context.Context) error {
	select {
	case histories.reads <- struct{}{}:
		return nil
	default:
	}
	histories.metrics.Count("history_read_waits")
	select {
	case histories.reads <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (histories *Histories) endRead() { <-histories.reads }

// cacheNeighbours caches the turns of a page that belong to other chains than the one with
// a prefix, as far as there is spare memory. Their programs go on as well after all hosts were
// lost, and would read the same page again, on this host or another one.
func (histories *Histories) cacheNeighbours(records []store.Record, prefix string) {
	now := histories.clock.Now()
	for _, record := range records {
		if !strings.HasPrefix(record.Key, turnPrefix) || strings.HasPrefix(record.Key, prefix) || isChunkKey(record.Key) {
			continue
		}
		var turn Turn
		if err := codec.Unmarshal(record.Value, &turn); err != nil || turn.Chunks > 0 || now.After(turn.expiresAt()) {
			continue
		}
		if !histories.cache.putSpare(&turn) {
			return
		}
		histories.metrics.Count("history_neighbours_cached")
	}
}

// load reads the segment of a chain that contains a turn from a topic of the store into the
// cache, and adds its turns to the loaded ones.
func (histories *Histories) load(ctx context.Context, topic, workspace, id string, loaded map[string]*Turn, reserve func(bytes int64) error) error {
	partition := histories.partitionOf(workspace)
	root, err := histories.rootOf(ctx, topic, partition, id)
	if err != nil {
		return err
	}
	chain := newChainReader(root)
	for {
		listing, err := histories.store.List(ctx, store.List{Topic: topic, Partition: partition, After: chain.after, Bulk: true})
		if err != nil {
			return err
		}
		for _, record := range listing.Records {
			if strings.HasPrefix(record.Key, chain.prefix) {
				if err := reserve(int64(len(record.Value))); err != nil {
					return err
				}
			}
			if err := chain.read(record); err != nil {
				return err
			}
		}
		if topic == Topic {
			histories.cacheNeighbours(listing.Records, chain.prefix)
		}
		if !listing.More || chain.done {
			break
		}
	}
	now := histories.clock.Now()
	for _, turn := range chain.turns {
		histories.cache.put(turn, now)
		loaded[turn.ID] = turn
	}
	return nil
}

// rootOf returns the ID of the first turn of the segment to which a turn belongs.
func (histories *Histories) rootOf(ctx context.Context, topic string, partition int, id string) (string, error) {
	key := rootPrefix + keyComponent(id)
	listing, err := histories.store.List(ctx, store.List{Topic: topic, Partition: partition, After: keyBefore(key)})
	if err != nil {
		return "", err
	}
	for _, record := range listing.Records {
		if record.Key == key {
			return string(record.Value), nil
		}
	}
	return "", ErrNoTurn
}
