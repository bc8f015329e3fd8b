package experiment

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/request"
)

const (
	speedHosts        = 68
	speedTargets      = 55
	speedSlots        = 8
	speedSpread       = 2.4                    // between the fastest and the slowest target
	speedVariation    = 2.5                    // between the fastest and the slowest moment of a target
	speedInterval     = 500 * time.Millisecond // after which the speed of a target changes
	speedDuration     = 20 * time.Second
	speedWarmUp       = 5 * time.Second // requests that arrive earlier are not counted
	tokenTime         = 10 * time.Millisecond
	minSpeedTokens    = 15
	maxSpeedTokens    = 180
	falseFigure       = 10 // announced by targets that falsely report to be idle
	speedPromptTokens = 640
	longPromptTokens  = 6000
	longPromptRatio   = 10
)

// SpeedScenario is a load on targets that differ in speed.
type SpeedScenario struct {
	Name        string
	Load        float64       // share of the slots that a normal target would use
	Staleness   time.Duration // of what hosts tell each other
	Announced   bool          // targets announce their slowness
	Complete    bool          // the announced slowness contains the target's own speed, besides that of the moment
	Uniform     bool          // all targets are normal and do not vary
	FalseFigure int           // number of targets that always announce to be idle
	SampleSize  int
	CacheTokens int  // memory of a target; 0 if its requests are small
	TokensKnown bool // the configuration states the memory
}

// SpeedResult is the outcome of a scenario.
type SpeedResult struct {
	Requests           int
	Within13, Within16 float64 // share that ended within 1.3 and 1.6 times the time at an unloaded normal target
	Mean, P95          float64 // duration relative to that time
	FalseShare         float64 // of the requests that were sent to targets that falsely announce to be idle, relative to their share of targets
	Overflows          float64 // share of the requests that exceeded the memory of their target
	Choices            []string
}

// speedSimulation runs requests on targets whose speed varies.
type speedSimulation struct {
	*eventLoop
	scenario SpeedScenario
	random   *rand.Rand
	start    time.Time
	hosts    []*host
	targets  map[string]*variableTarget
	ratios   []float64
	result   SpeedResult
	falsely  int
	overflow int
}

// variableTarget is a target whose speed changes after each interval.
type variableTarget struct {
	target
	base    float64   // slowness of the machine
	factors []float64 // slowness of each interval
	phase   time.Duration
	lies    bool
	tokens  int
}

// RunSpeed runs a scenario. Runs with the same seed have the same requests and speeds.
func RunSpeed(scenario SpeedScenario, seed uint64) SpeedResult {
	simulation := &speedSimulation{eventLoop: newEventLoop(), scenario: scenario, random: rand.New(rand.NewPCG(seed, 11)), targets: make(map[string]*variableTarget)}
	simulation.start = simulation.now
	choice := rand.New(rand.NewPCG(seed, 13))
	policy := placement.DefaultPolicy(choice.IntN)
	if scenario.SampleSize > 0 {
		policy.SampleSize = scenario.SampleSize
	}
	for index := range speedHosts {
		centre := dataCentre(index)
		simulation.hosts = append(simulation.hosts, &host{registry: placement.NewRegistry(centre, policy), dataCentre: centre})
	}
	for index := range speedTargets {
		simulation.addTarget(index)
	}
	simulation.exchange()
	simulation.arrive()
	simulation.run()
	return simulation.summary()
}

func (simulation *speedSimulation) addTarget(index int) {
	spec := placement.Target{ID: fmt.Sprintf("target-%02d", index), Service: engineService, DataCentre: dataCentre(index), Slots: speedSlots}
	target := &variableTarget{target: target{slots: speedSlots}, base: 1, lies: index < simulation.scenario.FalseFigure}
	target.base = math.Pow(speedSpread, simulation.random.Float64()-0.5)
	target.phase = time.Duration(simulation.random.Int64N(int64(speedInterval)))
	for range 4 * speedDuration / speedInterval {
		target.factors = append(target.factors, math.Pow(speedVariation, simulation.random.Float64()-0.5))
	}
	if simulation.scenario.Uniform {
		target.base, target.factors = 1, []float64{1}
	}
	simulation.targets[spec.ID] = target
	for _, host := range simulation.hosts {
		host.registry.Put(spec)
	}
}

// interval returns the number of the interval of a target at a time since the start.
func (target *variableTarget) interval(at time.Duration) int {
	return int((at + target.phase) / speedInterval)
}

func (target *variableTarget) slowness(interval int) float64 {
	return target.base * target.factors[interval%len(target.factors)]
}

// duration returns how long work takes that begins at a time since the start.
func (target *variableTarget) duration(begin, work time.Duration) time.Duration {
	at, left := begin, work.Seconds()*(1+slotSlowdown*float64(target.running))
	for {
		interval := target.interval(at)
		slowness := target.slowness(interval)
		end := time.Duration(interval+1)*speedInterval - target.phase
		if needed := left * slowness; at.Seconds()+needed <= end.Seconds() {
			return at + time.Duration(needed*float64(time.Second)) - begin
		}
		left -= (end - at).Seconds() / slowness
		at = end
	}
}

// load returns the load that a target announces.
func (simulation *speedSimulation) load(target *variableTarget) request.Load {
	load := request.Load{Running: target.running, Waiting: len(target.queue), Slots: target.slots}
	if !simulation.scenario.Announced {
		return load
	}
	load.Slowness = target.slowness(target.interval(simulation.now.Sub(simulation.start)))
	if !simulation.scenario.Complete {
		load.Slowness /= target.base
	}
	if target.lies {
		load = request.Load{Slots: target.slots, Slowness: falseFigure / 100.0}
	}
	return load
}

