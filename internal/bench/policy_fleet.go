package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/godwitspread/godwitspread/internal/target"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

// policyFleet runs a target.Pool over fake engines in virtual time.
type policyFleet struct {
	now                time.Time
	events             eventQueue
	sequence           int
	random             *rand.Rand
	pool               *target.Pool
	engines            map[string]*fakeEngine
	addresses          []string
	calls              map[uint64]*policyCall
	knowsRemainingWork bool
	measuring          bool // the warm-up is over; results are recorded
	programCount       int

	latency          map[string]*hdrhistogram.Histogram // program time without tool pauses, by class, in ms
	firstToken       *hdrhistogram.Histogram            // time to the first token, in ms
	promptTokens     int
	wasted           int                // prompt tokens recomputed although some engine had them cached
	served           map[string]float64 // generated tokens by workspace
	offered          map[string]float64 // requested tokens by workspace
	refused          int
	wrongfulRefusals int // refused calls that are neither poison nor from the noisy workspace
	completedTwice   int // calls that completed more than once
	arrivalsEnd      time.Time
	noisyWorkspace   string // workspace that exceeds its rate limit; empty if there is none
	// noisyAccount limits the call rate of the noisy workspace, which sends more than
	// its rate allows.
	noisyAccount *workspace.Account
}

// programClass describes the programs of a class. Each pair is the lowest and
// highest value of a uniform distribution.
type programClass struct {
	name       string
	workspaces []string
	priority   int
	share      float64 // of the programs
	history    [2]int  // tokens before the first turn
	input      [2]int  // tokens per turn
	output     [2]int  // tokens per turn
	turns      [2]int
	toolPause  [2]time.Duration // between two turns, while the tool calls run
}

// policyProgram is the state of an active program.
type policyProgram struct {
	name          string
	workspace     string
	class         programClass
	history       int // tokens
	turns         int
	turnsLeft     int
	random        *rand.Rand
	remainingWork float64       // in generated tokens
	attained      int64         // generated tokens so far
	busy          time.Duration // time outside tool pauses
}

// policyCall is a call that has not completed.
type policyCall struct {
	id           uint64
	program      *policyProgram
	promptTokens int
	output       int // tokens to generate
	sent         time.Time
	avoid        string // address of the target that failed the call
	done         bool
	poison       bool // crashes the engine that runs it
}

const (
	engineRestartDelay = 5 * time.Second
	poolTickInterval   = 50 * time.Millisecond
	refusalRetryDelay  = time.Second
	callTimeout        = 5 * time.Minute
	maxLatencyMS       = int64(24 * 60 * 60 * 1000)
)

func newPolicyFleet(policy schedulingPolicy, engines int, settings engineSettings, seed uint64) *policyFleet {
	fleet := &policyFleet{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 7)), engines: make(map[string]*fakeEngine),
		calls: make(map[uint64]*policyCall), knowsRemainingWork: policy.knowsRemainingWork, latency: make(map[string]*hdrhistogram.Histogram),
		firstToken: hdrhistogram.New(1, maxLatencyMS, 3), served: make(map[string]float64), offered: make(map[string]float64),
	}
	jitter := rand.New(rand.NewPCG(seed, 8))
	queue, placement := policy.build(jitter.Float64)
	fleet.pool = target.NewPool(target.DefaultSettings(settings.window, jitter.Float64), queue, placement)
	for index := range engines {
		address := fmt.Sprintf("127.0.0.%d:1", index+1)
		fleet.addresses = append(fleet.addresses, address)
		fleet.engines[address] = newFakeEngine(address, settings, fleet)
	}
	fleet.applyDecisions(fleet.pool.SetTargets(fleet.now, fleet.addresses, settings.window))
	fleet.schedule(poolTickInterval, fleet.tick)
	return fleet
}

func (fleet *policyFleet) schedule(delay time.Duration, run func()) {
	fleet.sequence++
	heap.Push(&fleet.events, event{at: fleet.now.Add(delay), sequence: fleet.sequence, run: run})
}

func (fleet *policyFleet) tick() {
	fleet.applyDecisions(fleet.pool.Tick(fleet.now))
	fleet.schedule(poolTickInterval, fleet.tick)
}

