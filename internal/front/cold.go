package front

import (
	"errors"
	"net"

	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/request"
)

// coldRateOf returns the limit of a cold target in requests a second, or 0 if the target
// is not cold.
func (handler *Handler) coldRateOf(target placement.Target) float64 {
	if handler.coldRate == nil {
		return 0
	}
	return handler.coldRate(target)
}

// observeCold records what the response of a target says about its cold phase.
func (exchange *exchange) observeCold(target placement.Target, head request.Response) {
	handler := exchange.handler
	if head.Target != "" && head.Target != target.ID || head.ColdState == request.NoCold {
		return
	}
	if head.ColdState == request.UnreadableCold {
		handler.metrics.Count("target_cold_times_unreadable")
		handler.logger.WithFields(exchange.logFields()).WithField("target", target.ID).Warn("cold time of a target is not a number of milliseconds; keeping the previous one")
		return
	}
	if handler.registry.ObserveCold(target.ID, head.ColdRemaining, handler.clock.Now()) && handler.recordCold != nil {
		handler.recordCold(target.ID, head.ColdRemaining, "response")
	}
}

// observeBreak records that a target has refused or broken a connection. A target that is
// only slow, or that this host or the one between does not reach, has not restarted.
func (exchange *exchange) observeBreak(target placement.Target, err error) {
	if errors.Is(err, outbound.ErrTargetsLost) || errors.Is(err, outbound.ErrRelayed) && !errors.Is(err, outbound.ErrRefused) {
		return
	}
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		return
	}
	exchange.handler.registry.ObserveBreak(target.ID, exchange.handler.clock.Now())
}
