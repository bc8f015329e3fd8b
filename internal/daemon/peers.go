package daemon

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/godwitspread/godwitspread/internal/admission"
	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/dispatch"
	"github.com/godwitspread/godwitspread/internal/forwarding"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/owner"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Methods between hosts that no other package defines.
const (
	methodReplicate     = "replicate"
	methodGather        = "gather"
	methodRenew         = "renew"
	methodConfiguration = "configuration"
)

// parsePeers parses the seed hosts in the settings.
func (settings Settings) parsePeers() ([]platform.Host, error) {
	var hosts []platform.Host
	for _, text := range settings.Peers {
		parts := strings.Split(text, "=")
		if len(parts) != 3 {
			return nil, fmt.Errorf("--peer is %q, expected name=data_centre=address", text)
		}
		hosts = append(hosts, platform.Host{Name: parts[0], DataCentre: parts[1], Address: parts[2], State: platform.HostLive})
	}
	return hosts, nil
}

// seededHosts is the platform's host list, extended by the seed hosts of the settings.
type seededHosts struct {
	source platform.Hosts
	seeds  []platform.Host
}

// Hosts implements platform.Hosts. If there are seed hosts, it returns them even if
// the platform's list is unavailable.
func (seededHosts seededHosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := seededHosts.source.Hosts(ctx)
	if len(seededHosts.seeds) == 0 {
		return hosts, err
	}
	known := make(map[string]bool)
	for _, host := range hosts {
		known[host.Name] = true
	}
	for _, seed := range seededHosts.seeds {
		if !known[seed.Name] {
			hosts = append(hosts, seed)
		}
	}
	return hosts, nil
}

// network sends the requests of the daemon's components to the other hosts.
type network struct {
	self             host.Heartbeat
	metrics          *metric.Metrics
	transport        *peer.Transport
	heartbeater      *host.Heartbeater
	queueServer      *dispatch.QueueServer
	owner            *owner.Owner
	limiter          *admission.Limiter
	follower         *configuration.Follower
	forwardedPermits *forwardedPermits
	merger           *owner.Merger
}

