package history

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Topic is the store's topic of turns. It has a second record for each turn
// that names its root. Turns with home regions have topics of their own; see TopicOf.
const Topic = "turns"

// ErrNotDurable reports that a turn cannot be stored now.
var ErrNotDurable = errors.New("store is unreachable, so the turn cannot be stored")

// ErrTooLarge reports a turn that exceeds the size limits of the store.
var ErrTooLarge = errors.New("turn is too large to be stored")

// Peers gives access to the turns that other hosts have cached.
type Peers interface {
	// FindChain asks the program's coordinator for the chain that ends with the given turn,
	// and then all other hosts if everywhere is true.
	FindChain(ctx context.Context, program, workspace, id string, everywhere bool) []Turn
	// FindKept asks the host that reads a partition of the store for the others for such a
	// chain. self tells that this host does.
	FindKept(ctx context.Context, partition, workspace, id string) (turns []Turn, self bool, err error)
	// PushTurns sends copies of turns to the host that caches the turns of the
	// program.
	PushTurns(program string, turns []Turn)
	// FindStored asks a host in the home regions of a constraint for the stored segment of
	// the chain that contains the given turn. It returns ErrNoTurn if there is none.
	FindStored(ctx context.Context, constraint *region.Constraint, workspace, id string) ([]Turn, error)
}

// Histories stores turns and caches copies of them in memory. A turn is in the
// store before its response ends, so only the store can say that a turn does
// not exist.
type Histories struct {
	store      store.Store
	writer     *store.Writer
	clock      clockwork.Clock
	logger     log.Interface
	peers      Peers
	partitions int
	limits     StoreLimits
	reachable  func(ctx context.Context) bool
	cache      *turnCache
	memory     *memory.Budget
	confined   confinements
	metrics    *metric.Metrics
	startedAt  time.Time
	reads      chan struct{} // has an element for each request that reads from the store
}

// StoreLimits are the size limits of the store, in bytes.
type StoreLimits struct {
	RecordBytes int // of one record
	AppendBytes int // of all records of one append
}

// Dependencies are the dependencies and size limits of Histories.
type Dependencies struct {
	Store       store.Store
	Writer      *store.Writer
	Clock       clockwork.Clock
	Logger      log.Interface
	Peers       Peers
	Partitions  int
	Memory      *memory.Budget // of cached turns
	StoreLimits StoreLimits
	Metrics     *metric.Metrics                // nil to record none
	Reachable   func(ctx context.Context) bool // reports whether the store can be called through hosts that the context allows
}

// New returns Histories with the given dependencies.
func New(dependencies Dependencies) *Histories {
	metrics := dependencies.Metrics
	if metrics == nil {
		metrics = metric.Discard()
	}
	return &Histories{
		metrics: metrics, startedAt: dependencies.Clock.Now(), reads: make(chan struct{}, maxStoreReads),
		store: dependencies.Store, writer: dependencies.Writer, clock: dependencies.Clock, logger: dependencies.Logger, peers: dependencies.Peers,
		partitions: dependencies.Partitions, limits: dependencies.StoreLimits.withDefaults(), reachable: dependencies.Reachable, cache: newTurnCache(dependencies.Memory), memory: dependencies.Memory,
	}
}

func (histories *Histories) partitionOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % uint64(histories.partitions))
}

// outputShare is the share of an append that is reserved for the turn's output.
const outputShare = 0.5

// CheckStorable returns an error if a turn with an input of the given size, in
// bytes, could not be made durable now.
func (histories *Histories) CheckStorable(ctx context.Context, size int) error {
	if float64(size) > (1-outputShare)*float64(histories.limits.AppendBytes) {
		return fmt.Errorf("%w: input has %d bytes, the store accepts %d in one append", ErrTooLarge, size, histories.limits.AppendBytes)
	}
	if !histories.reachable(ctx) {
		return ErrNotDurable
	}
	return nil
}

// Save makes a turn durable. The root of a turn that continues another one should be that of
// its transcript. Only hosts that the constraint of the context allows see its texts. The
// response to a turn must not end before Save has returned without an error.
func (histories *Histories) Save(ctx context.Context, program string, turn Turn) error {
	turn.StoredMillis = histories.clock.Now().UnixMilli()
	if turn.Root == "" {
		turn.Root = turn.ID
		if previous, ok := histories.cache.get(turn.Previous); ok {
			turn.Root = previous.Root
		}
	}
	records, err := encodeTurn(turn, histories.limits.RecordBytes)
	if err != nil {
		return err
	}
	if err := histories.append(ctx, turn.Workspace, records); err != nil {
		return err
	}
	histories.cache.put(&turn, histories.clock.Now())
	histories.peers.PushTurns(program, []Turn{turn})
	return nil
}

// append appends records of a workspace, and waits while too many appends wait already:
// the turn has run.
func (histories *Histories) append(ctx context.Context, workspace string, records []store.Record) error {
	for {
		_, err := histories.writer.AppendWithin(ctx, region.FromContext(ctx), TopicOf(region.FromContext(ctx)), histories.partitionOf(workspace), records...)
		if !errors.Is(err, store.ErrQueueFull) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-histories.clock.After(queueRetryInterval):
		}
	}
}

// queueRetryInterval is how often an append to a full queue is tried again: about five
// times the response time of the store.
const queueRetryInterval = 20 * time.Millisecond

