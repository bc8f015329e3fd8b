package target_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
)

// bench drives one pool.
type bench struct {
	now     time.Time
	pool    *target.Pool
	next    uint64
	granted map[uint64]string
	refused map[uint64]refusal.Code
}

func newBench(targets, window int) *bench {
	settings := target.DefaultSettings(window, func() float64 { return 0.5 })
	settings.QueueLimit = 50
	bench := &bench{
		now: time.Unix(0, 0), pool: target.NewPool(settings, target.NewFairOrder(), target.PrefixPlacement{}),
		granted: make(map[uint64]string), refused: make(map[uint64]refusal.Code),
	}
	bench.take(bench.pool.SetTargets(bench.now, addresses(targets), window))
	return bench
}

func addresses(count int) []string {
	var list []string
	for index := range count {
		list = append(list, fmt.Sprintf("t%03d", index))
	}
	return list
}

func (bench *bench) take(decisions []target.Decision) {
	for _, decision := range decisions {
		if decision.Refusal != nil {
			bench.refused[decision.Request] = decision.Refusal.Code
			continue
		}
		bench.granted[decision.Request] = decision.Target
	}
}

func (bench *bench) submit(request target.Request) uint64 {
	bench.next++
	request.ID = bench.next
	if request.Deadline.IsZero() {
		request.Deadline = bench.now.Add(time.Minute)
	}
	bench.take(bench.pool.Submit(bench.now, &request))
	return request.ID
}

func (bench *bench) settle(id uint64, report target.Report) {
	report.Request = id
	delete(bench.granted, id)
	bench.take(bench.pool.Settle(bench.now, report))
}

func (bench *bench) advance(duration time.Duration) {
	bench.now = bench.now.Add(duration)
	bench.take(bench.pool.Tick(bench.now))
}

func call(workspace string, prompt int) target.Request {
	return target.Request{Workspace: workspace, Weight: 1, Prompt: prompt, Output: 10, Digest: fmt.Sprint(workspace, prompt)}
}

func TestWindowIsExact(t *testing.T) {
	is := is.New(t)
	bench := newBench(2, 3)
	var ids []uint64
	for range 10 {
		ids = append(ids, bench.submit(call("w", 100)))
	}
	is.Equal(len(bench.granted), 6)
	bench.settle(ids[0], target.Report{})
	is.Equal(len(bench.granted), 6) // the next one took the place
	is.Equal(bench.pool.Waiting(), 3)
}

func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	bench := newBench(2, 4)
	first := bench.submit(call("w", 100))
	address := bench.granted[first]
	bench.take(bench.pool.Leave(bench.now, address))
	for range 4 {
		is.True(bench.granted[bench.submit(call("w", 100))] != address) // no new work
	}
	is.Equal(len(bench.pool.Targets()), 2)
	bench.settle(first, target.Report{})
	is.Equal(len(bench.pool.Targets()), 1) // forgotten when its call has ended
}

// TestRemovedTarget leaves a target out of the text while it runs a call.
func TestRemovedTarget(t *testing.T) {
	is := is.New(t)
	bench := newBench(2, 4)
	running := bench.submit(call("w", 100))
	is.Equal(bench.granted[running], "t000")
	bench.take(bench.pool.SetTargets(bench.now, []string{"t001"}, 4))
	for range 4 {
		is.Equal(bench.granted[bench.submit(call("w", 100))], "t001") // no new work for the other
	}
	is.Equal(len(bench.pool.Targets()), 2) // its call goes on
	bench.settle(running, target.Report{})
	is.Equal(len(bench.pool.Targets()), 1)
}

// TestQuarantine lets a request crash each target that runs it, beside
// innocent ones.
func TestQuarantine(t *testing.T) {
	is := is.New(t)
	bench := newBench(4, 4)
	poison := call("w", 66)
	innocents := make(map[uint64]target.Request)
	send := func(request target.Request) uint64 {
		id := bench.submit(request)
		if request.Digest != poison.Digest {
			innocents[id] = request
		}
		return id
	}
	for index := range 11 {
		send(call("w", 100+index))
	}
	crashes := 0
	for range 6 {
		id := send(poison)
		bench.advance(time.Second)
		address, granted := bench.granted[id]
		if !granted {
			is.Equal(bench.refused[id], refusal.Quarantined)
			break
		}
		crashes++
		var hit []uint64
		for other, at := range bench.granted {
			if at == address {
				hit = append(hit, other)
			}
		}
		for _, other := range hit {
			// Every caller reports the same crash.
			bench.settle(other, target.Report{Failure: target.FailureCrash})
		}
		for _, other := range hit {
			if request, ok := innocents[other]; ok {
				delete(innocents, other)
				request.Avoid = address
				send(request)
			}
		}
		bench.advance(10 * time.Second)
	}
	is.Equal(crashes, 2)
	for id := range innocents {
		_, refused := bench.refused[id]
		is.True(!refused) // no innocent request is blamed
	}
	again := poison
	again.Program = "another"
	is.Equal(bench.refused[bench.submit(again)], refusal.Quarantined) // however it is sent again
	other := poison
	other.Workspace = "v"
	_, refused := bench.refused[bench.submit(other)]
	is.True(!refused) // the quarantine is the workspace's own
}

