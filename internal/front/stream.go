package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
)

const (
	maxEvent     = 256 << 10 // bytes of one event
	stallFactor  = 6         // pauses of a punctual stream after which its target is taken for stuck
	stallAtLeast = 800 * time.Millisecond
)

// relayed is a stream on its way to the caller.
type relayed struct {
	visit     *visit
	started   bool
	lastEvent string
	events    int
	output    bytes.Buffer // data of the events, for turns that are kept
	keeps     bool
}

// stream serves a request whose answer is a series of events. Only whole
// events go on. A resumable stream continues on another target.
func (visit *visit) stream(ctx context.Context) *rejection {
	begun := visit.front.clock.Now()
	if refused := visit.prepareTurn(ctx); refused != nil {
		return refused
	}
	visit.waited += visit.front.clock.Since(begun)
	relayed := &relayed{visit: visit, lastEvent: visit.request.LastEvent, keeps: visit.route.KeepsHistory}
	defer func() {
		if visit.settle != nil {
			visit.settle(relayed.events * visit.tokensPerEvent())
		}
	}()
	for len(visit.tried) < maxSends {
		target, found := visit.choose()
		if !found {
			break
		}
		answer, head, err := visit.send(ctx, target, relayed.lastEvent)
		if err == nil && !head.NotRun {
			if !head.Streaming {
				return visit.plainAnswer(ctx, relayed, target, answer)
			}
			if err = relayed.copy(ctx, answer); err == nil {
				answer.Finish()
				visit.done(target, placement.Served)
				return relayed.finish(ctx)
			}
			answer.Abort()
			err = &outbound.SendError{Sent: true, Err: err}
		}
		refused := visit.settleFailure(ctx, target, answer, head, err)
		if refused != nil {
			return relayed.broken(refused)
		}
	}
	return relayed.broken(visit.exhausted())
}

// plainAnswer passes on an answer without events, such as a failure.
func (visit *visit) plainAnswer(ctx context.Context, relayed *relayed, target placement.Target, answer *outbound.Answer) *rejection {
	body, err := readWhole(answer)
	if err != nil {
		answer.Abort()
		visit.runs++
		visit.done(target, placement.Failed)
		if ctx.Err() != nil {
			return relayed.broken(visit.expired())
		}
		return relayed.broken(refuse(http.StatusBadGateway, "outcome_unknown").because(err))
	}
	answer.Finish()
	visit.done(target, placement.Served)
	if relayed.started {
		return relayed.broken(refuse(http.StatusBadGateway, "stream_broken"))
	}
	visit.deliver(answer, body)
	return nil
}

