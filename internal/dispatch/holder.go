package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/duty"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
)

// Holder serves the queues of the services that this host holds for its data
// centre.
type Holder struct {
	clock      clockwork.Clock
	metrics    *metric.Metrics
	dataCentre string
	loop       *duty.Loop
	text       *configuration.Text
	pools      map[string]*target.Pool
	waiters    map[uint64]chan target.Decision
	random     *rand.Rand
	next       uint64
	// spread tells the other hosts about requests that crash targets; banned
	// are those known here, with the time of their ban.
	spread func(digests []string)
	banned map[string]time.Time
	down   atomic.Pointer[[]string] // services without a usable target
}

const (
	holderRing = 4096
	holderTick = 50 * time.Millisecond
)

// NewHolder returns a holder. The seed is for the jitter of its breakers.
func NewHolder(clock clockwork.Clock, metrics *metric.Metrics, dataCentre string, seed uint64, spread func(digests []string)) *Holder {
	return &Holder{
		clock: clock, metrics: metrics, dataCentre: dataCentre, loop: duty.NewLoop(holderRing),
		text: &configuration.Text{}, pools: make(map[string]*target.Pool),
		waiters: make(map[uint64]chan target.Decision), random: rand.New(rand.NewPCG(seed, 1)),
		spread: spread, banned: make(map[string]time.Time),
	}
}

// Run serves until the context ends.
func (holder *Holder) Run(ctx context.Context) {
	holder.loop.Run(ctx, holder.clock, holderTick, holder.tick)
}

func (holder *Holder) tick() {
	for _, pool := range holder.pools {
		holder.decide(pool.Tick(holder.clock.Now()))
	}
	holder.spreadBans()
	holder.publishDown()
}

// publishDown makes the services without a usable target known.
func (holder *Holder) publishDown() {
	down := []string{}
	for name, pool := range holder.pools {
		if pool.Down() {
			down = append(down, name)
		}
	}
	slices.Sort(down)
	holder.down.Store(&down)
}

// Down returns the services whose queue is held here and has no usable target.
func (holder *Holder) Down() []string {
	if down := holder.down.Load(); down != nil {
		return *down
	}
	return nil
}

// spreadBans passes on what the own queues have found out.
func (holder *Holder) spreadBans() {
	now := holder.clock.Now()
	for digest, since := range holder.banned {
		if now.Sub(since) > target.QuarantineTime {
			delete(holder.banned, digest)
		}
	}
	var fresh []string
	for _, pool := range holder.pools {
		for _, digest := range pool.Quarantined() {
			if _, known := holder.banned[digest]; !known {
				holder.banned[digest] = now
				fresh = append(fresh, digest)
			}
		}
	}
	if len(fresh) == 0 {
		return
	}
	holder.metrics.Count("request_quarantined")
	for _, pool := range holder.pools {
		for _, digest := range fresh {
			pool.Quarantine(now, digest)
		}
	}
	holder.spread(fresh)
}

// Ban refuses requests that have crashed targets of other queues.
func (holder *Holder) Ban(digests []string) {
	holder.loop.Post(func() {
		for _, digest := range digests {
			holder.banned[digest] = holder.clock.Now()
			for _, pool := range holder.pools {
				pool.Quarantine(holder.clock.Now(), digest)
			}
		}
	})
}

// SetText applies a new configuration.
func (holder *Holder) SetText(text *configuration.Text) {
	holder.loop.Post(func() {
		holder.text = text
		for name, pool := range holder.pools {
			service, ok := text.Service(name)
			addresses := holder.addresses(service)
			if !ok {
				addresses = nil
			}
			holder.decide(pool.SetTargets(holder.clock.Now(), addresses, max(1, service.Window)))
		}
	})
}

func (holder *Holder) addresses(service configuration.Service) []string {
	var addresses []string
	for _, place := range service.Targets {
		if place.DataCentre == holder.dataCentre {
			addresses = append(addresses, place.Address)
		}
	}
	return addresses
}