// run processes events in order of virtual time until the given time.
func (fleet *policyFleet) run(until time.Time) {
	for len(fleet.events) > 0 && fleet.events[0].at.Before(until) {
		nextEvent := heap.Pop(&fleet.events).(event)
		fleet.now = nextEvent.at
		nextEvent.run()
	}
	fleet.now = until
}

func between(random *rand.Rand, bounds [2]int) int {
	return bounds[0] + random.IntN(bounds[1]-bounds[0]+1)
}

// newProgram returns a random program of the class.
func (class programClass) newProgram(random *rand.Rand, name, workspaceName string) *policyProgram {
	program := &policyProgram{
		name: name, workspace: workspaceName, class: class, random: random,
		history: between(random, class.history), turns: between(random, class.turns),
	}
	program.turnsLeft = program.turns
	mean := float64(class.output[0]+class.output[1])/2 + float64(class.input[0]+class.input[1])/2*promptTokenCost
	program.remainingWork = mean*float64(program.turns) + float64(program.history)*promptTokenCost
	return program
}

// promptTokenCost is the cost of a prompt token relative to a generated token.
const promptTokenCost = 0.1

// scheduleArrivals starts programs of a class for a workspace as a Poisson process
// of the given rate per second. Each workspace and each program has a separate
// random source, so that every policy runs the same workload.
func (fleet *policyFleet) scheduleArrivals(random *rand.Rand, class programClass, workspaceName string, rate float64) {
	wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	fleet.schedule(wait, func() {
		if fleet.now.After(fleet.arrivalsEnd) {
			return
		}
		fleet.programCount++
		programRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		program := class.newProgram(programRandom, fmt.Sprint("p", fleet.programCount), workspaceName)
		fleet.sendTurn(program)
		fleet.scheduleArrivals(random, class, workspaceName, rate)
	})
}

// sendTurn sends the next call of a program.
func (fleet *policyFleet) sendTurn(program *policyProgram) {
	fleet.sequence++
	input := between(program.random, program.class.input)
	call := &policyCall{
		id: uint64(fleet.sequence), program: program, promptTokens: program.history + input,
		output: between(program.random, program.class.output), sent: fleet.now,
	}
	program.history += input
	if fleet.measuring {
		fleet.offered[program.workspace] += float64(call.output)
	}
	fleet.submit(call)
}

// expectedOutput returns the output size that a scheduler can estimate without
// knowing the result: the mean of the program's earlier turns, or 128 tokens for
// the first turn.
func (call *policyCall) expectedOutput() int {
	program := call.program
	if done := program.turns - program.turnsLeft; done > 0 {
		return int(program.attained)/done + 1
	}
	return 128
}

func (fleet *policyFleet) submit(call *policyCall) {
	program := call.program
	if program.workspace == fleet.noisyWorkspace && !fleet.noisyAccount.Spend(fleet.now, 1) {
		// The workspace exceeds its rate limit; its caller retries later.
		fleet.schedule(refusalRetryDelay, func() { fleet.submit(call) })
		return
	}
	fleet.calls[call.id] = call
	request := &target.Request{
		ID: call.id, Program: program.name, Workspace: program.workspace, Weight: 1, Priority: program.class.priority,
		Prompt: call.promptTokens, Output: call.expectedOutput(), Attained: program.attained,
		Deadline: fleet.now.Add(callTimeout), Digest: fmt.Sprint(program.name, program.turnsLeft), Avoid: call.avoid,
	}
	if fleet.knowsRemainingWork {
		// The oracle orders by the remaining work of a program, which no real
		// scheduler knows.
		request.Attained = int64(program.remainingWork)
		request.Output = call.output
	}
	fleet.applyDecisions(fleet.pool.Submit(fleet.now, request))
}

func (fleet *policyFleet) applyDecisions(decisions []target.Decision) {
	for _, decision := range slices.Clone(decisions) {
		call := fleet.calls[decision.Request]
		if decision.Refusal != nil {
			delete(fleet.calls, decision.Request)
			fleet.countRefusal(call)
			continue
		}
		fleet.startCall(call, decision)
	}
}

