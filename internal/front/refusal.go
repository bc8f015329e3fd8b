package front

import (
	"encoding/json"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/platform"
)

// Pauses after which a refused caller may return.
const (
	startPause      = 500 * time.Millisecond // a starting host reads its configuration
	stalePause      = 300 * time.Millisecond // other hosts may have a later version
	busyPause       = 150 * time.Millisecond // a slot of an engine is free again after about a turn
	crowdedPause    = 200 * time.Millisecond // at least, and up to twice that: some programs have ended by then
	quarantinePause = 30 * time.Second
	storePause      = time.Second // outages of the store and of data centres last for seconds
)

// rejection is an answer of the scheduler's own.
type rejection struct {
	status int
	reason string
	retry  time.Duration
	cause  error
}

func refuse(status int, reason string) *rejection { return &rejection{status: status, reason: reason} }

func (rejection *rejection) after(pause time.Duration) *rejection {
	rejection.retry = pause
	return rejection
}

func (rejection *rejection) because(err error) *rejection {
	rejection.cause = err
	return rejection
}

// reject answers with a refusal.
func (visit *visit) reject(refused *rejection) {
	front := visit.front
	if visit.charged && visit.runs == 0 {
		front.rates.Refund(visit.workspace.Name)
	}
	front.metrics.Refused(refusal.Code(refused.reason))
	header := visit.writer.Header()
	if visit.request != nil {
		platform.SetAttempt(header, visit.request.Attempt)
	}
	if refused.retry > 0 {
		platform.SetRetryAfter(header, refused.retry)
	}
	header.Set("Content-Type", "application/json")
	body, err := json.Marshal(map[string]string{"error": refused.reason})
	if err != nil {
		body = nil
	}
	visit.writer.WriteHeader(refused.status)
	if _, err := visit.writer.Write(body); err != nil && refused.cause == nil {
		refused.cause = err
	}
	entry := front.logger.WithFields(visit.fields()).WithFields(log.Fields{"status": refused.status, "reason": refused.reason})
	if refused.cause != nil {
		entry = entry.WithError(refused.cause)
	}
	entry.Info("request refused")
}

// fields identify the request in logs.
func (visit *visit) fields() log.Fields {
	fields := log.Fields{"elapsed_ms": visit.front.clock.Since(visit.arrived).Milliseconds()}
	if visit.request != nil {
		fields["attempt"] = visit.request.Attempt
		if visit.request.Program != "" {
			fields["program"] = visit.request.Program
			fields["program_left_ms"] = visit.request.ProgramLeft.Milliseconds()
		}
	}
	if visit.workspace != nil {
		fields["workspace"] = visit.workspace.Name
	}
	if visit.route != nil {
		fields["route"] = visit.route.Name
	}
	if table := visit.front.configuration.Table(); table != nil {
		fields["version"] = table.Version()
	}
	if len(visit.tried) > 0 {
		fields["targets"] = visit.tried
	}
	return fields
}
