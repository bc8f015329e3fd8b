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

// forwardedPermits contains the permits that this host has acquired on behalf of
// hosts in other data centres.
type forwardedPermits struct {
	mutex       sync.Mutex
	lastID      uint64
	settleFuncs map[uint64]func(target.Report)
}

// forwardedPermitBit is set in the identifiers of forwarded permits. The identifiers
// that queue servers assign do not have it.
const forwardedPermitBit = uint64(1) << 63

func newForwardedPermits() *forwardedPermits {
	return &forwardedPermits{settleFuncs: make(map[uint64]func(target.Report))}
}

func (forwardedPermits *forwardedPermits) add(settle func(target.Report)) uint64 {
	forwardedPermits.mutex.Lock()
	defer forwardedPermits.mutex.Unlock()
	forwardedPermits.lastID++
	id := forwardedPermits.lastID | forwardedPermitBit
	forwardedPermits.settleFuncs[id] = settle
	return id
}

// settleOnce settles a forwarded permit unless it has been settled already. It
// returns false if the identifier doesn't belong to a forwarded permit.
func (forwardedPermits *forwardedPermits) settleOnce(report target.Report) bool {
	if report.Request&forwardedPermitBit == 0 {
		return false
	}
	forwardedPermits.mutex.Lock()
	settle := forwardedPermits.settleFuncs[report.Request]
	delete(forwardedPermits.settleFuncs, report.Request)
	forwardedPermits.mutex.Unlock()
	if settle != nil {
		settle(report)
	}
	return true
}

// Acquire implements dispatch.Queues. If the service has no targets in this data
// centre, it acquires the permit in another data centre.
func (network *network) Acquire(ctx context.Context, request dispatch.PermitRequest) (dispatch.Permit, func(target.Report), error) {
	if dataCentre := network.serviceDataCentre(request.Service); dataCentre != network.self.DataCentre && !request.Forwarded {
		// Any host of the other data centre can acquire the permit, so the slot is
		// irrelevant.
		address, _, err := network.slotOwnerAddress(dataCentre, 0)
		if err != nil {
			return dispatch.Permit{}, nil, err
		}
		request.Forwarded = true
		return network.acquireRemote(ctx, address, request)
	}
	address, local := network.queueHost(request.Service)
	if local {
		permit, err := network.queueServer.Acquire(ctx, request)
		return permit, network.settleLocal(request.Service, permit.ID), err
	}
	return network.acquireRemote(ctx, address, request)
}

// settleLocal returns a function that settles a permit of a queue on this host.
func (network *network) settleLocal(service string, id uint64) func(target.Report) {
	return func(report target.Report) {
		report.Request = id
		network.queueServer.Settle(service, report)
	}
}

// serviceDataCentre returns the data centre whose targets serve a service: the local
// data centre if it has targets of the service, otherwise one selected by rendezvous
// hashing, so that all hosts of the local data centre use the same one.
func (network *network) serviceDataCentre(name string) string {
	var service configuration.Service
	network.follower.View(func(state *configuration.State) { service, _ = state.Text().Service(name) })
	var dataCentres []string
	for _, serviceTarget := range service.Targets {
		if serviceTarget.DataCentre == network.self.DataCentre {
			return serviceTarget.DataCentre
		}
		dataCentres = append(dataCentres, serviceTarget.DataCentre)
	}
	if len(dataCentres) == 0 {
		return network.self.DataCentre
	}
	return host.RankKey("place", network.self.DataCentre+name, dataCentres)[0]
}

// queueHost returns the address of the host that manages the queue of a service in
// this data centre, and whether this host does.
func (network *network) queueHost(service string) (address string, local bool) {
	var live []host.Heartbeat
	network.heartbeater.View(func(membership *host.Membership, now time.Time) { live = membership.Live(now, network.self.DataCentre) })
	names := make([]string, 0, len(live))
	addresses := make(map[string]string, len(live))
	for _, heartbeat := range live {
		names = append(names, heartbeat.Name)
		addresses[heartbeat.Name] = heartbeat.Address
	}
	if len(names) == 0 {
		return "", true
	}
	hostName := host.RankKey("queue", service, names)[0]
	return addresses[hostName], hostName == network.self.Name
}

