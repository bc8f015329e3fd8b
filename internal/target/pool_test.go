package target_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
)

// poolHarness drives one pool with a simulated clock and records its decisions.
type poolHarness struct {
	now     time.Time
	pool    *target.Pool
	lastID  uint64
	granted map[uint64]string
	refused map[uint64]refusal.Code
}

func newPoolHarness(targets, window int) *poolHarness {
	settings := target.DefaultSettings(window, func() float64 { return 0.5 })
	settings.QueueLimit = 50
	harness := &poolHarness{
		now: time.Unix(0, 0), pool: target.NewPool(settings, target.NewFairQueue(), target.PrefixPlacement{}),
		granted: make(map[uint64]string), refused: make(map[uint64]refusal.Code),
	}
	harness.record(harness.pool.SetTargets(harness.now, addresses(targets), window))
	return harness
}

func addresses(count int) []string {
	var list []string
	for index := range count {
		list = append(list, fmt.Sprintf("t%03d", index))
	}
	return list
}

func (harness *poolHarness) record(decisions []target.Decision) {
	for _, decision := range decisions {
		if decision.Refusal != nil {
			harness.refused[decision.Request] = decision.Refusal.Code
			continue
		}
		harness.granted[decision.Request] = decision.Target
	}
}

func (harness *poolHarness) submit(request target.Request) uint64 {
	harness.lastID++
	request.ID = harness.lastID
	if request.Deadline.IsZero() {
		request.Deadline = harness.now.Add(time.Minute)
	}
	harness.record(harness.pool.Submit(harness.now, &request))
	return request.ID
}

func (harness *poolHarness) settle(id uint64, report target.Report) {
	report.Request = id
	delete(harness.granted, id)
	harness.record(harness.pool.Settle(harness.now, report))
}

func (harness *poolHarness) advance(duration time.Duration) {
	harness.now = harness.now.Add(duration)
	harness.record(harness.pool.Tick(harness.now))
}

func call(workspace string, prompt int) target.Request {
	return target.Request{Workspace: workspace, Weight: 1, Prompt: prompt, Output: 10, Digest: fmt.Sprint(workspace, prompt)}
}

// TestWindowIsExact guards against a pool that runs more calls on a target than
// its window allows, or leaves a freed slot unused.
func TestWindowIsExact(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(2, 3)
	var ids []uint64
	for range 10 {
		ids = append(ids, harness.submit(call("w", 100)))
	}
	is.Equal(len(harness.granted), 6)
	harness.settle(ids[0], target.Report{})
	is.Equal(len(harness.granted), 6) // the next request got the free slot
	is.Equal(harness.pool.Waiting(), 3)
}

// TestLeavingTarget guards against new calls on a target that has announced its
// shutdown, and against its removal while a call still runs there.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(2, 4)
	first := harness.submit(call("w", 100))
	address := harness.granted[first]
	harness.record(harness.pool.Leave(harness.now, address))
	for range 4 {
		is.True(harness.granted[harness.submit(call("w", 100))] != address) // a leaving target gets no new call
	}
	is.Equal(len(harness.pool.Targets()), 2)
	harness.settle(first, target.Report{})
	is.Equal(len(harness.pool.Targets()), 1) // removed when its call has ended
}

// TestRemovedTarget guards against the loss of a running call when a new
// configuration omits its target.
func TestRemovedTarget(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(2, 4)
	running := harness.submit(call("w", 100))
	is.Equal(harness.granted[running], "t000")
	harness.record(harness.pool.SetTargets(harness.now, []string{"t001"}, 4))
	for range 4 {
		is.Equal(harness.granted[harness.submit(call("w", 100))], "t001") // an omitted target gets no new call
	}
	is.Equal(len(harness.pool.Targets()), 2) // the target stays while its call runs
	harness.settle(running, target.Report{})
	is.Equal(len(harness.pool.Targets()), 1)
}

