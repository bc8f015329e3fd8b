package configuration_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/standin"
)

// fleetHost is a host that follows the configuration through its peers.
type fleetHost struct {
	name       string
	dataCentre string
	follower   *configuration.Follower
	membership *host.Membership
}

// TestPropagationByHeartbeats guards against hosts that keep an outdated configuration
// while only one host of the fleet can reach the log. A change and a withdrawal must
// reach all other hosts through heartbeats alone, within a limit on a fake clock.
func TestPropagationByHeartbeats(t *testing.T) {
	tests := []struct {
		name        string
		hosts       int
		dataCentres int
		limit       time.Duration
	}{
		{"today", 11, 3, 5 * time.Second},
		{"two years", 370, 9, 16 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			log := standin.NewLog(clock, func() float64 { return 1 }, 0, 1000)
			fleet := newFleet(clock, log, test.hosts, test.dataCentres)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			reader := fleet[0].follower
			changed := make(chan struct{}, 8)
			reader.Watch(func(*configuration.Text, uint64, *key.Ring) { changed <- struct{}{} })
			go reader.Run(ctx)
			for _, record := range []configuration.Record{changeRecord(1, 0, validText), withdrawRecord("k")} {
				data, err := record.Encode()
				is.NoErr(err)
				_, err = log.Append(ctx, platform.ConfigurationStream, data)
				is.NoErr(err)
				<-changed
			}
			started := clock.Now()
			for !allCurrent(fleet) {
				clock.Advance(500 * time.Millisecond) // heartbeat interval
				exchangeHeartbeats(clock.Now(), fleet)
				is.True(clock.Now().Sub(started) <= test.limit) // the change reaches all hosts within the limit
			}
			t.Logf("%d hosts in %d data centres: %s", test.hosts, test.dataCentres, clock.Now().Sub(started))
		})
	}
}

func newFleet(clock clockwork.Clock, log platform.Log, hosts, dataCentres int) []*fleetHost {
	var fleet []*fleetHost
	var list []platform.Host
	for index := range hosts {
		member := &fleetHost{
			name: fmt.Sprintf("host-%03d", index), dataCentre: fmt.Sprint("dc", index%dataCentres),
			follower: configuration.NewFollower(clock, metric.Discard(), log),
		}
		member.membership = host.NewMembership(clock.Now(), host.Heartbeat{Name: member.name, DataCentre: member.dataCentre, Address: member.name})
		fleet = append(fleet, member)
		list = append(list, platform.Host{Name: member.name, DataCentre: member.dataCentre, Address: member.name})
	}
	for _, member := range fleet {
		member.membership.ApplyHostList(clock.Now(), list)
	}
	return fleet
}

// allCurrent reports whether every host has the new text and the withdrawal.
func allCurrent(fleet []*fleetHost) bool {
	for _, member := range fleet {
		current := false
		member.follower.View(func(state *configuration.State) {
			current = state.Version() == 1 && len(state.Ring().WithdrawnIDs()) == 1
		})
		if !current {
			return false
		}
	}
	return true
}

// exchangeHeartbeats exchanges heartbeats between each host and its neighbours and
// relays, with the states that they had at the start of the round.
func exchangeHeartbeats(now time.Time, fleet []*fleetHost) {
	type peerView struct {
		state   configuration.Snapshot
		age     time.Duration
		current bool
	}
	byName := make(map[string]*fleetHost, len(fleet))
	before := make(map[string]peerView, len(fleet))
	for _, member := range fleet {
		byName[member.name] = member
		var view peerView
		member.follower.View(func(state *configuration.State) { view.state = state.Snapshot() })
		view.age, view.current = member.follower.Age()
		before[member.name] = view
	}
	observe := func(receiver *fleetHost, sender string) {
		view := before[sender]
		if receiver.follower.ObservePeer(view.state.Next, view.age, view.current, now) {
			receiver.follower.Pull(func() (configuration.Snapshot, error) { return view.state, nil })
		}
	}
	for _, member := range fleet {
		for _, peer := range append(member.membership.Known(now, member.dataCentre), member.membership.Relays()...) {
			observe(member, peer.Name)
			observe(byName[peer.Name], member.name)
		}
	}
}
