package history

import (
	"context"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/store"
)

// confinedStore records the constraints of the calls.
type confinedStore struct {
	mutex sync.Mutex
	keys  map[string]string // by call
}

func (confined *confinedStore) record(ctx context.Context, call string) {
	confined.mutex.Lock()
	defer confined.mutex.Unlock()
	confined.keys[call] = region.FromContext(ctx).Key()
}

func (confined *confinedStore) Append(ctx context.Context, _ store.Append) (int64, error) {
	confined.record(ctx, "append")
	return 0, nil
}

func (confined *confinedStore) Read(context.Context, store.Read) (store.Page, error) {
	return store.Page{}, nil
}

func (confined *confinedStore) List(ctx context.Context, _ store.List) (store.Listing, error) {
	confined.record(ctx, "list")
	return store.Listing{}, nil
}

// TestConfinedTurns guards against calls of the store with the texts of a turn that do not
// carry its constraint.
func TestConfinedTurns(t *testing.T) {
	is := is.New(t)
	confined, clock, logger := &confinedStore{keys: make(map[string]string)}, clockwork.NewRealClock(), &log.Logger{Handler: discard.Default}
	histories := New(Dependencies{
		Store: confined, Writer: store.NewWriter(t.Context(), confined, clock, logger, "h/1"), Clock: clock, Logger: logger, Peers: isolatedHost{}, Partitions: 1,
		Memory: memory.NewBudget(1 << 20), Reachable: func(ctx context.Context) bool { confined.record(ctx, "reachable"); return true },
	})
	ctx := region.NewContext(t.Context(), region.New("a", "r1", nil).Constrain([]string{"r1", "r2"}))
	is.NoErr(histories.Save(ctx, "p", Turn{ID: "t-1", Workspace: "w", Input: []byte("in")}))
	is.NoErr(histories.CheckStorable(ctx, 10))
	_, err := histories.Transcript(ctx, "p", "w", "t-2", func(int64) error { return nil })
	is.Equal(err, ErrNoTurn)
	is.Equal(confined.keys, map[string]string{"append": "in:r1,r2", "list": "in:r1,r2", "reachable": "in:r1,r2"})
}
