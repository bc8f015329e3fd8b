package budget

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// TestBudgetProtocol guards against generating more tokens than the budget: turns
// of one program run on several hosts while the store fails calls, loses
// responses and trims old records, and hosts restart.
func TestBudgetProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 1000
		count := rapid.IntRange(1, 3).Draw(t, "hosts")
		cluster := &cluster{store: newMemoryStore(), hosts: make([]*Allocator, count), cancels: make([]context.CancelFunc, count)}
		for number := range cluster.hosts {
			cluster.startHost(number)
		}
		defer func() {
			for _, cancel := range cluster.cancels {
				cancel()
			}
		}()
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60).Draw(t, "faults")
		cluster.store.fail = func() (bool, bool) {
			if len(faults) == 0 {
				return false, false
			}
			fault := faults[0]
			faults = faults[1:]
			return fault == 0, fault == 1
		}
		generated, largest := 0, 0
		ran := make(map[HoldID]int) // tokens that turns used, by hold
		for range rapid.IntRange(10, 40).Draw(t, "turns") {
			number := rapid.IntRange(0, count-1).Draw(t, "host")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				cluster.startHost(number)
				continue
			case 1:
				cluster.store.trim()
			}
			claimed := rapid.IntRange(50, 400).Draw(t, "tokens")
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			reservation, err := cluster.hosts[number].Reserve(ctx, Claim{Program: "p", Budget: budget, Tokens: claimed})
			cancel()
			if err != nil {
				continue
			}
			used := rapid.IntRange(claimed/2, claimed).Draw(t, "used")
			generated += used
			largest = max(largest, used)
			ran[reservation.hold] += used
			if rapid.Bool().Draw(t, "settled") {
				reservation.Settle(used)
			}
		}
		// A turn may exceed the budget if the hold on which it ran was given back.
		id, _ := cluster.store.givenBack()
		if above := ran[id]; generated > budget+above || above > largest {
			t.Fatalf("got %d generated tokens, want at most the budget of %d and one turn of %d", generated, budget, above)
		}
	})
}

// TestAbandonedAllocation guards against losing allocated tokens: reading an
// entry back fails after it was written, so the first request gives up. The
// tokens must be available to the next request.
func TestAbandonedAllocation(t *testing.T) {
	is := is.New(t)
	cluster := &cluster{store: newMemoryStore(), hosts: make([]*Allocator, 1), cancels: make([]context.CancelFunc, 1)}
	cluster.startHost(0)
	defer cluster.cancels[0]()
	cluster.failReads(true) // the entry is written, and reading it back fails
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := cluster.hosts[0].Reserve(ctx, Claim{Program: "p", Budget: 500, Tokens: 280})
	is.True(err != nil && !errors.Is(err, ErrSpent))
	cluster.failReads(false)
	_, err = cluster.hosts[0].Reserve(t.Context(), Claim{Program: "p", Budget: 500, Tokens: 280})
	is.NoErr(err)
}

// TestRecall guards against refusing turns while another host has unspent tokens:
// the host that needs them must recall them.
func TestRecall(t *testing.T) {
	is := is.New(t)
	cluster := &cluster{store: newMemoryStore(), hosts: make([]*Allocator, 2), cancels: make([]context.CancelFunc, 2)}
	cluster.startHost(0)
	cluster.startHost(1)
	defer cluster.cancels[0]()
	defer cluster.cancels[1]()
	first, err := cluster.hosts[0].Reserve(context.Background(), Claim{Program: "p", Budget: 500, Tokens: 100})
	is.NoErr(err)
	first.Settle(50)
	served := 50
	for served <= 500 {
		reservation, err := cluster.hosts[1].Reserve(context.Background(), Claim{Program: "p", Budget: 500, Tokens: 100})
		if errors.Is(err, ErrSpent) {
			break
		}
		is.NoErr(err)
		reservation.Settle(50)
		served += 50
	}
	is.True(served > 400) // the rest of the budget was too small for another turn
}

// unreachable implements Coordinators with a coordinator that never responds.
type unreachable struct{ settled []Settlement }

func (*unreachable) BudgetCoordinator(string) (string, bool) { return "elsewhere", false }
func (*unreachable) Reserve(context.Context, string, ReservationRequest) (ReservationResponse, error) {
	return ReservationResponse{}, errors.New("no response")
}
func (*unreachable) Started(context.Context, string, string) bool { return false }
func (unreachable *unreachable) Settle(_ string, settlement Settlement) {
	unreachable.settled = append(unreachable.settled, settlement)
}

// TestCoordinatorLost guards against refusing turns when the coordinator does
// not respond: this host must reserve the tokens itself, and must settle the
// reservation that the coordinator may have made.
func TestCoordinatorLost(t *testing.T) {
	is := is.New(t)
	cluster := &cluster{store: newMemoryStore(), hosts: make([]*Allocator, 1), cancels: make([]context.CancelFunc, 1)}
	cluster.startHost(0)
	defer cluster.cancels[0]()
	coordinators := &unreachable{}
	reserver := NewReserver(cluster.hosts[0], coordinators, clockwork.NewRealClock(), metric.Discard())
	reservation, err := reserver.Reserve(context.Background(), Claim{Program: "p", Budget: 500, Tokens: 100, TTL: time.Second})
	is.NoErr(err)
	reservation.Settle(10)
	is.Equal(len(coordinators.settled), 1)
}

