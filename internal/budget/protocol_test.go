package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/store"
)

// memory is a store that keeps records by position, repeats batches of a
// producer once, and can refuse calls before or after they are done.
type memory struct {
	mutex   sync.Mutex
	records map[int][]store.Record
	batches map[string]int64
	first   map[int]int64 // records before it have expired
	refuse  func() (before, after bool)
}

func newMemory() *memory {
	return &memory{
		records: make(map[int][]store.Record), batches: make(map[string]int64), first: make(map[int]int64),
		refuse: func() (bool, bool) { return false, false },
	}
}

var errAway = errors.New("store is away")

func (memory *memory) Append(_ context.Context, batch store.Append) (int64, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	before, after := memory.refuse()
	if before {
		return 0, errAway
	}
	name := fmt.Sprintf("%s/%d/%d", batch.Producer, batch.Part, batch.Sequence)
	offset, repeated := memory.batches[name]
	if !repeated {
		offset = int64(len(memory.records[batch.Part]))
		for index, record := range batch.Records {
			record.Offset = offset + int64(index)
			memory.records[batch.Part] = append(memory.records[batch.Part], record)
		}
		memory.batches[name] = offset
	}
	if after {
		return 0, errAway
	}
	return offset, nil
}

func (memory *memory) Read(_ context.Context, read store.Read) (store.Page, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if before, _ := memory.refuse(); before {
		return store.Page{}, errAway
	}
	if read.From < memory.first[read.Part] {
		return store.Page{}, store.ErrTrimmed
	}
	records := memory.records[read.Part]
	end := int64(len(records))
	return store.Page{Records: append([]store.Record{}, records[min(read.From, end):]...), Next: end, End: end}, nil
}

func (memory *memory) List(_ context.Context, list store.List) (store.Listing, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if before, _ := memory.refuse(); before {
		return store.Listing{}, errAway
	}
	records := memory.records[list.Part]
	return store.Listing{Records: append([]store.Record{}, records...), End: int64(len(records))}, nil
}

// trial is some hosts that count one program's budget.
type trial struct {
	store   *memory
	hosts   []*Purses
	cancels []context.CancelFunc
	boots   int
}

func (trial *trial) boot(number int) {
	if trial.cancels[number] != nil {
		trial.cancels[number]()
	}
	ctx, cancel := context.WithCancel(context.Background())
	trial.cancels[number] = cancel
	trial.boots++
	holder := fmt.Sprintf("h%d/%d", number, trial.boots)
	clock := clockwork.NewRealClock()
	logger := &log.Logger{Handler: discard.Default}
	writer := store.NewWriter(ctx, trial.store, clock, logger, holder)
	trial.hosts[number] = NewPurses(Parts{
		Store: trial.store, Writer: writer, Expiry: store.NewExpiry(writer, clock, logger), Clock: clock, Logger: logger, Holder: holder,
		Partitions: 1, Recall: trial.recall, Reachable: func() bool { return true },
	})
}

func (trial *trial) recall(ctx context.Context, holder, program string) (int, bool, error) {
	for _, host := range trial.hosts {
		if host.book.holder == holder {
			returned, err := host.Release(ctx, program)
			return returned, false, err
		}
	}
	return 0, true, errors.New("host is gone")
}

// TestBudgetProtocol runs turns of one program on several hosts while the
// store refuses calls, loses answers and drops its history, and hosts are
// started anew. All turns together never generate more than the budget.
func TestBudgetProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 1000
		count := rapid.IntRange(1, 3).Draw(t, "hosts")
		trial := &trial{store: newMemory(), hosts: make([]*Purses, count), cancels: make([]context.CancelFunc, count)}
		for number := range trial.hosts {
			trial.boot(number)
		}
		defer func() {
			for _, cancel := range trial.cancels {
				cancel()
			}
		}()
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60).Draw(t, "faults")
		trial.store.refuse = func() (bool, bool) {
			if len(faults) == 0 {
				return false, false
			}
			fault := faults[0]
			faults = faults[1:]
			return fault == 0, fault == 1
		}
		generated := 0
		for range rapid.IntRange(10, 40).Draw(t, "turns") {
			number := rapid.IntRange(0, count-1).Draw(t, "host")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				trial.boot(number)
				continue
			case 1:
				trial.store.mutex.Lock()
				trial.store.first[0] = int64(len(trial.store.records[0]))
				trial.store.mutex.Unlock()
			}
			most := rapid.IntRange(50, 400).Draw(t, "tokens")
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			reservation, err := trial.hosts[number].Reserve(ctx, Claim{Program: "p", Budget: budget, Tokens: most})
			cancel()
			if err != nil {
				continue
			}
			used := rapid.IntRange(most/2, most).Draw(t, "used")
			generated += used
			if rapid.Bool().Draw(t, "settled") {
				reservation.Settle(used)
			}
		}
		if generated > budget {
			t.Fatalf("%d tokens generated with a budget of %d", generated, budget)
		}
	})
}

// TestAbandonedTaking replays a part of a budget whose taker gave up before it
// was read back: it belongs to the purse all the same.
func TestAbandonedTaking(t *testing.T) {
	is := is.New(t)
	trial := &trial{store: newMemory(), hosts: make([]*Purses, 1), cancels: make([]context.CancelFunc, 1)}
	trial.boot(0)
	defer trial.cancels[0]()
	calls := 0
	trial.store.refuse = func() (bool, bool) {
		calls++
		return calls == 2, false // the entry is written; reading it back fails
	}
	_, err := trial.hosts[0].Reserve(context.Background(), Claim{Program: "p", Budget: 500, Tokens: 280})
	is.True(err != nil && !errors.Is(err, ErrSpent))
	trial.store.refuse = func() (bool, bool) { return false, false }
	_, err = trial.hosts[0].Reserve(context.Background(), Claim{Program: "p", Budget: 500, Tokens: 280})
	is.NoErr(err)
}

