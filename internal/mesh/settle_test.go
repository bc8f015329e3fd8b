package mesh

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/locality"
	"github.com/godwitspread/godwitspread/internal/peer"
)

// TestLateSettlement guards against a settlement that is sent again and names the location
// of its turn as that of the latest one.
func TestLateSettlement(t *testing.T) {
	is := is.New(t)
	clock, logger := clockwork.NewRealClock(), &log.Logger{Handler: discard.Default}
	ownClock := clockwork.NewFakeClock()
	mesh := newTestMesh(ownClock, "a1", "a")
	transport := peer.NewTransport("a1", "a1/1", "secret", clock, logger, mesh.Handler(Operations{}))
	mesh.SetTransport(transport)
	ages := make(chan time.Duration, settleAttempts)
	handler := newTestMesh(clock, "a2", "a").Handler(Operations{Settle: func(settlement budget.Settlement) { ages <- settlement.Location.Age }})
	lost := false
	server := peer.NewTransport("a2", "a2/1", "secret", clock, logger, func(ctx context.Context, request peer.Request, send func(any) error) error {
		if !lost {
			lost = true
			ownClock.Advance(time.Second)
			return errors.New("no answer")
		}
		return handler(ctx, request, send)
	})
	is.NoErr(server.Listen("127.0.0.1:0"))
	location := &locality.Location{Target: "e-1"}
	mesh.Settle(server.Address(), budget.Settlement{Program: "p", ID: "x", Location: location})
	is.Equal(<-ages, time.Second)
	is.Equal(location.Age, time.Duration(0)) // that of the caller
	is.NoErr(transport.Close())
	is.NoErr(server.Close())
}

// TestReservationPatience guards against a host that loads the entries of a budget from a
// busy store although their coordinator only responds slowly.
func TestReservationPatience(t *testing.T) {
	is := is.New(t)
	clock, logger := clockwork.NewRealClock(), &log.Logger{Handler: discard.Default}
	server := peer.NewTransport("a2", "a2/1", "secret", clock, logger, newTestMesh(clock, "a2", "a").Handler(Operations{
		Reserve: func(context.Context, budget.ReservationRequest) (budget.ReservationResponse, error) {
			time.Sleep(reserveTimeout + 150*time.Millisecond)
			return budget.ReservationResponse{}, nil
		},
	}))
	is.NoErr(server.Listen("127.0.0.1:0"))
	mesh := newTestMesh(clock, "a1", "a")
	transport := peer.NewTransport("a1", "a1/1", "secret", clock, logger, mesh.Handler(Operations{}))
	mesh.SetTransport(transport)
	for _, unloaded := range []bool{false, true} {
		_, err := mesh.Reserve(t.Context(), server.Address(), budget.ReservationRequest{ID: "x", Unloaded: unloaded})
		is.Equal(err == nil, unloaded) // a loaded budget is counted here instead
	}
	is.NoErr(transport.Close())
	is.NoErr(server.Close())
}
