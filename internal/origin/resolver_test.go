package origin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// fakePeers are the other hosts.
type fakePeers struct {
	records  map[Key]Origin
	versions []string // of every service; nil if no host knows all of them
	pushed   []Record
}

func (peers *fakePeers) PushOrigin(record Record) { peers.pushed = append(peers.pushed, record) }

func (peers *fakePeers) FindOrigin(_ context.Context, key Key) (Origin, bool) {
	found, ok := peers.records[key]
	return found, ok
}

func (peers *fakePeers) FindVersions(context.Context, VersionsRequest) ([]string, bool) {
	return peers.versions, peers.versions != nil
}

// fakeTargets are the targets, by ID, as this host knows them.
type fakeTargets struct {
	versions  map[string]string
	storeLost bool
}

func (targets *fakeTargets) Version(target string) (string, bool) {
	version, ok := targets.versions[target]
	return version, ok
}

func (targets *fakeTargets) Confirm(context.Context) error {
	if targets.storeLost {
		return context.DeadlineExceeded
	}
	return nil
}

// TestResolve guards against continuing a stream at another software version than
// the one that began it, and against refusing one whose version is certain.
func TestResolve(t *testing.T) {
	const lifetime = 9 * time.Second
	key := Key{Workspace: "council", Attempt: "first"}
	began := Origin{Service: "engines", Version: "v1", Target: "e-1"}
	tests := []struct {
		name      string
		local     bool          // this host has the record
		peers     *fakePeers    // default: no other host knows anything
		targets   *fakeTargets  // default: the store is reachable
		attempt   string        // that the caller names
		services  []string      // default: engines
		following time.Duration // how long this host knows all targets
		observed  []string      // versions that it has seen
		version   string        // expected; empty if the origin is unknown
	}{
		{name: "began on this host", local: true, attempt: "first", observed: []string{"v1", "v2"}, version: "v1"},
		{name: "another host has a copy", peers: &fakePeers{records: map[Key]Origin{key: began}}, attempt: "first", observed: []string{"v1", "v2"}, version: "v1"},
		{name: "a record needs no store", local: true, targets: &fakeTargets{storeLost: true}, attempt: "first", version: "v1"},
		{name: "the target is gone", local: true, targets: &fakeTargets{versions: map[string]string{"e-2": "v2"}}, attempt: "first", version: "v1"},
		{name: "the target has restarted with another version", local: true, targets: &fakeTargets{versions: map[string]string{"e-1": "v2"}}, attempt: "first"},
		{name: "nobody knows, two versions", attempt: "first", following: time.Minute, observed: []string{"v1", "v2"}},
		{name: "nobody knows, one version", attempt: "first", following: time.Minute, observed: []string{"v1"}, version: "v1"},
		{name: "no attempt named, one version", following: time.Minute, observed: []string{"v1"}, version: "v1"},
		{name: "no attempt named, two versions", following: time.Minute, observed: []string{"v1", "v2"}},
		{name: "record of another workspace", peers: &fakePeers{records: map[Key]Origin{{Workspace: "temple", Attempt: "first"}: began}}, attempt: "first", observed: []string{"v1", "v2"}, following: time.Minute},
		{name: "this host has just started", attempt: "first", following: time.Second, observed: []string{"v1"}},
		{name: "another host knows that there was one version", peers: &fakePeers{versions: []string{"v1"}}, attempt: "first", following: time.Second, observed: []string{"v1"}, version: "v1"},
		{name: "another host knows a version that has left", peers: &fakePeers{versions: []string{"v1", "v2"}}, attempt: "first", following: time.Second, observed: []string{"v1"}},
		{name: "the entries may be old", targets: &fakeTargets{storeLost: true}, attempt: "first", following: time.Minute, observed: []string{"v1"}},
		{name: "the route has two services", services: []string{"engines", "tools"}, attempt: "first", following: time.Minute, observed: []string{"v1"}},
	}
	for _, test := range tests {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		if test.peers == nil {
			test.peers = &fakePeers{}
		}
		if test.targets == nil {
			test.targets = &fakeTargets{}
		}
		if test.services == nil {
			test.services = []string{"engines"}
		}
		history := NewVersionHistory()
		history.Restart(clock.Now())
		clock.Advance(test.following)
		for _, version := range test.observed {
			history.Observe("engines", version, clock.Now())
		}
		resolver := NewResolver(history, test.targets, test.peers, clock, metric.Discard())
		if test.local {
			resolver.Begin(Record{Key: key, Origin: began, TTL: lifetime})
			is.Equal(len(test.peers.pushed), 1) // test.name
		}
		found, err := resolver.Resolve(context.Background(), Query{Key: Key{"council", test.attempt}, Services: test.services, Lifetime: lifetime})
		is.Equal(found.Version, test.version)                    // test.name
		is.Equal(errors.Is(err, ErrUnknown), test.version == "") // test.name
	}
}

// TestVersionHistory checks that a version counts until a window after it was last
// seen, and that a history with a gap is not complete.
func TestVersionHistory(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	history := NewVersionHistory()
	_, complete := history.Versions("engines", time.Second, clock.Now())
	is.True(!complete)
	history.Restart(clock.Now())
	history.Observe("engines", "v1", clock.Now())
	clock.Advance(10 * time.Second)
	history.Observe("engines", "v2", clock.Now())
	versions, complete := history.Versions("engines", 10*time.Second, clock.Now())
	is.True(complete)
	is.Equal(versions, []string{"v1", "v2"})
	versions, _ = history.Versions("engines", 9*time.Second, clock.Now())
	is.Equal(versions, []string{"v2"})
	_, complete = history.Versions("engines", 2*maxTTL, clock.Now())
	is.True(!complete) // versions are forgotten after maxTTL
	history.Restart(clock.Now())
	_, complete = history.Versions("engines", time.Second, clock.Now())
	is.True(!complete)
}

// TestRecordsAreBounded guards against records that use up a host's memory or
// outlive their stream.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	directory := newDirectory()
	for number := range maxRecords + 100 {
		directory.put(Record{Key: Key{Attempt: fmt.Sprint(number)}, TTL: time.Hour}, clock.Now())
	}
	is.Equal(len(directory.entries), maxRecords)
	last := Key{Attempt: fmt.Sprint(maxRecords + 99)}
	_, found := directory.find(last, clock.Now())
	is.True(found)
	_, found = directory.find(last, clock.Now().Add(maxTTL+time.Second))
	is.True(!found)
}
