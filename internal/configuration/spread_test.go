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

// spreadHost is a host that follows the configuration through its peers.
type spreadHost struct {
	name     string
	place    string
	follower *configuration.Follower
	view     *host.Membership
}

// TestSpread lets one host of the whole fleet reach the log. In virtual time a
// change and a withdrawal reach every other host by heartbeats alone.
func TestSpread(t *testing.T) {
	tests := []struct {
		name   string
		hosts  int
		places int
		bound  time.Duration
	}{
		{"today", 11, 3, 5 * time.Second},
		{"two years", 370, 9, 16 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			log := standin.NewLog(clock, func() float64 { return 1 }, 0, 1000)
			fleet := newSpreadFleet(clock, log, test.hosts, test.places)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			reader := fleet[0].follower
			changed := make(chan struct{}, 8)
			reader.Watch(func(*configuration.Text, uint64, *key.Ring) { changed <- struct{}{} })
			go reader.Run(ctx)
			for _, record := range []configuration.Record{change(1, 0, validText), withdraw("k")} {
				data, err := record.Encode()
				is.NoErr(err)
				_, err = log.Append(ctx, platform.ConfigurationStream, data)
				is.NoErr(err)
				<-changed
			}
			started := clock.Now()
			for !everywhere(fleet) {
				clock.Advance(500 * time.Millisecond) // a round of heartbeats
				beatRound(clock.Now(), fleet)
				is.True(clock.Now().Sub(started) <= test.bound) // in force everywhere
			}
			t.Logf("%d hosts in %d data centres: %s", test.hosts, test.places, clock.Now().Sub(started))
		})
	}
}

func newSpreadFleet(clock clockwork.Clock, log platform.Log, hosts, places int) []*spreadHost {
	var fleet []*spreadHost
	var list []platform.Host
	for index := range hosts {
		member := &spreadHost{
			name: fmt.Sprintf("host-%03d", index), place: fmt.Sprint("dc", index%places),
			follower: configuration.NewFollower(clock, metric.Discard(), log),
		}
		member.view = host.NewMembership(clock.Now(), host.Heartbeat{Name: member.name, DataCentre: member.place, Address: member.name})
		fleet = append(fleet, member)
		list = append(list, platform.Host{Name: member.name, DataCentre: member.place, Address: member.name})
	}
	for _, member := range fleet {
		member.view.ApplyHostList(clock.Now(), list)
	}
	return fleet
}

// everywhere reports whether every host has the text and the withdrawal.
func everywhere(fleet []*spreadHost) bool {
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

// beatRound exchanges heartbeats: each host with its neighbours, as they were at
// the start of the round, and with its relays.
func beatRound(now time.Time, fleet []*spreadHost) {
	type snapshot struct {
		state   configuration.Snapshot
		age     time.Duration
		current bool
	}
	byName := make(map[string]*spreadHost, len(fleet))
	before := make(map[string]snapshot, len(fleet))
	for _, member := range fleet {
		byName[member.name] = member
		var told snapshot
		member.follower.View(func(state *configuration.State) { told.state = state.Snapshot() })
		told.age, told.current = member.follower.Age()
		before[member.name] = told
	}
	hear := func(listener *spreadHost, teller string) {
		told := before[teller]
		if listener.follower.Heard(told.state.Next, told.age, told.current, now) {
			listener.follower.Pull(func() (configuration.Snapshot, error) { return told.state, nil })
		}
	}
	for _, member := range fleet {
		for _, peer := range append(member.view.Known(now, member.place), member.view.Relays()...) {
			hear(member, peer.Name)
			hear(byName[peer.Name], member.name)
		}
	}
}