// rankedPeers returns the other live hosts of the data centre in the order of their
// rendezvous hash for a key.
func (network *network) rankedPeers(kind, key string) []host.Heartbeat {
	var live []host.Heartbeat
	network.heartbeater.View(func(membership *host.Membership, now time.Time) { live = membership.Live(now, network.self.DataCentre) })
	byName := make(map[string]host.Heartbeat, len(live))
	names := make([]string, 0, len(live))
	for _, heartbeat := range live {
		if heartbeat.Name != network.self.Name {
			byName[heartbeat.Name] = heartbeat
			names = append(names, heartbeat.Name)
		}
	}
	ranked := make([]host.Heartbeat, 0, len(names))
	for _, name := range host.RankKey(kind, key, names) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// Replicate implements owner.Peers.
func (network *network) Replicate(ctx context.Context, request owner.ReplicateRequest) bool {
	for _, heartbeat := range network.rankedPeers("replica", request.Entry.Program) {
		var stored bool
		if err := network.transport.Ask(ctx, heartbeat.Address, methodReplicate, request, &stored); err == nil && stored {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// Gather implements owner.Peers.
func (network *network) Gather(ctx context.Context, request owner.GatherRequest) []owner.GatherResponse {
	return callAll[owner.GatherResponse](ctx, network, network.knownPeers(), methodGather, request)
}

// Renew implements owner.Peers.
func (network *network) Renew(ctx context.Context, witnesses []string, request owner.RenewRequest) []owner.RenewResponse {
	var witnessHosts []host.Heartbeat
	for _, heartbeat := range network.knownPeers() {
		if slices.Contains(witnesses, heartbeat.Incarnation) {
			witnessHosts = append(witnessHosts, heartbeat)
		}
	}
	return callAll[owner.RenewResponse](ctx, network, witnessHosts, methodRenew, request)
}

// knownPeers returns the other hosts of the data centre, including those that are
// leaving or were last seen a while ago.
func (network *network) knownPeers() []host.Heartbeat {
	var knownPeers []host.Heartbeat
	network.heartbeater.View(func(membership *host.Membership, now time.Time) {
		knownPeers = membership.Known(now, network.self.DataCentre)
	})
	return knownPeers
}

// callAll calls a method on several hosts concurrently and returns the responses
// received before the context ended.
func callAll[Out any](ctx context.Context, network *network, hosts []host.Heartbeat, method string, message any) []Out {
	responses := make(chan *Out, len(hosts))
	for _, heartbeat := range hosts {
		go func() {
			var response Out
			if err := network.transport.Ask(ctx, heartbeat.Address, method, message, &response); err != nil {
				network.metrics.Count(method + "_failed")
				responses <- nil
				return
			}
			responses <- &response
		}()
	}
	var collected []Out
	for range hosts {
		select {
		case response := <-responses:
			if response != nil {
				collected = append(collected, *response)
			}
		case <-ctx.Done():
			return collected
		}
	}
	return collected
}

// RequestTokens implements admission.Peers.
func (network *network) RequestTokens(ctx context.Context, dataCentre string, slot int, message admission.QuotaRequestBatch) (admission.GrantBatch, error) {
	address, local, err := network.slotOwnerAddress(dataCentre, slot)
	if err != nil {
		return admission.GrantBatch{}, err
	}
	if local {
		return network.limiter.GrantTokens(message), nil
	}
	var response admission.GrantBatch
	err = network.transport.Ask(ctx, address, admission.MethodRequestTokens, quotaRequestEnvelope{Slot: slot, Message: message}, &response)
	return response, err
}

// RequestTransfer implements admission.Peers.
func (network *network) RequestTransfer(ctx context.Context, dataCentre string, slot int, message admission.TransferMessage) (admission.TransferResponse, error) {
	address, local, err := network.slotOwnerAddress(dataCentre, slot)
	if err != nil {
		return admission.TransferResponse{}, err
	}
	if local {
		return network.limiter.TransferTokens(message), nil
	}
	if message.Hops >= maxTransferHops {
		return admission.TransferResponse{}, refusal.New(refusal.Moved, "slot %d moved", slot)
	}
	message.Hops++
	var response admission.TransferResponse
	err = network.transport.Ask(ctx, address, admission.MethodRequestTransfer, transferEnvelope{Slot: slot, Message: message}, &response)
	return response, err
}

// maxTransferHops allows for one hop to a relay in another data centre and one to the
// owner of the slot.
const maxTransferHops = 2

// quotaRequestEnvelope and transferEnvelope add the slot whose owner has to serve the
// message.
type quotaRequestEnvelope struct {
	Slot    int                         `msgpack:"slot"`
	Message admission.QuotaRequestBatch `msgpack:"message"`
	Hops    int                         `msgpack:"hops"`
}

type transferEnvelope struct {
	Slot    int                       `msgpack:"slot"`
	Message admission.TransferMessage `msgpack:"message"`
}

// slotOwnerAddress returns the address of the host that owns a slot, and whether
// this host does. For another data centre, it returns a host there that relays the
// request to the owner.
func (network *network) slotOwnerAddress(dataCentre string, slot int) (address string, local bool, err error) {
	if dataCentre != network.self.DataCentre {
		var known []host.Heartbeat
		network.heartbeater.View(func(membership *host.Membership, now time.Time) { known = membership.Known(now, dataCentre) })
		if len(known) == 0 {
			return "", false, refusal.New(refusal.OwnerUnavailable, "no host of data centre %q is known", dataCentre)
		}
		return known[0].Address, false, nil
	}
	owner := network.owner.Owners()[slot].Owner
	if owner.Host == network.self.Name && owner.Incarnation == network.self.Incarnation {
		return "", true, nil
	}
	network.heartbeater.View(func(membership *host.Membership, now time.Time) {
		if member, ok := membership.Find(owner.Host); ok && membership.Alive(now, owner.Host, owner.Incarnation) {
			address = member.Heartbeat().Address
		}
	})
	if address == "" {
		return "", false, refusal.New(refusal.OwnerUnavailable, "slot %d has no live owner", slot)
	}
	return address, false, nil
}

// handlers serves the requests of other hosts.
type handlers struct {
	network  *network
	router   *forwarding.Router
	follower *configuration.Follower
}

// handle implements peer.Handler.
func (handlers *handlers) handle(ctx context.Context, request peer.Request, send func(any) error) error {
	switch request.Method {
	case host.MethodHeartbeat:
		return respond(request, send, func(heartbeat host.Heartbeat) (host.Heartbeat, error) {
			return handlers.network.heartbeater.HandleHeartbeat(heartbeat), nil
		})
	case forwarding.MethodCall:
		var message forwarding.CallMessage
		if err := request.Decode(&message); err != nil {
			return badRequest(err)
		}
		return handlers.router.HandleCall(ctx, message, func(event forwarding.CallEvent) error { return send(event) })
	case forwarding.MethodOpen, forwarding.MethodEnd, forwarding.MethodQuery:
		return respond(request, send, func(message forwarding.ProgramMessage) (forwarding.ProgramResponse, error) {
			return handlers.router.HandleMessage(ctx, request.Method, message)
		})
	case dispatch.MethodPermit:
		return handlers.handlePermit(ctx, request, send)
	case dispatch.MethodSettle:
		return respond(request, send, handlers.handleSettle)
	case methodAppend:
		return respond(request, send, func(message appendMessage) (owner.Position, error) {
			return handlers.handleAppend(ctx, message)
		})
	case dispatch.MethodBan:
		return respond(request, send, handlers.handleBan)
	case dispatch.MethodRelease:
		return respond(request, send, func(message dispatch.ReleaseRequest) ([]string, error) {
			return handlers.network.queueServer.Release(message.Program), nil
		})
	case admission.MethodRequestTokens:
		return respond(request, send, func(message quotaRequestEnvelope) (admission.GrantBatch, error) {
			return handlers.handleQuotaRequest(ctx, message)
		})
	case admission.MethodRequestTransfer:
		return respond(request, send, func(message transferEnvelope) (admission.TransferResponse, error) {
			return handlers.network.RequestTransfer(ctx, handlers.network.self.DataCentre, message.Slot, message.Message)
		})
	case methodReplicate:
		return respond(request, send, func(message owner.ReplicateRequest) (bool, error) {
			return handlers.network.owner.StoreReplica(message), nil
		})
	case methodGather:
		return respond(request, send, func(message owner.GatherRequest) (owner.GatherResponse, error) {
			return handlers.network.owner.HandleGather(message), nil
		})
	case methodRenew:
		return respond(request, send, func(message owner.RenewRequest) (owner.RenewResponse, error) {
			return handlers.network.owner.HandleRenew(message), nil
		})
	case methodConfiguration:
		var snapshot configuration.Snapshot
		handlers.follower.View(func(state *configuration.State) { snapshot = state.Snapshot() })
		return send(snapshot)
	default:
		return refusal.New(refusal.BadRequest, "method %q does not exist", request.Method)
	}
}

// handleQuotaRequest serves a request for rate limit tokens. If another host owns the
// slot, it relays the request to that host. A request that has been relayed already
// gets empty grants instead, so that it isn't relayed endlessly.
func (handlers *handlers) handleQuotaRequest(ctx context.Context, message quotaRequestEnvelope) (admission.GrantBatch, error) {
	address, local, err := handlers.network.slotOwnerAddress(handlers.network.self.DataCentre, message.Slot)
	if err != nil {
		return admission.GrantBatch{}, err
	}
	if local || message.Hops > 0 {
		return handlers.network.limiter.GrantTokens(message.Message), nil
	}
	message.Hops++
	var response admission.GrantBatch
	err = handlers.network.transport.Ask(ctx, address, admission.MethodRequestTokens, message, &response)
	return response, err
}

// respond decodes the argument of a method, calls serve and sends its result as the
// only value of the response.
func respond[In, Out any](request peer.Request, send func(any) error, serve func(In) (Out, error)) error {
	var message In
	if err := request.Decode(&message); err != nil {
		return badRequest(err)
	}
	result, err := serve(message)
	if err != nil {
		return err
	}
	return send(result)
}

func badRequest(err error) error {
	return refusal.New(refusal.BadRequest, "%v", err)
}
