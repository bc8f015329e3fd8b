package front

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/explain"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/route"
)

const (
	// explainDraws is the number of random draws by which the shares of targets are
	// estimated. The standard error of a share is at most 0.036.
	explainDraws = 200
	// explainTimeout bounds the questions to other hosts.
	explainTimeout = time.Second
	// almostOne is the highest random number that decisions are evaluated with.
	almostOne = 1 - 1e-9
)

// Views evaluate decisions of other packages without side effects. Decisions without a
// view are unknown.
type Views struct {
	PeekQuota  func(ctx context.Context, request quota.AdmissionRequest) quota.Outlook
	PeekBudget func(ctx context.Context, claim budget.Claim) budget.Outlook
	// ColdRate is Dependencies.ColdRate by the cold phases of a registry.
	ColdRate func(registry *placement.Registry, target placement.Target) float64
	// LoadAge returns the age of the load that the hosts of a data centre have reported.
	LoadAge func(dataCentre string) time.Duration
}

// Explain reports what would happen to a request that arrived now. It runs the code that
// serves requests on copies of the state, up to the choice of the first target, so that
// nothing is sent, counted or changed. The content of the request is given separately.
func (handler *Handler) Explain(ctx context.Context, incoming *http.Request, content []byte) *explain.Report {
	return handler.explain(ctx, incoming, content, explainDraws, func() func(int) int { return rand.IntN })
}

// explain is Explain with a number of draws, each of which has a random source of its own.
func (handler *Handler) explain(ctx context.Context, incoming *http.Request, content []byte, draws int, source func() func(int) int) *explain.Report {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	explanation := &explanation{
		handler: handler, ctx: ctx, clock: frozenClock{handler.clock, handler.clock.Now()}, incoming: incoming, content: content,
		draws: draws, source: source, assumed: make(map[string]bool), claims: make(map[bool]budget.Outlook), report: &explain.Report{Services: []explain.Service{}},
	}
	explanation.run()
	return explanation.report
}

// explanation is the evaluation of one request.
type explanation struct {
	handler   *Handler
	ctx       context.Context
	clock     frozenClock
	incoming  *http.Request
	content   []byte
	draws     int
	source    func() func(int) int
	assumed   map[string]bool // targets whose permits count as granted
	admission *quota.Outlook
	claims    map[bool]budget.Outlook // by Claim.StartedOnly
	claim     budget.Claim            // the latest one, with what would be decided on it
	claimed   budget.Outlook
	report    *explain.Report
}

// run fills the report.
func (explanation *explanation) run() {
	exchange, rejection := explanation.admit(0, "")
	explanation.describe(exchange)
	if rejection != nil {
		_, latest := explanation.admit(almostOne, "")
		combined := combine(rejection, latest)
		explanation.report.Rejection = &combined
	}
	if exchange.route == nil {
		return
	}
	total := 0.0
	for _, weighted := range exchange.route.WeightedServices {
		total += weighted.Weight
	}
	for _, weighted := range exchange.route.WeightedServices {
		if weighted.Weight <= 0 {
			continue
		}
		service := explain.Service{Name: weighted.Service, Weight: weighted.Weight / total, Targets: []explain.Target{}}
		if rejection == nil {
			explanation.explainService(&service)
		}
		explanation.report.Services = append(explanation.report.Services, service)
	}
}

// admit admits the request to a service like ServeHTTP. Random numbers are the given one.
func (explanation *explanation) admit(random float64, service string) (*exchange, *rejection) {
	exchange := &exchange{
		handler: explanation.detach(random, service), writer: silentWriter{}, arrivedAt: explanation.clock.Now(), unreadBody: explanation.incoming.ContentLength != 0,
	}
	incoming := explanation.incoming.Clone(explanation.ctx)
	incoming.Body = io.NopCloser(bytes.NewReader(explanation.content))
	return exchange, exchange.admit(incoming)
}

// explainService evaluates the request for a service.
func (explanation *explanation) explainService(service *explain.Service) {
	exchange, rejection := explanation.admit(0, service.Name)
	if rejection != nil { // the state has changed since the first evaluation
		service.Rejections = []explain.Rejection{combine(rejection, rejection)}
		return
	}
	request, handler := exchange.placementRequest(), explanation.handler
	registry := handler.registry.Detach(request, rand.IntN)
	starts := handler.starts.Detach(service.Name, rand.Float64)
	if decision, decided := registry.Spillover(service.Name); decided {
		service.Spillover = &explain.Spillover{Reason: string(decision.Reason), Anywhere: decision.Anywhere, Shares: make(map[string]float64)}
		for _, share := range decision.Shares {
			service.Spillover.Shares[share.DataCentre] = share.Fraction
		}
	}
	service.Targets = explanation.targets(registry.Detach(request, rand.IntN), request)
	if exchange.route.Kind == route.Streaming {
		if rejection := explanation.prepare(exchange, registry, starts, 0, service); rejection != nil {
			again, _ := explanation.admit(almostOne, service.Name)
			latest := explanation.prepare(again, registry, starts, almostOne, nil)
			service.Rejections = []explain.Rejection{combine(rejection, latest)}
			return
		}
	}
	explanation.draw(exchange, registry, service)
}
