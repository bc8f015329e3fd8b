package gateway

import (
	"context"
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
	healthInterval = time.Second // between polls of a target by its coordinator
	healthTimeout  = 300 * time.Millisecond
	maxHealthPolls = 16 // at a time
)

// polledTargets returns the targets whose health path this host polls: those that it
// coordinates, of services that have a health path and whose targets may be cold.
func polledTargets(table *route.Table, targets []placement.Target, evacuated func(dataCentre string) bool, coordinates func(target string) bool) []placement.Target {
	var polled []placement.Target
	for _, target := range targets {
		service := table.Service(target.Service)
		if service == nil || service.HealthPath == "" || service.Cold.Duration <= 0 && service.Cold.Rate <= 0 {
			continue
		}
		if target.Draining || evacuated(target.DataCentre) || !coordinates(target.ID) {
			continue
		}
		polled = append(polled, target)
	}
	return polled
}

// pollHealth asks targets for how long they are cold, which entries and other responses may
// not name yet. Other hosts hear of it with the reports of this one.
func (gateway *Gateway) pollHealth() {
	table := gateway.configuration.Table()
	if table == nil || gateway.pool.Lost() {
		return
	}
	coordinates := func(target string) bool {
		_, self := gateway.mesh.TargetCoordinator(target)
		return self
	}
	for _, target := range polledTargets(table, gateway.registry.Targets(), gateway.registry.Evacuated, coordinates) {
		select {
		case gateway.healthPolls <- struct{}{}:
		default:
			gateway.metrics.Count("health_polls_left_out")
			continue
		}
		go func() {
			defer func() { <-gateway.healthPolls }()
			gateway.pollTarget(target, table.Service(target.Service).HealthPath)
		}()
	}
}

// pollTarget asks a target for how long it is cold. A target that does not respond says
// nothing about that.
func (gateway *Gateway) pollTarget(target placement.Target, path string) {
	head, err := platform.EncodeHealthRequest(path, target.Address)
	if err != nil {
		gateway.metrics.Count("health_polls_failed")
		return
	}
	ctx, cancel := context.WithTimeout(gateway.ctx, healthTimeout)
	defer cancel()
	any := func(int, http.Header, bool) bool { return true }
	response, err := gateway.pool.Send(ctx, target.ID, target.Address, http.MethodGet, outbound.Message{Head: head}, outbound.Patience{}, any)
	if err != nil {
		gateway.metrics.Count("health_polls_failed")
		return
	}
	gateway.metrics.Count("health_polls")
	decoded := platform.DecodeResponse(response.StatusCode, response.Header)
	response.Discard(ctx)
	if decoded.Target != "" && decoded.Target != target.ID {
		return
	}
	switch decoded.ColdState {
	case request.NamedCold:
		if gateway.registry.ObserveCold(target.ID, decoded.ColdRemaining, gateway.clock.Now()) {
			gateway.recordCold(target.ID, decoded.ColdRemaining, "health")
		}
	case request.UnreadableCold:
		gateway.metrics.Count("target_cold_times_unreadable")
		gateway.logger.WithFields(log.Fields{"target": target.ID, "service": target.Service}).Warn("cold time in the health response of a target is not a number of milliseconds; keeping the previous one")
	}
}
