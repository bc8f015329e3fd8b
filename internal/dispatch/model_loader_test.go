package dispatch_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/dispatch"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/standin"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

// fakeOwnership reports the same ownership, which the test sets, for every slot.
type fakeOwnership struct {
	epoch uint64
	owned bool
}

func (ownership *fakeOwnership) OwnedEpoch(int) (uint64, bool) {
	return ownership.epoch, ownership.owned
}

func modelOf(t *testing.T, server *httptest.Server) string {
	t.Helper()
	response, err := http.Get(server.URL + "/load")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var report struct {
		Model string `json:"model"`
	}
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return report.Model
}

// TestModelOrders guards against an engine that loads the model of an old
// configuration, because a paused former owner of the service resumes and sends
// orders beside the new owner.
func TestModelOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		is := is.New(t)
		server := httptest.NewServer(standin.NewEngine(standin.EngineSettings{Slots: 1, Fenced: fenced}).Handler())
		text := func(model string) *configuration.Text {
			return &configuration.Text{Services: []configuration.Service{{
				Name: "draft", Kind: "engine", Model: model, Fencing: fenced,
				Targets: []configuration.Target{{DataCentre: "a", Address: address(server)}},
			}}}
		}
		clock := clockwork.NewFakeClock()
		earlierOwnership, laterOwnership := &fakeOwnership{epoch: 1, owned: true}, &fakeOwnership{epoch: 2, owned: true}
		earlier := dispatch.NewModelLoader(clock, metric.Discard(), "a", earlierOwnership)
		later := dispatch.NewModelLoader(clock, metric.Discard(), "a", laterOwnership)
		earlier.SetText(text("old"), 1)
		later.SetText(text("new"), 2)
		earlier.Reconcile(context.Background())
		is.Equal(modelOf(t, server), "old")
		later.Reconcile(context.Background())
		if !fenced {
			is.Equal(modelOf(t, server), "old") // the earlier owner's lease may still be valid
		}
		clock.Advance(workspace.TakeoverWait + time.Second)
		later.Reconcile(context.Background())
		is.Equal(modelOf(t, server), "new")
		earlier.Reconcile(context.Background()) // the earlier owner resumes after a long pause
		if fenced {
			is.Equal(modelOf(t, server), "new") // its fencing token is too old
		}
		earlierOwnership.owned = false // without proof of ownership it sends no orders
		later.Reconcile(context.Background())
		earlier.Reconcile(context.Background())
		is.Equal(modelOf(t, server), "new")
		server.CloseClientConnections()
		server.Close()
	}
}
