package front

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/origin"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
)

// TestStreamLifetime guards against streams that are resumed after their origin counts
// as known to nobody, and against a time that a caller names without bound.
func TestStreamLifetime(t *testing.T) {
	tests := []struct {
		name                        string
		timeout, timeLeft, lifetime time.Duration
	}{
		{"timeout of the route", 5 * time.Second, 0, 15 * time.Second},
		{"short timeout", 300 * time.Millisecond, time.Second, minStreamLifetime},
		{"caller that waits longer", 3 * time.Second, 20 * time.Second, time.Minute},
		{"no timeout", 0, 0, lifetimeAttempts * defaultTimeout},
		{"caller that waits for ever", 3 * time.Second, 1000 * time.Hour, origin.MaxTTL},
	}
	for _, test := range tests {
		is := is.New(t)
		exchange := &exchange{request: &request.Request{TimeLeft: test.timeLeft}, route: &route.Route{Timeout: test.timeout}}
		is.Equal(exchange.streamLifetime(), test.lifetime) // test.name
	}
}
