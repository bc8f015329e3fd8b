package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/platform/standin"
)

// TestCrowdedEngines fills the engines through all hosts: a new program is
// refused at once and has not run, one that is under way goes on, and a new one
// is taken again when there is room.
func TestCrowdedEngines(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	const slots = 8
	full := int(placement.CrowdedUrgent*slots*float64(len(fleet.engines))) + 1
	turn := asked{path: "/summary/a", key: key, budget: 5000, tokens: 100}
	under, fresh := turn, turn
	under.program, fresh.program = "under way", "new"
	is.Equal(fleet.hosts[0].ask(under).status, 200)
	for _, engine := range fleet.engines {
		engine.SetBehaviour(func(run standin.Run) standin.Behaviour {
			if run.Body == "slow" {
				return standin.Mute
			}
			return standin.Sound
		})
	}
	var filling sync.WaitGroup
	for number := range full {
		filling.Add(1)
		go func() {
			defer filling.Done()
			slow := turn
			slow.program, slow.budget, slow.body, slow.limit = fmt.Sprint("slow ", number), 0, "slow", 2500*time.Millisecond
			slow.path = "/dialogue/a" // not repeated elsewhere
			fleet.hosts[number%3].ask(slow)
		}()
	}
	probes := 0
	fleet.eventually(2*time.Second, "all hosts know that the engines are full", func() bool {
		for _, host := range fleet.hosts {
			probe := turn
			probes++
			probe.program = fmt.Sprint("probe ", probes)
			if answer := host.ask(probe); !strings.Contains(answer.body, "targets_crowded") {
				return false
			}
		}
		return true
	})
	begun := time.Now()
	refused := fleet.hosts[1].ask(fresh)
	is.Equal(refused.status, 503)
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(len(fleet.ran(refused.attempt)), 0)
	is.True(time.Since(begun) < 300*time.Millisecond)
	is.Equal(fleet.hosts[2].ask(under).status, 200)
	filling.Wait()
	fleet.eventually(2*time.Second, "a new program is taken", func() bool { return fleet.hosts[1].ask(fresh).status == 200 })
}