func (fleet *policyFleet) countRefusal(call *policyCall) {
	fleet.refused++
	if !call.poison && call.program.workspace != fleet.noisyWorkspace {
		fleet.wrongfulRefusals++
	}
}

// startCall sends a call to the engine that the pool selected. A crashed engine
// refuses the connection, and the call is retried.
func (fleet *policyFleet) startCall(call *policyCall, decision target.Decision) {
	engine := fleet.engines[decision.Target]
	if engine.crashed {
		delete(fleet.calls, call.id)
		fleet.applyDecisions(fleet.pool.Settle(fleet.now, target.Report{Request: call.id, Failure: target.FailureRefused}))
		fleet.retry(call, engine.address)
		return
	}
	if fleet.measuring {
		longest := 0
		for _, other := range fleet.engines {
			longest = max(longest, other.prefixTokens(call.program.name))
		}
		fleet.promptTokens += call.promptTokens
		fleet.wasted += max(0, min(longest, call.promptTokens)-engine.prefixTokens(call.program.name))
	}
	if call.poison {
		fleet.schedule(200*time.Millisecond, func() { engine.crash(engineRestartDelay) })
	}
	engine.submit(call)
}

// retry sends a call again after a delay, to a target other than the given one.
func (fleet *policyFleet) retry(call *policyCall, avoid string) {
	fleet.schedule(100*time.Millisecond, func() {
		fleet.sequence++
		retried := *call
		retried.id, retried.avoid = uint64(fleet.sequence), avoid
		fleet.submit(&retried)
	})
}

// callFailed reports a call that was lost in an engine crash to the pool and
// retries it.
func (fleet *policyFleet) callFailed(call *policyCall) {
	avoid := ""
	for _, engine := range fleet.engines {
		if engine.crashed {
			avoid = engine.address
		}
	}
	delete(fleet.calls, call.id)
	fleet.applyDecisions(fleet.pool.Settle(fleet.now, target.Report{Request: call.id, Failure: target.FailureCrash}))
	fleet.retry(call, avoid)
}

// callCompleted records a completed call, reports it to the pool and schedules the
// next turn of its program.
func (fleet *policyFleet) callCompleted(engine *fakeEngine, call *engineCall) {
	request := call.request
	if request.done {
		fleet.completedTwice++
		return
	}
	request.done = true
	delete(fleet.calls, request.id)
	program := request.program
	if fleet.measuring {
		fleet.served[program.workspace] += float64(request.output)
	}
	if fleet.measuring && program.workspace != fleet.noisyWorkspace {
		// The error is ignored: no latency exceeds the histogram's range.
		_ = fleet.firstToken.RecordValue(max(1, call.firstToken.Sub(request.sent).Milliseconds()))
	}
	program.busy += fleet.now.Sub(request.sent)
	program.history += request.output
	program.attained += int64(request.output)
	program.remainingWork -= float64(request.output) + promptTokenCost*float64(call.promptTokens-call.reused)
	program.turnsLeft--
	report := target.Report{
		Request: request.id, Prompt: call.promptTokens, Reused: call.reused, Output: request.output,
		FirstByte: call.firstToken.Sub(call.started), Duration: fleet.now.Sub(call.started), Ended: program.turnsLeft == 0,
	}
	if program.turnsLeft == 0 {
		engine.evictPrefix(program.name)
		fleet.recordProgram(program)
	} else {
		low, high := program.class.toolPause[0], program.class.toolPause[1]
		fleet.schedule(low+time.Duration(program.random.Int64N(int64(high-low)+1)), func() { fleet.sendTurn(program) })
	}
	fleet.applyDecisions(fleet.pool.Settle(fleet.now, report))
}

func (fleet *policyFleet) recordProgram(program *policyProgram) {
	if !fleet.measuring || program.workspace == fleet.noisyWorkspace {
		return
	}
	for _, class := range []string{program.class.name, allClasses} {
		histogram, ok := fleet.latency[class]
		if !ok {
			histogram = hdrhistogram.New(1, maxLatencyMS, 3)
			fleet.latency[class] = histogram
		}
		// The error is ignored: no latency exceeds the histogram's range.
		_ = histogram.RecordValue(max(1, program.busy.Milliseconds()))
	}
}

const allClasses = "all"
