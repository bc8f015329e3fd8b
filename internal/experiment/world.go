package experiment

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
)

const (
	engineService      = "engines"
	toolService        = "tools"
	queueLength        = 24                     // requests that wait at a target before it turns more away
	slotCost           = 0.013                  // by which each request more lengthens the steps of an engine
	exchangeTime       = 250 * time.Millisecond // between the hosts' reports of their load
	hopTime            = time.Millisecond
	callerTime         = 2 * time.Millisecond
	overloadRetryDelay = 200 * time.Millisecond // before a refused program may return
	resends            = 2                      // of a turn that has failed with all its attempts
)

// Rates decides whether a request of a workspace may run.
type Rates func(request quota.AdmissionRequest, now time.Time) quota.AdmissionResponse

// world is a deployment in virtual time.
type world struct {
	*timeline
	random  *rand.Rand
	hosts   []*host
	targets map[string]*target
	rates   Rates
	reasons map[string]int
}

// host is an entry host with what it knows of the targets' load.
type host struct {
	registry   *placement.Registry
	dataCentre string
}

// target runs requests, a number at a time.
type target struct {
	slots   int
	engine  bool
	running int
	waiting []*job
}

type job struct {
	work time.Duration
	done func(served bool)
}

// Size is how large a deployment is.
type Size struct {
	Hosts, Engines, Tools int
}

func newWorld(seed uint64, size Size, policy placement.Policy, rates Rates) *world {
	world := &world{
		timeline: newTimeline(), random: rand.New(rand.NewPCG(seed, 7)), targets: make(map[string]*target), rates: rates, reasons: make(map[string]int),
	}
	policy.RandomInt = world.random.IntN
	for index := range size.Hosts {
		centre := dataCentre(index)
		world.hosts = append(world.hosts, &host{registry: placement.NewRegistry(centre, policy), dataCentre: centre})
	}
	for index := range size.Engines {
		world.add(placement.Target{ID: fmt.Sprintf("engine-%02d", index), Service: engineService, DataCentre: dataCentre(index), Slots: 8})
	}
	for index := range size.Tools {
		world.add(placement.Target{ID: fmt.Sprintf("tool-%02d", index), Service: toolService, DataCentre: dataCentre(index), Slots: 6})
	}
	return world
}

func dataCentre(index int) string { return fmt.Sprintf("centre-%d", index%3) }

func (world *world) add(seat placement.Target) {
	world.targets[seat.ID] = &target{slots: seat.Slots, engine: seat.Service == engineService}
	for _, host := range world.hosts {
		host.registry.Put(seat)
	}
}

// exchange tells every host the load of the others, until a time.
func (world *world) exchange(until time.Time) {
	total := make(map[string]int)
	for _, host := range world.hosts {
		for id, count := range host.registry.LocalLoad() {
			total[id] += count
		}
	}
	for _, host := range world.hosts {
		others := maps.Clone(total)
		for id, count := range host.registry.LocalLoad() {
			others[id] -= count
		}
		host.registry.SetRemoteLoad(others)
	}
	if world.now.Before(until) {
		world.after(exchangeTime, func() { world.exchange(until) })
	}
}

// hostIn returns a host of a data centre.
func (world *world) hostIn(centre string) *host {
	for {
		if host := world.hosts[world.random.IntN(len(world.hosts))]; host.dataCentre == centre {
			return host
		}
	}
}

// start runs a request on a target. The answer to done is false if the target
// turns it away.
func (world *world) start(id string, work time.Duration, done func(served bool)) {
	target := world.targets[id]
	if len(target.waiting) >= queueLength {
		world.after(2*hopTime, func() { done(false) })
		return
	}
	target.waiting = append(target.waiting, &job{work: work, done: done})
	world.fill(target)
}

func (world *world) fill(target *target) {
	for target.running < target.slots && len(target.waiting) > 0 {
		job := target.waiting[0]
		target.waiting = target.waiting[1:]
		target.running++
		work := job.work
		if target.engine {
			work = time.Duration(float64(work) * (1 + slotCost*float64(target.running)))
		}
		world.after(work+2*hopTime, func() {
			target.running--
			world.fill(target)
			job.done(true)
		})
	}
}