// acquireRemote acquires a permit from another host. The call to that host stays
// open until the permit is settled. If the connection is lost, that host settles the
// permit itself.
func (network *network) acquireRemote(ctx context.Context, address string, request dispatch.PermitRequest) (dispatch.Permit, func(target.Report), error) {
	permitCtx, endCall := context.WithCancel(context.Background())
	granted := make(chan dispatch.Permit, 1)
	failed := make(chan error, 1)
	go func() {
		failed <- network.transport.Call(permitCtx, address, dispatch.MethodPermit, request, func(value peer.Value) error {
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
			network.settleRemote(address, request.Service, report, endCall)
		}, nil
	case err := <-failed:
		endCall()
		if err == nil {
			err = peer.ErrConnection
		}
		return dispatch.Permit{}, nil, err
	case <-ctx.Done():
		endCall()
		return dispatch.Permit{}, nil, ctx.Err()
	}
}

// settleRemote settles a permit on another host, then ends the call that kept the
// permit open.
func (network *network) settleRemote(address, service string, report target.Report, endCall context.CancelFunc) {
	go func() {
		defer endCall()
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
	addresses := network.queueServer.Release(program)
	for _, heartbeat := range network.rankedPeers("release", program) {
		var remoteAddresses []string
		if err := network.transport.Ask(ctx, heartbeat.Address, dispatch.MethodRelease, dispatch.ReleaseRequest{Program: program}, &remoteAddresses); err == nil {
			addresses = append(addresses, remoteAddresses...)
		}
	}
	return addresses
}

// Down implements dispatch.Queues.
func (network *network) Down(service string) bool {
	down := slices.Contains(network.queueServer.Down(), service)
	network.heartbeater.View(func(membership *host.Membership, now time.Time) {
		down = down || membership.Down(now, service)
	})
	return down
}

// handlePermit grants a permit to another host. It settles the permit as cancelled
// if the call ends first, such as after the loss of the connection.
func (handlers *handlers) handlePermit(ctx context.Context, request peer.Request, send func(any) error) error {
	var message dispatch.PermitRequest
	if err := request.Decode(&message); err != nil {
		return badRequest(err)
	}
	network := handlers.network
	var permit dispatch.Permit
	var err error
	settle := func(report target.Report) { network.settleLocal(message.Service, permit.ID)(report) }
	if message.Forwarded {
		var settleAcquired func(target.Report)
		if permit, settleAcquired, err = network.Acquire(ctx, message); err == nil && permit.Refusal == nil {
			permit.ID = network.forwardedPermits.add(settleAcquired)
			id := permit.ID
			settle = func(report target.Report) { report.Request = id; network.forwardedPermits.settleOnce(report) }
		}
	} else {
		permit, err = network.queueServer.Acquire(ctx, message)
	}
	if err != nil {
		return err
	}
	// Settling a settled permit again has no effect.
	defer settle(target.Report{Failure: target.FailureCancel})
	if err := send(permit); err != nil || permit.Refusal != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// handleSettle settles a permit of a queue on this host or a forwarded permit.
func (handlers *handlers) handleSettle(message dispatch.SettleRequest) (bool, error) {
	if !handlers.network.forwardedPermits.settleOnce(message.Report) {
		handlers.network.queueServer.Settle(message.Service, message.Report)
	}
	return true, nil
}

const banTimeout = 2 * time.Second

// broadcastBan sends the digests of requests that crash targets to the other hosts
// of the data centre and, unless the ban was relayed already, to relays in the other
// data centres.
func (network *network) broadcastBan(message dispatch.BanMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), banTimeout)
	defer cancel()
	relayed := message
	relayed.Relayed = true
	callAll[bool](ctx, network, network.knownPeers(), dispatch.MethodBan, relayed)
	if message.Relayed {
		return
	}
	var relays []host.Heartbeat
	network.heartbeater.View(func(membership *host.Membership, _ time.Time) { relays = membership.Relays() })
	callAll[bool](ctx, network, relays, dispatch.MethodBan, message)
}

// handleBan applies a ban. It broadcasts a ban from another data centre to the hosts
// of its own.
func (handlers *handlers) handleBan(message dispatch.BanMessage) (bool, error) {
	if len(message.Digests) > maxBanDigests {
		return false, refusal.New(refusal.BadRequest, "message bans %d requests, expected at most %d", len(message.Digests), maxBanDigests)
	}
	handlers.network.queueServer.Ban(message.Digests)
	if !message.Relayed {
		message.Relayed = true
		go handlers.network.broadcastBan(message)
	}
	return true, nil
}

// maxBanDigests bounds the digests of one message.
const maxBanDigests = 1000
