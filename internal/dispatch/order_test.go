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

// tenancy is what an orderer holds.
type tenancy struct {
	epoch uint64
	ok    bool
}

func (tenancy *tenancy) Held(int) (uint64, bool) { return tenancy.epoch, tenancy.ok }

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

// TestOrders lets two hosts that both believe to own a service give orders.
func TestOrders(t *testing.T) {
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
		first, second := &tenancy{epoch: 1, ok: true}, &tenancy{epoch: 2, ok: true}
		before := dispatch.NewOrderer(clock, metric.Discard(), "a", first)
		after := dispatch.NewOrderer(clock, metric.Discard(), "a", second)
		before.SetText(text("old"), 1)
		after.SetText(text("new"), 2)
		before.Round(context.Background())
		is.Equal(modelOf(t, server), "old")
		after.Round(context.Background())
		if !fenced {
			is.Equal(modelOf(t, server), "old") // the earlier owner's lease may still run
		}
		clock.Advance(workspace.TakeoverWait + time.Second)
		after.Round(context.Background())
		is.Equal(modelOf(t, server), "new")
		before.Round(context.Background()) // paused for long, and awake again
		if fenced {
			is.Equal(modelOf(t, server), "new") // its number is too old
		}
		first.ok = false // without a proof it orders nothing at all
		after.Round(context.Background())
		before.Round(context.Background())
		is.Equal(modelOf(t, server), "new")
		server.CloseClientConnections()
		server.Close()
	}
}
