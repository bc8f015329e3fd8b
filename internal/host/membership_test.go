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

// fleet is a set of views that hear each other.
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

// pass lets time go by with heartbeats between all views and claims taken in
// order of name.
func (fleet *fleet) pass(duration time.Duration) {
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		fleet.now = fleet.now.Add(500 * time.Millisecond)
		for _, view := range fleet.views {
			for _, other := range fleet.views {
				view.Hear(fleet.now, other.Own())
			}
		}
		before := fleet.owners
		for name, view := range fleet.views {
			for _, slot := range view.Wanted(fleet.now, before) {
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

func TestSlotsAreSpread(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "b", "c", "d")
	fleet.pass(time.Minute)
	for name := range fleet.views {
		is.True(fleet.counts()[name] >= 12) // 64 slots over 4 hosts
	}
	settled := fleet.epochs
	fleet.pass(time.Minute)
	is.Equal(fleet.epochs, settled) // nothing moves without a reason
}

func TestFailedAndNewHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "b", "c")
	fleet.pass(time.Minute)
	delete(fleet.views, "b")
	fleet.pass(4 * time.Second)
	is.Equal(fleet.counts()["b"], 0) // taken over after the failure timeout
	fleet.join("e")
	fleet.pass(2 * time.Minute)
	is.True(fleet.counts()["e"] >= 18) // a new host gets its share, slot by slot
}

func TestLeavingHost(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "b", "c")
	fleet.pass(time.Minute)
	own := fleet.views["a"].Own()
	own.Leaving = true
	fleet.views["a"].SetOwn(own)
	fleet.pass(2 * time.Second)
	is.Equal(fleet.counts()["a"], 0) // handed over without waiting for a timeout
}

// TestLaggingList checks that the platform's list adds hosts to talk to and
// never removes one that is heard.
func TestLaggingList(t *testing.T) {
	is := is.New(t)
	fleet := newFleet("a", "b")
	fleet.pass(5 * time.Second)
	view := fleet.views["a"]
	view.List(fleet.now, []platform.Host{{Name: "z", DataCentre: "d", Address: "127.0.0.9:1", State: platform.HostLive}})
	is.Equal(len(view.Live(fleet.now, "d")), 2)  // z is only listed, b is not listed
	is.Equal(len(view.Known(fleet.now, "d")), 2) // both are worth talking to
}

func ExampleRank() {
	order := host.Rank("slot", 7, []string{"a", "b", "c"})
	fewer := host.Rank("slot", 7, order[1:])
	// Without the first, the second is next; nothing else moves.
	fmt.Println(fewer[0] == order[1], fewer[1] == order[2])
	// Output: true true
}
