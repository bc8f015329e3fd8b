package front

import (
	"net/http"
	"time"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/request"
)

// observeLoad records the load that a target announces.
func (exchange *exchange) observeLoad(target placement.Target, head request.Response) {
	handler := exchange.handler
	if head.Target != "" && head.Target != target.ID {
		return
	}
	handler.registry.ObserveLoad(target.ID, head.Load, handler.clock.Now())
	if head.LoadState != request.UnreadableLoad {
		return
	}
	handler.metrics.Count("target_loads_unreadable")
	if handler.registry.MarkUnreadableLoad(target.ID) {
		handler.logger.WithFields(exchange.logFields()).WithField("target", target.ID).Warn("load of a target has figures that cannot be used; keeping the previous ones")
	}
}

// observeDuration records how long a target has taken for the request. It is not known
// after errors, and if several targets have run parts of it.
func (exchange *exchange) observeDuration(target placement.Target, outcome placement.Outcome) {
	if outcome != placement.Served || exchange.status != http.StatusOK || exchange.possibleRuns > 0 || exchange.resumed() {
		return
	}
	handler := exchange.handler
	handler.registry.ObserveDuration(target.ID, exchange.request.PromptTokens, exchange.generated, handler.clock.Since(exchange.sentAt), handler.clock.Now())
}

// pauseTarget withdraws the request from a target whose request limit leaves no room.
func (exchange *exchange) pauseTarget(target placement.Target, until time.Time) {
	exchange.handler.registry.ReleaseTokens(target.ID, exchange.placementRequest())
	exchange.handler.registry.Pause(target.ID, until)
}

// cacheTokens returns the tokens that a target of the service has memory for, or 0 if the
// configuration does not say.
func (exchange *exchange) cacheTokens() int {
	if service := exchange.table.Service(exchange.service); service != nil && service.Engine != nil {
		return service.Engine.CacheTokens
	}
	return 0
}

// recordOutcome ends the request at a target in the registry.
func (exchange *exchange) recordOutcome(target placement.Target, outcome placement.Outcome) {
	registry := exchange.handler.registry
	exchange.observeDuration(target, outcome)
	registry.ReleaseTokens(target.ID, exchange.placementRequest())
	registry.Done(target.ID, outcome, exchange.handler.clock.Now())
}