// TestQuarantine guards against a request that crashes one target after the
// other because it is retried. Requests that run beside it must not be
// quarantined with it.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(4, 4)
	poison := call("w", 66)
	bystanders := make(map[uint64]target.Request)
	submit := func(request target.Request) uint64 {
		id := harness.submit(request)
		if request.Digest != poison.Digest {
			bystanders[id] = request
		}
		return id
	}
	for index := range 11 {
		submit(call("w", 100+index))
	}
	crashes := 0
	for range 6 {
		id := submit(poison)
		harness.advance(time.Second)
		address, granted := harness.granted[id]
		if !granted {
			is.Equal(harness.refused[id], refusal.Quarantined)
			break
		}
		crashes++
		var affected []uint64
		for other, at := range harness.granted {
			if at == address {
				affected = append(affected, other)
			}
		}
		for _, other := range affected {
			// Each caller reports the same crash.
			harness.settle(other, target.Report{Failure: target.FailureCrash})
		}
		for _, other := range affected {
			if request, ok := bystanders[other]; ok {
				delete(bystanders, other)
				request.Avoid = address
				submit(request)
			}
		}
		harness.advance(10 * time.Second)
	}
	is.Equal(crashes, 2)
	for id := range bystanders {
		_, refused := harness.refused[id]
		is.True(!refused) // no other request is quarantined
	}
	again := poison
	again.Program = "another"
	is.Equal(harness.refused[harness.submit(again)], refusal.Quarantined) // another program doesn't evade the quarantine
	other := poison
	other.Workspace = "v"
	_, refused := harness.refused[harness.submit(other)]
	is.True(!refused) // the quarantine is limited to the workspace
}

// TestBreaker guards against calls to a failing target while its breaker is
// open, and against more than one probe once it is half-open.
func TestBreaker(t *testing.T) {
	tests := []struct {
		name     string
		failure  target.Failure
		failures int
	}{
		{"consecutive timeouts open the breaker", target.FailureTimeout, 3},
		{"one refused connection opens the breaker", target.FailureRefused, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			harness := newPoolHarness(2, 4)
			for range test.failures {
				id := harness.submit(call("w", 100))
				is.Equal(harness.granted[id], "t000")
				harness.settle(id, target.Report{Failure: test.failure})
			}
			for range 3 {
				is.Equal(harness.granted[harness.submit(call("w", 100))], "t001") // the failing target gets no call
			}
			harness.advance(10 * time.Second)
			probes := 0
			for range 3 {
				if harness.granted[harness.submit(call("w", 100))] == "t000" {
					probes++
				}
			}
			is.Equal(probes, 1) // a single request probes the target
		})
	}
}

// TestLongCallsAreLimited guards against long calls that fill all windows, so
// that short calls wait behind them.
func TestLongCallsAreLimited(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(2, 8)
	for range 10 {
		harness.submit(call("w", 20_000))
	}
	is.Equal(len(harness.granted), 4) // long calls use a quarter of each window
	id := harness.submit(call("w", 50))
	is.True(harness.granted[id] != "") // a short call doesn't wait behind long calls
}

// TestPrefixAffinity guards against recomputing a long prefix because a later
// call of the program is placed on another target.
func TestPrefixAffinity(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(4, 4)
	request := call("w", 5000)
	request.Program = "p"
	first := harness.submit(request)
	assigned := harness.granted[first]
	harness.settle(first, target.Report{Prompt: 5000, Output: 100})
	for range 6 {
		id := harness.submit(request)
		is.Equal(harness.granted[id], assigned)
		harness.settle(id, target.Report{Prompt: 5000, Reused: 5000, Output: 100})
	}
	is.Equal(harness.pool.Release("p"), assigned) // the first release returns the prefix's target
	is.Equal(harness.pool.Release("p"), "")
}

// TestRefusals guards against calls that wait past their deadline, against a
// full queue that sheds the request of the wrong workspace, and against calls
// that wait for a service without targets.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(1, 1)
	harness.submit(call("w", 100))
	late := call("w", 100)
	late.Deadline = harness.now.Add(time.Second)
	id := harness.submit(late)
	harness.advance(2 * time.Second)
	is.Equal(harness.refused[id], refusal.DeadlineExceeded)
	firstGreedy := harness.submit(call("greedy", 100))
	for range 55 {
		harness.submit(call("greedy", 100))
	}
	prioritized := call("care", 100)
	prioritized.Priority = 1
	prioritizedID := harness.submit(prioritized)
	_, refused := harness.refused[prioritizedID]
	is.True(!refused) // a request of the workspace with the longest queue is shed
	_, refused = harness.refused[firstGreedy]
	is.True(!refused) // the last request is shed, not the first
	empty := newPoolHarness(0, 1)
	is.Equal(empty.refused[empty.submit(call("w", 1))], refusal.NoTarget)
}

