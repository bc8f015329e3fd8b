package front

import (
	"fmt"
	"net/http"
	"time"

	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

const (
	defaultTimeout = 30 * time.Second // for requests and routes without a timeout
)

// admit decodes the request and checks its route, key, size, quarantine and
// rate before any target is selected.
func (exchange *exchange) admit(incoming *http.Request) *rejection {
	handler := exchange.handler
	decoded, err := platform.DecodeRequest(incoming)
	if err != nil {
		return newRejection(http.StatusBadRequest, "bad_request").withCause(err)
	}
	exchange.request = decoded
	if handler.stopsSoon() {
		return newRejection(http.StatusServiceUnavailable, "host_stopping").withRetryDelay(stopRetryDelay)
	}
	if exchange.overhead, err = handler.memory.ReserveOverhead(requestOverhead); err != nil {
		return exchange.memoryRejection(err)
	}
	if exchange.memory, err = handler.memory.Reserve(memory.Admission, 0); err != nil {
		return exchange.memoryRejection(err)
	}
	table := handler.configuration.Table()
	if table == nil {
		return newRejection(http.StatusServiceUnavailable, "no_configuration").withRetryDelay(startRetryDelay)
	}
	exchange.table = table
	if rejection := exchange.authorize(table); rejection != nil {
		if !handler.configuration.Current() {
			return newRejection(http.StatusServiceUnavailable, "stale_configuration").withRetryDelay(staleRetryDelay)
		}
		return rejection
	}
	timeout := defaultTimeout
	if exchange.route.Timeout > 0 {
		timeout = exchange.route.Timeout
	}
	if decoded.TimeLeft > 0 {
		timeout = min(timeout, decoded.TimeLeft)
	}
	exchange.deadline = exchange.arrivedAt.Add(timeout)
	if rejection := exchange.readBody(incoming, table.Limits()); rejection != nil {
		return rejection
	}
	exchange.digest = placement.Digest(exchange.workspaceName(), decoded.URI, decoded.PreviousTurn, decoded.Body)
	if handler.crashTracker.Quarantined(exchange.digest, exchange.arrivedAt) {
		return newRejection(http.StatusServiceUnavailable, "quarantined").withRetryDelay(quarantineRetryDelay)
	}
	if exchange.workspace != nil {
		admissionRequest := quota.AdmissionRequest{
			Workspace: exchange.workspace.Name, Limit: handler.limitSettings().Limit(exchange.workspace.Rate, exchange.workspace.Burst),
			Program: decoded.Program, Route: exchange.route.Name, Urgent: exchange.urgent(), ProgramTimeLeft: decoded.ProgramTimeLeft,
		}
		start := handler.clock.Now()
		admission := handler.rateLimiter.Admit(incoming.Context(), admissionRequest)
		exchange.waitTime += handler.clock.Since(start)
		if !admission.Admitted {
			return newRejection(http.StatusTooManyRequests, "rate_exceeded").withRetryDelay(admission.RetryAfter).withCause(fmt.Errorf("workspace exceeds its rate of %g requests per second with a burst of %g", exchange.workspace.Rate, exchange.workspace.Burst))
		}
		exchange.rateUse = admission.Use
	}
	return nil
}

// authorize resolves the route, the workspace and the service.
func (exchange *exchange) authorize(table *route.Table) *rejection {
	exchange.route = table.Find(exchange.request.HostName, exchange.request.Path)
	if exchange.route == nil {
		return newRejection(http.StatusNotFound, "no_route")
	}
	if table.RequiresKey() {
		exchange.workspace = table.WorkspaceByKey(exchange.request.Key)
		if exchange.workspace == nil && !exchange.route.Public {
			return newRejection(http.StatusUnauthorized, "unknown_key")
		}
	}
	exchange.service = exchange.handler.pickService(exchange.route)
	exchange.home = exchange.constraint()
	return nil
}

// constraint returns the regions to which the route and the workspace confine the request.
func (exchange *exchange) constraint() *region.Constraint {
	var ofWorkspace []string
	if exchange.workspace != nil {
		ofWorkspace = exchange.workspace.HomeRegions
	}
	if len(exchange.route.HomeRegions)+len(ofWorkspace) == 0 {
		return nil
	}
	return exchange.handler.regions.Constrain(exchange.route.HomeRegions, ofWorkspace)
}