// copy passes events on until the end of the answer.
func (relayed *relayed) copy(ctx context.Context, answer *outbound.Answer) error {
	visit := relayed.visit
	controller := http.NewResponseController(visit.writer)
	reader := bufio.NewReader(answer.Body)
	stall := max(stallAtLeast, stallFactor*visit.route.Gap)
	for {
		if visit.route.Idempotent() && visit.runs+1 < visit.route.Attempts {
			if err := answer.SetReadLimit(ctx, stall); err != nil {
				return err
			}
		}
		event, err := readEvent(reader)
		if cause := ctx.Err(); cause != nil {
			return cause
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		read := visit.front.clock.Now()
		if !relayed.started {
			relayed.started = true
			visit.head(answer)
			visit.front.metrics.Latency("first_event", visit.front.clock.Since(visit.arrived))
		}
		if _, err := visit.writer.Write(event.raw); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
		visit.front.metrics.Latency("event_delay", visit.front.clock.Since(read))
		if event.id != "" {
			relayed.lastEvent = event.id
		}
		relayed.events++
		if relayed.keeps {
			relayed.output.Write(event.data)
			relayed.output.WriteByte('\n')
		}
	}
}

// broken ends a stream that has no whole answer. A begun answer is cut off, so
// that it does not look complete.
func (relayed *relayed) broken(refused *rejection) *rejection {
	if !relayed.started {
		return refused
	}
	visit := relayed.visit
	visit.front.logger.WithFields(visit.fields()).WithFields(log.Fields{"reason": refused.reason, "events": relayed.events}).Info("stream cut off")
	visit.front.metrics.Count("streams_cut")
	panic(http.ErrAbortHandler)
}

// finish ends a whole stream. A turn is durable before the caller sees its
// end.
func (relayed *relayed) finish(ctx context.Context) *rejection {
	visit := relayed.visit
	if relayed.keeps {
		turn := history.Turn{
			ID: visit.request.Attempt, Previous: visit.request.PreviousTurn, Workspace: visit.workspaceName(),
			Input: visit.request.Body, Output: relayed.output.Bytes(), Retention: visit.route.Retention,
		}
		if err := visit.front.histories.Keep(ctx, visit.request.Program, turn); err != nil {
			return relayed.broken(refuse(http.StatusServiceUnavailable, "history_not_durable").because(err))
		}
	}
	if !relayed.started {
		// A stream without events is passed on as broken: no answer is empty.
		return refuse(http.StatusBadGateway, "empty_stream")
	}
	visit.served(log.Fields{"status": http.StatusOK, "events": relayed.events})
	return nil
}

// tokensPerEvent returns what an event counts in budgets.
func (visit *visit) tokensPerEvent() int {
	if table := visit.front.configuration.Table(); table != nil {
		if service := table.Service(visit.service); service != nil && service.Engine != nil {
			return service.Engine.EventTokens
		}
	}
	return 1
}

// event is one whole event of a stream.
type event struct {
	raw  []byte
	id   string
	data []byte
}

// readEvent reads up to the blank line that ends an event. The error is io.EOF
// only at the boundary between events.
func readEvent(reader *bufio.Reader) (event, error) {
	var read event
	first := true
	for {
		line, err := readLine(reader, maxEvent-len(read.raw))
		read.raw = append(read.raw, line...)
		if errors.Is(err, io.EOF) && len(read.raw) == 0 {
			return event{}, io.EOF
		}
		if err != nil {
			return event{}, cut(err)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return read, nil
		}
		name, value, _ := bytes.Cut(text, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			read.id = string(value)
		case "data":
			if !first {
				read.data = append(read.data, '\n')
			}
			first = false
			read.data = append(read.data, value...)
		}
	}
}

// readLine reads a line of at most a number of bytes.
func readLine(reader *bufio.Reader, most int) ([]byte, error) {
	var line []byte
	for {
		piece, err := reader.ReadSlice('\n')
		if len(line)+len(piece) > most {
			return nil, errEventTooLarge
		}
		if err == nil && line == nil {
			return piece, nil // valid until the next read
		}
		line = append(line, piece...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

var errEventTooLarge = fmt.Errorf("event has more than %d bytes", maxEvent)

func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// prepareTurn reserves the turn's part of the budget and assembles its input.
func (visit *visit) prepareTurn(ctx context.Context) *rejection {
	front := visit.front
	if visit.route.KeepsHistory {
		err := front.histories.Ready(len(visit.request.Body))
		if errors.Is(err, history.ErrTooLarge) {
			return refuse(http.StatusRequestEntityTooLarge, "turn_too_large").because(err)
		}
		if err != nil {
			return refuse(http.StatusServiceUnavailable, "history_not_durable").after(storePause).because(err)
		}
	}
	if visit.route.KeepsHistory && visit.request.PreviousTurn != "" {
		earlier, err := front.histories.Input(ctx, visit.request.Program, visit.workspaceName(), visit.request.PreviousTurn)
		switch {
		case errors.Is(err, history.ErrNoTurn):
			return refuse(http.StatusNotFound, "unknown_turn")
		case err != nil:
			return refuse(http.StatusServiceUnavailable, "history_unavailable").after(storePause).because(err)
		}
		visit.body = append(earlier, visit.request.Body...)
	}
	if visit.request.Program == "" || visit.request.Budget == 0 || visit.route.Retention == 0 {
		return nil
	}
	crowd, crowded := front.board.Crowded(visit.service, visit.urgent())
	settle, err := front.budgets.Reserve(ctx, budget.Claim{
		Program: visit.request.Program, Budget: visit.request.Budget, Tokens: visit.request.MaxTokens, Expires: visit.timeLeft(),
		UnderWay: visit.request.PreviousTurn == "" && crowded,
	})
	switch {
	case errors.Is(err, budget.ErrSpent):
		return refuse(http.StatusPaymentRequired, "budget_spent")
	case errors.Is(err, budget.ErrNotBegun):
		return refuse(http.StatusServiceUnavailable, "targets_crowded").after(crowdedPause + rand.N(crowdedPause)).
			because(fmt.Errorf("service %q has %d requests under way on %d slots", visit.service, crowd.InFlight, crowd.Slots))
	case err != nil:
		return refuse(http.StatusServiceUnavailable, "budget_unavailable").after(storePause).because(err)
	}
	visit.settle = settle
	return nil
}
