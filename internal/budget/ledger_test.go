package budget

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/store"
)

// TestInvalidEntries guards against entries with numbers out of range, which could make
// sums overflow, free tokens that were never held, or occupy memory without bound.
func TestInvalidEntries(t *testing.T) {
	is := is.New(t)
	invalid := []entry{
		{Holds: []int{-1}},
		{Holds: []int{maxBudget + 1}},
		{Holds: make([]int, maxHolds+1)},
		{Charges: []Charge{{Used: -1}}},
		{Charges: []Charge{{Used: maxBudget + 1}}},
		{Charges: make([]Charge, maxCharges+1)},
		{Budget: -1},
		{Tokens: maxBudget + 1},
	}
	for _, entry := range invalid {
		entry.Program, entry.Holder = "p", "h"
		if entry.Budget == 0 {
			entry.Budget = 100
		}
		value, err := codec.Marshal(entry)
		is.NoErr(err)
		ledger, skipped := newLedger(), 0
		ledger.fold([]store.Record{{Value: value}}, 0, 1, nil, func(store.Record, error) { skipped++ })
		is.Equal(skipped, 1)
		is.Equal(len(ledger.accounts), 0)
	}
}

// TestRepeatedEntry guards against granting the holds of an entry again that the store
// has twice, as it can after it has lost batches of a producer.
func TestRepeatedEntry(t *testing.T) {
	is := is.New(t)
	ledger := newLedger()
	hold := entry{Program: "p", Holder: "h", Budget: 1000, Serial: 1, Holds: []int{100}}
	charge := entry{Program: "p", Holder: "h", Budget: 1000, Serial: 2, Charges: []Charge{{Hold: HoldID{Holder: "h", Serial: 1}, Used: 30}}}
	is.Equal(ledger.apply(hold), 1)
	is.Equal(ledger.apply(hold), 0)
	is.Equal(ledger.allocated("p"), 100)
	ledger.apply(charge)
	ledger.apply(charge)
	is.Equal(ledger.apply(hold), 0)
	is.Equal(ledger.allocated("p"), 30)
}

