package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// TestRequestThatCrashesTargets guards against a request that crashes every
// target that runs it: after the second crash no host forwards it, whichever host
// the caller retries on.
func TestRequestThatCrashesTargets(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	crashes := 0
	for _, target := range fleet.tools {
		target.SetBehaviour(func(run standin.Run) standin.Behaviour {
			if run.Body == "poison" {
				target.StopListening()
				return standin.Crash
			}
			return standin.Normal
		})
	}
	for round := range 9 {
		response := fleet.hosts[round%3].send(testRequest{path: "/filing/a", key: key, body: "poison", limit: time.Second})
		runs := len(fleet.runsOf(response.attempt))
		crashes += runs
		if runs == 0 {
			is.Equal(response.status, 503)
		}
		time.Sleep(600 * time.Millisecond) // the hosts exchange their crash counts
	}
	is.Equal(crashes, 2)
	is.Equal(fleet.hosts[0].send(testRequest{path: "/filing/a", key: key, body: "sound"}).status, 200) // on the remaining target
	is.Equal(fleet.hosts[1].send(testRequest{path: "/filing/a", key: otherKey, body: "sound"}).status, 200)
}
