package front

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/explain"
	"github.com/godwitspread/godwitspread/internal/overload"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/route"
)

// describe reports what is known of the request after its admission.
func (explanation *explanation) describe(exchange *exchange) {
	report, incoming := explanation.report, explanation.incoming
	report.Request = explain.Request{Method: incoming.Method, HostName: incoming.Host, Path: incoming.URL.EscapedPath(), BodyBytes: len(explanation.content)}
	if request := exchange.request; request != nil {
		described := &report.Request
		described.Program, described.PreviousTurn, described.Resumes = request.Program, request.PreviousTurn, request.Resumes
		described.PromptTokens, described.MaxTokens, described.PrefixParts = request.PromptTokens, request.MaxTokens, len(request.Prefix)
		if parts := request.Prefix; len(parts) > 0 {
			described.PrefixTokens = parts[len(parts)-1].Tokens
		}
	}
	if !exchange.deadline.IsZero() {
		report.Request.TimeLeft = explain.Millis(exchange.timeLeft())
	}
	if table := exchange.table; table != nil {
		report.Configuration = table.Version()
	}
	if found := exchange.route; found != nil {
		report.Key = describeKey(exchange.table, exchange.workspace)
		report.Route = &explain.Route{Name: found.Name, HostName: found.HostName, Prefix: found.Prefix, Streaming: found.Kind == route.Streaming, Urgent: exchange.urgent(), HomeRegions: found.HomeRegions}
	}
	report.Workspace = exchange.workspaceName()
	explanation.describeQuota(exchange.workspace)
}

func describeKey(table *route.Table, workspace *route.Workspace) string {
	switch {
	case !table.RequiresKey():
		return "not_required"
	case workspace == nil:
		return "unknown"
	}
	return "valid"
}

func (explanation *explanation) describeQuota(workspace *route.Workspace) {
	outlook := explanation.admission
	if outlook == nil || workspace.Rate <= 0 {
		return
	}
	explanation.report.Quota = &explain.Quota{
		Rate: workspace.Rate, Burst: workspace.Burst, Known: outlook.Known, Admitted: outlook.Response.Admitted, Delay: explain.Millis(outlook.Response.Delay),
		Exists: outlook.Exists, Used: outlook.Used, Granted: outlook.Granted, Available: outlook.Available, Committed: outlook.Committed, Programs: outlook.Programs,
		Coordinator: outlook.Coordinator, Fallback: outlook.Fallback, Reason: outlook.Reason,
	}
}

// combine returns the report on a rejection, from those with the lowest and the highest
// random number.
func combine(earliest, latest *rejection) explain.Rejection {
	combined := explain.Rejection{Status: earliest.status, Reason: earliest.reason, RetryAfter: explain.Millis(earliest.retryDelay), MaxRetryAfter: explain.Millis(earliest.retryDelay), Share: 1}
	if earliest.cause != nil {
		combined.Cause = earliest.cause.Error()
	}
	if latest != nil && latest.reason == earliest.reason {
		combined.MaxRetryAfter = max(combined.RetryAfter, explain.Millis(latest.retryDelay))
	}
	return combined
}

func describeStart(start *start) *explain.Start {
	return &explain.Start{
		Admitted: start.decision.Admitted, InFlight: start.targets.InFlight, Slots: start.targets.Slots, Paused: start.targets.Paused,
		Rate: start.decision.Rate, Tokens: start.decision.Tokens,
	}
}

func describeBudget(claim budget.Claim, outlook budget.Outlook) *explain.Budget {
	names := map[budget.Verdict]string{
		budget.Unknown: "unknown", budget.Reserved: "reserved", budget.Spent: "spent", budget.NotStarted: "not_started", budget.Unavailable: "unavailable",
	}
	return &explain.Budget{
		Tokens: claim.Tokens, Budget: claim.Budget, Verdict: names[outlook.Verdict], Allocated: outlook.Allocated, LedgerRead: outlook.Read,
		LedgerAge: explain.Millis(outlook.Age), Coordinator: outlook.Coordinator, Fallback: outlook.Fallback, Reason: outlook.Reason,
	}
}

// prepare prepares the turn of a stream, and reports the decisions on its program.
func (explanation *explanation) prepare(exchange *exchange, registry *placement.Registry, starts *overload.Controllers, random float64, service *explain.Service) *rejection {
	detached := exchange.handler
	constant := func() float64 { return random }
	explanation.useRegistry(detached, registry)
	if service != nil && exchange.hasBudget() && exchange.request.PreviousTurn == "" {
		detached.starts = starts.Detach(exchange.service, constant)
		service.Start = describeStart(exchange.decideStart())
	}
	detached.starts = starts.Detach(exchange.service, constant)
	explanation.claim = budget.Claim{}
	rejection := exchange.prepareStream(explanation.ctx)
	if service != nil && explanation.claim.Program != "" {
		service.Budget = describeBudget(explanation.claim, explanation.claimed)
	}
	return rejection
}