// TestRecall covers a host that needs what another one holds.
func TestRecall(t *testing.T) {
	is := is.New(t)
	trial := &trial{store: newMemory(), hosts: make([]*Purses, 2), cancels: make([]context.CancelFunc, 2)}
	trial.boot(0)
	trial.boot(1)
	defer trial.cancels[0]()
	defer trial.cancels[1]()
	first, err := trial.hosts[0].Reserve(context.Background(), Claim{Program: "p", Budget: 500, Tokens: 100})
	is.NoErr(err)
	first.Settle(50)
	served := 50
	for served <= 500 {
		reservation, err := trial.hosts[1].Reserve(context.Background(), Claim{Program: "p", Budget: 500, Tokens: 100})
		if errors.Is(err, ErrSpent) {
			break
		}
		is.NoErr(err)
		reservation.Settle(50)
		served += 50
	}
	is.True(served > 400) // the budget did not hold one more turn
}

// away is a home that never answers.
type away struct{ settled []Settlement }

func (*away) Counting(string) (string, bool) { return "elsewhere", false }
func (*away) Reserve(context.Context, string, Question) (Answer, error) {
	return Answer{}, errors.New("no answer")
}
func (*away) Begun(context.Context, string) bool { return false }
func (away *away) Settle(_ string, settlement Settlement) {
	away.settled = append(away.settled, settlement)
}

// TestHomeLost covers a home that gives no answer: the turn is counted here,
// and what the home may have reserved is freed.
func TestHomeLost(t *testing.T) {
	is := is.New(t)
	trial := &trial{store: newMemory(), hosts: make([]*Purses, 1), cancels: make([]context.CancelFunc, 1)}
	trial.boot(0)
	defer trial.cancels[0]()
	homes := &away{}
	counter := NewCounter(trial.hosts[0], homes, clockwork.NewRealClock(), metric.Discard())
	settle, err := counter.Reserve(context.Background(), Claim{Program: "p", Budget: 500, Tokens: 100, Expires: time.Second})
	is.NoErr(err)
	settle(10)
	is.Equal(len(homes.settled), 1)
}

// TestReservationExpires covers a host that is lost with a turn under way: the
// turn counts as if it had generated all that it might have.
func TestReservationExpires(t *testing.T) {
	is := is.New(t)
	trial := &trial{store: newMemory(), hosts: make([]*Purses, 1), cancels: make([]context.CancelFunc, 1)}
	trial.boot(0)
	defer trial.cancels[0]()
	clock := clockwork.NewFakeClock()
	counter := NewCounter(trial.hosts[0], &away{}, clock, metric.Discard())
	_, err := counter.Serve(context.Background(), Question{ID: "1", Claim: Claim{Program: "p", Budget: 500, Tokens: 100, Expires: time.Second}})
	is.NoErr(err)
	clock.Advance(time.Second + expiryMargin + time.Millisecond)
	counter.Tidy()
	purse := trial.hosts[0].purse("p", 500)
	is.Equal(purse.spent, 100)
	is.Equal(purse.reserved, 0)
	// A settlement that comes before its reservation ends it at once.
	counter.Settled(Settlement{ID: "2"})
	_, err = counter.Serve(context.Background(), Question{ID: "2", Claim: Claim{Program: "p", Budget: 500, Tokens: 100, Expires: time.Second}})
	is.NoErr(err)
	is.Equal(purse.reserved, 0)
}

// relayed is a home on another host.
type relayed struct{ home *Counter }

func (*relayed) Counting(string) (string, bool) { return "home", false }
func (relayed *relayed) Reserve(ctx context.Context, _ string, question Question) (Answer, error) {
	return relayed.home.Serve(ctx, question)
}
func (*relayed) Begun(context.Context, string) bool             { return false }
func (relayed *relayed) Settle(_ string, settlement Settlement) { relayed.home.Settled(settlement) }

// TestNotBegun checks that claims for programs under way only are refused to
// others, by the home of the program, and take nothing of the budget.
func TestNotBegun(t *testing.T) {
	is := is.New(t)
	trial := &trial{store: newMemory(), hosts: make([]*Purses, 2), cancels: make([]context.CancelFunc, 2)}
	for number := range 2 {
		trial.boot(number)
		defer trial.cancels[number]()
	}
	clock := clockwork.NewRealClock()
	home := NewCounter(trial.hosts[0], &away{}, clock, metric.Discard())
	other := NewCounter(trial.hosts[1], &relayed{home}, clock, metric.Discard())
	claim := Claim{Program: "p", Budget: 500, Tokens: 100, Expires: time.Second, UnderWay: true}
	_, err := other.Reserve(context.Background(), claim)
	is.True(errors.Is(err, ErrNotBegun))
	taken, _ := trial.hosts[0].book.known("p")
	is.Equal(taken, 0)
	claim.UnderWay = false
	settle, err := other.Reserve(context.Background(), claim)
	is.NoErr(err)
	settle(50)
	claim.UnderWay = true
	_, err = other.Reserve(context.Background(), claim)
	is.NoErr(err)
}
