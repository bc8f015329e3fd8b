package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopAnswersLateRequests guards against a planned stop that cuts off requests without
// a response, because their targets need longer than what is left of the grace period.
func TestStopAnswersLateRequests(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		delay  time.Duration // between the stop and the request; it may be negative
		status int
	}{
		{"safe request before the stop", "/lookup/a", -100 * time.Millisecond, 504},
		{"unsafe request before the stop", "/filing/a", -100 * time.Millisecond, 504},
		{"unsafe request in the grace period", "/filing/a", time.Second, 504},
		{"turn in the grace period", "/dialogue/a", time.Second, 504},
		{"unsafe request late in the grace period", "/filing/a", 1300 * time.Millisecond, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, 2)
			for _, target := range append(fleet.tools, fleet.engines...) {
				target.SetWork(6 * time.Second)
			}
			host := fleet.hosts[0]
			responses := make(chan testResponse, 1)
			send := func() { responses <- host.send(testRequest{path: test.path, key: key, body: "file this"}) }
			if test.delay < 0 {
				go send()
				time.Sleep(-test.delay)
			} else {
				time.AfterFunc(test.delay, send)
			}
			host.stopped = true
			started := time.Now()
			// It fails if requests are left.
			_ = host.Stop(context.Background())
			is.True(time.Since(started) < 3*time.Second) // the grace period
			host.Kill()
			response := <-responses
			is.NoErr(response.err)
			is.Equal(response.status, test.status)
			is.True(response.complete)
			is.True(len(fleet.runsOf(response.attempt)) == 0 || test.status == 504)
		})
	}
}
