package mesh

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/peer"
)

// chainHost is a host with cached turns of one chain.
type chainHost struct {
	mesh  *Mesh
	turns []history.Turn
}

// TestChainLookups guards against a turn for which all hosts of the fleet are asked, because
// the turn before it ran in another data centre.
func TestChainLookups(t *testing.T) {
	chain := []history.Turn{{ID: "t1", Workspace: "w"}, {ID: "t2", Previous: "t1", Workspace: "w"}, {ID: "t3", Previous: "t2", Workspace: "w"}}
	tests := []struct {
		name  string
		ranAt string // host that has run the last turn, with the chain in its cache
		copy  bool   // whether the host has sent a copy of the turn to the coordinator
		calls int64  // at most
		found int
	}{
		{"this data centre", "a5", true, 2, 3},
		{"another data centre", "b5", true, 4, 3},
		{"copy lost", "b5", false, 3 + 17, 3},
		{"no host has it", "", false, 3 + 17, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock, logger := clockwork.NewRealClock(), &log.Logger{Handler: discard.Default}
			hosts := make(map[string]*chainHost)
			var calls atomic.Int64
			for number := range 18 {
				name := fmt.Sprintf("%c%d", 'a'+number%3, number/3)
				host := &chainHost{mesh: newTestMesh(clock, name, name[:1])}
				if name == test.ranAt {
					host.turns = chain
				}
				handler := host.mesh.Handler(Operations{
					Chain: func(string, string) []history.Turn {
						calls.Add(1)
						return host.turns
					},
					Push: func(turns []history.Turn) { host.turns = turns },
				})
				transport := peer.NewTransport(name, name+"/1", "secret", clock, logger, handler)
				is.NoErr(transport.Listen("127.0.0.1:0"))
				t.Cleanup(func() { is.NoErr(transport.Close()) })
				host.mesh.SetTransport(transport)
				host.mesh.self.Address = transport.Address()
				hosts[name] = host
			}
			for name, host := range hosts {
				for other, state := range hosts {
					if status := statusOf(other, other[:1]); other != name {
						status.Member.Address = state.mesh.self.Address
						host.mesh.ObserveStatus(status)
					}
				}
			}
			program := programAwayFrom(hosts["a0"].mesh, hosts[test.ranAt])
			if test.copy {
				runner := hosts[test.ranAt].mesh
				coordinator, _ := runner.coordinatorOf(program, runner.self.DataCentre)
				var response emptyResponse
				is.NoErr(runner.transport.Ask(t.Context(), coordinator.Address, methodPush, turnList{Turns: chain[2:], Holder: runner.self.Address}, &response))
			}
			found := hosts["a0"].mesh.FindChain(t.Context(), program, "w", "t3", true)
			is.Equal(len(found), test.found)
			is.True(calls.Load() <= test.calls)
		})
	}
}

// programAwayFrom returns a program that neither of two hosts coordinates.
func programAwayFrom(asking *Mesh, runner *chainHost) string {
	for number := 0; ; number++ {
		program := fmt.Sprint("p", number)
		if _, self := asking.coordinatorOf(program, asking.self.DataCentre); self {
			continue
		}
		if runner != nil {
			if _, self := runner.mesh.coordinatorOf(program, runner.mesh.self.DataCentre); self {
				continue
			}
		}
		return program
	}
}