// launch runs a program to its end.
func (world *world) launch(program *program, centre string) {
	program.begun = world.now
	world.stage(program, centre, 0)
}

func (world *world) stage(program *program, centre string, index int) {
	if program.failed {
		return
	}
	if index == len(program.stages) {
		program.finished = world.now
		return
	}
	stage := program.stages[index]
	next := func() { world.stage(program, centre, index+1) }
	world.request(program, centre, stage.turn, 0, func() {
		world.after(stage.think, func() {
			left := len(stage.tools) + len(stage.agents)
			if left == 0 {
				next()
				return
			}
			one := func() {
				if left--; left == 0 {
					next()
				}
			}
			for _, tool := range stage.tools {
				world.request(program, centre, tool, 0, one)
			}
			for _, agent := range stage.agents {
				world.turns(program, centre, agent, one)
			}
		})
	})
}

// turns runs the turns of a sub-agent.
func (world *world) turns(program *program, centre string, turns []call, done func()) {
	if len(turns) == 0 {
		done()
		return
	}
	world.request(program, centre, turns[0], 0, func() { world.turns(program, centre, turns[1:], done) })
}

// request sends a request with its attempts, and again from its start if it is
// a turn. The program fails with it.
func (world *world) request(program *program, centre string, call call, resent int, done func()) {
	world.attempt(program, centre, call, call.retries, func(served bool) {
		switch {
		case program.failed:
		case served:
			done()
		case call.turn && resent < resends:
			world.after(100*time.Millisecond+time.Duration(world.random.Int64N(int64(300*time.Millisecond))), func() {
				world.request(program, centre, call, resent+1, done)
			})
		default:
			program.failed = true
		}
	})
}

func (world *world) attempt(program *program, centre string, call call, retries int, done func(served bool)) {
	if program.failed {
		return
	}
	refused := func(reason string, retry time.Duration) {
		world.reasons[reason]++
		if retries == 0 {
			done(false)
			return
		}
		world.after(retry, func() { world.attempt(program, centre, call, retries-1, done) })
	}
	request := quota.AdmissionRequest{Workspace: program.workspace, Program: program.id, Route: program.kind.Name, Urgent: program.kind.Urgent}
	if !call.turn {
		request.Route, request.Urgent = toolService, false
	}
	request.ProgramTimeLeft = program.begun.Add(program.aim).Sub(world.now)
	response := world.rates(request, world.now)
	if !response.Admitted {
		refused("rate_exceeded", response.RetryAfter)
		return
	}
	if call.turn && program.sent == 0 {
		if _, overloaded := world.hostIn(centre).registry.Overloaded(engineService, program.kind.Urgent); overloaded {
			refused("targets_crowded", overloadRetryDelay+time.Duration(world.random.Int64N(int64(overloadRetryDelay))))
			return
		}
	}
	program.sent++
	world.after(callerTime+response.Delay, func() {
		host := world.hostIn(centre)
		service := toolService
		if call.turn {
			service = engineService
		}
		world.send(host, service, nil, call, func(served bool) {
			if served {
				world.after(callerTime, func() { done(true) })
				return
			}
			refused("no_target", 150*time.Millisecond)
		})
	})
}

// send tries targets until one runs the request.
func (world *world) send(host *host, service string, tried []string, call call, done func(served bool)) {
	if len(tried) == 4 {
		done(false)
		return
	}
	chosen, ok := host.registry.Choose(placement.Request{Service: service, Tried: tried}, world.now)
	if !ok {
		done(false)
		return
	}
	world.start(chosen.ID, call.work, func(served bool) {
		if served {
			host.registry.Done(chosen.ID, placement.Served, world.now)
			done(true)
			return
		}
		world.reasons["target_refused"]++
		host.registry.Done(chosen.ID, placement.Refused, world.now)
		world.send(host, service, append(tried, chosen.ID), call, done)
	})
}
