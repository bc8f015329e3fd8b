package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// TestRequestThatCrashesTargets sends one request again and again that ends
// each target that runs it: after the second crash no host sends it on.
func TestRequestThatCrashesTargets(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	crashes := 0
	for _, target := range fleet.tools {
		target.SetBehaviour(func(run standin.Run) standin.Behaviour {
			if run.Body == "poison" {
				target.Leave()
				return standin.Crash
			}
			return standin.Sound
		})
	}
	for round := range 9 {
		answer := fleet.hosts[round%3].ask(asked{path: "/filing/a", key: key, body: "poison", limit: time.Second})
		ran := len(fleet.ran(answer.attempt))
		crashes += ran
		if ran == 0 {
			is.Equal(answer.status, 503)
		}
		time.Sleep(600 * time.Millisecond) // the hosts tell each other
	}
	is.Equal(crashes, 2)
	is.Equal(fleet.hosts[0].ask(asked{path: "/filing/a", key: key, body: "sound"}).status, 200) // on the target that is left
	is.Equal(fleet.hosts[1].ask(asked{path: "/filing/a", key: otherKey, body: "sound"}).status, 200)
}
