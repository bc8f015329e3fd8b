package history

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/store"
)

// topicStore keeps records by topic, and records who lists which of them.
type topicStore struct {
	mutex  sync.Mutex
	topics map[string]map[string][]byte
	listed map[string][]string // topics, by host
}

// storePath is the path of one host to a topicStore.
type storePath struct {
	*topicStore
	host string
}

func (path storePath) Append(_ context.Context, batch store.Append) (int64, error) {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	if path.topics[batch.Topic] == nil {
		path.topics[batch.Topic] = make(map[string][]byte)
	}
	for _, record := range batch.Records {
		path.topics[batch.Topic][record.Key] = record.Value
	}
	return 0, nil
}

func (path storePath) Read(context.Context, store.Read) (store.Page, error) {
	return store.Page{}, nil
}

func (path storePath) List(_ context.Context, list store.List) (store.Listing, error) {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	path.listed[path.host] = append(path.listed[path.host], list.Topic)
	var listing store.Listing
	for key, value := range path.topics[list.Topic] {
		if key > list.After {
			listing.Records = append(listing.Records, store.Record{Key: key, Value: value})
		}
	}
	slices.SortFunc(listing.Records, func(left, right store.Record) int { return strings.Compare(left.Key, right.Key) })
	return listing, nil
}

// homePeers asks one host in the home regions.
type homePeers struct {
	isolatedHost
	home    *Histories
	regions *region.Regions // as that host sees them
}

func (peers homePeers) FindStored(ctx context.Context, constraint *region.Constraint, workspace, id string) ([]Turn, error) {
	return peers.home.StoredSegment(region.NewContext(ctx, peers.regions.Constrain(constraint.Homes())), workspace, id)
}

// newRegionHost returns the histories of a host.
func newRegionHost(t *testing.T, stored *topicStore, clock clockwork.Clock, host string, peers Peers) *Histories {
	logger, path := &log.Logger{Handler: discard.Default}, storePath{stored, host}
	return New(Dependencies{
		Store: path, Writer: store.NewWriter(t.Context(), path, clock, logger, host), Clock: clock, Logger: logger, Peers: peers, Partitions: 1,
		Memory: memory.NewBudget(1 << 20), Reachable: func(context.Context) bool { return true },
	})
}

// TestNeighbouringTurns guards against a host that reads the texts of turns outside whose
// home regions it is because they are beside a turn that it looks for, and against turns
// that cannot be continued from there.
func TestNeighbouringTurns(t *testing.T) {
	zones := map[string]string{"a": "r1", "b": "r2"}
	ofA, ofB := region.New("a", "", zones), region.New("b", "", zones)
	tests := []struct {
		name          string
		stored, sent  []string // home regions of the turn, when it was stored and now
		workspace     string   // that asks for the turn
		found         bool
		listedByA     []string // home regions of the topics that the host in r1 lists, joined
		listedByOther bool     // the host in r2 lists something
	}{
		{"no homes", nil, nil, "w", true, []string{""}, false},
		{"home of the host", []string{"r1"}, []string{"r1"}, "w", true, []string{"r1"}, false},
		{"home of another host", []string{"r2"}, []string{"r2"}, "w", true, nil, true},
		{"home of another host, another workspace", []string{"r2"}, []string{"r2"}, "other", false, nil, true},
		{"stored without homes", nil, []string{"r2"}, "w", true, nil, true},
		{"stored in other homes", []string{"r1"}, []string{"r1", "r2"}, "w", true, []string{"r1,r2", "", "r1"}, false},
		{"homes were removed", []string{"r1"}, nil, "w", true, []string{"", "r1"}, false},
		{"unknown homes", []string{"r3"}, []string{"r3"}, "w", false, nil, false},
	}
	for _, test := range tests {
		is := is.New(t)
		clock := clockwork.NewRealClock()
		stored := &topicStore{topics: make(map[string]map[string][]byte), listed: make(map[string][]string)}
		writer := newRegionHost(t, stored, clock, "writer", isolatedHost{})
		is.NoErr(writer.Save(region.NewContext(t.Context(), ofA.Constrain(test.stored)), "p", Turn{ID: "t-1", Workspace: "w", Input: []byte("in"), Retention: time.Minute}))
		is.NoErr(writer.Save(region.NewContext(t.Context(), ofA.Constrain([]string{"r2"})), "q", Turn{ID: "neighbour", Workspace: "w", Retention: time.Minute}))
		homeHost := newRegionHost(t, stored, clock, "b", isolatedHost{})
		host := newRegionHost(t, stored, clock, "a", homePeers{home: homeHost, regions: ofB})
		for _, histories := range []*Histories{host, homeHost} {
			regions := map[*Histories]*region.Regions{host: ofA, homeHost: ofB}[histories]
			histories.SetConfined([]*region.Constraint{regions.Constrain([]string{"r2"}), regions.Constrain([]string{"r1"})})
			histories.SetConfined(nil) // the configuration has changed
		}
		transcript, err := host.Transcript(region.NewContext(t.Context(), ofA.Constrain(test.sent)), "p", test.workspace, "t-1", func(int64) error { return nil })
		is.Equal(err == nil, test.found) // test.name
		if test.found {
			is.Equal(string(transcript.Texts()[0]), "in") // test.name
		}
		var expected []string
		for _, homes := range test.listedByA {
			constraint := ofA.Constrain(slices.DeleteFunc(strings.Split(homes, ","), func(name string) bool { return name == "" }))
			expected = append(expected, TopicOf(constraint))
		}
		is.Equal(slices.Compact(stored.listed["a"]), expected)    // test.name
		is.Equal(len(stored.listed["b"]) > 0, test.listedByOther) // test.name
	}
}

