package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

const (
	maxTargets       = 4       // targets tried for one attempt of a caller, including those that refuse it or are unreachable
	maxResponseBytes = 8 << 20 // size limit of a response
	// Targets that are not stuck respond well within these timeouts, even during
	// bursts. Callers of streams give up after 2 seconds.
	responseTimeoutFactor = 2
	minPlainTimeout       = 400 * time.Millisecond
	minStreamTimeout      = time.Second
	minRetryMillis        = 20 // time left up to which no further target is tried
	crashWitnesses        = 3  // other targets that are connected to before a target counts as crashed
)

// servePlain serves a request that has a single response.
func (exchange *exchange) servePlain(ctx context.Context) *rejection {
	for len(exchange.triedTargets) < maxTargets {
		target, found, rejection := exchange.acquireTarget(ctx)
		if rejection != nil {
			return rejection
		}
		if !found {
			break
		}
		response, head, err := exchange.send(ctx, target, "")
		if err == nil && !head.NotRun {
			if err = exchange.passOn(ctx, target, response); err == nil {
				return nil
			}
			response.Abort()
			err = &outbound.SendError{Sent: true, Err: err}
		}
		if rejection := exchange.handleFailure(ctx, target, response, head, err); rejection != nil {
			return rejection
		}
	}
	return exchange.exhaustedRejection()
}

// affinity returns the affinity of the request. A session of an engine has affinity to the
// target that caches its context.
func (exchange *exchange) affinity() string {
	if exchange.request.Session != "" && exchange.request.MaxTokens > 0 {
		return exchange.request.Session
	}
	return exchange.request.Affinity
}

// recordLocation tells the coordinator of the program which target has cached the prompt.
func (exchange *exchange) recordLocation(target placement.Target) {
	if exchange.reservation != nil {
		exchange.reservation.RecordLocation(placement.NewLocation(exchange.affinity(), exchange.request.Prefix, target.ID))
	}
}

// placementRequest returns the request for a target that has not been tried yet.
func (exchange *exchange) placementRequest() placement.Request {
	return placement.Request{
		Service: exchange.service, Version: exchange.version, Affinity: exchange.affinity(), Home: exchange.home, Tried: exchange.triedTargets, Prefix: exchange.request.Prefix,
		PromptTokens: exchange.request.PromptTokens, MaxTokens: exchange.request.MaxTokens, CacheTokens: exchange.cacheTokens(),
	}
}

// send sends the request to a target and returns the head of its response. It
// skips stale responses, which echo the ID of another attempt. An error without an
// ID belongs to the request only if the connection has had no other one.
func (exchange *exchange) send(ctx context.Context, target placement.Target, lastEvent string) (*outbound.Response, request.Response, error) {
	if len(exchange.triedTargets) == 0 {
		exchange.handler.metrics.ObserveLatency("dispatch_delay", exchange.handler.clock.Since(exchange.arrivedAt)-exchange.waitTime)
	}
	exchange.triedTargets, exchange.triedVersions = append(exchange.triedTargets, target.ID), append(exchange.triedVersions, target.Version)
	exchange.sentAt = exchange.handler.clock.Now()
	exchange.uncached = exchange.handler.registry.RecordPrompt(target.ID, exchange.request.Prefix, exchange.sentAt)
	if prefix := exchange.request.Prefix; len(prefix) > 0 {
		exchange.handler.metrics.Add("prompt_tokens", prefix[len(prefix)-1].Tokens)
		exchange.handler.metrics.Add("prompt_tokens_uncached", exchange.uncached)
	}
	exchange.countSpillover(target)
	attempt := exchange.request.Attempt
	matches := func(status int, header http.Header, reused bool) bool {
		head := platform.DecodeResponse(status, header)
		exchange.observeDeparture(target, head)
		echoed := head.Attempt
		if echoed == attempt || head.Ambiguous || echoed == "" && status >= http.StatusBadRequest && !reused {
			return true
		}
		exchange.handler.metrics.Count("stale_responses")
		exchange.handler.logger.WithFields(exchange.logFields()).WithFields(log.Fields{"target": target.ID, "response_status": status, "response_attempt": echoed}).Info("response to another request skipped")
		return false
	}
	response, err := exchange.handler.pool.Send(region.NewContext(ctx, exchange.home), target.ID, target.Address, exchange.request.Method, exchange.messageFor(target, lastEvent), exchange.patience(ctx), matches)
	if err != nil {
		return nil, request.Response{}, err
	}
	exchange.abandonNext() // the response has arrived while the next target was acquired
	head := platform.DecodeResponse(response.StatusCode, response.Header)
	exchange.observeLimit(target, head)
	exchange.observeCold(target, head)
	if err := exchange.checkHead(ctx, response, head); err != nil {
		exchange.handler.metrics.Count("responses_rejected")
		response.Abort()
		return nil, request.Response{}, &outbound.SendError{Sent: true, Err: err}
	}
	exchange.observeLoad(target, head)
	exchange.status, exchange.generated = head.Status, exchange.request.MaxTokens
	return response, head, nil
}