// pool returns the queue of a service, created on first use.
func (holder *Holder) pool(name string) (*target.Pool, *refusal.Refusal) {
	if pool, ok := holder.pools[name]; ok {
		return pool, nil
	}
	service, ok := holder.text.Service(name)
	if !ok {
		return nil, refusal.New(refusal.UnknownService, "service %q does not exist", name)
	}
	settings := target.DefaultSettings(service.Window, holder.random.Float64)
	pool := target.NewPool(settings, target.NewFairOrder(), target.PrefixPlacement{})
	pool.SetTargets(holder.clock.Now(), holder.addresses(service), service.Window)
	for digest := range holder.banned {
		pool.Quarantine(holder.clock.Now(), digest)
	}
	holder.pools[name] = pool
	return pool, nil
}

// decide hands decisions to those who wait for them.
func (holder *Holder) decide(decisions []target.Decision) {
	for _, decision := range decisions {
		if waiter, ok := holder.waiters[decision.Request]; ok {
			delete(holder.waiters, decision.Request)
			waiter <- decision
		}
		if decision.Refusal != nil {
			holder.metrics.Count("queue_refused_" + string(decision.Refusal.Code))
		}
	}
}

// Acquire waits for a permit. The caller has to settle it.
func (holder *Holder) Acquire(ctx context.Context, request PermitRequest) (Permit, error) {
	waiter := make(chan target.Decision, 1)
	var id uint64
	var refused *refusal.Refusal
	running := holder.loop.Do(func() {
		var pool *target.Pool
		if pool, refused = holder.pool(request.Service); refused != nil {
			return
		}
		holder.next++
		id = holder.next
		holder.waiters[id] = waiter
		holder.decide(pool.Submit(holder.clock.Now(), holder.request(id, request)))
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
		holder.withdraw(request.Service, id, waiter)
		return Permit{}, ctx.Err()
	}
}

func (holder *Holder) request(id uint64, request PermitRequest) *target.Request {
	workspace, _ := holder.text.Workspace(request.Workspace)
	return &target.Request{
		ID: id, Program: request.Program, Workspace: request.Workspace,
		Weight: workspace.Weight, Priority: workspace.Priority,
		Prompt: request.Prompt, Output: request.Output, Attained: request.Attained,
		Deadline: holder.clock.Now().Add(time.Duration(request.TimeoutMillis) * time.Millisecond),
		Digest:   request.Digest, Avoid: request.Avoid,
	}
}

// withdraw takes a request back whose caller has gone, with its permit if it
// got one in the meantime.
func (holder *Holder) withdraw(service string, id uint64, waiter chan target.Decision) {
	holder.loop.Post(func() {
		pool, ok := holder.pools[service]
		if !ok {
			return
		}
		delete(holder.waiters, id)
		select {
		case decision := <-waiter:
			if decision.Refusal == nil {
				holder.decide(pool.Settle(holder.clock.Now(), target.Report{Request: id, Failure: target.FailureCancel}))
			}
		default:
			holder.decide(pool.Withdraw(holder.clock.Now(), id))
		}
	})
}

// Settle returns a permit. Settling twice does nothing.
func (holder *Holder) Settle(service string, report target.Report) {
	holder.loop.Post(func() {
		if pool, ok := holder.pools[service]; ok {
			if report.Failure != target.FailureNone {
				holder.metrics.Count("target_failure_" + string(report.Failure))
			}
			holder.decide(pool.Settle(holder.clock.Now(), report))
		}
	})
}

// Release forgets a program and returns the targets that hold its prefix.
func (holder *Holder) Release(program string) []string {
	var addresses []string
	holder.loop.Do(func() {
		for _, pool := range holder.pools {
			if address := pool.Release(program); address != "" {
				addresses = append(addresses, address)
			}
		}
	})
	return addresses
}

// TargetStatus is the state of one target for operators.
type TargetStatus struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Running int    `json:"running"`
	State   string `json:"state"`
}

// Status returns the targets of the queues that this host holds.
func (holder *Holder) Status() []TargetStatus {
	var statuses []TargetStatus
	holder.loop.Do(func() {
		for service, pool := range holder.pools {
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