// TestGiveBackOnce guards against freeing tokens twice, and against freeing those of turns
// that are known to have begun.
func TestGiveBackOnce(t *testing.T) {
	held := func(serial int64, holds ...int) entry {
		return entry{Program: "p", Holder: "a", Budget: 1000, Serial: serial, Holds: holds, SingleAhead: true}
	}
	returns := func(serial int64, id HoldID) entry {
		return entry{Program: "p", Holder: "b", Budget: 1000, Serial: serial, Holds: []int{10}, SingleAhead: true, GivenBack: &id}
	}
	charge := func(used int) entry {
		return entry{Program: "p", Holder: "b", Budget: 1000, Serial: 9, Charges: []Charge{{Hold: HoldID{"a", 1, 1}, Used: used}}}
	}
	begun := entry{Program: "p", Holder: "a", Budget: 1000, Serial: 2, Holds: []int{100, 100}, SingleAhead: true, Begun: &HoldID{"a", 1, 1}}
	otherBegun := returns(8, HoldID{"a", 1, 1})
	otherBegun.Begun, otherBegun.GivenBack = &HoldID{"a", 1, 1}, nil
	tests := []struct {
		name      string
		entries   []entry
		allocated int
	}{
		{"held ahead", []entry{held(1, 100, 100), returns(1, HoldID{"a", 1, 1})}, 110},
		{"given back twice", []entry{held(1, 100, 100), returns(1, HoldID{"a", 1, 1}), returns(2, HoldID{"a", 1, 1})}, 120},
		{"entry is repeated", []entry{held(1, 100, 100), returns(1, HoldID{"a", 1, 1}), returns(1, HoldID{"a", 1, 1})}, 110},
		{"turn has arrived", []entry{held(1, 100, 100), returns(1, HoldID{"a", 1, 0})}, 210},
		{"turn has begun", []entry{held(1, 100, 100), begun, returns(1, HoldID{"a", 1, 1})}, 410},
		{"another host says that the turn has begun", []entry{held(1, 100, 100), otherBegun, returns(1, HoldID{"a", 1, 1})}, 120},
		{"begun and held ahead again", []entry{held(1, 100, 100), begun, returns(1, HoldID{"a", 2, 1})}, 310},
		{"second turn held ahead", []entry{held(1, 100, 100), held(2, 100, 100)}, 300},
		{"held ahead after one was given back", []entry{held(1, 100, 100), returns(1, HoldID{"a", 1, 1}),
			{Program: "p", Holder: "a", Budget: 1000, Serial: 2, Holds: []int{100, 100}, SingleAhead: true, Charges: []Charge{{Hold: HoldID{"b", 1, 0}}}}}, 200},
		{"own hold", []entry{held(1, 100, 100), {Program: "p", Holder: "a", Budget: 1000, Serial: 2, Holds: []int{10}, GivenBack: &HoldID{"a", 1, 1}}}, 210},
		{"several held ahead by an older build", []entry{
			{Program: "p", Holder: "a", Budget: 1000, Serial: 1, Holds: []int{100, 100}},
			{Program: "p", Holder: "a", Budget: 1000, Serial: 2, Holds: []int{100, 100}},
			returns(1, HoldID{"a", 1, 1}), returns(2, HoldID{"a", 2, 1})}, 320},
		{"not granted", []entry{held(1, 600, 600), returns(1, HoldID{"a", 1, 1})}, 610},
		{"settled before", []entry{held(1, 100, 100), charge(30), returns(1, HoldID{"a", 1, 1})}, 140},
		{"turn has run all the same", []entry{held(1, 100, 100), returns(1, HoldID{"a", 1, 1}), charge(30), charge(30)}, 140},
		{"turn has not run", []entry{held(1, 100, 100), returns(1, HoldID{"a", 1, 1}), charge(0), charge(30)}, 110},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := newLedger()
			for _, entry := range test.entries {
				ledger.apply(entry)
			}
			is.New(t).Equal(ledger.allocated("p"), test.allocated)
		})
	}
}

// TestAbandonedRequest guards against counting the hold that a host has made for a turn
// whose host reserved the tokens elsewhere, and against settling holds of other turns.
func TestAbandonedRequest(t *testing.T) {
	made := entry{Program: "p", Holder: "c", Budget: 1000, Serial: 1, Holds: []int{100, 100}, SingleAhead: true, Request: "a/1/7"}
	other := entry{Program: "p", Holder: "c", Budget: 1000, Serial: 2, Holds: []int{100}, SingleAhead: true, Request: "a/1/8"}
	abandons := func(holder, id string) entry {
		return entry{Program: "p", Holder: holder, Budget: 1000, Serial: 1, Holds: []int{10}, SingleAhead: true, Abandoned: id}
	}
	tests := []struct {
		name      string
		entries   []entry
		allocated int
	}{
		{"abandoned afterwards", []entry{made, abandons("a/1", "a/1/7")}, 110},
		{"abandoned before", []entry{abandons("a/1", "a/1/7"), made}, 10},
		{"abandoned before, entry is repeated", []entry{abandons("a/1", "a/1/7"), made, made}, 10},
		{"other reservation", []entry{other, abandons("a/1", "a/1/7")}, 110},
		{"abandoned by another host", []entry{other, abandons("b/1", "a/1/8")}, 110},
		{"abandoned by a later incarnation", []entry{other, abandons("a/2", "a/1/8")}, 110},
		{"settled before", []entry{other, {Program: "p", Holder: "c", Budget: 1000, Serial: 3, Charges: []Charge{{Hold: HoldID{"c", 2, 0}, Used: 40}}}, abandons("a/1", "a/1/8")}, 50},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ledger := newLedger()
			for _, entry := range test.entries {
				ledger.apply(entry)
			}
			is.New(t).Equal(ledger.allocated("p"), test.allocated)
		})
	}
}

// silentRelay implements Coordinators. It forwards requests to a coordinator, but none of
// its responses, and no settlements.
type silentRelay struct{ relay }

