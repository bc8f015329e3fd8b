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

// TestOverloadedEngines guards against new programs that delay active ones while all
// engines are overloaded: a new program must be refused at once without running,
// an active program must continue, and a new program must be admitted again when
// the engines have capacity.
func TestOverloadedEngines(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	const slots = 8
	fillingPrograms := int(placement.UrgentOverloadThreshold*slots*float64(len(fleet.engines))) + 1
	turn := testRequest{path: "/summary/a", key: key, budget: 5000, tokens: 100}
	active, newProgram := turn, turn
	active.program, newProgram.program = "active", "new"
	is.Equal(fleet.hosts[0].send(active).status, 200)
	for _, engine := range fleet.engines {
		engine.SetBehaviour(func(run standin.Run) standin.Behaviour {
			if run.Body == "slow" {
				return standin.Unresponsive
			}
			return standin.Normal
		})
	}
	var inFlight sync.WaitGroup
	for number := range fillingPrograms {
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			slow := turn
			slow.program, slow.budget, slow.body, slow.limit = fmt.Sprint("slow ", number), 0, "slow", 2500*time.Millisecond
			slow.path = "/dialogue/a" // not retried on another target
			fleet.hosts[number%3].send(slow)
		}()
	}
	probes := 0
	fleet.eventually(2*time.Second, "all hosts see that the engines are overloaded", func() bool {
		for _, host := range fleet.hosts {
			probe := turn
			probes++
			probe.program = fmt.Sprint("probe ", probes)
			if response := host.send(probe); !strings.Contains(response.body, "targets_crowded") {
				return false
			}
		}
		return true
	})
	start := time.Now()
	refused := fleet.hosts[1].send(newProgram)
	is.Equal(refused.status, 503)
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(len(fleet.runsOf(refused.attempt)), 0)
	is.True(time.Since(start) < 300*time.Millisecond)
	is.Equal(fleet.hosts[2].send(active).status, 200)
	inFlight.Wait()
	fleet.eventually(2*time.Second, "a new program is admitted", func() bool { return fleet.hosts[1].send(newProgram).status == 200 })
}