// draw chooses targets for the request as often as the explanation has draws, each time
// from the present state.
func (explanation *explanation) draw(exchange *exchange, registry *placement.Registry, service *explain.Service) {
	request := exchange.placementRequest()
	assume := func(target, _ string) { explanation.assumed[target] = true }
	permits := explanation.handler.targetLimiter.Detach(explanation.clock, assume)
	shares, rejections := make(map[string]int), make(map[string]*explain.Rejection)
	var reasons []string
	drawn := registry.Detach(request, nil)
	for draw := range explanation.draws {
		trial := *exchange
		trial.handler = explanation.detach([]float64{0, almostOne}[draw%2], service.Name)
		drawn.Reset(registry, explanation.source())
		explanation.useRegistry(trial.handler, drawn)
		trial.handler.targetLimiter = permits.Detach(explanation.clock, assume)
		target, found, rejected := trial.acquireTarget(explanation.ctx)
		if rejected == nil && !found {
			rejected = trial.exhaustedRejection()
		}
		if rejected == nil {
			shares[target.ID]++
			continue
		}
		result := combine(rejected, nil)
		known := rejections[rejected.reason]
		if known == nil {
			known = &result
			known.Share = 0
			rejections[rejected.reason] = known
			reasons = append(reasons, rejected.reason)
		}
		known.RetryAfter, known.MaxRetryAfter = min(known.RetryAfter, result.RetryAfter), max(known.MaxRetryAfter, result.RetryAfter)
		known.Share += 1 / float64(explanation.draws)
	}
	service.Draws = explanation.draws
	for _, reason := range reasons {
		service.Rejections = append(service.Rejections, *rejections[reason])
	}
	for index := range service.Targets {
		target := &service.Targets[index]
		target.Share = float64(shares[target.ID]) / float64(explanation.draws)
		if explanation.assumed[target.ID] {
			target.Permit = "assumed"
			explanation.note("permits of targets with a limit count as granted where the host that grants them does not say")
		}
	}
}

// targets reports on the targets of the service. The registry must be a copy.
func (explanation *explanation) targets(registry *placement.Registry, request placement.Request) []explain.Target {
	now, handler := explanation.clock.Now(), explanation.handler
	limits := handler.targetLimits.Limits()
	targets := []explain.Target{}
	for _, candidate := range registry.Candidates(request, now) {
		cost, target := candidate.Cost, candidate.Target
		described := explain.Target{
			ID: target.ID, DataCentre: target.DataCentre, Version: target.Version, Excluded: string(candidate.Exclusion), Slots: target.Slots,
			InFlight: candidate.LocalInFlight + candidate.RemoteInFlight, Own: candidate.LocalInFlight, LoadAge: explanation.loadAge(target.DataCentre),
			Tokens: candidate.Tokens, CachedTokens: candidate.CachedTokens, Affine: candidate.Preferred, Returning: candidate.Held,
			Paused: explain.Millis(candidate.PausedFor), Backoff: explain.Millis(candidate.BackoffFor), Cold: explain.Millis(candidate.ColdFor),
			FigureAge: explain.UnknownAge, LimitAge: explain.UnknownAge,
			Cost: explain.Cost{
				Total: cost.Total(), Load: cost.Load, Queue: cost.Queue, Way: cost.Way, Cold: cost.Cold, Prefill: cost.Prefill, Affinity: cost.Affinity, Speed: cost.Speed, Memory: cost.Memory,
			},
		}
		if candidate.FigureAge > 0 {
			described.FigureAge = explain.Millis(candidate.FigureAge)
		}
		if rate, limited := handler.targetLimits.Limit(target.ID, target.StartedAtMillis); limited {
			described.Limit, described.LimitAge = rate, explain.Millis(now.Sub(limits[target.ID].ObservedAt))
		}
		if handler.views.ColdRate != nil {
			described.ColdRate = handler.views.ColdRate(registry, target)
		}
		targets = append(targets, described)
	}
	return targets
}

// loadAge returns the age of the load of a data centre, as far as it is known.
func (explanation *explanation) loadAge(dataCentre string) int64 {
	age := explanation.handler.views.LoadAge
	if age == nil {
		return explain.UnknownAge
	}
	if known := age(dataCentre); known < maxKnownAge {
		return explain.Millis(known)
	}
	return explain.UnknownAge
}

// maxKnownAge is the age from which a load counts as never reported.
const maxKnownAge = time.Hour
