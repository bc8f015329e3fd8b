package experiment

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/overload"
	"github.com/godwitspread/godwitspread/internal/quota"
)

// decideStarts gives each host its decision about new programs.
func (simulation *simulation) decideStarts(create func(random func() float64) *overload.Controller) {
	if create == nil {
		return
	}
	for _, host := range simulation.hosts {
		host.starts = create(simulation.random.Float64)
	}
}

// load returns the load of the engines as the host knows it.
func (host *host) load(simulation *simulation, urgent bool) overload.Load {
	load, overloaded := host.registry.Overloaded(engineService, urgent, simulation.now)
	return overload.Load{InFlight: load.InFlight, Slots: load.Slots, Overloaded: overloaded, Hosts: len(simulation.hosts)}
}

// admitProgram decides whether a program starts, and after which delay it may try again.
func (host *host) admitProgram(simulation *simulation, program *program, request quota.AdmissionRequest) (time.Duration, bool) {
	load := host.load(simulation, program.kind.Urgent)
	switch {
	case host.starts == nil && load.Overloaded:
		return overloadRetryDelay + time.Duration(simulation.random.Int64N(int64(overloadRetryDelay))), false
	case host.starts == nil:
		return 0, true
	}
	decision := host.starts.Decide(overloadProgram(request), load, simulation.now)
	return decision.RetryAfter, decision.Admitted
}

// countSubAgent counts the first turn of a sub-agent.
func (host *host) countSubAgent(simulation *simulation, request quota.AdmissionRequest) {
	if host.starts != nil {
		host.starts.Start(overloadProgram(request), host.load(simulation, request.Urgent), simulation.now)
	}
}

// turnDone records the end of a turn.
func (host *host) turnDone(simulation *simulation, call call, duration time.Duration) {
	if host.starts != nil && call.isTurn {
		host.starts.Done(duration, host.load(simulation, false), simulation.now)
	}
}

func overloadProgram(request quota.AdmissionRequest) overload.Program {
	return overload.Program{Workspace: request.Workspace, Urgent: request.Urgent, TimeLeft: request.ProgramTimeLeft}
}

// engineSpeed returns the speed of the engines, relative to the usual.
func (simulation *simulation) engineSpeed() float64 {
	if simulation.speed == nil {
		return 1
	}
	return simulation.speed(simulation.now.Sub(simulationStart))
}

// loseHosts removes hosts. The requests that they have in flight run to their end.
func (simulation *simulation) loseHosts(count int) {
	simulation.hosts = simulation.hosts[:len(simulation.hosts)-count]
}
