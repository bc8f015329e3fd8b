package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
	"github.com/godwitspread/godwitspread/internal/worker"
)

// QueueServer serves the queues that this host owns for its data centre.
type QueueServer struct {
	clock      clockwork.Clock
	metrics    *metric.Metrics
	dataCentre string
	loop       *worker.Loop
	text       *configuration.Text
	pools      map[string]*target.Pool
	waiters    map[uint64]chan target.Decision
	random     *rand.Rand
	lastID     uint64
	// broadcast sends the digests of requests that crash targets to the other
	// hosts. banned maps each known digest to the time of its ban.
	broadcast    func(digests []string)
	banned       map[string]time.Time
	downServices atomic.Pointer[[]string] // services without a usable target
}

const (
	loopCapacity = 4096
	tickInterval = 50 * time.Millisecond
)

// NewQueueServer returns a server without queues. The seed determines the
// jitter of the circuit breakers.
func NewQueueServer(clock clockwork.Clock, metrics *metric.Metrics, dataCentre string, seed uint64, broadcast func(digests []string)) *QueueServer {
	return &QueueServer{
		clock: clock, metrics: metrics, dataCentre: dataCentre, loop: worker.NewLoop(loopCapacity),
		text: &configuration.Text{}, pools: make(map[string]*target.Pool),
		waiters: make(map[uint64]chan target.Decision), random: rand.New(rand.NewPCG(seed, 1)),
		broadcast: broadcast, banned: make(map[string]time.Time),
	}
}

// Run processes events until the context is cancelled.
func (server *QueueServer) Run(ctx context.Context) {
	server.loop.Run(ctx, server.clock, tickInterval, server.tick)
}

func (server *QueueServer) tick() {
	for _, pool := range server.pools {
		server.deliver(pool.Tick(server.clock.Now()))
	}
	server.broadcastBans()
	server.publishDown()
}

// publishDown updates the services that Down returns.
func (server *QueueServer) publishDown() {
	down := []string{}
	for name, pool := range server.pools {
		if pool.Down() {
			down = append(down, name)
		}
	}
	slices.Sort(down)
	server.downServices.Store(&down)
}

// Down returns the services whose queue is on this host and has no usable
// target. It's safe for concurrent use.
func (server *QueueServer) Down() []string {
	if down := server.downServices.Load(); down != nil {
		return *down
	}
	return nil
}

// broadcastBans applies the digests that a queue of this host has newly
// quarantined to its other queues, and sends them to the other hosts.
func (server *QueueServer) broadcastBans() {
	now := server.clock.Now()
	for digest, since := range server.banned {
		if now.Sub(since) > target.QuarantineTime {
			delete(server.banned, digest)
		}
	}
	var newDigests []string
	for _, pool := range server.pools {
		for _, digest := range pool.Quarantined() {
			if _, known := server.banned[digest]; !known {
				server.banned[digest] = now
				newDigests = append(newDigests, digest)
			}
		}
	}
	if len(newDigests) == 0 {
		return
	}
	server.metrics.Count("request_quarantined")
	for _, pool := range server.pools {
		for _, digest := range newDigests {
			pool.Quarantine(now, digest)
		}
	}
	server.broadcast(newDigests)
}

// Ban quarantines requests that have crashed targets of queues on other hosts.
func (server *QueueServer) Ban(digests []string) {
	server.loop.Post(func() {
		for _, digest := range digests {
			server.banned[digest] = server.clock.Now()
			for _, pool := range server.pools {
				pool.Quarantine(server.clock.Now(), digest)
			}
		}
	})
}

// SetText applies a new configuration.
func (server *QueueServer) SetText(text *configuration.Text) {
	server.loop.Post(func() {
		server.text = text
		for name, pool := range server.pools {
			service, ok := text.Service(name)
			addresses := server.addresses(service)
			if !ok {
				addresses = nil
			}
			server.deliver(pool.SetTargets(server.clock.Now(), addresses, max(1, service.Window)))
		}
	})
}

func (server *QueueServer) addresses(service configuration.Service) []string {
	var addresses []string
	for _, configured := range service.Targets {
		if configured.DataCentre == server.dataCentre {
			addresses = append(addresses, configured.Address)
		}
	}
	return addresses
}

