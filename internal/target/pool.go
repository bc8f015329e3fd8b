package target

import (
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/heap"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Settings configures a pool.
type Settings struct {
	// Window is the number of calls that a target is given at one time.
	Window int
	// QueueLimit is the number of calls that may wait.
	QueueLimit int
	// LongPrefill is the uncached prompt, in tokens, from which a call counts
	// as long.
	LongPrefill int
	// Random returns numbers from 0 to 1 for jitter.
	Random func() float64
}

// DefaultSettings returns the settings of a daemon.
func DefaultSettings(window int, random func() float64) Settings {
	return Settings{Window: window, QueueLimit: 2000, LongPrefill: 4000, Random: random}
}

// Pool is the queue and the targets of one service in one data centre.
type Pool struct {
	settings   Settings
	order      Order
	placement  Placement
	list       []*Target // in order of address
	targets    map[string]*Target
	byLoad     *heap.Heap[*Target]
	requests   map[uint64]*Request
	deferred   *heap.Heap[*Request] // long calls that no target admits yet
	permits    map[uint64]*Target
	holders    map[string]*Target // where a program's prefix is
	quarantine *quarantine
	spare      spares
	now        time.Time
	decisions  []Decision
}

// NewPool returns a pool without targets.
func NewPool(settings Settings, order Order, placement Placement) *Pool {
	return &Pool{
		settings: settings, order: order, placement: placement,
		targets: make(map[string]*Target), byLoad: heap.New(lessLoaded),
		requests: make(map[uint64]*Request), deferred: heap.New(lessOrdered), permits: make(map[uint64]*Target),
		holders: make(map[string]*Target), quarantine: newQuarantine(),
	}
}

// Targets returns the targets in order of address.
func (pool *Pool) Targets() []*Target { return pool.list }

// Waiting returns the number of requests without a permit.
func (pool *Pool) Waiting() int { return len(pool.requests) }

// Running returns the number of permits that are out.
func (pool *Pool) Running() int { return len(pool.permits) }

// Down reports whether the pool has targets and none of them can be used.
func (pool *Pool) Down() bool {
	for _, target := range pool.list {
		if !target.leaving && !target.breaker.open {
			return false
		}
	}
	return len(pool.list) > 0
}

// Quarantined returns the digests that are refused.
func (pool *Pool) Quarantined() []string { return pool.quarantine.list() }

// Quarantine refuses a digest from now on.
func (pool *Pool) Quarantine(now time.Time, digest string) { pool.quarantine.ban(now, digest) }

// SetTargets replaces the addresses. A target that is left out gets no new
// work and is forgotten when its calls have ended.
func (pool *Pool) SetTargets(now time.Time, addresses []string, window int) []Decision {
	pool.begin(now)
	pool.settings.Window = window
	for _, target := range pool.list {
		target.leaving = !slices.Contains(addresses, target.address)
		target.window = window
		pool.byLoad.Fix(target)
	}
	for _, address := range addresses {
		if _, ok := pool.targets[address]; !ok {
			pool.add(address)
		}
	}
	for _, target := range slices.Clone(pool.list) {
		pool.removeIfGone(target)
	}
	return pool.schedule()
}

func (pool *Pool) add(address string) {
	target := &Target{
		address: address, window: pool.settings.Window, running: make(map[uint64]*Request),
		cached: make(map[uint64]int), prefixes: newPrefixes(&pool.spare), speed: newSpeed(),
		parked: pool.order.Fork(),
	}
	pool.targets[address] = target
	pool.list = append(pool.list, target)
	slices.SortFunc(pool.list, func(a, b *Target) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	pool.byLoad.Push(target)
}

// removeIfGone forgets a leaving target that runs nothing.
func (pool *Pool) removeIfGone(target *Target) {
	if !target.leaving {
		return
	}
	pool.unparkAll(target)
	if len(target.running) > 0 {
		return
	}
	delete(pool.targets, target.address)
	pool.byLoad.Remove(target)
	pool.list = slices.DeleteFunc(pool.list, func(other *Target) bool { return other == target })
	for program := range target.prefixes.entries {
		if pool.holders[program] == target {
			delete(pool.holders, program)
		}
	}
}

func (pool *Pool) begin(now time.Time) {
	pool.now = now
	pool.decisions = pool.decisions[:0]
}

func (pool *Pool) refuse(request *Request, refused *refusal.Refusal) {
	delete(pool.requests, request.ID)
	pool.decisions = append(pool.decisions, Decision{Request: request.ID, Refusal: refused})
}

// Submit queues a request. The decisions are valid until the next call.
func (pool *Pool) Submit(now time.Time, request *Request) []Decision {
	pool.begin(now)
	request.arrived = now
	if pool.quarantine.banned(request) {
		pool.refuse(request, refusal.New(refusal.Quarantined,
			"this request crashed %d targets and is refused", quarantineCrashes))
		return pool.decisions
	}
	if len(pool.list) == 0 {
		pool.refuse(request, refusal.New(refusal.NoTarget, "the service has no target in this data centre").WithRetryAfter(time.Second))
		return pool.decisions
	}
	pool.requests[request.ID] = request
	pool.order.Push(now, request)
	if pool.order.Len() > pool.settings.QueueLimit {
		shed := pool.order.Shed()
		pool.order.Remove(shed)
		pool.refuse(shed, refusal.New(refusal.QueueFull,
			"%d calls are waiting for the service", pool.settings.QueueLimit).WithRetryAfter(2*time.Second))
	}
	return pool.schedule()
}

// Withdraw takes back a request that has no permit yet.
func (pool *Pool) Withdraw(now time.Time, id uint64) []Decision {
	pool.begin(now)
	if request, ok := pool.requests[id]; ok {
		pool.unqueue(request)
		delete(pool.requests, id)
	}
	return pool.schedule()
}

func (pool *Pool) unqueue(request *Request) {
	if request.parked != nil {
		request.parked.parked.Remove(request)
		request.parked = nil
		return
	}
	if request.deferred {
		pool.deferred.Remove(request)
		request.deferred = false
		return
	}
	pool.order.Remove(request)
}

// Settle ends a permit.
func (pool *Pool) Settle(now time.Time, report Report) []Decision {
	pool.begin(now)
	target, ok := pool.permits[report.Request]
	if !ok {
		return nil
	}
	request := target.running[report.Request]
	if report.Failure == FailureCrash {
		pool.quarantine.crashed(now, request, target.running)
		target.prefixes.clear()
	}
	pool.free(target, request)
	pool.learn(target, request, report)
	pool.byLoad.Fix(target)
	pool.removeIfGone(target)
	pool.serveParked(target)
	return pool.schedule()
}

// free returns a permit.
func (pool *Pool) free(target *Target, request *Request) {
	cached := target.cached[request.ID]
	delete(target.running, request.ID)
	delete(target.cached, request.ID)
	delete(pool.permits, request.ID)
	target.load = max(0, target.load-request.work(cached))
	if pool.isLong(request, cached) {
		target.long--
	}
	if len(target.running) == 0 {
		target.load = 0
	}
}

// learn takes over what a report says about the target and the program.
func (pool *Pool) learn(target *Target, request *Request, report Report) {
	switch report.Failure {
	case FailureNone:
		target.breaker.succeed()
		pool.quarantine.cleared(request)
	case FailureCancel:
	case FailureCrash, FailureRefused:
		target.breaker.fail(pool.now, 1, pool.settings.Random())
	default:
		target.breaker.fail(pool.now, breakerFailures, pool.settings.Random())
	}
	actual := float64(max(0, report.Prompt-report.Reused))*prefillWeight + float64(report.Output)
	if report.Failure == FailureNone {
		pool.order.Charge(request.Workspace, actual-request.work(0))
		target.speed.learn(report)
		pool.remember(target, request, report)
	}
	if report.Ended {
		pool.forget(request.Program)
	}
}

// remember notes where the prefix of a program is now.
func (pool *Pool) remember(target *Target, request *Request, report Report) {
	if request.Program == "" || report.Prompt == 0 {
		return
	}
	expected := min(target.prefixes.held(request.Program), report.Prompt)
	if expected > 0 && report.Reused*2 < expected {
		target.prefixes.missed()
	}
	if former := pool.holders[request.Program]; former != nil && former != target {
		former.prefixes.drop(request.Program)
	}
	pool.holders[request.Program] = target
	target.prefixes.touch(request.Program, report.Prompt+report.Output)
}

// forget drops what is known about a program's prefix. It returns the address
// of the target that held it, if any.
func (pool *Pool) forget(program string) string {
	target, ok := pool.holders[program]
	if !ok {
		return ""
	}
	delete(pool.holders, program)
	target.prefixes.drop(program)
	return target.address
}

// Release forgets a program that has ended and returns the address of the
// target that holds its prefix, empty if none does.
func (pool *Pool) Release(program string) string { return pool.forget(program) }

// Leave keeps new work from a target that has announced its end.
func (pool *Pool) Leave(now time.Time, address string) []Decision {
	pool.begin(now)
	if target, ok := pool.targets[address]; ok {
		target.leaving = true
		pool.byLoad.Fix(target)
		pool.removeIfGone(target)
	}
	return pool.schedule()
}

// Tick applies deadlines, ageing, breakers and the limits of parking.
func (pool *Pool) Tick(now time.Time) []Decision {
	pool.begin(now)
	pool.quarantine.tick(now)
	for _, target := range pool.list {
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
			pool.unqueue(pool.requests[id])
			pool.refuse(request, refusal.New(refusal.DeadlineExceeded, "no target was free before the deadline"))
		}
	}
	pool.order.Tick(now)
	return pool.schedule()
}

// expireParked moves the requests that have waited for the target for longer
// than another one would cost them.
func (pool *Pool) expireParked(target *Target) {
	for _, request := range pool.requests {
		if request.parked == target && !pool.now.Before(request.unpark) {
			pool.unpark(target, request)
		}
	}
}

func (pool *Pool) unparkAll(target *Target) {
	for target.parked.Len() > 0 {
		pool.unpark(target, target.parked.Peek())
	}
}

// unpark puts a parked request back into the queue for any target.
func (pool *Pool) unpark(target *Target, request *Request) {
	target.parked.Remove(request)
	request.parked = nil
	request.moved = true
	pool.order.Push(pool.now, request)
}
