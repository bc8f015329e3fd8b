package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// fleet is a set of views that exchange heartbeats.
type fleet struct {
	now    time.Time
	views  map[string]*host.Membership
	owners [ledger.SlotCount]host.Owner
	epochs [ledger.SlotCount]int
}

func newFleet(names ...string) *fleet {
	fleet := &fleet{now: time.Unix(100, 0), views: make(map[string]*host.Membership)}
	for _, name := range names {
		fleet.join(name)
	}
	return fleet
}

func (fleet *fleet) join(name string) {
	fleet.views[name] = host.NewMembership(fleet.now, host.Heartbeat{
		Name: name, Incarnation: name + "-1", DataCentre: "d", Address: "127.0.0.1:1",
	})
}

// advance moves the clock forward in steps. In each step all views exchange
// heartbeats, and the first claim of a slot takes effect.
func (fleet *fleet) advance(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(500 * time.Millisecond)
		for _, view := range fleet.views {
			for _, other := range fleet.views {
				view.Observe(fleet.now, other.Local())
			}
		}
		before := fleet.owners
		for name, view := range fleet.views {
			for _, slot := range view.SlotsToClaim(fleet.now, before) {
				if fleet.owners[slot] == before[slot] {
					fleet.owners[slot] = host.Owner{Host: name, Incarnation: name + "-1"}
					fleet.epochs[slot]++
				}
			}
		}
	}
}

func (fleet *fleet) counts() map[string]int {
	counts := make(map[string]int)
	for _, owner := range fleet.owners {
		counts[owner.Host]++
	}
	return counts
}

// TestSlotsAreBalanced guards against hosts that own too few slots, and against
// slots that keep moving between live hosts.
func TestSlotsAreBalanced(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "b", "c", "d")
	fleet.advance(time.Minute)
	for name := range fleet.views {
		is.True(fleet.counts()[name] >= 12) // 64 slots over 4 hosts
	}
	before := fleet.epochs
	fleet.advance(time.Minute)
	is.Equal(fleet.epochs, before) // balanced slots keep their owners
}

// TestFailedAndNewHosts guards against slots that stay with a failed host, and
// against a new host that gets no slots of the others.
func TestFailedAndNewHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "b", "c")
	fleet.advance(time.Minute)
	delete(fleet.views, "b")
	fleet.advance(4 * time.Second)
	is.Equal(fleet.counts()["b"], 0) // taken over after the failure timeout
	fleet.join("e")
	fleet.advance(2 * time.Minute)
	is.True(fleet.counts()["e"] >= 18) // a new host gets its share one slot at a time
}

// TestLeavingHost guards against slots that stay with a host that is shutting
// down until its failure timeout.
func TestLeavingHost(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "b", "c")
	fleet.advance(time.Minute)
	local := fleet.views["a"].Local()
	local.Leaving = true
	fleet.views["a"].SetLocal(local)
	fleet.advance(2 * time.Second)
	is.Equal(fleet.counts()["a"], 0) // taken over before the failure timeout
}

// TestOutdatedHostList guards against a live host that is removed because the
// platform's host list lacks it, as an outdated list does.
func TestOutdatedHostList(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "b")
	fleet.advance(5 * time.Second)
	view := fleet.views["a"]
	view.ApplyHostList(fleet.now, []platform.Host{{Name: "z", DataCentre: "d", Address: "127.0.0.9:1", State: platform.HostLive}})
	is.Equal(len(view.Live(fleet.now, "d")), 2)  // z is only listed, b is not listed
	is.Equal(len(view.Known(fleet.now, "d")), 2) // heartbeats are sent to both
}

func ExampleRank() {
	order := host.Rank("slot", 7, []string{"a", "b", "c"})
	fewer := host.Rank("slot", 7, order[1:])
	// Removing the first name keeps the order of the others.
	fmt.Println(fewer[0] == order[1], fewer[1] == order[2])
	// Output: true true
}
