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
	"github.com/godwitspread/godwitspread/internal/entry"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/owner"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Methods of the daemon itself.
const (
	methodReplicate     = "replicate"
	methodGather        = "gather"
	methodRenew         = "renew"
	methodConfiguration = "configuration"
)

// peers reads the hosts named in the settings.
func (settings Settings) peers() ([]platform.Host, error) {
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

// seededHosts is the platform's list with the hosts of the settings added.
type seededHosts struct {
	list  platform.Hosts
	seeds []platform.Host
}

// Hosts implements platform.Hosts.
func (seeded seededHosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := seeded.list.Hosts(ctx)
	if len(seeded.seeds) == 0 {
		return hosts, err
	}
	known := make(map[string]bool)
	for _, host := range hosts {
		known[host.Name] = true
	}
	for _, seed := range seeded.seeds {
		if !known[seed.Name] {
			hosts = append(hosts, seed)
		}
	}
	return hosts, nil
}

// network reaches the other hosts on behalf of the parts of the daemon.
type network struct {
	own       host.Heartbeat
	metrics   *metric.Metrics
	transport *peer.Transport
	beater    *host.Beater
	holder    *dispatch.Holder
	owner     *owner.Owner
	limiter   *admission.Limiter
	follower  *configuration.Follower
	permits   *permits
	merger    *owner.Merger
}

// neighbours returns the other live hosts of the data centre, in order of rank
// for a key.
func (network *network) neighbours(kind, key string) []host.Heartbeat {
	var live []host.Heartbeat
	network.beater.View(func(membership *host.Membership, now time.Time) { live = membership.Live(now, network.own.DataCentre) })
	byName := make(map[string]host.Heartbeat, len(live))
	names := make([]string, 0, len(live))
	for _, heartbeat := range live {
		if heartbeat.Name != network.own.Name {
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
	for _, neighbour := range network.neighbours("replica", request.Entry.Program) {
		var held bool
		if err := network.transport.Ask(ctx, neighbour.Address, methodReplicate, request, &held); err == nil && held {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// Gather implements owner.Peers.
func (network *network) Gather(ctx context.Context, request owner.GatherRequest) []owner.GatherAnswer {
	return askAll[owner.GatherAnswer](ctx, network, network.known(), methodGather, request)
}

// Renew implements owner.Peers.
func (network *network) Renew(ctx context.Context, witnesses []string, request owner.RenewRequest) []owner.RenewAnswer {
	var asked []host.Heartbeat
	for _, heartbeat := range network.known() {
		if slices.Contains(witnesses, heartbeat.Incarnation) {
			asked = append(asked, heartbeat)
		}
	}
	return askAll[owner.RenewAnswer](ctx, network, asked, methodRenew, request)
}

// known returns the other hosts of the data centre, also those that leave or
// have been silent for a while.
func (network *network) known() []host.Heartbeat {
	var known []host.Heartbeat
	network.beater.View(func(membership *host.Membership, now time.Time) {
		known = membership.Known(now, network.own.DataCentre)
	})
	return known
}

// askAll asks hosts at the same time and returns the answers that came before
// the context ended.
func askAll[Out any](ctx context.Context, network *network, hosts []host.Heartbeat, method string, message any) []Out {
	answers := make(chan *Out, len(hosts))
	for _, heartbeat := range hosts {
		go func() {
			var answer Out
			if err := network.transport.Ask(ctx, heartbeat.Address, method, message, &answer); err != nil {
				network.metrics.Count(method + "_failed")
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	var collected []Out
	for range hosts {
		select {
		case answer := <-answers:
			if answer != nil {
				collected = append(collected, *answer)
			}
		case <-ctx.Done():
			return collected
		}
	}
	return collected
}

// Ask implements admission.Peers.
func (network *network) Ask(ctx context.Context, dataCentre string, slot int, message admission.AskMessage) (admission.AskAnswer, error) {
	address, local, err := network.slotOwner(dataCentre, slot)
	if err != nil {
		return admission.AskAnswer{}, err
	}
	if local {
		return network.limiter.ServeAsk(message), nil
	}
	var answer admission.AskAnswer
	err = network.transport.Ask(ctx, address, admission.MethodAsk, askEnvelope{Slot: slot, Message: message}, &answer)
	return answer, err
}

// Collect implements admission.Peers.
func (network *network) Collect(ctx context.Context, dataCentre string, slot int, message admission.CollectMessage) (admission.CollectAnswer, error) {
	address, local, err := network.slotOwner(dataCentre, slot)
	if err != nil {
		return admission.CollectAnswer{}, err
	}
	if local {
		return network.limiter.ServeCollect(message), nil
	}
	if message.Hops >= maxCollectHops {
		return admission.CollectAnswer{}, refusal.New(refusal.Moved, "slot %d moved", slot)
	}
	message.Hops++
	var answer admission.CollectAnswer
	err = network.transport.Ask(ctx, address, admission.MethodCollect, collectEnvelope{Slot: slot, Message: message}, &answer)
	return answer, err
}

const maxCollectHops = 2

// askEnvelope and collectEnvelope name the slot whose owner is meant.
type askEnvelope struct {
	Slot    int                  `msgpack:"slot"`
	Message admission.AskMessage `msgpack:"message"`
	Hops    int                  `msgpack:"hops"`
}

type collectEnvelope struct {
	Slot    int                      `msgpack:"slot"`
	Message admission.CollectMessage `msgpack:"message"`
}

// slotOwner returns the owner of a slot, or a relay into another data centre.
func (network *network) slotOwner(dataCentre string, slot int) (address string, local bool, err error) {
	if dataCentre != network.own.DataCentre {
		var known []host.Heartbeat
		network.beater.View(func(membership *host.Membership, now time.Time) { known = membership.Known(now, dataCentre) })
		if len(known) == 0 {
			return "", false, refusal.New(refusal.OwnerUnavailable, "no host of data centre %q is known", dataCentre)
		}
		return known[0].Address, false, nil
	}
	owner := network.owner.Owners()[slot].Owner
	if owner.Host == network.own.Name && owner.Incarnation == network.own.Incarnation {
		return "", true, nil
	}
	network.beater.View(func(membership *host.Membership, now time.Time) {
		if member, ok := membership.Find(owner.Host); ok && membership.Alive(now, owner.Host, owner.Incarnation) {
			address = member.Heartbeat().Address
		}
	})
	if address == "" {
		return "", false, refusal.New(refusal.OwnerUnavailable, "slot %d has no live owner", slot)
	}
	return address, false, nil
}

// handlers serves the calls of other hosts.
type handlers struct {
	network  *network
	router   *entry.Router
	follower *configuration.Follower
}

// handle is the peer.Handler of a daemon.
func (handlers *handlers) handle(ctx context.Context, request peer.Request, send func(any) error) error {
	switch request.Method {
	case host.MethodHeartbeat:
		return answer(request, send, func(heartbeat host.Heartbeat) (host.Heartbeat, error) {
			return handlers.network.beater.Answer(heartbeat), nil
		})
	case entry.MethodCall:
		var message entry.CallMessage
		if err := request.Decode(&message); err != nil {
			return malformed(err)
		}
		return handlers.router.ServeCall(ctx, message, func(event entry.CallEvent) error { return send(event) })
	case entry.MethodOpen, entry.MethodEnd, entry.MethodQuery:
		return answer(request, send, func(message entry.ProgramMessage) (entry.ProgramAnswer, error) {
			return handlers.router.Serve(ctx, request.Method, message)
		})
	case dispatch.MethodPermit:
		return handlers.permit(ctx, request, send)
	case dispatch.MethodSettle:
		return answer(request, send, handlers.settled)
	case methodAppend:
		return answer(request, send, func(message appendMessage) (owner.Position, error) {
			return handlers.merge(ctx, message)
		})
	case dispatch.MethodBan:
		return answer(request, send, handlers.ban)
	case dispatch.MethodRelease:
		return answer(request, send, func(message dispatch.ReleaseRequest) ([]string, error) {
			return handlers.network.holder.Release(message.Program), nil
		})
	case admission.MethodAsk:
		return answer(request, send, func(message askEnvelope) (admission.AskAnswer, error) {
			return handlers.ask(ctx, message)
		})
	case admission.MethodCollect:
		return answer(request, send, func(message collectEnvelope) (admission.CollectAnswer, error) {
			return handlers.network.Collect(ctx, handlers.network.own.DataCentre, message.Slot, message.Message)
		})
	case methodReplicate:
		return answer(request, send, func(message owner.ReplicateRequest) (bool, error) {
			return handlers.network.owner.Hold(message), nil
		})
	case methodGather:
		return answer(request, send, func(message owner.GatherRequest) (owner.GatherAnswer, error) {
			return handlers.network.owner.Surrender(message), nil
		})
	case methodRenew:
		return answer(request, send, func(message owner.RenewRequest) (owner.RenewAnswer, error) {
			return handlers.network.owner.Witness(message), nil
		})
	case methodConfiguration:
		var snapshot configuration.Snapshot
		handlers.follower.View(func(state *configuration.State) { snapshot = state.Snapshot() })
		return send(snapshot)
	default:
		return refusal.New(refusal.BadRequest, "method %q does not exist", request.Method)
	}
}

// ask answers asks for tokens, or passes them on to the owner of the slot if
// they came from another data centre.
func (handlers *handlers) ask(ctx context.Context, message askEnvelope) (admission.AskAnswer, error) {
	address, local, err := handlers.network.slotOwner(handlers.network.own.DataCentre, message.Slot)
	if err != nil {
		return admission.AskAnswer{}, err
	}
	if local || message.Hops > 0 {
		return handlers.network.limiter.ServeAsk(message.Message), nil
	}
	message.Hops++
	var answer admission.AskAnswer
	err = handlers.network.transport.Ask(ctx, address, admission.MethodAsk, message, &answer)
	return answer, err
}

// answer decodes the argument of a method with one answer.
func answer[In, Out any](request peer.Request, send func(any) error, serve func(In) (Out, error)) error {
	var message In
	if err := request.Decode(&message); err != nil {
		return malformed(err)
	}
	result, err := serve(message)
	if err != nil {
		return err
	}
	return send(result)
}

func malformed(err error) error {
	return refusal.New(refusal.BadRequest, "%v", err)
}
