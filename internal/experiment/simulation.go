package experiment

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/godwitspread/godwitspread/internal/overload"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
)

const (
	engineService      = "engines"
	toolService        = "tools"
	maxQueueLength     = 24                     // queue length at which a target refuses further requests
	slotSlowdown       = 0.013                  // fraction by which each running request slows the steps of an engine
	exchangeInterval   = 250 * time.Millisecond // between two exchanges of load reports among the hosts
	hopTime            = time.Millisecond       // one way between a host and a target
	callerHopTime      = 2 * time.Millisecond   // one way between a caller and a host
	overloadRetryDelay = 200 * time.Millisecond // minimum delay before the caller retries a program refused for overload
	maxResends         = 2                      // repetitions of a turn whose attempts have all failed
)

// Admission applies the rate limit of a workspace to a request.
type Admission func(request quota.AdmissionRequest, now time.Time) quota.AdmissionResponse

// simulation is a deployment whose programs run in virtual time.
type simulation struct {
	*eventLoop
	random   *rand.Rand
	hosts    []*host
	targets  map[string]*target
	admit    Admission
	refusals map[string]int                      // number of refused requests by reason
	speed    func(elapsed time.Duration) float64 // of the engines, relative to the usual; nil for 1
}

// host is an entry host with its view of the targets' load.
type host struct {
	registry   *placement.Registry
	dataCentre string
	starts     *overload.Controller // decides which programs start; nil for the overload threshold of the registry
}

// target runs as many requests at a time as it has slots and queues the rest.
type target struct {
	slots   int
	engine  bool
	running int
	queue   []*job
}

// job is a request at a target.
type job struct {
	work time.Duration
	done func(served bool) // called when the job has ended
}

// Size is the number of hosts and targets of a deployment.
type Size struct {
	Hosts, Engines, Tools int // a tool is a target of a plain service
}

func newSimulation(seed uint64, size Size, policy placement.Policy, admit Admission) *simulation {
	simulation := &simulation{
		eventLoop: newEventLoop(), random: rand.New(rand.NewPCG(seed, 7)), targets: make(map[string]*target), admit: admit, refusals: make(map[string]int),
	}
	policy.RandomInt = simulation.random.IntN
	for index := range size.Hosts {
		centre := dataCentre(index)
		simulation.hosts = append(simulation.hosts, &host{registry: placement.NewRegistry(centre, policy), dataCentre: centre})
	}
	for index := range size.Engines {
		simulation.addTarget(placement.Target{ID: fmt.Sprintf("engine-%02d", index), Service: engineService, DataCentre: dataCentre(index), Slots: 8})
	}
	for index := range size.Tools {
		simulation.addTarget(placement.Target{ID: fmt.Sprintf("tool-%02d", index), Service: toolService, DataCentre: dataCentre(index), Slots: 6})
	}
	return simulation
}

func dataCentre(index int) string { return fmt.Sprintf("centre-%d", index%3) }

func (simulation *simulation) addTarget(spec placement.Target) {
	simulation.targets[spec.ID] = &target{slots: spec.Slots, engine: spec.Service == engineService}
	for _, host := range simulation.hosts {
		host.registry.Put(spec)
	}
}

// exchangeLoad updates the remote load of every host from the local loads of the
// others, and repeats this every exchangeInterval until the given time.
func (simulation *simulation) exchangeLoad(until time.Time) {
	total := make(map[string]int)
	for _, host := range simulation.hosts {
		for id, count := range host.registry.LocalLoad() {
			total[id] += count
		}
	}
	for _, host := range simulation.hosts {
		others := maps.Clone(total)
		for id, count := range host.registry.LocalLoad() {
			others[id] -= count
		}
		host.registry.SetRemoteLoad(others)
	}
	if simulation.now.Before(until) {
		simulation.schedule(exchangeInterval, func() { simulation.exchangeLoad(until) })
	}
}

// randomHost returns a random host of a data centre.
func (simulation *simulation) randomHost(centre string) *host {
	for {
		if host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]; host.dataCentre == centre {
			return host
		}
	}
}

// enqueue runs a request on a target once a slot is free. If the target refuses
// the request because its queue is full, enqueue calls done with false.
func (simulation *simulation) enqueue(id string, work time.Duration, done func(served bool)) {
	target := simulation.targets[id]
	if len(target.queue) >= maxQueueLength {
		simulation.schedule(2*hopTime, func() { done(false) })
		return
	}
	target.queue = append(target.queue, &job{work: work, done: done})
	simulation.startQueued(target)
}

// startQueued starts queued requests while the target has free slots.
func (simulation *simulation) startQueued(target *target) {
	for target.running < target.slots && len(target.queue) > 0 {
		job := target.queue[0]
		target.queue = target.queue[1:]
		target.running++
		work := job.work
		if target.engine {
			work = time.Duration(float64(work) * (1 + slotSlowdown*float64(target.running)) / simulation.engineSpeed())
		}
		simulation.schedule(work+2*hopTime, func() {
			target.running--
			simulation.startQueued(target)
			job.done(true)
		})
	}
}

