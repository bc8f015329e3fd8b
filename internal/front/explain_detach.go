package front

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/origin"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/route"
)

// detach returns a handler that decides like that of the host, with a constant for random
// numbers, and changes nothing there. It sends all requests to the given service. Its
// registry, its permits and its starts must be set before they are used.
func (explanation *explanation) detach(random float64, service string) *Handler {
	handler := explanation.handler
	detached := &Handler{
		clock: explanation.clock, logger: &log.Logger{Handler: discard.Default, Level: log.FatalLevel}, metrics: metric.Discard(),
		configuration: handler.configuration, crashTracker: handler.crashTracker, rateLimiter: quotaView{explanation}, budgets: budgetView{explanation},
		turnHistory: historyView{explanation, handler.turnHistory}, limitSettings: handler.limitSettings, targetLimits: handler.targetLimits,
		origins: originView{explanation, service}, memory: handler.memory.Detach(), regions: handler.regions, liveHosts: handler.liveHosts,
		random: func() float64 { return random },
		pickService: func(found *route.Route) string {
			if service == "" {
				return found.PickService(0)
			}
			return service
		},
	}
	detached.draining.Store(handler.draining.Load())
	detached.refuseAt.Store(handler.refuseAt.Load())
	return detached
}

// useRegistry sets the registry of a detached handler.
func (explanation *explanation) useRegistry(detached *Handler, registry *placement.Registry) {
	detached.registry = registry
	if coldRate := explanation.handler.views.ColdRate; coldRate != nil {
		detached.coldRate = func(target placement.Target) float64 { return coldRate(registry, target) }
	}
}

// note adds a remark to the report, once.
func (explanation *explanation) note(text string) {
	for _, existing := range explanation.report.Notes {
		if existing == text {
			return
		}
	}
	explanation.report.Notes = append(explanation.report.Notes, text)
}

// frozenClock is a clock that stands still. Waits end at once.
type frozenClock struct {
	clockwork.Clock
	now time.Time
}

func (frozenClock frozenClock) Now() time.Time                   { return frozenClock.now }
func (frozenClock frozenClock) Since(at time.Time) time.Duration { return frozenClock.now.Sub(at) }
func (frozenClock frozenClock) Until(at time.Time) time.Duration { return at.Sub(frozenClock.now) }
func (frozenClock frozenClock) After(time.Duration) <-chan time.Time {
	elapsed := make(chan time.Time, 1)
	elapsed <- frozenClock.now
	return elapsed
}

// silentWriter is the connection of a caller that is not there.
type silentWriter struct{}

func (silentWriter) Header() http.Header               { return make(http.Header) }
func (silentWriter) Write(content []byte) (int, error) { return len(content), nil }
func (silentWriter) WriteHeader(int)                   {}
func (silentWriter) SetReadDeadline(time.Time) error   { return nil }
func (silentWriter) SetWriteDeadline(time.Time) error  { return nil }

// quotaView is a RateLimiter that admits what the account of the workspace would admit, and
// counts nothing. The account is evaluated once, since its coordinator may be another host.
type quotaView struct{ explanation *explanation }

// Admit implements RateLimiter.
func (quotaView quotaView) Admit(ctx context.Context, request quota.AdmissionRequest) quota.Admission {
	explanation := quotaView.explanation
	if explanation.admission == nil {
		outlook := quota.Outlook{Reason: "host has no view of quotas"}
		if peek := explanation.handler.views.PeekQuota; peek != nil {
			outlook = peek(ctx, request)
		}
		explanation.admission = &outlook
	}
	outlook := explanation.admission
	if !outlook.Known {
		explanation.note("decision on the quota is not known, the request counts as admitted: " + outlook.Reason)
		return quota.Admission{Admitted: true}
	}
	return quota.Admission{Admitted: outlook.Response.Admitted, RetryAfter: outlook.Response.RetryAfter}
}

// Refund implements RateLimiter.
func (quotaView) Refund(string, quota.Use) {}

// budgetView is a BudgetReserver that reserves nothing.
type budgetView struct{ explanation *explanation }

// Reserve implements BudgetReserver.
func (budgetView budgetView) Reserve(ctx context.Context, claim budget.Claim) (*budget.Reservation, error) {
	explanation := budgetView.explanation
	outlook, known := explanation.claims[claim.StartedOnly]
	if !known {
		outlook = budget.Outlook{Reason: "host has no view of budgets"}
		if peek := explanation.handler.views.PeekBudget; peek != nil {
			outlook = peek(ctx, claim)
		}
		explanation.claims[claim.StartedOnly] = outlook
	}
	explanation.claim, explanation.claimed = claim, outlook
	if outlook.Verdict == budget.Unknown {
		explanation.note("decision on the budget is not known, the tokens count as reserved: " + outlook.Reason)
	}
	if outlook.ByLedger && (outlook.Verdict == budget.Reserved || outlook.Verdict == budget.Spent) {
		explanation.note("decision on the budget assumes that no other host has written entries since the ledger was read")
	}
	return outlook.Reservation(), outlook.Verdict.Err()
}

// historyView is a TurnHistory that reads no turns.
type historyView struct {
	explanation *explanation
	history     TurnHistory
}

// Transcript implements TurnHistory.
func (historyView historyView) Transcript(context.Context, string, string, string, func(int64) error) (history.Transcript, error) {
	historyView.explanation.note("turns that the request continues are not read: they count as kept and without charges, and their memory is not counted")
	return history.Transcript{}, nil
}

// CheckStorable implements TurnHistory.
func (historyView historyView) CheckStorable(ctx context.Context, size int) error {
	return historyView.history.CheckStorable(ctx, size)
}

// Save implements TurnHistory.
func (historyView) Save(context.Context, string, history.Turn) error { return nil }

// originView are Origins that look nothing up.
type originView struct {
	explanation *explanation
	service     string
}

// Begin implements Origins.
func (originView) Begin(origin.Record) {}

// Refresh implements Origins.
func (originView) Refresh(context.Context) bool { return true }

// Resolve implements Origins.
func (originView originView) Resolve(context.Context, origin.Query) (origin.Origin, error) {
	originView.explanation.note("origin of the resumed stream is not looked up: targets of any version are considered")
	return origin.Origin{Service: originView.service}, nil
}