// exchange tells all hosts the load and the speeds that the others know, which arrive
// later, and repeats this until the end of the arrivals.
func (simulation *speedSimulation) exchange() {
	now, total := simulation.now, make(map[string]int)
	local, allTokens := make([]map[string]int, len(simulation.hosts)), make(map[string]int)
	localTokens := make([]map[string]int, len(simulation.hosts))
	localSpeeds, allSpeeds := make([]map[string]placement.SpeedSum, len(simulation.hosts)), make(map[string]placement.SpeedSum)
	figures := make(map[string]placement.FigureReport)
	for index, host := range simulation.hosts {
		local[index], localSpeeds[index] = host.registry.LocalLoad(), host.registry.LocalSpeeds(now)
		for id, count := range local[index] {
			total[id] += count
		}
		localTokens[index] = host.registry.LocalTokens()
		for id, tokens := range localTokens[index] {
			allTokens[id] += tokens
		}
		for id, sum := range localSpeeds[index] {
			allSpeeds[id] = allSpeeds[id].Add(sum)
		}
		for id, report := range host.registry.Figures(now) {
			if known, ok := figures[id]; !ok || report.Age < known.Age {
				figures[id] = report
			}
		}
	}
	simulation.schedule(simulation.scenario.Staleness, func() {
		for index, host := range simulation.hosts {
			others, otherTokens, otherSpeeds := maps.Clone(total), maps.Clone(allTokens), maps.Clone(allSpeeds)
			for id, count := range local[index] {
				others[id] -= count
			}
			for id, sum := range localSpeeds[index] {
				otherSpeeds[id] = otherSpeeds[id].Add(placement.SpeedSum{Usual: -sum.Usual, UsualWeight: -sum.UsualWeight, Pace: -sum.Pace, PaceWeight: -sum.PaceWeight})
			}
			for id, tokens := range localTokens[index] {
				otherTokens[id] -= tokens
			}
			host.registry.SetRemoteLoad(others)
			host.registry.SetRemoteTokens(otherTokens)
			host.registry.SetRemoteSpeeds(otherSpeeds, simulation.now)
			for id, report := range figures {
				report.Age += simulation.now.Sub(now)
				host.registry.MergeFigure(id, report, simulation.now)
			}
		}
	})
	if now.Sub(simulation.start) < speedDuration {
		simulation.schedule(exchangeInterval, simulation.exchange)
	}
}

// arrive sends a request and schedules the next one.
func (simulation *speedSimulation) arrive() {
	if simulation.now.Sub(simulation.start) >= speedDuration {
		return
	}
	tokens := minSpeedTokens + simulation.random.IntN(maxSpeedTokens-minSpeedTokens)
	simulation.send(simulation.hosts[simulation.random.IntN(len(simulation.hosts))], tokens)
	mean := tokenTime.Seconds() * (minSpeedTokens + maxSpeedTokens) / 2
	rate := simulation.scenario.Load * speedTargets * speedSlots / mean
	simulation.schedule(time.Duration(simulation.random.ExpFloat64()/rate*float64(time.Second)), simulation.arrive)
}

// send sends a request of a number of generated tokens from a host to a target.
func (simulation *speedSimulation) send(host *host, tokens int) {
	sentAt, work := simulation.now, time.Duration(tokens)*tokenTime
	request := placement.Request{Service: engineService, PromptTokens: simulation.promptTokens(), MaxTokens: tokens}
	if simulation.scenario.TokensKnown {
		request.CacheTokens = simulation.scenario.CacheTokens
	}
	chosen, _ := host.registry.Choose(request, simulation.now)
	simulation.result.Choices = append(simulation.result.Choices, chosen.ID)
	target := simulation.targets[chosen.ID]
	if target.lies {
		simulation.falsely++
	}
	held := request.PromptTokens + request.MaxTokens
	if target.tokens += held; simulation.scenario.CacheTokens > 0 && target.tokens > simulation.scenario.CacheTokens {
		simulation.overflow++
	}
	target.queue = append(target.queue, &job{work: work, done: func(bool) {
		took := simulation.now.Sub(sentAt)
		target.tokens -= held
		host.registry.ObserveDuration(chosen.ID, request.PromptTokens, tokens, took, simulation.now)
		host.registry.ReleaseTokens(chosen.ID, request)
		host.registry.Done(chosen.ID, placement.Served, simulation.now)
		if sentAt.Sub(simulation.start) >= speedWarmUp {
			simulation.ratios = append(simulation.ratios, took.Seconds()/(work+2*hopTime).Seconds())
		}
	}})
	simulation.startQueued(host, chosen.ID, target)
}

// promptTokens returns the length of a prompt. Where memory matters, one in ten is long.
func (simulation *speedSimulation) promptTokens() int {
	if simulation.scenario.CacheTokens > 0 && simulation.random.IntN(longPromptRatio) == 0 {
		return longPromptTokens
	}
	return speedPromptTokens
}

// startQueued starts queued requests while the target has free slots. The response begins
// with the load of the target.
func (simulation *speedSimulation) startQueued(host *host, id string, target *variableTarget) {
	for target.running < target.slots && len(target.queue) > 0 {
		job := target.queue[0]
		target.queue = target.queue[1:]
		target.running++
		host.registry.ObserveLoad(id, simulation.load(target), simulation.now)
		simulation.schedule(target.duration(simulation.now.Sub(simulation.start), job.work)+2*hopTime, func() {
			target.running--
			job.done(true)
			simulation.startQueued(host, id, target)
		})
	}
}
