package budget

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/store"
)

// memoryStore is a store in memory that ignores repeated batches of a producer
// and can fail calls before or after they take effect.
type memoryStore struct {
	mutex       sync.Mutex
	records     map[int][]store.Record
	batches     map[string]int64
	firstOffset map[int]int64 // first readable offset, by partition
	fail        func() (before, after bool)
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		records: make(map[int][]store.Record), batches: make(map[string]int64), firstOffset: make(map[int]int64),
		fail: func() (bool, bool) { return false, false },
	}
}

var errUnavailable = errors.New("store is unavailable")

func (memoryStore *memoryStore) Append(_ context.Context, batch store.Append) (int64, error) {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	before, after := memoryStore.fail()
	if before {
		return 0, errUnavailable
	}
	key := fmt.Sprintf("%s/%d/%d", batch.Producer, batch.Partition, batch.Sequence)
	offset, duplicate := memoryStore.batches[key]
	if !duplicate {
		offset = int64(len(memoryStore.records[batch.Partition]))
		for index, record := range batch.Records {
			record.Offset = offset + int64(index)
			memoryStore.records[batch.Partition] = append(memoryStore.records[batch.Partition], record)
		}
		memoryStore.batches[key] = offset
	}
	if after {
		return 0, errUnavailable
	}
	return offset, nil
}

func (memoryStore *memoryStore) Read(_ context.Context, read store.Read) (store.Page, error) {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	if before, _ := memoryStore.fail(); before {
		return store.Page{}, errUnavailable
	}
	if read.From < memoryStore.firstOffset[read.Partition] {
		return store.Page{}, store.ErrTrimmed
	}
	records := memoryStore.records[read.Partition]
	end := int64(len(records))
	return store.Page{Records: append([]store.Record{}, records[min(read.From, end):]...), Next: end, End: end}, nil
}

// trim makes the store forget its history.
func (memoryStore *memoryStore) trim() {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	memoryStore.firstOffset[0] = int64(len(memoryStore.records[0]))
}

func (memoryStore *memoryStore) List(_ context.Context, list store.List) (store.Listing, error) {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	if before, _ := memoryStore.fail(); before {
		return store.Listing{}, errUnavailable
	}
	records := memoryStore.records[list.Partition]
	return store.Listing{Records: append([]store.Record{}, records...), End: int64(len(records))}, nil
}

// cluster is a set of hosts that share one program's budget.
type cluster struct {
	store   *memoryStore
	clock   clockwork.Clock // the real one by default
	hosts   []*Allocator
	cancels []context.CancelFunc
	starts  int
	silent  func() bool  // reports whether a host that is recalled counts as lost; nil for never
	asleep  map[int]bool // hosts that do nothing and count as silent, but may go on
	unclear map[int]bool // hosts of which it is unclear whether they are lost
	// bootTime is the time that counts suspended time on all hosts; by default that of the clock.
	bootTime func() time.Duration
}

func (cluster *cluster) startHost(number int) {
	if cluster.cancels[number] != nil {
		cluster.cancels[number]()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cluster.cancels[number] = cancel
	cluster.starts++
	holder := fmt.Sprintf("h%d/%d", number, cluster.starts)
	if cluster.clock == nil {
		cluster.clock = clockwork.NewRealClock()
	}
	clock, logger := cluster.clock, &log.Logger{Handler: discard.Default}
	writer := store.NewWriter(ctx, cluster.store, clock, logger, holder)
	cluster.hosts[number] = NewAllocator(Dependencies{
		Context: ctx, Store: cluster.store, Writer: writer, Clock: clock, Logger: logger, Metrics: metric.Discard(), Holder: holder,
		Partitions: 1, Recall: cluster.recall, HolderState: cluster.holderState, Reachable: func() bool { return true }, BootTime: cluster.bootTime,
	})
}

// failReads makes all calls of the store fail but the first one, which appends, or none.
func (cluster *cluster) failReads(failing bool) {
	cluster.store.mutex.Lock()
	defer cluster.store.mutex.Unlock()
	calls := 0
	cluster.store.fail = func() (bool, bool) {
		calls++
		return failing && calls > 1, false
	}
}

// holderState returns whether a host is asleep, or has been started again since it had an
// incarnation.
func (cluster *cluster) holderState(holder string) HolderState {
	number := slices.IndexFunc(cluster.hosts, func(host *Allocator) bool { return host.entryLog.holder == holder })
	switch {
	case number < 0:
		return HolderEnded
	case cluster.unclear[number]:
		return HolderUnclear
	case cluster.asleep[number]:
		return HolderSilent
	}
	return HolderAlive
}

func (cluster *cluster) recall(ctx context.Context, holder, program string, charges []Charge) (int, bool, error) {
	for number, host := range cluster.hosts {
		if host.entryLog.holder == holder && (cluster.asleep[number] || cluster.unclear[number] || cluster.silent != nil && cluster.silent()) {
			return 0, true, errors.New("host is silent")
		}
		if host.entryLog.holder == holder {
			returned, err := host.Release(ctx, program, charges)
			return returned, false, err
		}
	}
	return 0, true, errors.New("host is gone")
}

// givenBack returns the hold that the entries of partition 0 give back to the budget of
// their program, if any.
func (memoryStore *memoryStore) givenBack() (id HoldID, found bool) {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	ledger := newLedger()
	for _, record := range memoryStore.records[0] {
		var decoded entry
		if err := codec.Unmarshal(record.Value, &decoded); err != nil {
			continue
		}
		account, ok := ledger.accounts[decoded.Program]
		before := ok && account.gaveBack
		ledger.apply(decoded)
		if !before && ledger.accounts[decoded.Program].gaveBack {
			return *decoded.GivenBack, true
		}
	}
	return HoldID{}, false
}

// held returns the tokens that the entries of partition 0 hold under an ID.
func (memoryStore *memoryStore) held(id HoldID) int {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	for _, record := range memoryStore.records[0] {
		var decoded entry
		if err := codec.Unmarshal(record.Value, &decoded); err == nil && decoded.Holder == id.Holder && decoded.Serial == id.Serial {
			return decoded.Holds[id.Index]
		}
	}
	return 0
}
