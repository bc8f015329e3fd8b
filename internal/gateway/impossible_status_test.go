package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// TestImpossibleStatus guards against callers that get a response of a target with the
// status 000, or what follows it: directly and through another host.
func TestImpossibleStatus(t *testing.T) {
	tests := []struct {
		path   string
		method string
		status int
		runs   int
	}{
		{"/lookup/a", http.MethodPost, 200, 2}, // goes on elsewhere
		{"/filing/a", http.MethodPost, 502, 1}, // may have run, and may not be repeated
		{"/summary/a", http.MethodPost, 200, 2},
		{"/dialogue/a", http.MethodPost, 502, 1},
	}
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %t", relayed), func(t *testing.T) {
			fleet := newFleet(t, 3)
			if relayed {
				fleet.hosts[0].targets.set(refusing)
				fleet.eventually(5*time.Second, "the host has lost its targets", func() bool {
					fleet.hosts[0].send(testRequest{path: "/open/a"})
					return fleet.hosts[0].Status().TargetsLost
				})
			}
			for _, test := range tests {
				var first atomic.Bool
				for _, target := range append(append([]*standin.Target{}, fleet.tools...), fleet.engines...) {
					target.SetBehaviour(func(standin.Run) standin.Behaviour {
						if first.CompareAndSwap(false, true) {
							return standin.ImpossibleStatus
						}
						return standin.Normal
					})
				}
				t.Run(test.path, func(t *testing.T) {
					is := is.NewRelaxed(t)
					response := fleet.hosts[0].send(testRequest{path: test.path, key: key, body: "in", method: test.method})
					is.Equal(response.status, test.status)
					is.True(response.complete)
					is.Equal(len(fleet.runsOf(response.attempt)), test.runs)
				})
			}
		})
	}
}
