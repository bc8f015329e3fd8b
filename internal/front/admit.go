package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

const (
	defaultTimeout = 30 * time.Second // for requests and routes that name no time limit
	bodyTimeout    = 10 * time.Second // for a caller to send its body
)

// admit decides whether a request may run, before any target is chosen.
func (visit *visit) admit(incoming *http.Request) *rejection {
	front := visit.front
	decoded, err := platform.DecodeRequest(incoming)
	if err != nil {
		return refuse(http.StatusBadRequest, "bad_request").because(err)
	}
	visit.request = decoded
	table := front.configuration.Table()
	if table == nil {
		return refuse(http.StatusServiceUnavailable, "no_configuration").after(startPause)
	}
	if refused := visit.authorize(table); refused != nil {
		if !front.configuration.Current() {
			return refuse(http.StatusServiceUnavailable, "stale_configuration").after(stalePause)
		}
		return refused
	}
	limit := defaultTimeout
	if visit.route.Timeout > 0 {
		limit = visit.route.Timeout
	}
	if decoded.TimeLeft > 0 {
		limit = min(limit, decoded.TimeLeft)
	}
	visit.deadline = visit.arrived.Add(limit)
	if refused := visit.read(incoming, table.Limits()); refused != nil {
		return refused
	}
	visit.digest = placement.Digest(visit.workspaceName(), decoded.URI, decoded.PreviousTurn, decoded.Body)
	if front.suspects.Quarantined(visit.digest, visit.arrived) {
		return refuse(http.StatusServiceUnavailable, "quarantined").after(quarantinePause)
	}
	if visit.workspace != nil {
		question := quota.Question{
			Workspace: visit.workspace.Name, Limit: front.terms().Limit(visit.workspace.Rate, visit.workspace.Burst),
			Program: decoded.Program, Route: visit.route.Name, Urgent: visit.urgent(), Left: decoded.ProgramLeft,
		}
		begun := front.clock.Now()
		admitted, retry := front.rates.Admit(incoming.Context(), question)
		visit.waited += front.clock.Since(begun)
		if !admitted {
			return refuse(http.StatusTooManyRequests, "rate_exceeded").after(retry).because(fmt.Errorf("workspace is over its rate of %g a second and burst of %g", visit.workspace.Rate, visit.workspace.Burst))
		}
		visit.charged = true
	}
	return nil
}

// authorize finds the route and the workspace.
func (visit *visit) authorize(table *route.Table) *rejection {
	visit.route = table.Find(visit.request.HostName, visit.request.Path)
	if visit.route == nil {
		return refuse(http.StatusNotFound, "no_route")
	}
	if table.NeedsKeys() {
		visit.workspace = table.ByKey(visit.request.Key)
		if visit.workspace == nil && !visit.route.Public {
			return refuse(http.StatusUnauthorized, "unknown_key")
		}
	}
	visit.service = visit.route.Pick(route.Draw())
	return nil
}

// read takes the body within the limits.
func (visit *visit) read(incoming *http.Request, limits route.Limits) *rejection {
	if incoming.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(visit.writer)
	if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return refuse(http.StatusServiceUnavailable, "connection_lost").because(err)
	}
	bound := limits.BodyBytes
	if bound <= 0 {
		bound = 4 << 20
	}
	body, err := io.ReadAll(http.MaxBytesReader(visit.writer, incoming.Body, bound))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, "body_too_large")
	case err != nil:
		return refuse(http.StatusBadRequest, "body_incomplete").because(err)
	}
	visit.request.Body, visit.body = body, body
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return refuse(http.StatusServiceUnavailable, "connection_lost").because(err)
	}
	return nil
}
