package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

const (
	maxSends = 4       // targets tried for one attempt, those that did not run it included
	maxPlain = 8 << 20 // bytes of an answer that is read whole before it goes on
	// Answers of targets that are not stuck come well within these, in bursts
	// too; callers of streams give up after two seconds.
	patienceFactor = 2
	plainPatience  = 400 * time.Millisecond
	streamPatience = time.Second
	stillShort     = 20 // milliseconds left below which no further target is tried
)

// plain serves a request with one answer, which is read whole first: a broken
// answer never looks complete to the caller.
func (visit *visit) plain(ctx context.Context) *rejection {
	for len(visit.tried) < maxSends {
		target, found := visit.choose()
		if !found {
			break
		}
		answer, head, err := visit.send(ctx, target, "")
		if err == nil && !head.NotRun {
			var body []byte
			if body, err = readWhole(answer); err == nil {
				answer.Finish()
				visit.done(target, placement.Served)
				visit.deliver(answer, body)
				return nil
			}
			answer.Abort()
			err = &outbound.SendError{Sent: true, Err: err}
		}
		if refused := visit.settleFailure(ctx, target, answer, head, err); refused != nil {
			return refused
		}
	}
	return visit.exhausted()
}

func readWhole(answer *outbound.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxPlain+1))
	if err == nil && len(body) > maxPlain {
		return nil, errors.New("answer is too large")
	}
	return body, err
}

// choose takes the next target.
func (visit *visit) choose() (placement.Target, bool) {
	affinity := visit.request.Affinity
	if visit.request.Session != "" && visit.request.MaxTokens > 0 {
		affinity = visit.request.Session
	}
	return visit.front.board.Choose(placement.Request{Service: visit.service, Affinity: affinity, Tried: visit.tried}, visit.front.clock.Now())
}

// send exchanges the request with a target.
func (visit *visit) send(ctx context.Context, target placement.Target, lastEvent string) (*outbound.Answer, request.Answer, error) {
	if len(visit.tried) == 0 {
		visit.front.metrics.Latency("dispatch_delay", visit.front.clock.Since(visit.arrived)-visit.waited)
	}
	visit.tried = append(visit.tried, target.ID)
	attempt := visit.request.Attempt
	belongs := func(status int, header http.Header) bool {
		echoed := platform.DecodeAnswer(status, header).Attempt
		return echoed == attempt || echoed == "" && status >= http.StatusBadRequest
	}
	answer, err := visit.front.pool.Send(ctx, target.ID, target.Address, visit.request.Method, visit.message(target, lastEvent), visit.patience(), belongs)
	if err != nil {
		return nil, request.Answer{}, err
	}
	return answer, platform.DecodeAnswer(answer.StatusCode, answer.Header), nil
}

// patience is how long a target may take to begin its answer before another
// one is tried: a multiple of the objective, for requests that may run again.
func (visit *visit) patience() time.Duration {
	if !visit.route.Idempotent() || visit.runs+1 >= visit.route.Attempts {
		return 0
	}
	if visit.route.Kind == route.Streaming {
		return max(streamPatience, patienceFactor*visit.route.Target)
	}
	return max(plainPatience, patienceFactor*visit.route.Target)
}

// settleFailure ends the request at a target that gave no usable answer. It
// returns nil if another target may be tried.
func (visit *visit) settleFailure(ctx context.Context, target placement.Target, answer *outbound.Answer, head request.Answer, err error) *rejection {
	front := visit.front
	var failed *outbound.SendError
	switch {
	case err == nil:
		// The target says that it has not run the request.
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			answer.Abort()
		} else {
			answer.Finish()
		}
		visit.done(target, placement.Refused)
		front.metrics.Retried("target_refused")
		return nil
	case errors.As(err, &failed) && !failed.Sent:
		visit.done(target, placement.Failed)
		front.metrics.Retried("target_unreachable")
	default:
		visit.runs++
		outcome := placement.Failed
		if ctx.Err() != nil {
			outcome = placement.Abandoned
		}
		visit.done(target, outcome)
		if ctx.Err() == nil {
			visit.lost(ctx, target, err)
		}
		if ctx.Err() == nil && visit.mayRunAgain() {
			front.metrics.Retried("answer_lost")
			return nil
		}
	}
	if ctx.Err() != nil {
		return visit.expired()
	}
	if visit.runs > 0 {
		return refuse(http.StatusBadGateway, "outcome_unknown").because(err)
	}
	return nil
}

// lost notes a target that closed the connection without an answer. If it no
// longer listens, the request may have crashed it.
func (visit *visit) lost(ctx context.Context, target placement.Target, err error) {
	front := visit.front
	var timeout net.Error
	crashed := !(errors.As(err, &timeout) && timeout.Timeout()) && !front.pool.Listens(ctx, target.Address)
	if crashed {
		front.suspects.RecordCrash(visit.digest, front.clock.Now())
		front.metrics.Count("target_crashes")
	}
	front.logger.WithFields(visit.fields()).WithFields(log.Fields{"target": target.ID, "crashed": crashed}).WithError(err).Info("target gave no answer")
}

// mayRunAgain reports whether another target may run the request.
func (visit *visit) mayRunAgain() bool {
	return visit.route.Idempotent() && visit.runs < visit.route.Attempts && visit.timeLeft().Milliseconds() > stillShort
}

// expired answers a request whose time is over.
func (visit *visit) expired() *rejection {
	if visit.runs == 0 {
		return refuse(http.StatusServiceUnavailable, "deadline_exceeded").after(busyPause)
	}
	return refuse(http.StatusGatewayTimeout, "outcome_unknown").because(errors.New("the target had not answered when the time of the request was over"))
}

// exhausted answers a request that no target has served.
func (visit *visit) exhausted() *rejection {
	if visit.runs > 0 {
		return refuse(http.StatusBadGateway, "outcome_unknown")
	}
	return refuse(http.StatusServiceUnavailable, "no_target").after(busyPause)
}

func (visit *visit) done(target placement.Target, outcome placement.Outcome) {
	visit.front.board.Done(target.ID, outcome, visit.front.clock.Now())
}

// deliver passes a whole answer on.
func (visit *visit) deliver(answer *outbound.Answer, body []byte) {
	visit.head(answer)
	if _, err := visit.writer.Write(body); err != nil {
		visit.front.logger.WithFields(visit.fields()).WithError(err).Info("caller left before its answer")
		return
	}
	visit.served(log.Fields{"status": answer.StatusCode, "bytes": len(body)})
}

// head passes the head of an answer on.
func (visit *visit) head(answer *outbound.Answer) {
	header := visit.writer.Header()
	for name, values := range platform.AnswerHeader(answer.Header) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
	visit.writer.WriteHeader(answer.StatusCode)
}

func (visit *visit) served(fields log.Fields) {
	visit.front.metrics.Latency("request_latency", visit.front.clock.Since(visit.arrived))
	visit.front.logger.WithFields(visit.fields()).WithFields(fields).Info("request served")
}