// TestNoStarvation guards against a request of a low weight and priority that
// is never served while requests of a higher priority keep arriving.
func TestNoStarvation(t *testing.T) {
	is := is.New(t)
	harness := newPoolHarness(1, 1)
	running := harness.submit(call("busy", 10))
	low := call("idle", 10)
	low.Weight = 0.001
	waiting := harness.submit(low)
	for range 200 {
		busy := call("busy", 10)
		busy.Priority = 5
		harness.submit(busy)
		for id := range harness.granted {
			running = id
		}
		harness.settle(running, target.Report{Prompt: 10, Output: 10})
		harness.advance(100 * time.Millisecond)
		if _, granted := harness.granted[waiting]; granted {
			return
		}
	}
	is.Fail() // the request was never served
}

// BenchmarkDecision measures granting and settling one permit.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ targets, queued int }{{10, 100}, {100, 100}, {100, 1000}, {1000, 1000}} {
		b.Run(fmt.Sprintf("targets=%d/queued=%d", size.targets, size.queued), func(b *testing.B) {
			load := newDecisionLoad(size.targets, size.queued)
			b.ReportAllocs()
			for b.Loop() {
				load.step()
			}
		})
	}
}

// decisionLoad keeps all targets of a pool busy and its queue at a constant
// length.
type decisionLoad struct {
	pool        *target.Pool
	now         time.Time
	running     []uint64
	requests    []target.Request
	freeIndexes []int // indexes of unused requests
	submitted   uint64
}

func newDecisionLoad(targets, queued int) *decisionLoad {
	settings := target.DefaultSettings(8, func() float64 { return 0.5 })
	settings.QueueLimit = queued + 100
	load := &decisionLoad{pool: target.NewPool(settings, target.NewFairQueue(), target.PrefixPlacement{}), now: time.Unix(0, 0)}
	load.pool.SetTargets(load.now, addresses(targets), 8)
	load.requests = make([]target.Request, targets*8+queued)
	for index := range load.requests {
		load.freeIndexes = append(load.freeIndexes, index)
	}
	for range load.requests {
		load.submit()
	}
	return load
}

func (load *decisionLoad) submit() {
	load.submitted++
	index := load.freeIndexes[len(load.freeIndexes)-1]
	load.freeIndexes = load.freeIndexes[:len(load.freeIndexes)-1]
	request := &load.requests[index]
	*request = target.Request{
		ID: uint64(index) + 1, Workspace: workspaces[load.submitted%8], Weight: 1, Prompt: 500, Output: 100,
		Program: programs[load.submitted%64], Deadline: load.now.Add(time.Hour),
	}
	load.record(load.pool.Submit(load.now, request))
}

var (
	workspaces = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	programs   = addresses(64)
)

func (load *decisionLoad) record(decisions []target.Decision) {
	for _, decision := range decisions {
		if decision.Refusal == nil {
			load.running = append(load.running, decision.Request)
		}
	}
}

func (load *decisionLoad) step() {
	load.now = load.now.Add(time.Millisecond)
	id := load.running[0]
	copy(load.running, load.running[1:])
	load.running = load.running[:len(load.running)-1]
	load.freeIndexes = append(load.freeIndexes, int(id)-1)
	load.record(load.pool.Settle(load.now, target.Report{Request: id, Prompt: 500, Reused: 250, Output: 100}))
	load.submit()
}

// TestDecisionAllocations guards against garbage from each permit: granting and
// settling one must not allocate.
func TestDecisionAllocations(t *testing.T) {
	is := is.New(t)
	load := newDecisionLoad(100, 1000)
	for range 5000 {
		load.step()
	}
	is.Equal(int(testing.AllocsPerRun(2000, load.step)), 0)
}
