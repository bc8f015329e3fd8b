package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/region"
)

const (
	exchangeHosts          = 3                      // hosts asked to send one request
	exchangeConnectTimeout = 150 * time.Millisecond // to connect to another host
)

// Available implements outbound.Relay.
func (mesh *Mesh) Available() bool {
	_, found := mesh.exchangeHost(nil, nil)
	return found
}

// exchangeHost returns a random reachable host that reaches targets, of this data
// centre if there is one. It skips the hosts that were tried, and those to which the body
// may not be sent.
func (mesh *Mesh) exchangeHost(tried map[string]bool, constraint *region.Constraint) (Member, bool) {
	var local, remote []Member
	for _, state := range mesh.Reachable() {
		if state.Stopping || state.TargetsLost || tried[state.Host] || !constraint.AllowsHost(state.DataCentre) {
			continue
		}
		if state.DataCentre == mesh.self.DataCentre {
			local = append(local, state.Member)
		} else {
			remote = append(remote, state.Member)
		}
	}
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// Exchange implements outbound.Relay. It asks another host only while the target
// cannot have received the request.
func (mesh *Mesh) Exchange(ctx context.Context, request outbound.ExchangeRequest, receive func([]byte) error) error {
	tried := make(map[string]bool)
	var failure error
	for range exchangeHosts {
		member, found := mesh.exchangeHost(tried, region.FromContext(ctx))
		if !found || ctx.Err() != nil {
			break
		}
		tried[member.Host] = true
		connectCtx, cancel := context.WithTimeout(ctx, exchangeConnectTimeout)
		err := mesh.transport.Connect(connectCtx, member.Address)
		cancel()
		if err != nil {
			continue
		}
		refused, err := mesh.exchangeThrough(ctx, member, request, receive)
		switch refused {
		case outbound.HostUnable:
			failure = err
			continue
		case outbound.TargetUnreachable:
			return fmt.Errorf("host %q cannot connect to target %q: %w", member.Host, request.Target, outbound.ErrNotSent)
		case outbound.TargetRefuses:
			return fmt.Errorf("host %q cannot connect to target %q: %w: %w", member.Host, request.Target, outbound.ErrRefused, outbound.ErrNotSent)
		}
		return err
	}
	return errors.Join(fmt.Errorf("target %q: %w", request.Target, outbound.ErrNotSent), failure)
}

// exchangeThrough makes an exchange through a host. It returns why the host has
// refused it, if so.
func (mesh *Mesh) exchangeThrough(ctx context.Context, member Member, request outbound.ExchangeRequest, receive func([]byte) error) (outbound.Refusal, error) {
	refused, connected := outbound.Accepted, false
	began := hostclock.Uptime(mesh.clock)
	err := mesh.transport.Call(ctx, member.Address, methodExchange, request, func(value peer.Value) error {
		var chunk outbound.ExchangeChunk
		if err := value.Decode(&chunk); err != nil {
			return err
		}
		if !connected {
			connected, refused = chunk.Refusal == outbound.Accepted, chunk.Refusal
			if !connected {
				return nil
			}
			return receive(nil)
		}
		if len(chunk.Data) == 0 {
			return nil
		}
		return receive(chunk.Data)
	})
	var exhausted *refusal.Refusal
	if errors.As(err, &exhausted) && exhausted.Code == refusal.MemoryExhausted && exhausted.Run == refusal.NotRun {
		return outbound.HostUnable, err
	}
	if err != nil && !connected && refused == outbound.Accepted && request.ID != "" && mesh.revokeExchange(ctx, member, request.ID, began) {
		return outbound.HostUnable, err
	}
	return refused, err
}

// revokeExchange reports whether a host states that it has not sent a request to its
// target, and will not. An older host, or a later incarnation, does not know, and neither
// does any host if the request was begun too long ago, at an uptime of this host. Time for
// which it was suspended counts.
func (mesh *Mesh) revokeExchange(ctx context.Context, member Member, id string, began time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outbound.RevocationTimeout)
	defer cancel()
	var response revokeResponse
	err := mesh.transport.Ask(ctx, member.Address, methodRevoke, outbound.Revocation{ID: id, Incarnation: member.Incarnation}, &response)
	elapsed := hostclock.Uptime(mesh.clock) - began
	revoked := err == nil && response.Revoked && elapsed < outbound.RevocationWindow
	mesh.logger.WithFields(log.Fields{"peer": member.Host, "revoked": revoked, "elapsed": elapsed.String()}).Info("request was revoked at a host that did not connect to its target in time")
	return revoked
}