func (relay *silentRelay) Reserve(ctx context.Context, address string, request ReservationRequest) (ReservationResponse, error) {
	if _, err := relay.relay.Reserve(ctx, address, request); err != nil {
		return ReservationResponse{}, err
	}
	return ReservationResponse{}, errors.New("no response in time")
}
func (*silentRelay) Settle(string, Settlement) {}

// TestSlowCoordinatorHoldsNothing guards against refusing a turn because its coordinator
// has made a hold for it, but responded too late, and against forfeiting this hold when all
// hosts are lost before the coordinator returns it.
func TestSlowCoordinatorHoldsNothing(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 2)
	clock := clockwork.NewRealClock()
	coordinator := NewReserver(cluster.hosts[0], &unreachable{}, clock, metric.Discard())
	reserver := NewReserver(cluster.hosts[1], &silentRelay{relay{coordinator}}, clock, metric.Discard())
	claim := Claim{Program: "p", Budget: 100, Tokens: 100, TTL: time.Second}
	reservation, err := reserver.Reserve(t.Context(), claim)
	is.NoErr(err)
	claim.Charges = []Charge{*reservation.Charge(50)}
	claim.Tokens = 50
	cluster.startAll()
	_, err = cluster.hosts[0].Reserve(t.Context(), claim)
	is.NoErr(err)
}

// TestAbandonedHoldIsNotUsed guards against a turn on the hold of an abandoned reservation:
// the host of this reservation may have settled it already.
func TestAbandonedHoldIsNotUsed(t *testing.T) {
	claim := Claim{Program: "p", Budget: 5000, Tokens: 100, TTL: time.Second, request: "a/1/1"}
	tests := []struct {
		name    string
		abandon func(ctx context.Context, is *is.I, cluster *cluster)
	}{
		{"its host says so", func(ctx context.Context, is *is.I, cluster *cluster) {
			coordinator := NewReserver(cluster.hosts[0], &unreachable{}, clockwork.NewRealClock(), metric.Discard())
			_, err := coordinator.HandleReserve(ctx, ReservationRequest{ID: "a/1/1", Claim: claim})
			is.NoErr(err)
			coordinator.HandleSettle(Settlement{Program: "p", ID: "a/1/1", Abandoned: true})
		}},
		{"it is not returned yet", func(ctx context.Context, is *is.I, cluster *cluster) {
			reservation, err := cluster.hosts[0].Reserve(ctx, claim)
			is.NoErr(err)
			reservation.drop()
		}},
		{"its entry is read back too late", func(ctx context.Context, is *is.I, cluster *cluster) {
			cluster.failReads(true)
			limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := cluster.hosts[0].Reserve(limited, claim)
			is.True(err != nil && !errors.Is(err, ErrSpent))
			cluster.failReads(false)
			is.NoErr(cluster.hosts[0].entryLog.readThrough(ctx, 0, 0))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(t, 1)
			test.abandon(t.Context(), is, cluster)
			for range 3 {
				local := claim
				local.request = ""
				reservation, err := cluster.hosts[0].Reserve(t.Context(), local)
				is.NoErr(err)
				is.True(reservation.hold != HoldID{Holder: cluster.hosts[0].entryLog.holder, Serial: 1})
			}
		})
	}
}

// TestUnusedHoldIsReturned guards against forfeiting tokens of turns that have not run: a
// host must return the hold of such a turn if no other turn uses it for some seconds.
func TestUnusedHoldIsReturned(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	cluster := &cluster{store: newMemoryStore(), clock: clock, hosts: make([]*Allocator, 2), cancels: make([]context.CancelFunc, 2)}
	for number := range cluster.hosts {
		cluster.startHost(number)
		defer func() { cluster.cancels[number]() }()
	}
	claim := Claim{Program: "p", Budget: 300, Tokens: 200}
	reservation, err := cluster.hosts[0].Reserve(t.Context(), claim)
	is.NoErr(err)
	reservation.Settle(0)
	cluster.hosts[0].evict()
	clock.Advance(holdIdle + time.Millisecond)
	cluster.hosts[0].evict()
	is.Equal(cluster.awaitEntries(2), 2)
	cluster.startHost(0) // the host is lost
	_, err = cluster.hosts[1].Reserve(t.Context(), claim)
	is.NoErr(err)
}