// startProgram starts a program, whose later stages follow as events.
func (simulation *simulation) startProgram(program *program, centre string) {
	program.started = simulation.now
	simulation.runStage(program, centre, 0)
}

// runStage runs a stage of a program and then the following ones. The tool calls
// and sub-agents of a stage run concurrently.
func (simulation *simulation) runStage(program *program, centre string, index int) {
	if program.failed {
		return
	}
	if index == len(program.stages) {
		program.finished = simulation.now
		return
	}
	stage := program.stages[index]
	next := func() { simulation.runStage(program, centre, index+1) }
	simulation.runCall(program, centre, stage.turn, 0, func() {
		simulation.schedule(stage.think, func() {
			pending := len(stage.tools) + len(stage.subAgents)
			if pending == 0 {
				next()
				return
			}
			finish := func() {
				if pending--; pending == 0 {
					next()
				}
			}
			for _, tool := range stage.tools {
				simulation.runCall(program, centre, tool, 0, finish)
			}
			for _, subAgent := range stage.subAgents {
				simulation.runSubAgent(program, centre, subAgent, finish)
			}
		})
	})
}

// runSubAgent runs the turns of a sub-agent one after another.
func (simulation *simulation) runSubAgent(program *program, centre string, turns []call, done func()) {
	if len(turns) == 0 {
		done()
		return
	}
	simulation.runCall(program, centre, turns[0], 0, func() { simulation.runSubAgent(program, centre, turns[1:], done) })
}

// runCall runs a call with its retries. A turn whose attempts have all failed is
// sent again up to maxResends times after a random delay. If the call still
// fails, so does its program.
func (simulation *simulation) runCall(program *program, centre string, call call, resends int, done func()) {
	simulation.attempt(program, centre, call, call.retries, func(served bool) {
		switch {
		case program.failed:
		case served:
			done()
		case call.isTurn && resends < maxResends:
			simulation.schedule(100*time.Millisecond+time.Duration(simulation.random.Int64N(int64(300*time.Millisecond))), func() {
				simulation.runCall(program, centre, call, resends+1, done)
			})
		default:
			program.failed = true
		}
	})
}

// attempt sends a call after admission. A refused call is retried after the
// delay that the refusal states, until no retries are left. While the engines
// are overloaded, calls of programs that have not sent any call are refused.
func (simulation *simulation) attempt(program *program, centre string, call call, retries int, done func(served bool)) {
	if program.failed {
		return
	}
	refuse := func(reason string, delay time.Duration) {
		simulation.refusals[reason]++
		if retries == 0 {
			done(false)
			return
		}
		simulation.schedule(delay, func() { simulation.attempt(program, centre, call, retries-1, done) })
	}
	request := quota.AdmissionRequest{Workspace: program.workspace, Program: program.id, Route: program.kind.Name, Urgent: program.kind.Urgent}
	if !call.isTurn {
		request.Route, request.Urgent = toolService, false
	}
	request.ProgramTimeLeft = program.started.Add(program.timeLimit).Sub(simulation.now)
	response := simulation.admit(request, simulation.now)
	if !response.Admitted {
		refuse("rate_exceeded", response.RetryAfter)
		return
	}
	if call.starts {
		// The host is drawn under every policy, so that policies are compared with equal random numbers.
		first, host := program.attempts == 0, simulation.randomHost(centre)
		if first {
			if delay, admitted := host.admitProgram(simulation, program, request); !admitted {
				refuse("targets_crowded", delay)
				return
			}
		} else {
			host.countSubAgent(simulation, request)
		}
	}
	program.attempts++
	simulation.schedule(callerHopTime+response.Delay, func() {
		host := simulation.randomHost(centre)
		service := toolService
		if call.isTurn {
			service = engineService
		}
		sent := simulation.now
		simulation.dispatch(host, service, nil, call, func(served bool) {
			if served {
				host.turnDone(simulation, call, simulation.now.Sub(sent))
				simulation.schedule(callerHopTime, func() { done(true) })
				return
			}
			refuse("no_target", 150*time.Millisecond)
		})
	})
}

// dispatch sends a request to one target after another until one runs it. It calls
// done with false after four targets or if the registry has no further target.
func (simulation *simulation) dispatch(host *host, service string, tried []string, call call, done func(served bool)) {
	if len(tried) == 4 {
		done(false)
		return
	}
	chosen, ok := host.registry.Choose(placement.Request{Service: service, Tried: tried}, simulation.now)
	if !ok {
		done(false)
		return
	}
	simulation.enqueue(chosen.ID, call.work, func(served bool) {
		if served {
			host.registry.Done(chosen.ID, placement.Served, simulation.now)
			done(true)
			return
		}
		simulation.refusals["target_refused"]++
		host.registry.Done(chosen.ID, placement.Refused, simulation.now)
		simulation.dispatch(host, service, append(tried, chosen.ID), call, done)
	})
}
