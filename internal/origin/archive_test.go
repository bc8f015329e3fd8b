package origin

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/hostclock/clocktest"
	"github.com/godwitspread/godwitspread/internal/store"
)

// recordStore is a store with the same records in each partition.
type recordStore struct {
	store.Store
	records []store.Record
}

func (recordStore recordStore) List(context.Context, store.List) (store.Listing, error) {
	return store.Listing{Records: recordStore.records, End: 1}, nil
}

// TestArchiveAfterJump guards against rejecting a stream that is resumed within its
// lifetime, because the clock of the host that stored its origin, or of the one that reads
// it, was 10 s off.
func TestArchiveAfterJump(t *testing.T) {
	const lifetime = 9 * time.Second
	tests := []struct {
		name           string
		writer, reader time.Duration // by which the wall clock is ahead
		age            time.Duration
		found          bool
	}{
		{"no jump", 0, 0, lifetime, true},
		{"writer behind", -10 * time.Second, 0, lifetime, true},
		{"reader ahead", 0, 10 * time.Second, lifetime, true},
		{"writer behind, reader ahead", -10 * time.Second, 10 * time.Second, lifetime, true},
		{"writer ahead", 10 * time.Second, 0, lifetime, true},
		{"expired, writer ahead, reader behind", 10 * time.Second, -10 * time.Second, lifetime + 41*time.Second, false},
		{"expired", 0, 0, lifetime + 21*time.Second, false},
	}
	for _, test := range tests {
		is := is.New(t)
		clock := clocktest.New()
		key := Key{Workspace: "council", Attempt: "first"}
		archive := NewArchive(nil, nil, nil, clock, &log.Logger{Handler: discard.Default}, 1)
		_, name := archive.locate(key)
		clock.Jump(test.writer)
		value, err := codec.Marshal(archivedOrigin{Origin: Origin{Service: "engines", Version: "v1"}, Expires: clock.Now().Add(lifetime).UnixMilli()})
		is.NoErr(err)
		records := []store.Record{{Key: name, Value: value}}
		archive.store = recordStore{records: records}
		clock.Jump(test.reader - test.writer)
		clock.Advance(test.age)
		_, found := archive.Find(context.Background(), key)
		is.Equal(found, test.found)                                            // test.name
		is.Equal(len(NewExpiry(clock.Now()).Add(records[0])) == 0, test.found) // test.name
	}
}

// TestDirectoryAfterJump guards against origins that a host forgets while their streams may
// be resumed, or keeps for too long, because its wall clock jumps.
func TestDirectoryAfterJump(t *testing.T) {
	for _, jump := range []time.Duration{10 * time.Second, -10 * time.Second} {
		is := is.New(t)
		clock := clocktest.New()
		directory, history := newDirectory(), NewVersionHistory()
		key := Key{Workspace: "council", Attempt: "first"}
		directory.put(Record{Key: key, Origin: Origin{Service: "engines"}, TTL: 9 * time.Second}, clock.Now())
		history.Restart(clock.Now())
		history.Observe("engines", "v1", clock.Now())
		clock.Jump(jump)
		clock.Advance(8 * time.Second)
		_, found := directory.find(key, clock.Now())
		is.True(found) // jump
		versions, complete := history.Versions("engines", 8*time.Second, clock.Now())
		is.True(complete && len(versions) == 1) // jump
		clock.Advance(2 * time.Second)
		_, found = directory.find(key, clock.Now())
		is.True(!found) // jump
		versions, complete = history.Versions("engines", 11*time.Second, clock.Now())
		is.True(!complete) // jump
		is.Equal(versions, []string{"v1"})
	}
}
