package history

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Topic holds the turns, and for each turn the root of its chain.
const Topic = "turns"

// turnMargin is the longest time of a turn that continues a chain as it ends.
const turnMargin = 30 * time.Second

// Over picks the keys of chains that are over: a chain is kept for the
// retention of its newest turn.
func Over(records []store.Record, now time.Time) []string {
	until := make(map[string]time.Time) // by root
	for _, record := range records {
		if root, ok := rootOfKey(record.Key); ok && !isPiece(record.Key) {
			var turn Turn
			if err := codec.Unmarshal(record.Value, &turn); err != nil {
				// Nobody can read it; the chain's other turns decide.
				continue
			}
			if kept := turn.until(); kept.After(until[root]) {
				until[root] = kept
			}
		}
	}
	var keys []string
	for _, record := range records {
		root, ok := rootOfKey(record.Key)
		if !ok {
			root = keyOf(string(record.Value))
		}
		if now.After(until[root].Add(turnMargin)) {
			keys = append(keys, record.Key)
		}
	}
	return keys
}

// ErrNotDurable reports that the store cannot keep a turn now.
var ErrNotDurable = errors.New("store is not reached, so no turn can be kept")

// ErrTooLarge reports a turn that the store cannot take.
var ErrTooLarge = errors.New("turn is too large to be kept")

// Peers are the other hosts as far as histories need them.
type Peers interface {
	// Find asks the hosts for the chain up to a turn.
	Find(ctx context.Context, program, workspace, id string) []Turn
	// Push gives copies to the host that gathers a program's turns.
	Push(program string, turns []Turn)
}

// Histories keeps turns in the store, and copies of them in memory. A turn is
// in the store before its answer ends, so the store alone tells whether a turn
// exists.
type Histories struct {
	store      store.Store
	writer     *store.Writer
	clock      clockwork.Clock
	logger     log.Interface
	peers      Peers
	partitions int
	bounds     Bounds
	reachable  func() bool
	archive    *archive
}

// Bounds are what the store takes, in bytes.
type Bounds struct {
	Record int // of one record
	Call   int // of the records of one append
}

// Parts are what histories work with.
type Parts struct {
	Store       store.Store
	Writer      *store.Writer
	Clock       clockwork.Clock
	Logger      log.Interface
	Peers       Peers
	Partitions  int
	MemoryBytes int
	Bounds      Bounds
	Reachable   func() bool // whether the store can be called
}

// New returns histories.
func New(parts Parts) *Histories {
	return &Histories{
		store: parts.Store, writer: parts.Writer, clock: parts.Clock, logger: parts.Logger, peers: parts.Peers,
		partitions: parts.Partitions, bounds: parts.Bounds.orDefault(), reachable: parts.Reachable, archive: newArchive(parts.MemoryBytes),
	}
}

func (histories *Histories) partOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % uint64(histories.partitions))
}

// outputShare is the part of an append that is left for a turn's output.
const outputShare = 0.5

// Ready reports whether a turn with an input of a size could be made durable.
func (histories *Histories) Ready(size int) error {
	if float64(size) > (1-outputShare)*float64(histories.bounds.Call) {
		return fmt.Errorf("%w: input has %d bytes, the store takes %d at once", ErrTooLarge, size, histories.bounds.Call)
	}
	if !histories.reachable() {
		return ErrNotDurable
	}
	return nil
}

// Keep makes a turn durable. An answer whose turn is not durable must not end.
func (histories *Histories) Keep(ctx context.Context, program string, turn Turn) error {
	turn.Kept = histories.clock.Now().UnixMilli()
	turn.Root = turn.ID
	if previous, ok := histories.archive.get(turn.Previous); ok {
		turn.Root = previous.Root
	}
	records, err := encode(turn, histories.bounds.Record)
	if err != nil {
		return err
	}
	if _, err := histories.writer.Append(ctx, Topic, histories.partOf(turn.Workspace), records...); err != nil {
		return err
	}
	histories.archive.put(&turn, histories.clock.Now())
	histories.peers.Push(program, []Turn{turn})
	return nil
}

