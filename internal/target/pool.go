package target

import (
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/heap"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Settings configures a pool.
type Settings struct {
	// Window is the largest number of calls that run on a target at a time.
	Window int
	// QueueLimit is the largest number of waiting calls.
	QueueLimit int
	// LongPrefill is the number of uncached prompt tokens from which a call
	// counts as long.
	LongPrefill int
	// Random returns a number from 0 to 1 for jitter.
	Random func() float64
}

// DefaultSettings returns the settings that the daemon uses.
func DefaultSettings(window int, random func() float64) Settings {
	return Settings{Window: window, QueueLimit: 2000, LongPrefill: 4000, Random: random}
}

// Pool schedules the calls of one service on its targets in one data centre.
type Pool struct {
	settings      Settings
	queue         Queue
	placement     Placement
	sorted        []*Target // by address
	byAddress     map[string]*Target
	byLoad        *heap.Heap[*Target]
	requests      map[uint64]*Request
	deferred      *heap.Heap[*Request] // long calls that no target admits yet
	permits       map[uint64]*Target
	prefixTargets map[string]*Target // target with the cached prefix, by program
	quarantine    *quarantine
	freePrefixes  prefixFreeList
	now           time.Time
	decisions     []Decision
}

// NewPool returns a pool without targets.
func NewPool(settings Settings, queue Queue, placement Placement) *Pool {
	return &Pool{
		settings: settings, queue: queue, placement: placement,
		byAddress: make(map[string]*Target), byLoad: heap.New(lessLoaded),
		requests: make(map[uint64]*Request), deferred: heap.New(lessRank), permits: make(map[uint64]*Target),
		prefixTargets: make(map[string]*Target), quarantine: newQuarantine(),
	}
}

// Targets returns the targets, sorted by address.
func (pool *Pool) Targets() []*Target { return pool.sorted }

// Waiting returns the number of requests without a permit.
func (pool *Pool) Waiting() int { return len(pool.requests) }

// Running returns the number of unsettled permits.
func (pool *Pool) Running() int { return len(pool.permits) }

// Down reports whether the pool has targets and none of them is usable.
func (pool *Pool) Down() bool {
	for _, target := range pool.sorted {
		if !target.leaving && !target.breaker.open {
			return false
		}
	}
	return len(pool.sorted) > 0
}

// Quarantined returns the quarantined digests, each qualified by its workspace.
func (pool *Pool) Quarantined() []string { return pool.quarantine.list() }

// Quarantine refuses requests with a digest for QuarantineTime. The digest is
// qualified by its workspace, as returned by Quarantined.
func (pool *Pool) Quarantine(now time.Time, digest string) { pool.quarantine.ban(now, digest) }

// SetTargets replaces the targets and the window. A target whose address is
// omitted gets no new calls and is removed when its running calls have ended.
func (pool *Pool) SetTargets(now time.Time, addresses []string, window int) []Decision {
	pool.begin(now)
	pool.settings.Window = window
	for _, target := range pool.sorted {
		target.leaving = !slices.Contains(addresses, target.address)
		target.window = window
		pool.byLoad.Fix(target)
	}
	for _, address := range addresses {
		if _, ok := pool.byAddress[address]; !ok {
			pool.addTarget(address)
		}
	}
	for _, target := range slices.Clone(pool.sorted) {
		pool.removeIfDrained(target)
	}
	return pool.schedule()
}

func (pool *Pool) addTarget(address string) {
	target := &Target{
		address: address, window: pool.settings.Window, running: make(map[uint64]*Request),
		cached: make(map[uint64]int), prefixes: newPrefixCache(&pool.freePrefixes), speed: newSpeed(),
		parked: pool.queue.Fork(),
	}
	pool.byAddress[address] = target
	pool.sorted = append(pool.sorted, target)
	slices.SortFunc(pool.sorted, func(a, b *Target) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	pool.byLoad.Push(target)
}

// removeIfDrained requeues the requests parked for a leaving target, and
// removes the target once no call runs on it.
func (pool *Pool) removeIfDrained(target *Target) {
	if !target.leaving {
		return
	}
	pool.unparkAll(target)
	if len(target.running) > 0 {
		return
	}
	delete(pool.byAddress, target.address)
	pool.byLoad.Remove(target)
	pool.sorted = slices.DeleteFunc(pool.sorted, func(other *Target) bool { return other == target })
	for program := range target.prefixes.entries {
		if pool.prefixTargets[program] == target {
			delete(pool.prefixTargets, program)
		}
	}
}

// begin sets the current time and discards the decisions of the previous method
// call.
func (pool *Pool) begin(now time.Time) {
	pool.now = now
	pool.decisions = pool.decisions[:0]
}

func (pool *Pool) refuse(request *Request, refused *refusal.Refusal) {
	delete(pool.requests, request.ID)
	pool.decisions = append(pool.decisions, Decision{Request: request.ID, Refusal: refused})
}

// Submit queues a request. The returned decisions are valid until the next
// method call.
func (pool *Pool) Submit(now time.Time, request *Request) []Decision {
	pool.begin(now)
	request.arrived = now
	if pool.quarantine.banned(request) {
		pool.refuse(request, refusal.New(refusal.Quarantined,
			"this request crashed %d targets and is refused", quarantineCrashes))
		return pool.decisions
	}
	if len(pool.sorted) == 0 {
		pool.refuse(request, refusal.New(refusal.NoTarget, "the service has no target in this data centre").WithRetryAfter(time.Second))
		return pool.decisions
	}
	pool.requests[request.ID] = request
	pool.queue.Push(now, request)
	if pool.queue.Len() > pool.settings.QueueLimit {
		shed := pool.queue.Shed()
		pool.queue.Remove(shed)
		pool.refuse(shed, refusal.New(refusal.QueueFull,
			"%d calls are waiting for the service", pool.settings.QueueLimit).WithRetryAfter(2*time.Second))
	}
	return pool.schedule()
}

// Withdraw removes a request that has no permit yet.
func (pool *Pool) Withdraw(now time.Time, id uint64) []Decision {
	pool.begin(now)
	if request, ok := pool.requests[id]; ok {
		pool.dequeue(request)
		delete(pool.requests, id)
	}
	return pool.schedule()
}

func (pool *Pool) dequeue(request *Request) {
	if request.parkedOn != nil {
		request.parkedOn.parked.Remove(request)
		request.parkedOn = nil
		return
	}
	if request.deferred {
		pool.deferred.Remove(request)
		request.deferred = false
		return
	}
	pool.queue.Remove(request)
}

// Settle ends a permit with the result of its call.
func (pool *Pool) Settle(now time.Time, report Report) []Decision {
	pool.begin(now)
	target, ok := pool.permits[report.Request]
	if !ok {
		return nil
	}
	request := target.running[report.Request]
	if report.Failure == FailureCrash {
		pool.quarantine.recordCrash(now, request, target.running)
		target.prefixes.clear()
	}
	pool.releasePermit(target, request)
	pool.recordResult(target, request, report)
	pool.byLoad.Fix(target)
	pool.removeIfDrained(target)
	pool.serveParked(target)
	return pool.schedule()
}

// releasePermit removes a request from the load of its target.
func (pool *Pool) releasePermit(target *Target, request *Request) {
	cached := target.cached[request.ID]
	delete(target.running, request.ID)
	delete(target.cached, request.ID)
	delete(pool.permits, request.ID)
	target.load = max(0, target.load-request.work(cached))
	if pool.isLongCall(request, cached) {
		target.longCalls--
	}
	if len(target.running) == 0 {
		target.load = 0
	}
}

// recordResult updates the breaker, the quarantine, the account of the
// workspace, the speed estimates and the prefix records from the result of a
// call.
func (pool *Pool) recordResult(target *Target, request *Request, report Report) {
	switch report.Failure {
	case FailureNone:
		target.breaker.recordSuccess()
		pool.quarantine.clearSuspect(request)
	case FailureCancel:
	case FailureCrash, FailureRefused:
		target.breaker.recordFailure(pool.now, 1, pool.settings.Random())
	default:
		target.breaker.recordFailure(pool.now, breakerFailures, pool.settings.Random())
	}
	actual := float64(max(0, report.Prompt-report.Reused))*prefillWeight + float64(report.Output)
	if report.Failure == FailureNone {
		pool.queue.Charge(request.Workspace, actual-request.work(0))
		target.speed.observe(report)
		pool.recordPrefix(target, request, report)
	}
	if report.Ended {
		pool.dropPrefix(request.Program)
	}
}

// recordPrefix records the target as the one with the program's prefix.
func (pool *Pool) recordPrefix(target *Target, request *Request, report Report) {
	if request.Program == "" || report.Prompt == 0 {
		return
	}
	expected := min(target.prefixes.tokens(request.Program), report.Prompt)
	if expected > 0 && report.Reused*2 < expected {
		target.prefixes.shrinkCapacity()
	}
	if former := pool.prefixTargets[request.Program]; former != nil && former != target {
		former.prefixes.drop(request.Program)
	}
	pool.prefixTargets[request.Program] = target
	target.prefixes.record(request.Program, report.Prompt+report.Output)
}

// dropPrefix removes the record of a program's prefix and returns the address
// of its target, or "" if there is none.
func (pool *Pool) dropPrefix(program string) string {
	target, ok := pool.prefixTargets[program]
	if !ok {
		return ""
	}
	delete(pool.prefixTargets, program)
	target.prefixes.drop(program)
	return target.address
}

// Release removes the state of a program that has ended. It returns the address
// of the target that has its prefix, or "" if there is none.
func (pool *Pool) Release(program string) string { return pool.dropPrefix(program) }

// Leave stops new calls to a target that has announced its shutdown.
func (pool *Pool) Leave(now time.Time, address string) []Decision {
	pool.begin(now)
	if target, ok := pool.byAddress[address]; ok {
		target.leaving = true
		pool.byLoad.Fix(target)
		pool.removeIfDrained(target)
	}
	return pool.schedule()
}

// Tick refuses requests past their deadline, returns requests parked for too
// long to the shared queue, and updates ageing, breakers and the quarantine.
func (pool *Pool) Tick(now time.Time) []Decision {
	pool.begin(now)
	pool.quarantine.expire(now)
	for _, target := range pool.sorted {
		target.breaker.tick(now)
		pool.byLoad.Fix(target)
		target.parked.Tick(now)
		if target.parked.Len() > 0 {
			pool.expireParked(target)
			pool.serveParked(target)
		}
	}
	for id, request := range pool.requests {
		if now.After(request.Deadline) && !request.Deadline.IsZero() {
			pool.dequeue(pool.requests[id])
			pool.refuse(request, refusal.New(refusal.DeadlineExceeded, "no target was free before the deadline"))
		}
	}
	pool.queue.Tick(now)
	return pool.schedule()
}

// expireParked unparks the requests whose parking timeout has passed. After that,
// another target is expected to serve them sooner.
func (pool *Pool) expireParked(target *Target) {
	for _, request := range pool.requests {
		if request.parkedOn == target && !pool.now.Before(request.unparkAt) {
			pool.unpark(target, request)
		}
	}
}

func (pool *Pool) unparkAll(target *Target) {
	for target.parked.Len() > 0 {
		pool.unpark(target, target.parked.Peek())
	}
}

// unpark moves a parked request back into the shared queue.
func (pool *Pool) unpark(target *Target, request *Request) {
	target.parked.Remove(request)
	request.parkedOn = nil
	request.parkedBefore = true
	pool.queue.Push(pool.now, request)
}
