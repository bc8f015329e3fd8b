package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/store"
)

// slowListing is a store that lists one record a page, each after a delay.
type slowListing struct {
	*memoryStore
	delay    time.Duration
	failing  bool // whether every second page fails
	mutex    sync.Mutex
	listings int
}

func (slowListing *slowListing) List(ctx context.Context, list store.List) (store.Listing, error) {
	slowListing.mutex.Lock()
	slowListing.listings++
	fails := slowListing.failing && slowListing.listings%2 == 0
	slowListing.mutex.Unlock()
	select {
	case <-time.After(slowListing.delay):
	case <-ctx.Done():
		return store.Listing{}, ctx.Err()
	}
	if fails {
		return store.Listing{}, errUnavailable
	}
	listing, err := slowListing.memoryStore.List(ctx, list)
	for index, record := range listing.Records { // in the order of their keys
		if list.After == "" || record.Key == list.After {
			first := min(index+min(len(list.After), 1), len(listing.Records))
			last := min(first+1, len(listing.Records))
			return store.Listing{Records: listing.Records[first:last], More: last < len(listing.Records), End: listing.End}, err
		}
	}
	return listing, err
}

// unloadedRelay counts the reservations of a host that has loaded the budget itself.
type unloadedRelay struct {
	*relay
	loaded int
}

func (relay *unloadedRelay) Reserve(ctx context.Context, address string, request ReservationRequest) (ReservationResponse, error) {
	if !request.Unloaded {
		relay.loaded++
	}
	return relay.relay.Reserve(ctx, address, request)
}

// TestLoadOutlivesRequests guards against a fleet that does not serve after the loss of all
// hosts, because each request that ends throws the pages away that were read for it, or
// because all hosts load what the coordinator of a program is loading.
func TestLoadOutlivesRequests(t *testing.T) {
	for _, failing := range []bool{false, true} {
		t.Run(fmt.Sprintf("failing %t", failing), func(t *testing.T) {
			is := is.New(t)
			cluster := newCluster(t, 2)
			const pages = 30
			for number := range pages {
				program := fmt.Sprintf("p%02d", number)
				_, err := cluster.hosts[0].Reserve(t.Context(), Claim{Program: program, Budget: 100, Tokens: 60})
				is.NoErr(err)
			}
			cluster.startAll()
			slow := &slowListing{memoryStore: cluster.store, delay: 10 * time.Millisecond, failing: failing}
			for _, host := range cluster.hosts {
				host.entryLog.store = slow
			}
			clock := clockwork.NewRealClock()
			coordinator := NewReserver(cluster.hosts[0], &otherDataCentre{}, clock, metric.Discard())
			asked := &unloadedRelay{relay: &relay{coordinator}}
			reserver := NewReserver(cluster.hosts[1], asked, clock, metric.Discard())
			// A claim of an older build gets an error in time, and is not told that it was granted.
			short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			_, err := coordinator.HandleReserve(short, ReservationRequest{ID: "older/1", Claim: Claim{Program: "q", Budget: 100, Tokens: 10}})
			is.True(errors.Is(err, ErrLoading))
			// A request that outlasts the coordinator's wait does not load the budget here.
			longer, cancel := context.WithTimeout(t.Context(), loadWait+50*time.Millisecond)
			defer cancel()
			_, err = reserver.Reserve(longer, Claim{Program: "q", Budget: 100, Tokens: 10, TTL: time.Second})
			is.True(err != nil)
			partition := cluster.hosts[1].entryLog.partitions[cluster.hosts[1].entryLog.partitionOf("q")]
			partition.mutex.Lock()
			is.Equal(partition.loading, nil)
			partition.mutex.Unlock()
			served := false
			for attempt := 0; !served && attempt < 200; attempt++ {
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				_, err := reserver.Reserve(ctx, Claim{Program: "q", Budget: 100, Tokens: 10, TTL: time.Second})
				served = err == nil
				cancel()
			}
			is.True(served)
			is.True(slow.listings <= 2*pages+2)                    // each page once, and again after a failure
			is.Equal(cluster.hosts[1].entryLog.loaded("q"), false) // the other host has loaded nothing
			is.Equal(asked.loaded, 0)                              // so it waits longer for the coordinator
			_, err = reserver.Reserve(t.Context(), Claim{Program: "p07", Budget: 100, Tokens: 60, TTL: time.Second})
			is.True(errors.Is(err, ErrSpent)) // what the lost hosts held is counted
		})
	}
}

// TestReleaseWithoutLoad guards against a host that loads a partition to return what it
// holds: another host waits for the answer.
func TestReleaseWithoutLoad(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 2)
	host := cluster.hosts[0]
	reservation, err := host.Reserve(t.Context(), Claim{Program: "p", Budget: 100, Tokens: 60})
	is.NoErr(err)
	reservation.Settle(10)
	partition := host.entryLog.partitions[host.entryLog.partitionOf("p")]
	partition.mutex.Lock()
	partition.next = -1 // the records after the last read were trimmed
	partition.mutex.Unlock()
	slow := &slowListing{memoryStore: cluster.store}
	host.entryLog.store = slow
	returned, err := host.Release(t.Context(), "p", nil)
	is.NoErr(err)
	is.True(returned > 0)
	is.Equal(slow.listings, 0)
	// The other host counts what was returned.
	_, err = cluster.hosts[1].Reserve(t.Context(), Claim{Program: "p", Budget: 100, Tokens: 90})
	is.NoErr(err)
}

// TestTurnGivenUpDuringLoad guards against tokens that belong to nobody, because the request
// for which they were held ended while the partition was loaded.
func TestTurnGivenUpDuringLoad(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, 2)
	slow := &slowListing{memoryStore: cluster.store, delay: 100 * time.Millisecond}
	host := cluster.hosts[0]
	host.entryLog.store = slow
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	claim := Claim{Program: "p", Budget: 100, Tokens: 60}
	_, err := host.Reserve(short, claim)
	is.True(err != nil)
	is.NoErr(host.entryLog.awaitLoad(t.Context(), host.entryLog.partitionOf("p")))
	for _, other := range []*Allocator{host, cluster.hosts[1]} { // here, and after a recall
		reservation, err := other.Reserve(t.Context(), claim)
		is.NoErr(err)
		reservation.Settle(0)
	}
}