// mayMove reports whether the request may leave a target that is running it for
// another one. A target that is only silent for a while is worth waiting for if there
// is no other.
func (exchange *exchange) mayMove() bool {
	return exchange.route.Idempotent() && exchange.possibleRuns+1 < exchange.route.MaxRuns &&
		exchange.handler.registry.HasAlternative(exchange.placementRequest(), exchange.handler.clock.Now())
}

// patience returns how long to wait for the response of a target.
func (exchange *exchange) patience(ctx context.Context) outbound.Patience {
	return outbound.Patience{Timeout: exchange.responseTimeout(), GiveUp: func() bool { return exchange.leaveTarget(ctx) }}
}

// responseTimeout returns how long a target may take to begin its response
// before another one is tried: a multiple of the route's latency objective. It
// returns 0, no timeout, for a request that cannot move to another one.
func (exchange *exchange) responseTimeout() time.Duration {
	if !exchange.mayMove() {
		return 0
	}
	if exchange.route.Kind == route.Streaming {
		return max(minStreamTimeout, responseTimeoutFactor*exchange.route.LatencyObjective)
	}
	return max(minPlainTimeout, responseTimeoutFactor*exchange.route.LatencyObjective)
}

// handleFailure records the outcome at a target that returned no usable
// response. It returns nil if another target may be tried.
func (exchange *exchange) handleFailure(ctx context.Context, target placement.Target, response *outbound.Response, head request.Response, err error) *rejection {
	handler := exchange.handler
	var sendError *outbound.SendError
	var exhausted *memory.ExhaustedError
	switch {
	case err == nil:
		// The target states that it has not run the request.
		response.Discard(ctx)
		exchange.recordOutcome(target, placement.Refused)
		handler.metrics.CountRetry("target_refused")
		return nil
	case errors.As(err, &exhausted) && errors.As(err, &sendError) && !sendError.Sent:
		exchange.recordOutcome(target, placement.Abandoned)
		if exchange.possibleRuns == 0 {
			return exchange.memoryRejection(err)
		}
	case errors.As(err, &sendError) && !sendError.Sent:
		exchange.recordOutcome(target, placement.Failed)
		exchange.observeBreak(target, err)
		handler.metrics.CountRetry("target_unreachable")
	default:
		exchange.possibleRuns++
		outcome := placement.Failed
		if ctx.Err() != nil || errors.As(err, &exhausted) {
			outcome = placement.Abandoned
		}
		exchange.recordOutcome(target, outcome)
		if outcome == placement.Failed {
			exchange.observeBreak(target, err)
			exchange.recordLostResponse(ctx, target, err)
		}
		if ctx.Err() == nil && exchange.mayRetry() {
			handler.metrics.CountRetry("answer_lost")
			return nil
		}
	}
	if ctx.Err() != nil {
		return exchange.deadlineRejection()
	}
	if exchange.possibleRuns > 0 {
		return newRejection(http.StatusBadGateway, "outcome_unknown").withCause(err)
	}
	return nil
}