// TestStoredSegment guards against a host that reads turns for another one in whose home
// regions it is not itself.
func TestStoredSegment(t *testing.T) {
	is := is.New(t)
	stored := &topicStore{topics: make(map[string]map[string][]byte), listed: make(map[string][]string)}
	host, regions := newRegionHost(t, stored, clockwork.NewRealClock(), "a", isolatedHost{}), region.New("a", "r1", nil)
	_, err := host.StoredSegment(region.NewContext(t.Context(), regions.Constrain([]string{"r2"})), "w", "t-1")
	is.True(err != nil && !errors.Is(err, ErrNoTurn))
	_, err = host.StoredSegment(t.Context(), "w", "t-1")
	is.True(err != nil && !errors.Is(err, ErrNoTurn))
	is.Equal(len(stored.listed), 0)
	_, err = host.StoredSegment(region.NewContext(t.Context(), regions.Constrain([]string{"r1"})), "w", "t-1")
	is.True(errors.Is(err, ErrNoTurn))
}

// TestConfined guards against turns that nobody reads or sweeps any more after the
// configuration has changed their home regions, and against topics that are kept for good.
func TestConfined(t *testing.T) {
	is := is.New(t)
	clock, regions := clockwork.NewFakeClock(), region.New("a", "r1", nil)
	stored := &topicStore{topics: make(map[string]map[string][]byte), listed: make(map[string][]string)}
	host := newRegionHost(t, stored, clock, "a", isolatedHost{})
	keys := func() string {
		var keys []string
		for _, constraint := range host.Confined() {
			keys = append(keys, constraint.Key())
		}
		return fmt.Sprint(keys)
	}
	first, second := regions.Constrain([]string{"r1"}), regions.Constrain([]string{"r2"})
	host.SetConfined([]*region.Constraint{second, first, first})
	is.Equal(keys(), "[in:r1 in:r2]")
	clock.Advance(2 * confinedMemory)
	host.SetConfined([]*region.Constraint{second})
	is.Equal(keys(), "[in:r1 in:r2]")
	clock.Advance(confinedMemory / 2)
	host.SetConfined([]*region.Constraint{second})
	is.Equal(keys(), "[in:r1 in:r2]")
	clock.Advance(confinedMemory/2 + time.Second)
	is.Equal(keys(), "[in:r2]")
}
