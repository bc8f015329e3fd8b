package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/platform"
)

// exchangePollInterval is how often a stopping host looks whether it still serves
// exchanges of other hosts.
const exchangePollInterval = 5 * time.Millisecond

// serveExchange sends the request of a host that reaches no targets to a target. Only
// targets that this host knows get requests, at the address that it knows.
func (gateway *Gateway) serveExchange(ctx context.Context, request outbound.ExchangeRequest, send func(outbound.ExchangeChunk) error) error {
	target, known := gateway.registry.Target(request.Target)
	if !known {
		return send(outbound.ExchangeChunk{Refusal: outbound.HostUnable})
	}
	if gateway.registry.Draining(target.ID) && len(request.Message) > 0 {
		return send(outbound.ExchangeChunk{Refusal: outbound.TargetUnreachable})
	}
	gateway.metrics.Count("exchanges_for_hosts")
	observe := func(status int, header http.Header) {
		head := platform.DecodeResponse(status, header)
		if head.Leaving && (head.Target == "" || head.Target == target.ID) && gateway.registry.MarkLeaving(target.ID, target.StartedAtMillis, gateway.clock.Now()) {
			gateway.metrics.Count("target_departures")
			gateway.logger.WithFields(log.Fields{"target": target.ID, "service": target.Service, "source": "exchange"}).Info("target is leaving")
		}
	}
	return gateway.pool.ServeExchange(ctx, request, target.Address, observe, send)
}

// revokeExchange keeps a request of another host, which waits for it no longer, from being
// sent to a target. It returns false if the request may have been sent.
func (gateway *Gateway) revokeExchange(id string) bool {
	revoked := gateway.pool.RevokeExchange(id)
	if revoked {
		gateway.metrics.Count("exchanges_revoked")
	} else {
		gateway.metrics.Count("exchanges_revoked_too_late")
	}
	return revoked
}

// awaitExchanges waits until no exchange of another host is in progress.
func (gateway *Gateway) awaitExchanges(ctx context.Context) {
	for gateway.pool.Relayed() > 0 && ctx.Err() == nil {
		time.Sleep(exchangePollInterval)
	}
}
