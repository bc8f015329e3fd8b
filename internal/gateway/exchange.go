package gateway

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/outbound"
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
	gateway.metrics.Count("exchanges_for_hosts")
	return gateway.pool.ServeExchange(ctx, request, target.Address, send)
}

// awaitExchanges waits until no exchange of another host is in progress.
func (gateway *Gateway) awaitExchanges(ctx context.Context) {
	for gateway.pool.Relayed() > 0 && ctx.Err() == nil {
		time.Sleep(exchangePollInterval)
	}
}
