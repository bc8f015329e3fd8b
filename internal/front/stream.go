package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/region"
)

const (
	stallFactor     = 6 // multiple of the route's longest event gap after which a target counts as stuck
	minStallTimeout = 800 * time.Millisecond
)

// relay is the state of a stream that is passed on to the caller.
type relay struct {
	exchange      *exchange
	headSent      bool         // the head was sent to the caller
	lastEvent     string       // ID of the last event passed on
	unnumbered    bool         // the last event passed on had no ID
	events        int          // number of events passed on
	bytes         int          // size of these events
	output        bytes.Buffer // data of the events, for turns that are stored
	retainsOutput bool
	began         placement.Target // target that sent the first event, if headSent
}

// serveStream serves a request whose response is a series of events. It passes
// on complete events only. A resumable stream continues on another target.
func (exchange *exchange) serveStream(ctx context.Context) *rejection {
	start := exchange.handler.clock.Now()
	if rejection := exchange.prepareStream(ctx); rejection != nil {
		return rejection
	}
	exchange.waitTime += exchange.handler.clock.Since(start)
	relay := &relay{exchange: exchange, lastEvent: exchange.request.LastEvent, retainsOutput: exchange.route.KeepsHistory}
	defer func() {
		if exchange.reservation != nil {
			exchange.reservation.Settle(relay.events * exchange.tokensPerEvent())
		}
	}()
	for len(exchange.triedTargets) < maxTargets {
		if rejection := relay.checkResumable(); rejection != nil {
			return relay.fail(rejection)
		}
		if relay.headSent && !exchange.certainVersion(ctx, relay.began) {
			return relay.fail(newRejection(http.StatusBadGateway, "stream_origin_unknown"))
		}
		target, found, rejection := exchange.acquireTarget(ctx)
		if rejection != nil {
			return relay.fail(rejection)
		}
		if !found {
			break
		}
		relay.recordContinuation(target)
		response, head, err := exchange.send(ctx, target, relay.lastEvent)
		if err == nil && !head.NotRun {
			if !head.Streaming && !relay.headSent {
				return exchange.relayPlainResponse(ctx, relay, target, response)
			}
			if !head.Streaming {
				err = relay.rejectContinuation(target, response, nil)
			} else if err = relay.copyEvents(ctx, target, response); err == nil {
				response.Release()
				exchange.generated = relay.events * exchange.tokensPerEvent()
				exchange.recordOutcome(target, placement.Served)
				exchange.recordLocation(target)
				if len(exchange.request.Prefix) > 0 {
					exchange.handler.registry.ObserveTurn(exchange.service, exchange.handler.clock.Since(exchange.sentAt))
				}
				exchange.recordTurn(exchange.handler.clock.Since(exchange.sentAt))
				return relay.complete(ctx)
			}
			response.Abort()
			err = &outbound.SendError{Sent: true, Err: err}
		}
		if rejection := exchange.handleFailure(ctx, target, response, head, err); rejection != nil {
			return relay.fail(rejection)
		}
	}
	return relay.fail(exchange.exhaustedRejection())
}

// prepareStream finds out where a resumed stream began, and prepares the turn.
func (exchange *exchange) prepareStream(ctx context.Context) *rejection {
	if exchange.resumed() {
		if rejection := exchange.resolveOrigin(ctx); rejection != nil {
			return rejection
		}
	}
	return exchange.prepareTurn(ctx)
}

// retain keeps the data of an event for the turn that is stored, and waits for the memory.
func (relay *relay) retain(ctx context.Context, data []byte) error {
	before := relay.output.Cap()
	relay.output.Write(data)
	relay.output.WriteByte('\n')
	return relay.exchange.memory.AwaitGrow(ctx, int64(relay.output.Cap()-before))
}

// recordContinuation logs that a stream whose first events the caller has received
// goes on at another target.
func (relay *relay) recordContinuation(target placement.Target) {
	handler, entry := relay.exchange.handler, relay.exchange.handler.logger.WithFields(relay.exchange.logFields())
	fields := log.Fields{"target": target.ID, "target_version": target.Version}
	switch {
	case relay.headSent:
		handler.metrics.Count("streams_continued")
		fields["began_at"], fields["began_version"], fields["events"] = relay.began.ID, relay.began.Version, relay.events
		entry.WithFields(fields).Info("stream continues at another target")
	case relay.exchange.resumed():
		handler.metrics.Count("streams_resumed")
		entry.WithFields(fields).Info("caller resumes a stream")
	}
}