// pool returns the pool of a service. It creates the pool on first use.
func (server *QueueServer) pool(name string) (*target.Pool, *refusal.Refusal) {
	if pool, ok := server.pools[name]; ok {
		return pool, nil
	}
	service, ok := server.text.Service(name)
	if !ok {
		return nil, refusal.New(refusal.UnknownService, "service %q does not exist", name)
	}
	settings := target.DefaultSettings(service.Window, server.random.Float64)
	pool := target.NewPool(settings, target.NewFairQueue(), target.PrefixPlacement{})
	pool.SetTargets(server.clock.Now(), server.addresses(service), service.Window)
	for digest := range server.banned {
		pool.Quarantine(server.clock.Now(), digest)
	}
	server.pools[name] = pool
	return pool, nil
}

// deliver sends decisions to the callers that wait for them.
func (server *QueueServer) deliver(decisions []target.Decision) {
	for _, decision := range decisions {
		if waiter, ok := server.waiters[decision.Request]; ok {
			delete(server.waiters, decision.Request)
			waiter <- decision
		}
		if decision.Refusal != nil {
			server.metrics.Count("queue_refused_" + string(decision.Refusal.Code))
		}
	}
}

// Acquire waits for a permit. The caller has to settle the permit.
func (server *QueueServer) Acquire(ctx context.Context, request PermitRequest) (Permit, error) {
	waiter := make(chan target.Decision, 1)
	var id uint64
	var refused *refusal.Refusal
	running := server.loop.Do(func() {
		var pool *target.Pool
		if pool, refused = server.pool(request.Service); refused != nil {
			return
		}
		server.lastID++
		id = server.lastID
		server.waiters[id] = waiter
		server.deliver(pool.Submit(server.clock.Now(), server.newTargetRequest(id, request)))
	})
	if !running {
		return Permit{}, refusal.New(refusal.OwnerUnavailable, "the holder of the queue is stopping")
	}
	if refused != nil {
		return Permit{}, refused
	}
	select {
	case decision := <-waiter:
		return Permit{ID: id, Target: decision.Target, Cached: decision.Cached, Refusal: decision.Refusal}, nil
	case <-ctx.Done():
		server.withdraw(request.Service, id, waiter)
		return Permit{}, ctx.Err()
	}
}

func (server *QueueServer) newTargetRequest(id uint64, request PermitRequest) *target.Request {
	workspace, _ := server.text.Workspace(request.Workspace)
	return &target.Request{
		ID: id, Program: request.Program, Workspace: request.Workspace,
		Weight: workspace.Weight, Priority: workspace.Priority,
		Prompt: request.Prompt, Output: request.Output, Attained: request.Attained,
		Deadline: server.clock.Now().Add(time.Duration(request.TimeoutMillis) * time.Millisecond),
		Digest:   request.Digest, Avoid: request.Avoid,
	}
}

// withdraw removes a request whose caller is gone. If the request got a permit
// in the meantime, withdraw settles it.
func (server *QueueServer) withdraw(service string, id uint64, waiter chan target.Decision) {
	server.loop.Post(func() {
		pool, ok := server.pools[service]
		if !ok {
			return
		}
		delete(server.waiters, id)
		select {
		case decision := <-waiter:
			if decision.Refusal == nil {
				server.deliver(pool.Settle(server.clock.Now(), target.Report{Request: id, Failure: target.FailureCancel}))
			}
		default:
			server.deliver(pool.Withdraw(server.clock.Now(), id))
		}
	})
}

// Settle settles a permit with the result of its call. Settling a permit again
// does nothing.
func (server *QueueServer) Settle(service string, report target.Report) {
	server.loop.Post(func() {
		if pool, ok := server.pools[service]; ok {
			if report.Failure != target.FailureNone {
				server.metrics.Count("target_failure_" + string(report.Failure))
			}
			server.deliver(pool.Settle(server.clock.Now(), report))
		}
	})
}

// Release removes the state of a program and returns the addresses of the
// targets that have cached its prefix.
func (server *QueueServer) Release(program string) []string {
	var addresses []string
	server.loop.Do(func() {
		for _, pool := range server.pools {
			if address := pool.Release(program); address != "" {
				addresses = append(addresses, address)
			}
		}
	})
	return addresses
}

// TargetStatus is the state of one target, as shown to operators.
type TargetStatus struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Running int    `json:"running"`
	State   string `json:"state"`
}

// Status returns the state of the targets of all queues on this host.
func (server *QueueServer) Status() []TargetStatus {
	var statuses []TargetStatus
	server.loop.Do(func() {
		for service, pool := range server.pools {
			for _, target := range pool.Targets() {
				state := "ready"
				switch {
				case target.Leaving():
					state = "leaving"
				case target.Tripped():
					state = "tripped"
				}
				statuses = append(statuses, TargetStatus{
					Service: service, Address: target.Address(), Running: target.Running(), State: state,
				})
			}
		}
	})
	return statuses
}
