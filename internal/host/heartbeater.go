package host

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// MethodHeartbeat is the method by which two hosts exchange heartbeats.
const MethodHeartbeat = "heartbeat"

// Transport calls methods of other hosts.
type Transport interface {
	Ask(ctx context.Context, address, method string, argument, response any) error
}

// Heartbeater keeps a Membership up to date. It sends heartbeats to every other
// host of its data centre and to a few hosts, called relays, in each other data
// centre, and polls the platform's host list.
type Heartbeater struct {
	clock     clockwork.Clock
	metrics   *metric.Metrics
	transport Transport
	hosts     platform.Hosts
	// fillStatus sets the fields of the local heartbeat that describe the state
	// of this host.
	fillStatus func(heartbeat *Heartbeat)
	// onHeartbeat is called with each heartbeat of another host and the time at
	// which it was requested.
	onHeartbeat func(heartbeat Heartbeat, sentAt time.Time)

	mutex      sync.Mutex
	membership *Membership
	inFlight   map[string]bool
}

const (
	heartbeatInterval   = 500 * time.Millisecond
	heartbeatTimeout    = time.Second
	hostListInterval    = 2 * time.Second
	relaysPerDataCentre = 2 // hosts of each other data centre that receive every second heartbeat
)

// NewHeartbeater returns a heartbeater that updates the membership.
func NewHeartbeater(clock clockwork.Clock, metrics *metric.Metrics, transport Transport, hosts platform.Hosts, membership *Membership,
	fillStatus func(*Heartbeat), onHeartbeat func(Heartbeat, time.Time)) *Heartbeater {
	return &Heartbeater{
		clock: clock, metrics: metrics, transport: transport, hosts: hosts, membership: membership,
		fillStatus: fillStatus, onHeartbeat: onHeartbeat, inFlight: make(map[string]bool),
	}
}

// View calls a function with the membership while its mutex is locked. The
// function may change the membership, but must not retain it.
func (heartbeater *Heartbeater) View(access func(membership *Membership, now time.Time)) {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	access(heartbeater.membership, heartbeater.clock.Now())
}

// Run sends heartbeats and polls the host list until the context is done.
func (heartbeater *Heartbeater) Run(ctx context.Context) {
	go heartbeater.pollHosts(ctx)
	ticker := heartbeater.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		heartbeater.sendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// pollHosts polls the platform's host list.
func (heartbeater *Heartbeater) pollHosts(ctx context.Context) {
	for {
		hosts, err := heartbeater.hosts.Hosts(ctx)
		if err != nil {
			heartbeater.metrics.Count("host_list_failed")
		} else {
			heartbeater.View(func(membership *Membership, now time.Time) { membership.ApplyHostList(now, hosts) })
		}
		select {
		case <-ctx.Done():
			return
		case <-heartbeater.clock.After(hostListInterval):
		}
	}
}

// sendHeartbeats sends one round of heartbeats.
func (heartbeater *Heartbeater) sendHeartbeats(ctx context.Context) {
	var local Heartbeat
	var recipients []Heartbeat
	heartbeater.View(func(membership *Membership, now time.Time) {
		local = membership.Local()
		heartbeater.fillStatus(&local)
		membership.SetLocal(local)
		recipients = membership.heartbeatRecipients(now)
	})
	for _, recipient := range recipients {
		go heartbeater.exchange(ctx, local, recipient)
	}
}

// heartbeatRecipients returns the hosts that receive heartbeats in this round.
func (membership *Membership) heartbeatRecipients(now time.Time) []Heartbeat {
	var recipients []Heartbeat
	for _, heartbeat := range membership.Known(now, membership.local.DataCentre) {
		// An exchange updates both hosts, so only the host whose name sorts
		// first starts it. The other one starts an exchange if it has received
		// no heartbeat for one and a half intervals.
		if membership.local.Name < heartbeat.Name || now.Sub(membership.members[heartbeat.Name].lastSeen) > 3*heartbeatInterval/2 {
			recipients = append(recipients, heartbeat)
		}
	}
	if membership.skipRelays = !membership.skipRelays; membership.skipRelays {
		return recipients
	}
	return append(recipients, membership.Relays()...)
}

// Relays returns the hosts of other data centres that this host exchanges
// heartbeats with.
func (membership *Membership) Relays() []Heartbeat {
	var recipients []Heartbeat
	remote := make(map[string][]string)
	for name, member := range membership.members {
		if dataCentre := member.heartbeat.DataCentre; dataCentre != membership.local.DataCentre && member.heartbeat.Address != "" {
			remote[dataCentre] = append(remote[dataCentre], name)
		}
	}
	for _, names := range remote {
		for index, name := range RankKey("relay", membership.local.Name, names) {
			if index < relaysPerDataCentre {
				recipients = append(recipients, membership.members[name].heartbeat)
			}
		}
	}
	return recipients
}

// exchange sends a heartbeat and processes the one in the response. It sends
// none while an earlier exchange with the same host is in flight.
func (heartbeater *Heartbeater) exchange(ctx context.Context, local, recipient Heartbeat) {
	heartbeater.mutex.Lock()
	if heartbeater.inFlight[recipient.Name] {
		heartbeater.mutex.Unlock()
		return
	}
	heartbeater.inFlight[recipient.Name] = true
	heartbeater.mutex.Unlock()
	defer func() {
		heartbeater.mutex.Lock()
		defer heartbeater.mutex.Unlock()
		delete(heartbeater.inFlight, recipient.Name)
	}()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := heartbeater.clock.Now()
	var response Heartbeat
	if err := heartbeater.transport.Ask(ctx, recipient.Address, MethodHeartbeat, local, &response); err != nil {
		heartbeater.metrics.Count("heartbeat_failed")
		return
	}
	heartbeater.Observe(response, sentAt)
}

// Observe processes the heartbeat of another host, which was sent or requested
// at the given time.
func (heartbeater *Heartbeater) Observe(heartbeat Heartbeat, sentAt time.Time) {
	heartbeater.View(func(membership *Membership, now time.Time) { membership.Observe(now, heartbeat) })
	heartbeater.onHeartbeat(heartbeat, sentAt)
}

// HandleHeartbeat processes another host's heartbeat and returns the local one.
func (heartbeater *Heartbeater) HandleHeartbeat(heartbeat Heartbeat) Heartbeat {
	heartbeater.Observe(heartbeat, heartbeater.clock.Now())
	var local Heartbeat
	heartbeater.View(func(membership *Membership, _ time.Time) { local = membership.Local() })
	heartbeater.fillStatus(&local)
	return local
}

// Leave announces to the other hosts that this host is shutting down.
func (heartbeater *Heartbeater) Leave(ctx context.Context) {
	heartbeater.View(func(membership *Membership, _ time.Time) {
		local := membership.Local()
		local.Leaving = true
		membership.SetLocal(local)
	})
	heartbeater.sendHeartbeats(ctx)
}