// awaitEntries waits up to 5 s until the store has a number of entries, and returns how
// many it has.
func (cluster *cluster) awaitEntries(count int) int {
	written := func() int {
		cluster.store.mutex.Lock()
		defer cluster.store.mutex.Unlock()
		return len(cluster.store.records[0])
	}
	for end := time.Now().Add(5 * time.Second); written() < count && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return written()
}

// TestAbandonedReservationIsReturned guards against forfeiting the hold that a slow
// coordinator has made for a turn, after the turn's host has reserved tokens itself.
func TestAbandonedReservationIsReturned(t *testing.T) {
	for _, early := range []bool{false, true} {
		is := is.New(t)
		model := newLossModel(t, 0, 1)
		coordinator := NewReserver(model.cluster.hosts[0], &unreachable{}, clockwork.NewRealClock(), metric.Discard())
		claim := Claim{Program: "p", Budget: 300, Tokens: 200, TTL: time.Second}
		abandoned := Settlement{Program: "p", ID: "1", Abandoned: true}
		if early {
			coordinator.HandleSettle(abandoned)
		}
		_, err := coordinator.HandleReserve(t.Context(), ReservationRequest{ID: "1", Claim: claim})
		is.NoErr(err)
		if !early {
			coordinator.HandleSettle(abandoned)
		}
		is.Equal(model.cluster.awaitEntries(2), 2)
	}
}

// TestRepeatedRefusals guards against an entry for each repetition of a turn that the
// budget cannot hold.
func TestRepeatedRefusals(t *testing.T) {
	is := is.New(t)
	model := newLossModel(t, 0, 1)
	is.NoErr(model.begin(0, 900))
	for range 20 {
		is.True(errors.Is(model.begin(0, 200), ErrSpent))
	}
	is.Equal(len(model.cluster.store.records[0]), 2)
}

// TestSilentHolder guards against two faults when a holder is silent but has not ended:
// counting its hold in full although its turn was kept, and counting the tokens that this
// frees a second time when the holder goes on.
func TestSilentHolder(t *testing.T) {
	is := is.New(t)
	model := newLossModel(t, 0, 2)
	model.cluster.silent = func() bool { return true }
	first := Claim{Program: "p", Budget: 300, Tokens: 200}
	silent, err := model.cluster.hosts[0].Reserve(t.Context(), first)
	is.NoErr(err)
	is.Equal(silent.Charge(0), nil) // the hold of a turn without tokens is used again
	next := first
	_, err = model.cluster.hosts[1].Reserve(t.Context(), next)
	is.True(errors.Is(err, ErrSpent)) // the turn of the silent holder may be in progress
	next.Charges = []Charge{*silent.Charge(50)}
	_, err = model.cluster.hosts[1].Reserve(t.Context(), next)
	is.NoErr(err)
	silent.Settle(50)
	_, err = model.cluster.hosts[0].Reserve(t.Context(), Claim{Program: "p", Budget: 300, Tokens: 60})
	is.True(errors.Is(err, ErrSpent)) // 50 and 200 of 300 are taken
}

// TestChargeOfUnusedHold guards against settling the hold of a turn without tokens by a
// charge, while another turn uses the hold.
func TestChargeOfUnusedHold(t *testing.T) {
	is := is.New(t)
	model := newLossModel(t, 0, 2)
	claim := Claim{Program: "p", Budget: 300, Tokens: 200}
	reservation, err := model.cluster.hosts[0].Reserve(t.Context(), claim)
	is.NoErr(err)
	charge := Charge{Hold: reservation.hold}
	model.cluster.startHost(0) // the host is lost
	claim.Charges = []Charge{charge}
	_, err = model.cluster.hosts[1].Reserve(t.Context(), claim)
	is.True(errors.Is(err, ErrSpent))
}