// CacheTurns caches copies of turns that other hosts have made durable.
func (histories *Histories) CacheTurns(turns []Turn) {
	now := histories.clock.Now()
	for index := range turns {
		histories.cache.put(&turns[index], now)
	}
}

// CachedChain returns the chain that ends with the given turn, as far as this
// host has cached it.
func (histories *Histories) CachedChain(workspace, id string) []Turn {
	turns, _ := histories.cache.chain(id, nil)
	var found []Turn
	for _, turn := range turns {
		if turn.Workspace == workspace {
			found = append(found, *turn)
		}
	}
	return found
}

// Evict evicts cached turns until it has released a number of bytes, or has none.
func (histories *Histories) Evict(bytes int64) { histories.cache.evict(bytes) }

// Transcript is what a turn needs of the chain that it continues. The zero value is that of
// an empty chain.
type Transcript struct {
	texts   [][]byte
	charges []budget.Charge
	root    string
}

// NewTranscript returns a transcript with texts and charges, oldest first, and the root for
// the next turn.
func NewTranscript(texts [][]byte, charges []budget.Charge, root string) Transcript {
	return Transcript{texts: texts, charges: charges, root: root}
}

// Texts returns the inputs and outputs, oldest first. They are shared and must not be changed.
func (transcript Transcript) Texts() [][]byte { return transcript.texts }

// Charges returns the charges of the last turns, oldest first.
func (transcript Transcript) Charges() []budget.Charge { return transcript.charges }

// Root returns Turn.Root for a turn that continues the chain.
func (transcript Transcript) Root() string { return transcript.root }

// Transcript returns the transcript of the chain that ends with the given turn. It calls
// reserve with the bytes that it holds for the caller, while it reads them, and returns its
// error.
func (histories *Histories) Transcript(ctx context.Context, program, workspace, id string, reserve func(bytes int64) error) (Transcript, error) {
	if turn, ok := histories.cache.get(id); ok && turn.Workspace != workspace {
		return Transcript{}, ErrNoTurn
	}
	turns, missing := histories.cache.chain(id, nil)
	if missing != "" {
		var err error
		if turns, err = histories.fetch(ctx, program, workspace, id, reserve); err != nil {
			return Transcript{}, err
		}
	} else if err := reserve(sizeOf(turns)); err != nil {
		return Transcript{}, err
	}
	texts, root := make([][]byte, 0, 2*len(turns)), ""
	for _, turn := range turns {
		if turn.Workspace != workspace {
			return Transcript{}, ErrNoTurn
		}
		texts, root = append(texts, turn.Input, turn.Output), turn.Root
	}
	return NewTranscript(texts, lastCharges(turns), root), nil
}

// maxCharges is the number of turns whose charges are passed on. The store lacks those
// since the last entry of the program, which are one or two unless several losses follow
// each other.
const maxCharges = 16

// lastCharges returns the charges of the last turns of a chain.
func lastCharges(turns []*Turn) []budget.Charge {
	var charges []budget.Charge
	for _, turn := range turns[max(0, len(turns)-maxCharges):] {
		if turn.Charge != nil {
			charges = append(charges, *turn.Charge)
		}
	}
	return charges
}

// sizeOf returns the memory that turns occupy, in bytes.
func sizeOf(turns []*Turn) int64 {
	size := int64(0)
	for _, turn := range turns {
		size += int64(turn.size())
	}
	return size
}

// fetch loads a chain into the cache, from other hosts and then from the store. It
// reserves the turns that are cached already, and those that it reads.
func (histories *Histories) fetch(ctx context.Context, program, workspace, id string, reserve func(bytes int64) error) ([]*Turn, error) {
	started := histories.clock.Now()
	everywhere := started.Sub(histories.startedAt) >= emptyTime || !histories.reachable(ctx)
	found := histories.peers.FindChain(ctx, program, workspace, id, everywhere)
	histories.CacheTurns(found)
	// The cache may evict a turn while later ones are loaded.
	loaded := make(map[string]*Turn, len(found))
	for index := range found {
		loaded[found[index].ID] = &found[index]
	}
	turns, missing := histories.cache.chain(id, loaded)
	source := "host"
	err := reserve(sizeOf(turns))
	if err != nil {
		return nil, err
	}
	if missing != "" {
		if kept := histories.findKept(ctx, workspace, id, loaded); len(kept) > 0 {
			source = "reader"
			known := sizeOf(turns)
			turns, missing = histories.cache.chain(id, loaded)
			if err := reserve(max(0, sizeOf(turns)-known)); err != nil {
				return nil, err
			}
		}
	}
	if missing != "" {
		source = "store"
		turns, missing, err = histories.readChain(ctx, workspace, id, turns, loaded, reserve)
	}
	entry := histories.logger.WithFields(log.Fields{
		"turn": id, "workspace": workspace, "source": source, "turns": len(turns),
		"elapsed_ms": histories.clock.Since(started).Milliseconds(),
	})
	switch {
	case missing == "" && err == nil:
		entry.Info("history fetched")
		return turns, nil
	case err != nil && err != ErrNoTurn:
		entry.WithError(err).Warn("history not available")
		return nil, err
	case missing != id:
		entry.WithField("missing", missing).Error("history has a missing turn")
		return nil, fmt.Errorf("turn %q before %q is missing", missing, id)
	default:
		entry.Info("turn does not exist")
		return nil, ErrNoTurn
	}
}
