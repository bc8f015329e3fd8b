package mesh

import (
	"context"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/evacuation"
	"github.com/godwitspread/godwitspread/internal/membership"
	"github.com/godwitspread/godwitspread/internal/placement"
)

// targetNews is what targets have said to hosts, and what the operator says of them.
type targetNews struct {
	Limits     map[string]capacity.Report      `msgpack:"l,omitempty"`
	Departures map[string]placement.Departure  `msgpack:"g,omitempty"`
	Cold       map[string]placement.ColdReport `msgpack:"o,omitempty"`
	// Evacuations are all that the sender knows, so that a receiver can tell a lifted
	// evacuation from one that it has not been told.
	Evacuations *evacuation.Snapshot `msgpack:"ev,omitempty"`
	// Figures are the latest slowness that targets have announced.
	Figures map[string]placement.FigureReport `msgpack:"f,omitempty"`
}

// reportRequest is the argument of methodReport.
type reportRequest struct {
	Report membership.Report `msgpack:"r"`
	targetNews
}

// reportResponse is the response to methodReport.
type reportResponse struct {
	Response membership.ReportResponse `msgpack:"r"`
	targetNews
}

// digestMessage is the argument of methodDigest and the response to it.
type digestMessage struct {
	Digest membership.Digest `msgpack:"d"`
	targetNews
}

// exchange makes the calls of an interval.
func (mesh *Mesh) exchange(ctx context.Context) {
	status := mesh.localStatus()
	mesh.mutex.Lock()
	plan := mesh.view.Next(mesh.clock.Now())
	mesh.mutex.Unlock()
	if plan.Report != nil {
		go mesh.report(ctx, *plan.Report, status)
	}
	for _, member := range plan.Digests {
		go mesh.exchangeDigests(ctx, member)
	}
	for _, member := range plan.Statuses {
		go mesh.exchangeStatus(ctx, member, status)
	}
	mesh.observeLoad(0) // hosts may have been lost
}

// localStatus returns the status of this host and updates its state in the view.
func (mesh *Mesh) localStatus() Status {
	status := mesh.local.Status()
	status.Member = mesh.self
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	status.First = mesh.first
	mesh.view.SetSelf(status.state())
	status.RecentMembers = mesh.view.Recent(mesh.clock.Now())
	return status
}

// exchangeStatus exchanges statuses with a host of protocol 0.
func (mesh *Mesh) exchangeStatus(ctx context.Context, member Member, status Status) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var response Status
	err := mesh.transport.Ask(ctx, member.Address, methodStatus, status, &response)
	mesh.done(member, err)
	if err == nil {
		mesh.ObserveStatus(response)
	}
}

// done records the end of a call that the view has planned.
func (mesh *Mesh) done(member Member, err error) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.view.Done(member.Host, err == nil, mesh.clock.Now())
}

// report tells an aggregator the state of this host, or another one if it does not
// respond.
func (mesh *Mesh) report(ctx context.Context, aggregator Member, status Status) {
	for {
		mesh.mutex.Lock()
		request := reportRequest{Report: mesh.view.NewReport(status.summary()), targetNews: status.targetNews()}
		mesh.mutex.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
		var response reportResponse
		err := mesh.transport.Ask(callCtx, aggregator.Address, methodReport, request, &response)
		cancel()
		mesh.done(aggregator, err)
		if err == nil {
			mesh.mutex.Lock()
			mesh.view.ApplyReport(response.Response, mesh.clock.Now())
			mesh.mutex.Unlock()
			mesh.observeNews(aggregator.Host, response.Response.Summary, response.targetNews)
			return
		}
		mesh.logger.WithError(err).WithField("peer", aggregator.Host).Debug("report to an aggregator failed")
		mesh.mutex.Lock()
		next := mesh.view.Retry(mesh.clock.Now())
		mesh.mutex.Unlock()
		if next == nil || ctx.Err() != nil {
			return
		}
		aggregator = *next
	}
}

// serveReport serves the report of another host.
func (mesh *Mesh) serveReport(_ context.Context, request reportRequest) (reportResponse, error) {
	status := mesh.localStatus()
	status.TargetLimits = mesh.local.KnownLimits()
	mesh.mutex.Lock()
	response := reportResponse{Response: mesh.view.ServeReport(request.Report, status.summary(), mesh.clock.Now()), targetNews: status.targetNews()}
	mesh.mutex.Unlock()
	response.Limits = mesh.local.KnownLimits()
	summary := request.Report.Summary
	host := request.Report.State.Host
	mesh.observeNews(host, membership.Summary{Version: summary.Version, CrashCounts: map[string]map[uint64]int{host: summary.CrashCounts[""]}}, request.targetNews)
	return response, nil
}

// exchangeDigests exchanges digests with another aggregator.
func (mesh *Mesh) exchangeDigests(ctx context.Context, member Member) {
	ctx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
	defer cancel()
	var response digestMessage
	err := mesh.transport.Ask(ctx, member.Address, methodDigest, mesh.digest(member.Host), &response)
	mesh.done(member, err)
	if err == nil {
		mesh.applyDigest(response)
	}
}

// serveDigest serves the digest of another aggregator.
func (mesh *Mesh) serveDigest(_ context.Context, message digestMessage) (digestMessage, error) {
	mesh.applyDigest(message)
	return mesh.digest(message.Digest.Member.Host), nil
}

// digest returns the digest for another aggregator.
func (mesh *Mesh) digest(receiver string) digestMessage {
	status := mesh.localStatus()
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	message := digestMessage{Digest: mesh.view.NewDigest(receiver, status.summary(), mesh.clock.Now()), targetNews: status.targetNews()}
	if mesh.view.Relaying() {
		message.Limits = mesh.local.KnownLimits()
	}
	return message
}

func (mesh *Mesh) applyDigest(message digestMessage) {
	if message.Digest.Member.Host == mesh.self.Host {
		return
	}
	mesh.mutex.Lock()
	mesh.view.ApplyDigest(message.Digest, mesh.clock.Now())
	mesh.mutex.Unlock()
	mesh.observeNews(message.Digest.Member.Host, message.Digest.Summary, message.targetNews)
}
