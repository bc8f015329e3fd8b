package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/dispatch"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
)

// permits are the permits that this host has obtained for hosts of other data
// centres.
type permits struct {
	mutex  sync.Mutex
	next   uint64
	settle map[uint64]func(target.Report)
}

// forwardedPermit marks the identifiers of forwarded permits, which the
// holders of queues do not use.
const forwardedPermit = uint64(1) << 63

func newPermits() *permits { return &permits{settle: make(map[uint64]func(target.Report))} }

func (permits *permits) add(settle func(target.Report)) uint64 {
	permits.mutex.Lock()
	defer permits.mutex.Unlock()
	permits.next++
	id := permits.next | forwardedPermit
	permits.settle[id] = settle
	return id
}

// report settles a permit once. It reports whether the identifier belongs to a
// forwarded permit.
func (permits *permits) report(report target.Report) bool {
	if report.Request&forwardedPermit == 0 {
		return false
	}
	permits.mutex.Lock()
	settle := permits.settle[report.Request]
	delete(permits.settle, report.Request)
	permits.mutex.Unlock()
	if settle != nil {
		settle(report)
	}
	return true
}

// Acquire implements dispatch.Queues. A service without targets in this data
// centre is served by another one.
func (network *network) Acquire(ctx context.Context, request dispatch.PermitRequest) (dispatch.Permit, func(target.Report), error) {
	if place := network.placeOf(request.Service); place != network.own.DataCentre && !request.Forwarded {
		address, _, err := network.slotOwner(place, 0)
		if err != nil {
			return dispatch.Permit{}, nil, err
		}
		request.Forwarded = true
		return network.acquireFrom(ctx, address, request)
	}
	address, local := network.queueHolder(request.Service)
	if local {
		permit, err := network.holder.Acquire(ctx, request)
		return permit, network.settleLocal(request.Service, permit.ID), err
	}
	return network.acquireFrom(ctx, address, request)
}

// settleLocal returns a permit of this host's own queues.
func (network *network) settleLocal(service string, id uint64) func(target.Report) {
	return func(report target.Report) {
		report.Request = id
		network.holder.Settle(service, report)
	}
}

// placeOf returns the data centre whose targets serve a service: the own one
// if it has any, otherwise the same one from every host of this data centre.
func (network *network) placeOf(name string) string {
	var service configuration.Service
	network.follower.View(func(state *configuration.State) { service, _ = state.Text().Service(name) })
	var places []string
	for _, each := range service.Targets {
		if each.DataCentre == network.own.DataCentre {
			return each.DataCentre
		}
		places = append(places, each.DataCentre)
	}
	if len(places) == 0 {
		return network.own.DataCentre
	}
	return host.RankKey("place", network.own.DataCentre+name, places)[0]
}

// queueHolder returns the host that holds the queue of a service.
func (network *network) queueHolder(service string) (address string, local bool) {
	var live []host.Heartbeat
	network.beater.View(func(membership *host.Membership, now time.Time) { live = membership.Live(now, network.own.DataCentre) })
	names := make([]string, 0, len(live))
	addresses := make(map[string]string, len(live))
	for _, heartbeat := range live {
		names = append(names, heartbeat.Name)
		addresses[heartbeat.Name] = heartbeat.Address
	}
	if len(names) == 0 {
		return "", true
	}
	first := host.RankKey("queue", service, names)[0]
	return addresses[first], first == network.own.Name
}

// acquireFrom asks another host for a permit. The call to that host stays open
// while the permit is out: if it breaks, the holder takes the permit back.
func (network *network) acquireFrom(ctx context.Context, address string, request dispatch.PermitRequest) (dispatch.Permit, func(target.Report), error) {
	hold, release := context.WithCancel(context.Background())
	granted := make(chan dispatch.Permit, 1)
	failed := make(chan error, 1)
	go func() {
		failed <- network.transport.Call(hold, address, dispatch.MethodPermit, request, func(value peer.Value) error {
			var permit dispatch.Permit
			if err := value.Decode(&permit); err != nil {
				return err
			}
			select {
			case granted <- permit:
			default:
			}
			return nil
		})
	}()
	select {
	case permit := <-granted:
		return permit, func(report target.Report) {
			report.Request = permit.ID
			network.settle(address, request.Service, report, release)
		}, nil
	case err := <-failed:
		release()
		if err == nil {
			err = peer.ErrConnection
		}
		return dispatch.Permit{}, nil, err
	case <-ctx.Done():
		release()
		return dispatch.Permit{}, nil, ctx.Err()
	}
}

