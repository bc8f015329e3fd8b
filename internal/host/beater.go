package host

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// MethodHeartbeat exchanges heartbeats.
const MethodHeartbeat = "heartbeat"

// Asker runs a method on another host.
type Asker interface {
	Ask(ctx context.Context, address, method string, argument, answer any) error
}

// Beater keeps a Membership up to date: heartbeats to every host of the own
// data centre and to a few relays in each other one, and the platform's list.
type Beater struct {
	clock   clockwork.Clock
	metrics *metric.Metrics
	asker   Asker
	hosts   platform.Hosts
	// describe fills in what the own heartbeat tells beside its identity.
	describe func(heartbeat *Heartbeat)
	// heard is told of each heartbeat of another host.
	heard func(heartbeat Heartbeat, asked time.Time)

	mutex      sync.Mutex
	membership *Membership
	beating    map[string]bool
}

const (
	beatInterval = 500 * time.Millisecond
	beatTimeout  = time.Second
	listInterval = 2 * time.Second
	relayCount   = 2 // hosts of each other data centre that get every second heartbeat
)

// NewBeater returns a beater for a membership.
func NewBeater(clock clockwork.Clock, metrics *metric.Metrics, asker Asker, hosts platform.Hosts, membership *Membership,
	describe func(*Heartbeat), heard func(Heartbeat, time.Time)) *Beater {
	return &Beater{
		clock: clock, metrics: metrics, asker: asker, hosts: hosts, membership: membership,
		describe: describe, heard: heard, beating: make(map[string]bool),
	}
}

// View runs a function on the membership, which it must not keep.
func (beater *Beater) View(look func(membership *Membership, now time.Time)) {
	beater.mutex.Lock()
	defer beater.mutex.Unlock()
	look(beater.membership, beater.clock.Now())
}

// Run beats until the context ends.
func (beater *Beater) Run(ctx context.Context) {
	go beater.follow(ctx)
	ticker := beater.clock.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		beater.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// follow reads the platform's list.
func (beater *Beater) follow(ctx context.Context) {
	for {
		hosts, err := beater.hosts.Hosts(ctx)
		if err != nil {
			beater.metrics.Count("host_list_failed")
		} else {
			beater.View(func(membership *Membership, now time.Time) { membership.List(now, hosts) })
		}
		select {
		case <-ctx.Done():
			return
		case <-beater.clock.After(listInterval):
		}
	}
}

// beat sends one round of heartbeats.
func (beater *Beater) beat(ctx context.Context) {
	var own Heartbeat
	var targets []Heartbeat
	beater.View(func(membership *Membership, now time.Time) {
		own = membership.Own()
		beater.describe(&own)
		membership.SetOwn(own)
		targets = membership.beatTargets(now)
	})
	for _, target := range targets {
		go beater.exchange(ctx, own, target)
	}
}

// beatTargets returns the hosts that get heartbeats.
func (membership *Membership) beatTargets(now time.Time) []Heartbeat {
	var targets []Heartbeat
	for _, heartbeat := range membership.Known(now, membership.own.DataCentre) {
		// One exchange tells both hosts, so the first by name starts it. The
		// other steps in when it hears nothing.
		if membership.own.Name < heartbeat.Name || now.Sub(membership.members[heartbeat.Name].heard) > 3*beatInterval/2 {
			targets = append(targets, heartbeat)
		}
	}
	if membership.relaySkip = !membership.relaySkip; membership.relaySkip {
		return targets
	}
	return append(targets, membership.Relays()...)
}

// Relays returns the hosts of other data centres that this host talks to.
func (membership *Membership) Relays() []Heartbeat {
	var targets []Heartbeat
	others := make(map[string][]string)
	for name, member := range membership.members {
		if place := member.heartbeat.DataCentre; place != membership.own.DataCentre && member.heartbeat.Address != "" {
			others[place] = append(others[place], name)
		}
	}
	for _, names := range others {
		for index, name := range RankKey("relay", membership.own.Name, names) {
			if index < relayCount {
				targets = append(targets, membership.members[name].heartbeat)
			}
		}
	}
	return targets
}

// exchange sends one heartbeat. A host that has not answered the last one gets
// no second at the same time.
func (beater *Beater) exchange(ctx context.Context, own, target Heartbeat) {
	beater.mutex.Lock()
	if beater.beating[target.Name] {
		beater.mutex.Unlock()
		return
	}
	beater.beating[target.Name] = true
	beater.mutex.Unlock()
	defer func() {
		beater.mutex.Lock()
		defer beater.mutex.Unlock()
		delete(beater.beating, target.Name)
	}()
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	asked := beater.clock.Now()
	var answer Heartbeat
	if err := beater.asker.Ask(ctx, target.Address, MethodHeartbeat, own, &answer); err != nil {
		beater.metrics.Count("heartbeat_failed")
		return
	}
	beater.Hear(answer, asked)
}

// Hear takes a heartbeat that was asked for, or sent by another host, at a
// time.
func (beater *Beater) Hear(heartbeat Heartbeat, asked time.Time) {
	beater.View(func(membership *Membership, now time.Time) { membership.Hear(now, heartbeat) })
	beater.heard(heartbeat, asked)
}

// Answer takes another host's heartbeat and returns the own one.
func (beater *Beater) Answer(heartbeat Heartbeat) Heartbeat {
	beater.Hear(heartbeat, beater.clock.Now())
	var own Heartbeat
	beater.View(func(membership *Membership, _ time.Time) { own = membership.Own() })
	beater.describe(&own)
	return own
}

// Leave announces the end of the own host.
func (beater *Beater) Leave(ctx context.Context) {
	beater.View(func(membership *Membership, _ time.Time) {
		own := membership.Own()
		own.Leaving = true
		membership.SetOwn(own)
	})
	beater.beat(ctx)
}