// relayPlainResponse passes on a response that is not an event stream, such as an
// error.
func (exchange *exchange) relayPlainResponse(ctx context.Context, relay *relay, target placement.Target, response *outbound.Response) *rejection {
	if err := exchange.passOn(ctx, target, response); err != nil {
		response.Abort()
		exchange.possibleRuns++
		exchange.recordOutcome(target, placement.Failed)
		if ctx.Err() != nil {
			return relay.fail(exchange.deadlineRejection())
		}
		return relay.fail(newRejection(http.StatusBadGateway, "outcome_unknown").withCause(err))
	}
	return nil
}

// copyEvents passes events on until the end of the response. While the request
// may still run on another target, it returns an error if the stream stalls.
func (relay *relay) copyEvents(ctx context.Context, target placement.Target, response *outbound.Response) error {
	exchange := relay.exchange
	controller := http.NewResponseController(exchange.writer)
	source := &eventSource{ctx: ctx, reader: response.Body, memory: exchange.memory}
	defer source.release()
	reader := bufio.NewReader(source)
	stallTimeout := max(minStallTimeout, stallFactor*exchange.route.MaxEventGap)
	continues, passed := relay.headSent, 0
	for {
		timeout := time.Duration(0)
		if exchange.mayMove() {
			timeout = stallTimeout
		}
		if err := response.SetReadTimeout(ctx, timeout); err != nil {
			return err
		}
		source.release()
		event, err := readEvent(reader)
		if cause := ctx.Err(); cause != nil {
			return cause
		}
		if errors.Is(err, io.EOF) && continues && passed == 0 {
			// The first target may have broken off after its last event, or before.
			return relay.rejectContinuation(target, response, errEmptyContinuation)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = relay.checkEvent(event, continues || relay.lastEvent != "" && passed == 0)
		}
		if err != nil && continues {
			return relay.rejectContinuation(target, response, err)
		}
		if err != nil {
			return err
		}
		if relay.bytes += len(event.raw); relay.bytes > maxResponseBytes {
			return errResponseTooLarge
		}
		readAt := exchange.handler.clock.Now()
		if !relay.headSent {
			relay.headSent, relay.began = true, target
			exchange.recordOrigin(target)
			exchange.writeHead(response)
			exchange.handler.metrics.ObserveLatency("first_event", exchange.handler.clock.Since(exchange.arrivedAt))
			if len(exchange.request.Prefix) > 0 {
				exchange.handler.registry.ObserveFirstEvent(exchange.service, exchange.uncached, readAt.Sub(exchange.sentAt))
			}
		}
		relay.events++ // a write that fails may have reached the caller
		if _, err := exchange.writer.Write(event.raw); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		exchange.handler.metrics.ObserveLatency("event_delay", exchange.handler.clock.Since(readAt))
		if event.id != "" {
			relay.lastEvent = event.id
			passed++
		}
		relay.unnumbered = event.id == "" && (relay.unnumbered || !event.comment)
		if relay.retainsOutput {
			if err := relay.retain(ctx, event.data); err != nil {
				return err
			}
		}
	}
}

// fail ends a stream whose response is incomplete. If the head was already
// sent, it aborts the connection, so that the response does not look complete.
// Otherwise it returns the rejection.
func (relay *relay) fail(rejection *rejection) *rejection {
	if !relay.headSent {
		return rejection
	}
	exchange := relay.exchange
	entry := exchange.handler.logger.WithFields(exchange.logFields()).WithFields(log.Fields{"reason": rejection.reason, "events": relay.events})
	if rejection.cause != nil {
		entry = entry.WithError(rejection.cause)
	}
	entry.Info("stream aborted before its end")
	exchange.handler.metrics.Count("streams_cut")
	exchange.abort()
	return nil
}

// complete ends a stream that was passed on entirely. It makes the turn durable
// before the caller sees the end of the stream.
func (relay *relay) complete(ctx context.Context) *rejection {
	exchange := relay.exchange
	if !relay.headSent {
		// Every valid stream has at least one event, so an empty one is an error.
		exchange.possibleRuns++
		return newRejection(http.StatusBadGateway, "empty_stream")
	}
	if relay.retainsOutput {
		input, err := exchange.joinedInput(ctx)
		if err != nil {
			return relay.fail(newRejection(http.StatusBadGateway, "history_not_durable").withCause(err))
		}
		turn := history.Turn{
			ID: exchange.request.Attempt, Previous: exchange.request.PreviousTurn, Root: exchange.root, Workspace: exchange.workspaceName(),
			Input: input, Output: relay.output.Bytes(), Retention: exchange.route.Retention,
		}
		if exchange.reservation != nil {
			turn.Charge = exchange.reservation.Charge(relay.events * exchange.tokensPerEvent())
		}
		if err := exchange.handler.turnHistory.Save(region.NewContext(ctx, exchange.home), exchange.request.Program, turn); err != nil {
			return relay.fail(newRejection(http.StatusBadGateway, "history_not_durable").withCause(err))
		}
	}
	exchange.recordServed(log.Fields{"status": http.StatusOK, "events": relay.events})
	return nil
}