// settle reports on a permit and closes the call that held it.
func (network *network) settle(address, service string, report target.Report, release context.CancelFunc) {
	go func() {
		defer release()
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		var done bool
		if err := network.transport.Ask(ctx, address, dispatch.MethodSettle, dispatch.SettleRequest{Service: service, Report: report}, &done); err != nil {
			network.metrics.Count("settle_failed")
		}
	}()
}

const settleTimeout = 2 * time.Second

// Release implements dispatch.Queues.
func (network *network) Release(ctx context.Context, program string) []string {
	addresses := network.holder.Release(program)
	for _, neighbour := range network.neighbours("release", program) {
		var more []string
		if err := network.transport.Ask(ctx, neighbour.Address, dispatch.MethodRelease, dispatch.ReleaseRequest{Program: program}, &more); err == nil {
			addresses = append(addresses, more...)
		}
	}
	return addresses
}

// Down implements dispatch.Queues.
func (network *network) Down(service string) bool {
	down := slices.Contains(network.holder.Down(), service)
	network.beater.View(func(membership *host.Membership, now time.Time) {
		down = down || membership.Down(now, service)
	})
	return down
}

// permit grants a permit and takes it back if the asking host is lost.
func (handlers *handlers) permit(ctx context.Context, request peer.Request, send func(any) error) error {
	var message dispatch.PermitRequest
	if err := request.Decode(&message); err != nil {
		return malformed(err)
	}
	network := handlers.network
	var permit dispatch.Permit
	var err error
	settle := func(report target.Report) { network.settleLocal(message.Service, permit.ID)(report) }
	if message.Forwarded {
		var inner func(target.Report)
		if permit, inner, err = network.Acquire(ctx, message); err == nil && permit.Refusal == nil {
			permit.ID = network.permits.add(inner)
			id := permit.ID
			settle = func(report target.Report) { report.Request = id; network.permits.report(report) }
		}
	} else {
		permit, err = network.holder.Acquire(ctx, message)
	}
	if err != nil {
		return err
	}
	// Settling a permit that was settled already does nothing.
	defer settle(target.Report{Failure: target.FailureCancel})
	if err := send(permit); err != nil || permit.Refusal != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// settled takes a report on a permit of this host or a forwarded one.
func (handlers *handlers) settled(message dispatch.SettleRequest) (bool, error) {
	if !handlers.network.permits.report(message.Report) {
		handlers.network.holder.Settle(message.Service, message.Report)
	}
	return true, nil
}

const banTimeout = 2 * time.Second

// spreadBan tells the other hosts about requests that crash targets.
func (network *network) spreadBan(message dispatch.BanMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), banTimeout)
	defer cancel()
	inside := message
	inside.Relayed = true
	askAll[bool](ctx, network, network.known(), dispatch.MethodBan, inside)
	if message.Relayed {
		return
	}
	var relays []host.Heartbeat
	network.beater.View(func(membership *host.Membership, _ time.Time) { relays = membership.Relays() })
	askAll[bool](ctx, network, relays, dispatch.MethodBan, message)
}

// ban takes over a ban and passes it on if it came from another data centre.
func (handlers *handlers) ban(message dispatch.BanMessage) (bool, error) {
	if len(message.Digests) > maxBanned {
		return false, refusal.New(refusal.BadRequest, "message bans %d requests, expected at most %d", len(message.Digests), maxBanned)
	}
	handlers.network.holder.Ban(message.Digests)
	if !message.Relayed {
		message.Relayed = true
		go handlers.network.spreadBan(message)
	}
	return true, nil
}

// maxBanned bounds the digests of one message.
const maxBanned = 1000
