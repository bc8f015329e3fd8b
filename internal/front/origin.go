package front

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/origin"
	"github.com/godwitspread/godwitspread/internal/placement"
)

const (
	// lifetimeAttempts is the number of attempts, each within the timeout of the route
	// or of its caller, after which no caller resumes a stream any more.
	lifetimeAttempts = 3
	// minStreamLifetime covers callers that wait for longer than the route's timeout,
	// also while all hosts are away.
	minStreamLifetime = 10 * time.Second
)

// streamLifetime returns the longest time from the beginning of a stream in which it
// may be resumed.
func (exchange *exchange) streamLifetime() time.Duration {
	timeout := exchange.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	longest := min(max(timeout, exchange.request.TimeLeft), origin.MaxTTL/lifetimeAttempts)
	return max(minStreamLifetime, lifetimeAttempts*longest)
}

// originKey returns the key of the stream that the request begins or resumes.
func (exchange *exchange) originKey() origin.Key {
	key := origin.Key{Workspace: exchange.workspaceName(), Attempt: exchange.request.Attempt}
	if exchange.resumed() {
		key.Attempt = exchange.request.Resumes
	}
	return key
}

// resolveOrigin finds out at which service and software version a resumed stream
// began. The events of two versions do not fit together, so a stream of unknown
// origin is refused: the caller can begin it anew.
func (exchange *exchange) resolveOrigin(ctx context.Context) *rejection {
	services := exchange.route.Services()
	found, err := exchange.handler.origins.Resolve(ctx, origin.Query{Key: exchange.originKey(), Services: services, Lifetime: exchange.streamLifetime()})
	if err != nil {
		return newRejection(http.StatusServiceUnavailable, "stream_origin_unknown").withRetryDelay(busyRetryDelay).withCause(err)
	}
	if !slices.Contains(services, found.Service) {
		return newRejection(http.StatusServiceUnavailable, "stream_service_changed").withRetryDelay(busyRetryDelay).
			withCause(fmt.Errorf("stream began at service %q, which the route does not lead to any more", found.Service))
	}
	exchange.service, exchange.version = found.Service, found.Version
	return nil
}

// recordOrigin binds the stream to the software version of the target that sends its
// first event in this response, and records it for the hosts that may resume it.
func (exchange *exchange) recordOrigin(target placement.Target) {
	exchange.version = target.Version
	key := exchange.originKey()
	if !exchange.route.Resumable || key.Attempt == "" {
		return
	}
	exchange.handler.origins.Begin(origin.Record{
		Key: key, Origin: origin.Origin{Service: exchange.service, Version: target.Version, Target: target.ID}, TTL: exchange.streamLifetime(),
	})
}

// certainVersion reports whether the target that began a stream still has the
// version that the host knew then. A target that restarted under its ID with another
// one may have done so before the stream began.
func (exchange *exchange) certainVersion(ctx context.Context, began placement.Target) bool {
	exchange.handler.origins.Refresh(ctx)
	version, known := exchange.handler.registry.Version(began.ID)
	return !known || version == began.Version
}