// Gather keeps copies of turns that other hosts have made durable.
func (histories *Histories) Gather(turns []Turn) {
	now := histories.clock.Now()
	for index := range turns {
		histories.archive.put(&turns[index], now)
	}
}

// Chain returns the turns up to one as far as this host has them.
func (histories *Histories) Chain(workspace, id string) []Turn {
	turns, _ := histories.archive.chain(id)
	var found []Turn
	for _, turn := range turns {
		if turn.Workspace == workspace {
			found = append(found, *turn)
		}
	}
	return found
}

// Input returns the texts of the chain that ends with a turn, oldest first.
func (histories *Histories) Input(ctx context.Context, program, workspace, id string) ([]byte, error) {
	if turn, ok := histories.archive.get(id); ok && turn.Workspace != workspace {
		return nil, ErrNoTurn
	}
	turns, missing := histories.archive.chain(id)
	if missing != "" {
		var err error
		if turns, err = histories.fetch(ctx, program, workspace, id); err != nil {
			return nil, err
		}
	}
	var input []byte
	for _, turn := range turns {
		if turn.Workspace != workspace {
			return nil, ErrNoTurn
		}
		input = append(input, turn.Input...)
		input = append(input, turn.Output...)
	}
	return input, nil
}

// fetch gathers a chain from other hosts and the store.
func (histories *Histories) fetch(ctx context.Context, program, workspace, id string) ([]*Turn, error) {
	begun := histories.clock.Now()
	found := histories.peers.Find(ctx, program, workspace, id)
	histories.Gather(found)
	turns, missing := histories.archive.chain(id)
	source := "host"
	var err error
	for tries := 0; missing != "" && tries < maxRoots; tries++ {
		source = "store"
		if !histories.reachable() {
			err = ErrNotDurable
			break
		}
		if err = histories.load(ctx, workspace, missing); err != nil {
			break
		}
		turns, missing = histories.archive.chain(id)
	}
	entry := histories.logger.WithFields(log.Fields{
		"turn": id, "workspace": workspace, "source": source, "turns": len(turns),
		"elapsed_ms": histories.clock.Since(begun).Milliseconds(),
	})
	switch {
	case missing == "" && err == nil:
		entry.Info("history fetched")
		return turns, nil
	case err != nil && err != ErrNoTurn:
		entry.WithError(err).Warn("history not reached")
		return nil, err
	case missing != id:
		entry.WithField("missing", missing).Error("history has a gap")
		return nil, fmt.Errorf("turn %q before %q is missing", missing, id)
	default:
		entry.Info("turn does not exist")
		return nil, ErrNoTurn
	}
}

// maxRoots bounds the chains that one chain may continue.
const maxRoots = 8

// load brings the chain of a turn from the store into memory.
func (histories *Histories) load(ctx context.Context, workspace, id string) error {
	part := histories.partOf(workspace)
	root, err := histories.rootOf(ctx, part, id)
	if err != nil {
		return err
	}
	chain := newReader(root)
	for {
		listing, err := histories.store.List(ctx, store.List{Topic: Topic, Part: part, After: chain.after})
		if err != nil {
			return err
		}
		for _, record := range listing.Records {
			if err := chain.read(record); err != nil {
				return err
			}
		}
		if !listing.More || chain.ended {
			break
		}
	}
	now := histories.clock.Now()
	for _, turn := range chain.turns {
		histories.archive.put(turn, now)
	}
	return nil
}

// rootOf returns the first turn of the chain of a turn.
func (histories *Histories) rootOf(ctx context.Context, part int, id string) (string, error) {
	key := rootPrefix + keyOf(id)
	listing, err := histories.store.List(ctx, store.List{Topic: Topic, Part: part, After: before(key)})
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