func TestBreaker(t *testing.T) {
	tests := []struct {
		name     string
		failure  target.Failure
		failures int
	}{
		{"timeouts in a row", target.FailureTimeout, 3},
		{"refused connection", target.FailureRefused, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bench := newBench(2, 4)
			for range test.failures {
				id := bench.submit(call("w", 100))
				is.Equal(bench.granted[id], "t000")
				bench.settle(id, target.Report{Failure: test.failure})
			}
			for range 3 {
				is.Equal(bench.granted[bench.submit(call("w", 100))], "t001") // the other is out of use
			}
			bench.advance(10 * time.Second)
			probes := 0
			for range 3 {
				if bench.granted[bench.submit(call("w", 100))] == "t000" {
					probes++
				}
			}
			is.Equal(probes, 1) // a single request tries it again
		})
	}
}

func TestLongCallsLeaveRoom(t *testing.T) {
	is := is.New(t)
	bench := newBench(2, 8)
	for range 10 {
		bench.submit(call("w", 20_000))
	}
	is.Equal(len(bench.granted), 4) // a quarter of each window
	id := bench.submit(call("w", 50))
	is.True(bench.granted[id] != "") // a short call does not wait behind them
}

func TestPrefixKeepsItsTarget(t *testing.T) {
	is := is.New(t)
	bench := newBench(4, 4)
	request := call("w", 5000)
	request.Program = "p"
	first := bench.submit(request)
	home := bench.granted[first]
	bench.settle(first, target.Report{Prompt: 5000, Output: 100})
	for range 6 {
		id := bench.submit(request)
		is.Equal(bench.granted[id], home)
		bench.settle(id, target.Report{Prompt: 5000, Reused: 5000, Output: 100})
	}
	is.Equal(bench.pool.Release("p"), home) // the end of the program frees it there
	is.Equal(bench.pool.Release("p"), "")
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	bench := newBench(1, 1)
	bench.submit(call("w", 100))
	late := call("w", 100)
	late.Deadline = bench.now.Add(time.Second)
	id := bench.submit(late)
	bench.advance(2 * time.Second)
	is.Equal(bench.refused[id], refusal.DeadlineExceeded)
	cheap := bench.submit(call("greedy", 100))
	for range 55 {
		bench.submit(call("greedy", 100))
	}
	precious := call("care", 100)
	precious.Priority = 1
	kept := bench.submit(precious)
	_, refused := bench.refused[kept]
	is.True(!refused) // the workspace with the longest queue gives way
	_, refused = bench.refused[cheap]
	is.True(!refused) // with its last request, not its first
	empty := newBench(0, 1)
	is.Equal(empty.refused[empty.submit(call("w", 1))], refusal.NoTarget)
}

func TestNothingWaitsForEver(t *testing.T) {
	is := is.New(t)
	bench := newBench(1, 1)
	running := bench.submit(call("busy", 10))
	low := call("idle", 10)
	low.Weight = 0.001
	waiting := bench.submit(low)
	for range 200 {
		busy := call("busy", 10)
		busy.Priority = 5
		bench.submit(busy)
		for id := range bench.granted {
			running = id
		}
		bench.settle(running, target.Report{Prompt: 10, Output: 10})
		bench.advance(100 * time.Millisecond)
		if _, granted := bench.granted[waiting]; granted {
			return
		}
	}
	is.Fail() // never served
}

// BenchmarkDecision measures one permit and its return.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ targets, queued int }{{10, 100}, {100, 100}, {100, 1000}, {1000, 1000}} {
		b.Run(fmt.Sprintf("targets=%d/queued=%d", size.targets, size.queued), func(b *testing.B) {
			run := newDecisionRun(size.targets, size.queued)
			b.ReportAllocs()
			for b.Loop() {
				run.step()
			}
		})
	}
}

// decisionRun keeps a pool full with a queue of a constant length.
type decisionRun struct {
	pool    *target.Pool
	now     time.Time
	running []uint64
	store   []target.Request
	free    []int // places in the store
	next    uint64
}

func newDecisionRun(targets, queued int) *decisionRun {
	settings := target.DefaultSettings(8, func() float64 { return 0.5 })
	settings.QueueLimit = queued + 100
	run := &decisionRun{pool: target.NewPool(settings, target.NewFairOrder(), target.PrefixPlacement{}), now: time.Unix(0, 0)}
	run.pool.SetTargets(run.now, addresses(targets), 8)
	run.store = make([]target.Request, targets*8+queued)
	for place := range run.store {
		run.free = append(run.free, place)
	}
	for range run.store {
		run.submit()
	}
	return run
}

func (run *decisionRun) submit() {
	run.next++
	place := run.free[len(run.free)-1]
	run.free = run.free[:len(run.free)-1]
	request := &run.store[place]
	*request = target.Request{
		ID: uint64(place) + 1, Workspace: workspaces[run.next%8], Weight: 1, Prompt: 500, Output: 100,
		Program: programs[run.next%64], Deadline: run.now.Add(time.Hour),
	}
	run.take(run.pool.Submit(run.now, request))
}

var (
	workspaces = []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	programs   = addresses(64)
)

func (run *decisionRun) take(decisions []target.Decision) {
	for _, decision := range decisions {
		if decision.Refusal == nil {
			run.running = append(run.running, decision.Request)
		}
	}
}

func (run *decisionRun) step() {
	run.now = run.now.Add(time.Millisecond)
	id := run.running[0]
	copy(run.running, run.running[1:])
	run.running = run.running[:len(run.running)-1]
	run.free = append(run.free, int(id)-1)
	run.take(run.pool.Settle(run.now, target.Report{Request: id, Prompt: 500, Reused: 250, Output: 100}))
	run.submit()
}

// TestDecisionAllocations bounds the allocations of a permit and its return.
func TestDecisionAllocations(t *testing.T) {
	is := is.New(t)
	run := newDecisionRun(100, 1000)
	for range 5000 {
		run.step()
	}
	is.Equal(int(testing.AllocsPerRun(2000, run.step)), 0)
}