// TestReservationExpires guards against freeing the tokens of a turn whose host was
// lost during the turn: when the reservation expires, all of its tokens must count
// as spent.
func TestReservationExpires(t *testing.T) {
	is := is.New(t)
	cluster := &cluster{store: newMemoryStore(), hosts: make([]*Allocator, 1), cancels: make([]context.CancelFunc, 1)}
	cluster.startHost(0)
	defer cluster.cancels[0]()
	clock := clockwork.NewFakeClock()
	reserver := NewReserver(cluster.hosts[0], &unreachable{}, clock, metric.Discard())
	_, err := reserver.HandleReserve(context.Background(), ReservationRequest{ID: "1", Claim: Claim{Program: "p", Budget: 500, Tokens: 100, TTL: time.Second}})
	is.NoErr(err)
	clock.Advance(time.Second + settlementMargin + time.Millisecond)
	reserver.ExpireReservations()
	allocation := cluster.hosts[0].allocation("p", 500)
	is.Equal(allocation.spent, 100)
	is.Equal(allocation.reserved, 0)
	// A settlement that arrives before its reservation ends the reservation at once.
	reserver.HandleSettle(Settlement{ID: "2"})
	_, err = reserver.HandleReserve(context.Background(), ReservationRequest{ID: "2", Claim: Claim{Program: "p", Budget: 500, Tokens: 100, TTL: time.Second}})
	is.NoErr(err)
	is.Equal(allocation.reserved, 0)
}

// relay implements Coordinators. It forwards requests to a coordinator on another
// host.
type relay struct{ coordinator *Reserver }

func (*relay) BudgetCoordinator(string) (string, bool) { return "coordinator", false }
func (relay *relay) Reserve(ctx context.Context, _ string, request ReservationRequest) (ReservationResponse, error) {
	return relay.coordinator.HandleReserve(ctx, request)
}
func (*relay) Started(context.Context, string, string) bool { return false }
func (relay *relay) Settle(_ string, settlement Settlement) {
	relay.coordinator.HandleSettle(settlement)
}

// TestNotStarted guards against starting programs while targets are overloaded:
// the coordinator must refuse a claim restricted to started programs if its
// program has not started, and must allocate nothing.
func TestNotStarted(t *testing.T) {
	is := is.New(t)
	cluster := &cluster{store: newMemoryStore(), hosts: make([]*Allocator, 2), cancels: make([]context.CancelFunc, 2)}
	for number := range 2 {
		cluster.startHost(number)
		defer cluster.cancels[number]()
	}
	clock := clockwork.NewRealClock()
	coordinator := NewReserver(cluster.hosts[0], &unreachable{}, clock, metric.Discard())
	other := NewReserver(cluster.hosts[1], &relay{coordinator}, clock, metric.Discard())
	claim := Claim{Program: "p", Budget: 500, Tokens: 100, TTL: time.Second, StartedOnly: true}
	_, err := other.Reserve(context.Background(), claim)
	is.True(errors.Is(err, ErrNotStarted))
	allocated, _ := cluster.hosts[0].entryLog.lookup("p")
	is.Equal(allocated, 0)
	claim.StartedOnly = false
	reservation, err := other.Reserve(context.Background(), claim)
	is.NoErr(err)
	reservation.Settle(50)
	claim.StartedOnly = true
	_, err = other.Reserve(context.Background(), claim)
	is.NoErr(err)
}

// sweep deletes the records that have expired, as the host that sweeps the partition does.
func (cluster *cluster) sweep() {
	cluster.store.mutex.Lock()
	defer cluster.store.mutex.Unlock()
	records := cluster.store.records[0]
	expired := expiredKeys(records, cluster.clock.Now())
	for index, record := range records {
		if slices.Contains(expired, record.Key) {
			records[index].Value = nil
		}
	}
}

// TestLongProgram guards against counting too few tokens as allocated while a program
// goes on for longer than its hosts remember it: hosts that have not used it for a while
// must delete none of its entries, and must return what they do not use.
func TestLongProgram(t *testing.T) {
	const budget, tokens, used = 2000, 100, 50
	for _, reload := range []bool{false, true} {
		t.Run(fmt.Sprintf("reload %t", reload), func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			cluster := &cluster{store: newMemoryStore(), clock: clock, hosts: make([]*Allocator, 4), cancels: make([]context.CancelFunc, 4)}
			for number := range cluster.hosts {
				cluster.startHost(number)
				defer cluster.cancels[number]()
			}
			generated, spent := 0, false
			turn := func(host int) {
				reservation, err := cluster.hosts[host].Reserve(context.Background(), Claim{Program: "p", Budget: budget, Tokens: tokens})
				if errors.Is(err, ErrSpent) {
					spent = true
					return
				}
				is.NoErr(err)
				reservation.Settle(used)
				generated += used
			}
			turn(0)
			for minute := 0; generated < budget-3*tokens && minute < 100; minute++ {
				turn(1)
				turn(2)
				clock.Advance(time.Minute)
				for _, host := range cluster.hosts {
					host.evict()
				}
				cluster.sweep()
				if reload {
					cluster.store.trim()
					cluster.startHost(3)
					turn(3) // by a host that lists the partition
					_, err := cluster.hosts[3].ReleaseAll(context.Background())
					is.NoErr(err)
				} else if minute == 2 {
					turn(3)
				}
			}
			cluster.hosts[3].ended = false
			for !spent && generated <= budget {
				turn(3) // by a host that may not have read the partition for many minutes
			}
			is.True(generated <= budget)
			is.True(generated > budget-tokens) // nothing is lost
		})
	}
}
