package history

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/region"
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

// emptyTime is how long after its start a host takes the others for as empty as it is itself,
// if they do not coordinate the program: all of them may have been lost.
const emptyTime = 10 * time.Second

// findKept gets a chain without home regions from the host that reads its partition, caches
// it and adds it to the loaded turns. It returns nil if this host has to read it itself: the other
// one may not know of home regions that the turn once had.
func (histories *Histories) findKept(ctx context.Context, workspace, id string, loaded map[string]*Turn) []Turn {
	if region.FromContext(ctx) != nil || !histories.reachable(ctx) {
		return nil
	}
	turns, self, err := histories.peers.FindKept(ctx, histories.partitionName(workspace), workspace, id)
	if self || errors.Is(err, ErrNoTurn) {
		return nil
	}
	if err != nil {
		histories.metrics.CountRetry("history_reader_lost")
		histories.logger.WithError(err).WithFields(log.Fields{"turn": id, "workspace": workspace}).Info("host that reads the partition did not return the turn; reading it here")
		return nil
	}
	histories.CacheTurns(turns)
	for index := range turns {
		loaded[turns[index].ID] = &turns[index]
	}
	return turns
}

// partitionName returns the name of a workspace's partition.
func (histories *Histories) partitionName(workspace string) string {
	return fmt.Sprintf("%s/%d", Topic, histories.partitionOf(workspace))
}

// KeptChain returns the chain without home regions that ends with the given turn, for another
// host.
func (histories *Histories) KeptChain(ctx context.Context, workspace, id string) ([]Turn, error) {
	reserved, err := histories.memory.Reserve(memory.Admission, 0)
	if err != nil {
		return nil, err
	}
	defer reserved.Release()
	found, missing := histories.cache.chain(id, nil)
	if err := reserved.Grow(sizeOf(found)); err != nil {
		return nil, err
	}
	if missing != "" {
		if found, missing, err = histories.readChain(ctx, workspace, id, found, make(map[string]*Turn), reserved.Grow); err != nil {
			return nil, err
		}
	}
	if missing != "" {
		return nil, fmt.Errorf("turn %q before %q is missing", missing, id)
	}
	turns := make([]Turn, 0, len(found))
	for _, turn := range found {
		if turn.Workspace != workspace {
			return nil, ErrNoTurn
		}
		turns = append(turns, *turn)
	}
	return turns, nil
}

// readChain reads the missing turns of a chain from the store, one segment after the other,
// until the context ends. It returns the chain and the ID of the first turn that is still
// missing, if any. A new segment starts when a host stores a turn without knowing the segment
// of the previous one.
func (histories *Histories) readChain(ctx context.Context, workspace, id string, known []*Turn, loaded map[string]*Turn, reserve func(bytes int64) error) (turns []*Turn, missing string, err error) {
	turns, missing = histories.cache.chain(id, loaded)
	for held := sizeOf(known); missing != ""; held = sizeOf(turns) {
		if turns, missing, err = histories.readSegment(ctx, workspace, id, held, loaded, reserve); err != nil {
			return turns, missing, err
		}
	}
	return turns, "", nil
}

// readSegment reads the segment with the first missing turn of a chain, for which some bytes
// have been reserved. Other requests may read between two segments of a long chain.
func (histories *Histories) readSegment(ctx context.Context, workspace, id string, held int64, loaded map[string]*Turn, reserve func(bytes int64) error) (turns []*Turn, missing string, err error) {
	if err := histories.beginRead(ctx); err != nil {
		return nil, id, fmt.Errorf("%w: %w", ErrNotDurable, err)
	}
	defer histories.endRead()
	// Another request may have read the chain meanwhile.
	turns, missing = histories.cache.chain(id, loaded)
	if err := reserve(max(0, sizeOf(turns)-held)); err != nil {
		return nil, missing, err
	}
	if missing == "" {
		return turns, "", nil
	}
	if !histories.reachable(ctx) {
		return turns, missing, ErrNotDurable
	}
	wanted := missing
	if loaded[wanted] != nil {
		return turns, wanted, errCycle
	}
	if err := histories.loadSegment(ctx, workspace, wanted, loaded, reserve); err != nil {
		return turns, wanted, err
	}
	histories.metrics.Count("history_segments_read")
	if loaded[wanted] == nil {
		return turns, wanted, ErrNoTurn
	}
	turns, missing = histories.cache.chain(id, loaded)
	return turns, missing, nil
}

// errCycle is returned for a turn that continues itself.
var errCycle = errors.New("turn is among the turns that it continues")

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
