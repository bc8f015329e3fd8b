package front

import (
	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/request"
)

// observeLimit records what the response of a target says about the requests
// that it accepts. Only a response to a request that ran can lift a limit: a
// refusal need not repeat it.
func (exchange *exchange) observeLimit(target placement.Target, head request.Response) {
	handler := exchange.handler
	if head.Target != "" && head.Target != target.ID {
		return
	}
	announcement := capacity.Announcement{ObservedAt: handler.clock.Now()}
	switch head.LimitState {
	case request.NamedLimit:
		announcement.Limited, announcement.Rate = true, head.Limit
		handler.metrics.Count("limited_responses")
	case request.UnreadableLimit:
		handler.metrics.Count("target_limits_unreadable")
		handler.logger.WithFields(exchange.logFields()).WithField("target", target.ID).Warn("request limit of a target is not a decimal number; keeping the previous one")
		return
	default:
		if !head.Signed || head.NotRun {
			return
		}
	}
	if handler.targetLimits.Observe(target.ID, announcement) {
		handler.metrics.Count("target_limits_changed")
		handler.logger.WithFields(log.Fields{
			"target": target.ID, "service": target.Service, "limited": announcement.Limited, "per_second": announcement.Rate,
			"source": "response", "attempt": exchange.request.Attempt,
		}).Info("request limit of a target changed")
	}
}