// recordLostResponse logs that a target returned no complete response. If the
// target now refuses connections and the cause is not a timeout, the
// request is recorded as a possible cause of a crash.
func (exchange *exchange) recordLostResponse(ctx context.Context, target placement.Target, err error) {
	handler := exchange.handler
	var netError net.Error
	crashed := !(errors.As(err, &netError) && netError.Timeout()) && handler.pool.Crashed(ctx, outbound.Endpoint{ID: target.ID, Address: target.Address}, handler.otherTargets(target.ID))
	if crashed {
		handler.crashTracker.RecordCrash(exchange.digest, handler.clock.Now())
		handler.metrics.Count("target_crashes")
	}
	handler.logger.WithFields(exchange.logFields()).WithFields(log.Fields{"target": target.ID, "crashed": crashed}).WithError(err).Info("target returned no complete response")
}

// otherTargets returns some targets other than the one with an ID.
func (handler *Handler) otherTargets(id string) []outbound.Endpoint {
	var others []outbound.Endpoint
	for _, target := range handler.registry.Sample(crashWitnesses, id) {
		others = append(others, outbound.Endpoint{ID: target.ID, Address: target.Address})
	}
	return others
}

// mayRetry reports whether another target may run a request that a target may
// already have run.
func (exchange *exchange) mayRetry() bool {
	return exchange.route.Idempotent() && exchange.possibleRuns < exchange.route.MaxRuns && exchange.timeLeft().Milliseconds() > minRetryMillis
}

// deadlineRejection returns the rejection of a request whose deadline has
// passed.
func (exchange *exchange) deadlineRejection() *rejection {
	if exchange.possibleRuns == 0 {
		return newRejection(http.StatusServiceUnavailable, "deadline_exceeded").withRetryDelay(busyRetryDelay)
	}
	cause := errors.New("target had not responded when the deadline of the request passed")
	if exchange.handler.ending.Err() != nil {
		cause = errors.New("target had not responded when the host had to stop")
	}
	return newRejection(http.StatusGatewayTimeout, "outcome_unknown").withCause(cause)
}

// exhaustedRejection returns the rejection of a request that no target served.
func (exchange *exchange) exhaustedRejection() *rejection {
	if exchange.possibleRuns > 0 {
		return newRejection(http.StatusBadGateway, "outcome_unknown")
	}
	if exchange.handler.registry.OnlyEvacuated(exchange.placementRequest()) {
		return newRejection(http.StatusServiceUnavailable, "data_centre_evacuated").withRetryDelay(evacuationRetryDelay + exchange.handler.jitter(evacuationRetryDelay)).
			withCause(fmt.Errorf("service %q has targets in evacuated data centres only", exchange.service))
	}
	if exchange.handler.registry.OutsideHome(exchange.placementRequest()) {
		return newRejection(http.StatusServiceUnavailable, "no_target_in_region").withRetryDelay(departureRetryDelay + exchange.handler.jitter(departureRetryDelay)).
			withCause(fmt.Errorf("service %q has no target in the home regions %q", exchange.service, exchange.home.Key()))
	}
	if exchange.version != "" {
		return newRejection(http.StatusServiceUnavailable, "stream_version_gone").withRetryDelay(departureRetryDelay).
			withCause(fmt.Errorf("service %q has no other target of software version %q, at which the stream began", exchange.service, exchange.version))
	}
	if exchange.handler.registry.AllDraining(exchange.service) {
		return newRejection(http.StatusServiceUnavailable, "targets_leaving").withRetryDelay(departureRetryDelay).
			withCause(fmt.Errorf("all targets of service %q are leaving", exchange.service))
	}
	return newRejection(http.StatusServiceUnavailable, "no_target").withRetryDelay(busyRetryDelay)
}

// mayHaveBody reports whether the response to a request may have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHead sends the status and header of a response to the caller.
func (exchange *exchange) writeHead(response *outbound.Response) {
	exchange.closeIfDraining()
	header := exchange.writer.Header()
	for name, values := range platform.ForwardedResponseHeader(response.Header) {
		header[name] = values
	}
	if _, hasType := header["Content-Type"]; !hasType {
		// A nil value keeps net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	exchange.writer.WriteHeader(response.StatusCode)
}

// recordServed records the latency of a served request and logs it.
func (exchange *exchange) recordServed(fields log.Fields) {
	exchange.handler.metrics.ObserveLatency("request_latency", exchange.handler.clock.Since(exchange.arrivedAt))
	exchange.handler.logger.WithFields(exchange.logFields()).WithFields(fields).Info("request served")
}
