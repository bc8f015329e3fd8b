package front

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
)

// confinedHistory records the constraints under which turns are read and stored.
type confinedHistory struct {
	keys []string
	root string // of the saved turn
}

func (history *confinedHistory) record(ctx context.Context) {
	history.keys = append(history.keys, region.FromContext(ctx).Key())
}

func (history *confinedHistory) CheckStorable(ctx context.Context, _ int) error {
	history.record(ctx)
	return nil
}

func (confined *confinedHistory) Transcript(ctx context.Context, _, _, _ string, _ func(int64) error) (history.Transcript, error) {
	confined.record(ctx)
	return history.NewTranscript(nil, nil, "t-0"), nil
}

func (confined *confinedHistory) Save(ctx context.Context, _ string, turn history.Turn) error {
	confined.record(ctx)
	confined.root = turn.Root
	return nil
}

// TestTurnsWithinRegions guards against reading or storing the texts of a turn without
// the constraint of its request, so that they may pass through any host, and against storing
// a turn apart from the chain that it continues.
func TestTurnsWithinRegions(t *testing.T) {
	is := is.New(t)
	turns := &confinedHistory{}
	clock := clockwork.NewFakeClock()
	handler := New(Dependencies{
		Clock: clock, Logger: &log.Logger{Handler: discard.Default}, Metrics: metric.Discard(), TurnHistory: turns,
		Regions: region.New("a", "r1", map[string]string{"a": "r1", "b": "r2"}),
	})
	exchange := &exchange{
		handler: handler, writer: httptest.NewRecorder(), request: &request.Request{PreviousTurn: "t-1"}, arrivedAt: clock.Now(),
		route: &route.Route{KeepsHistory: true, HomeRegions: []string{"r2", "r1"}}, workspace: &route.Workspace{Name: "w", HomeRegions: []string{"r2"}},
	}
	exchange.home = exchange.constraint()
	is.Equal(exchange.prepareTurn(t.Context()), nil)
	is.Equal((&relay{exchange: exchange, headSent: true, retainsOutput: true}).complete(t.Context()), nil)
	is.Equal(turns.keys, []string{"in:r2", "in:r2", "in:r2"}) // CheckStorable, Transcript, Save
	is.Equal(turns.root, "t-0")
}

// TestRefusalOutsideHome guards against a request without a target in its home regions that
// waits before it is refused. The clock stands still, so that any wait would not end.
func TestRefusalOutsideHome(t *testing.T) {
	is := is.New(t)
	clock, board := clockwork.NewFakeClock(), capacity.NewBoard()
	registry := placement.NewRegistry("a", placement.DefaultPolicy(func(int) int { return 0 }))
	registry.Put(placement.Target{ID: "t", Service: "s", DataCentre: "a", Address: "127.0.0.1:1", Slots: 4})
	handler := New(Dependencies{
		Clock: clock, Logger: &log.Logger{Handler: discard.Default}, Metrics: metric.Discard(), Registry: registry,
		TargetLimits: board, TargetLimiter: capacity.NewLimiter(board, ownCoordinator{}, clock, metric.Discard()),
		Regions: region.New("a", "r1", map[string]string{"a": "r1", "b": "r2"}),
	})
	exchange := &exchange{
		handler: handler, writer: httptest.NewRecorder(), request: &request.Request{Attempt: "a"}, arrivedAt: clock.Now(), deadline: clock.Now().Add(time.Second),
		table: &route.Table{}, route: &route.Route{HomeRegions: []string{"r2"}}, service: "s",
	}
	exchange.home = exchange.constraint()
	refused := make(chan *rejection, 1)
	go func() { refused <- exchange.servePlain(t.Context()) }()
	select {
	case rejection := <-refused:
		is.Equal(rejection.reason, "no_target_in_region")
		is.True(rejection.retryDelay > 0)
	case <-time.After(10 * time.Second):
		t.Fatal("request waits")
	}
}