// joinedInput returns the body of the request in one piece.
func (exchange *exchange) joinedInput(ctx context.Context) ([]byte, error) {
	body := exchange.request.Body
	if len(body) > 1 {
		if err := exchange.memory.AwaitGrow(ctx, int64(body.Size())); err != nil {
			return nil, err
		}
	}
	return body.Joined(), nil
}

// tokensPerEvent returns the number of budget tokens charged per event. Its service may
// have left the configuration since the request arrived.
func (exchange *exchange) tokensPerEvent() int {
	if service := exchange.table.Service(exchange.service); service != nil && service.Engine != nil {
		return service.Engine.EventTokens
	}
	return 1
}

// hasBudget reports whether the tokens of the turn count towards the budget of a program.
func (exchange *exchange) hasBudget() bool {
	return exchange.request.Program != "" && exchange.request.Budget != 0 && exchange.route.Retention != 0
}

// prepareTurn checks that the turn can be made durable, assembles its input from
// the previous turns and reserves its tokens from the program's budget. If
// the service is overloaded, only programs that have already started get tokens.
func (exchange *exchange) prepareTurn(ctx context.Context) *rejection {
	handler := exchange.handler
	if exchange.route.KeepsHistory {
		err := handler.turnHistory.CheckStorable(region.NewContext(ctx, exchange.home), exchange.request.Body.Size())
		if errors.Is(err, history.ErrTooLarge) {
			return newRejection(http.StatusRequestEntityTooLarge, "turn_too_large").withCause(err)
		}
		if err != nil {
			return newRejection(http.StatusServiceUnavailable, "history_not_durable").withRetryDelay(storeRetryDelay).withCause(err)
		}
	}
	var charges []budget.Charge
	if exchange.route.KeepsHistory && exchange.request.PreviousTurn != "" {
		transcript, err := handler.turnHistory.Transcript(region.NewContext(ctx, exchange.home), exchange.request.Program, exchange.workspaceName(), exchange.request.PreviousTurn, exchange.memory.Grow)
		var exhausted *memory.ExhaustedError
		switch {
		case errors.Is(err, history.ErrNoTurn):
			return newRejection(http.StatusNotFound, "unknown_turn")
		case errors.As(err, &exhausted):
			return exchange.memoryRejection(err)
		case err != nil:
			return newRejection(http.StatusServiceUnavailable, "history_unavailable").withRetryDelay(storeRetryDelay).withCause(err)
		}
		exchange.body, exchange.root, charges = append(transcript.Texts(), exchange.request.Body...), transcript.Root(), transcript.Charges()
	}
	if !exchange.hasBudget() {
		return nil
	}
	start := exchange.decideStart()
	reservation, err := handler.budgets.Reserve(ctx, budget.Claim{
		Program: exchange.request.Program, Budget: exchange.request.Budget, Tokens: exchange.request.MaxTokens, TTL: exchange.timeLeft(),
		StartedOnly: !start.decision.Admitted, Charges: charges, Prefixes: handler.registry.UnknownPrompt(exchange.request.Prefix, exchange.route.KeepsHistory && exchange.request.PreviousTurn == "", handler.clock.Now()),
	})
	if err != nil {
		start.failed(handler.clock.Now())
	}
	switch {
	case errors.Is(err, budget.ErrSpent):
		return newRejection(http.StatusPaymentRequired, "budget_spent")
	case errors.Is(err, budget.ErrNotStarted):
		start.countRefusal(handler.metrics)
		return newRejection(http.StatusServiceUnavailable, "targets_crowded").withRetryDelay(start.decision.RetryAfter).withCause(start.cause(exchange.service))
	case err != nil:
		return newRejection(http.StatusServiceUnavailable, "budget_unavailable").withRetryDelay(storeRetryDelay).withCause(err)
	}
	start.reserved(handler.clock.Now())
	exchange.reservation = reservation
	handler.registry.Learn(exchange.affinity(), reservation.Locations(), handler.clock.Now())
	return nil
}
