package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/explain"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/overload"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

// instantClock is a clock on which nobody waits.
type instantClock struct{ *clockwork.FakeClock }

func (instantClock instantClock) After(time.Duration) <-chan time.Time {
	elapsed := make(chan time.Time, 1)
	elapsed <- instantClock.Now()
	return elapsed
}

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct {
	table   *route.Table
	current bool
}

func (fixedConfiguration fixedConfiguration) Table() *route.Table { return fixedConfiguration.table }
func (fixedConfiguration fixedConfiguration) Current() bool       { return fixedConfiguration.current }

// soleCoordinator implements quota.Coordinators on the only host.
type soleCoordinator struct{}

func (soleCoordinator) Coordinator(string) (string, bool) { return "", true }
func (soleCoordinator) RequestAdmission(context.Context, string, quota.AdmissionRequest) (quota.AdmissionResponse, error) {
	return quota.AdmissionResponse{}, nil
}
func (soleCoordinator) CoordinatedFor(string, string) time.Duration { return time.Hour }
func (soleCoordinator) Predecessor(string) (string, bool)           { return "", false }
func (soleCoordinator) Successor(string) (string, bool)             { return "", false }
func (soleCoordinator) CanAdopt(string) bool                        { return false }
func (soleCoordinator) TakeAccount(context.Context, string, string) (quota.TakeResponse, error) {
	return quota.TakeResponse{}, nil
}
func (soleCoordinator) HandOver(context.Context, string, []*quota.AccountState) error { return nil }
func (soleCoordinator) PushReports(context.Context, string, []quota.WorkspaceReport) error {
	return nil
}
func (soleCoordinator) Backup(string, []string) (string, bool) { return "", false }
func (soleCoordinator) RemoteBackup(string) (string, bool)     { return "", false }
func (soleCoordinator) Announce(context.Context, string, []quota.Announcement) ([]quota.Acknowledgement, error) {
	return nil, nil
}
func (soleCoordinator) SilentFor(string) time.Duration              { return 0 }
func (soleCoordinator) CopiesEnabled() bool                         { return false }
func (soleCoordinator) Older() bool                                 { return false }
func (soleCoordinator) ReachableShare() (reachable, single float64) { return 1, 1 }

// tokenBudgets implement BudgetReserver by the tokens reserved for each program.
type tokenBudgets map[string]int

func (tokenBudgets tokenBudgets) peek(_ context.Context, claim budget.Claim) budget.Outlook {
	reserved, started := tokenBudgets[claim.Program]
	switch {
	case claim.StartedOnly && !started:
		return budget.Outlook{Verdict: budget.NotStarted}
	case reserved+claim.Tokens > claim.Budget:
		return budget.Outlook{Verdict: budget.Spent}
	}
	return budget.Outlook{Verdict: budget.Reserved, Allocated: reserved}
}

func (tokenBudgets tokenBudgets) Reserve(ctx context.Context, claim budget.Claim) (*budget.Reservation, error) {
	outlook := tokenBudgets.peek(ctx, claim)
	if outlook.Verdict == budget.Reserved {
		tokenBudgets[claim.Program] += claim.Tokens
	}
	return &budget.Reservation{}, outlook.Verdict.Err()
}

// storableHistory implements TurnHistory with an error for all turns.
type storableHistory struct{ err error }

func (storableHistory) Transcript(context.Context, string, string, string, func(int64) error) (history.Transcript, error) {
	return history.Transcript{}, nil
}
func (storableHistory storableHistory) CheckStorable(context.Context, int) error {
	return storableHistory.err
}
func (storableHistory) Save(context.Context, string, history.Turn) error { return nil }

// hostState is a handler in a random state, and a request for it.
type hostState struct {
	handler  *Handler
	source   *rand.PCG // of the draws of targets
	services *rand.Rand
	incoming *http.Request
	content  []byte
	previous string // turn that the request continues
	budgets  tokenBudgets
	table    *route.Table
}

// newHostState returns the state of a seed. Equal seeds give equal states, apart from the
// IDs of accounts.
func newHostState(t *testing.T, seed uint64) hostState {
	random, source := rand.New(rand.NewPCG(seed, 1)), rand.NewPCG(seed, 2)
	oneIn := func(count int) bool { return random.IntN(count) == 0 }
	clock := instantClock{clockwork.NewFakeClockAt(time.Unix(1000, 0))}
	logger := &log.Logger{Handler: discard.Default}
	state := hostState{source: source, services: rand.New(rand.NewPCG(seed, 3)), budgets: tokenBudgets{"p0": random.IntN(400), "p1": random.IntN(400)}, table: newTestTable(oneIn(8), oneIn(4))}
	registry := placement.NewRegistry("a", placement.DefaultPolicy(rand.New(source).IntN))
	board := capacity.NewBoard()
	limiter := capacity.NewLimiter(board, ownCoordinator{}, clock, metric.Discard())
	load, crowded, limited := make(map[string]int), oneIn(3), oneIn(4)
	for index := range random.IntN(10) {
		target := placement.Target{ID: fmt.Sprint("t", index), Service: []string{"a", "b", "e", "e"}[index%4], DataCentre: []string{"a", "b"}[random.IntN(2)], Slots: 1 + random.IntN(6), Draining: oneIn(8)}
		registry.Put(target)
		if load[target.ID] = random.IntN(8); crowded {
			load[target.ID] += 6
		}
		if limited || oneIn(3) {
			board.Observe(target.ID, capacity.Announcement{Limited: true, Rate: float64(random.IntN(3)), ObservedAt: clock.Now()})
			for range random.IntN(6) {
				clock.Advance(time.Duration(random.IntN(400)) * time.Millisecond)
				limiter.Acquire(context.Background(), target.ID, 0, 0, time.Second)
			}
		}
		if oneIn(6) {
			registry.Done(target.ID, placement.Failed, clock.Now())
		}
		if oneIn(6) {
			registry.ObserveCold(target.ID, 3*time.Second, clock.Now())
		}
	}
	registry.SetRemoteLoad(load)
	if oneIn(6) {
		registry.SetEvacuated(map[string]bool{"a": oneIn(2), "b": oneIn(2)}, clock.Now())
	}
	quotas := quota.NewLimiter(soleCoordinator{}, clock, logger, metric.Discard())
	settings := quota.LimitSettings{Window: 5 * time.Second, Overage: 0.1, Slack: 5}
	clock.Advance(6 * time.Second)
	for range random.IntN(40) {
		quotas.Admit(context.Background(), quota.AdmissionRequest{Workspace: "w1", Limit: settings.Limit(3, 4), Program: fmt.Sprint("p", random.IntN(9)), Route: "stream"})
		clock.Advance(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	reserve := memory.NewBudget(1 << 20)
	if oneIn(20) {
		_, _ = reserve.Reserve(memory.Accepted, 1<<20)
		_, _ = reserve.Reserve(memory.Overhead, 140<<10)
	}
	var storable error
	if oneIn(10) {
		storable = []error{history.ErrTooLarge, history.ErrNotDurable}[random.IntN(2)]
	}
	tracker := placement.NewCrashTracker()
	state.handler = New(Dependencies{
		Clock: clock, Logger: logger, Metrics: metric.Discard(), Configuration: fixedConfiguration{state.table, !oneIn(6)}, Registry: registry,
		CrashTracker: tracker, RateLimiter: quotas, Budgets: state.budgets, TurnHistory: storableHistory{storable}, LimitSettings: func() quota.LimitSettings { return settings },
		TargetLimits: board, TargetLimiter: limiter, Memory: reserve, Regions: region.New("a", "north", map[string]string{"b": "south"}), LiveHosts: func() int { return 1 },
		ColdRate: func(target placement.Target) float64 { return testColdRate(registry, clock, target) },
		Views: Views{
			PeekQuota: quotas.Peek, PeekBudget: state.budgets.peek,
			ColdRate: func(registry *placement.Registry, target placement.Target) float64 {
				return testColdRate(registry, clock, target)
			},
		},
	})
	state.handler.pickService = func(found *route.Route) string { return found.PickService(state.services.Float64()) }
	controller := state.handler.starts.Service("e")
	for range random.IntN(40) {
		clock.Advance(time.Duration(random.IntN(100)) * time.Millisecond)
		controller.Decide(overload.Program{Workspace: "w1", TimeLeft: time.Second}, overload.Load{InFlight: random.IntN(20), Slots: 8, Hosts: 1}, clock.Now())
		controller.Done(time.Duration(random.IntN(3000))*time.Millisecond, overload.Load{Slots: 8, Hosts: 1}, clock.Now())
	}
	if oneIn(30) {
		state.handler.Drain(0)
	}
	state.content = make([]byte, []int{0, 100, 3000, 200 << 10}[random.IntN(4)])
	if oneIn(30) {
		state.content = make([]byte, 700<<10)
	}
	state.drawRequest(t, random)
	if oneIn(12) {
		for _, workspace := range []string{"", "w1", "w2", "w3"} {
			digest := placement.Digest(workspace, state.incoming.RequestURI, state.previous, [][]byte{state.content})
			tracker.RecordCrash(digest, clock.Now())
			tracker.RecordCrash(digest, clock.Now())
		}
	}
	return state
}

// testColdRate is the limit of a cold target.
func testColdRate(registry *placement.Registry, clock clockwork.Clock, target placement.Target) float64 {
	if _, cold := registry.ColdUntil(target.ID, clock.Now()); cold {
		return 2
	}
	return 0
}

// newTestTable returns a configuration with a plain and a streaming route, and one that is
// confined to a region.
func newTestTable(open, confined bool) *route.Table {
	routes := []*route.Route{
		{Name: "plain", HostName: "host", Prefix: "/plain/", Priority: 1, WeightedServices: []route.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "unused"}}},
		{Name: "stream", HostName: "host", Prefix: "/stream/", Kind: route.Streaming, Priority: 1, Resumable: true, KeepsHistory: true, Retention: time.Minute, WeightedServices: []route.WeightedService{{Service: "e", Weight: 1}}},
		{Name: "public", HostName: "host", Prefix: "/public/", Public: true, WeightedServices: []route.WeightedService{{Service: "b", Weight: 1}}},
	}
	if confined {
		routes[0].HomeRegions, routes[1].HomeRegions = []string{"south"}, []string{"south"}
	}
	services := []*route.Service{{Name: "a"}, {Name: "b"}, {Name: "e", Engine: &route.Engine{Slots: 4, CacheTokens: 4000, EventTokens: 1}}}
	if open {
		return route.NewTable(7, routes, services, nil, nil, route.Limits{BodyBytes: 500 << 10})
	}
	workspaces := []*route.Workspace{{Name: "w1", Rate: 3, Burst: 4}, {Name: "w2"}, {Name: "w3", HasPriority: true, Rate: 100, Burst: 100}}
	return route.NewTable(7, routes, services, workspaces, map[string]string{"k1": "w1", "k2": "w2", "k3": "w3"}, route.Limits{BodyBytes: 500 << 10})
}

// drawRequest sets a random request.
func (hostState *hostState) drawRequest(t *testing.T, random *rand.Rand) {
	request := platform.CallerRequest{
		Method: http.MethodPost, HostName: "host", Attempt: "attempt", BodyBytes: len(hostState.content),
		URI: []string{"/plain/x?y=1", "/stream/turn", "/stream/turn", "/stream/turn", "/public/z", "/plain/x"}[random.IntN(6)],
	}
	if random.IntN(30) == 0 {
		request.URI = "/none"
	}
	if random.IntN(15) > 0 {
		request.Key = fmt.Sprint("k", 1+random.IntN(3))
	}
	if random.IntN(2) == 0 {
		request.Program, request.Budget, request.ProgramTimeLeft = fmt.Sprint("p", random.IntN(4)), 500, time.Duration(random.IntN(4000))*time.Millisecond
	}
	if random.IntN(2) == 0 {
		request.Session, request.PromptTokens, request.MaxTokens = fmt.Sprint("s", random.IntN(3)), random.IntN(2000), random.IntN(400)
	}
	if random.IntN(4) == 0 {
		request.PreviousTurn = "earlier"
	}
	if random.IntN(40) == 0 {
		request.Attempt = ""
	}
	hostState.previous = request.PreviousTurn
	message, err := request.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if hostState.incoming, err = http.ReadRequest(bufio.NewReader(bytes.NewReader(message))); err != nil {
		t.Fatal(err)
	}
}

// decided is where a request goes, or why it is rejected.
type decided struct {
	service   string
	target    string
	rejection *rejection
}

// serve decides on the request like ServeHTTP up to the choice of the first target.
func (hostState hostState) serve() decided {
	exchange := &exchange{handler: hostState.handler, writer: silentWriter{}, arrivedAt: hostState.handler.clock.Now()}
	incoming := hostState.incoming.Clone(context.Background())
	incoming.Body, incoming.ContentLength = io.NopCloser(bytes.NewReader(hostState.content)), int64(len(hostState.content))
	if rejection := exchange.admit(incoming); rejection != nil {
		return decided{service: exchange.service, rejection: rejection}
	}
	if exchange.route.Kind == route.Streaming {
		if rejection := exchange.prepareStream(context.Background()); rejection != nil {
			return decided{service: exchange.service, rejection: rejection}
		}
	}
	target, found, rejection := exchange.acquireTarget(context.Background())
	if rejection == nil && !found {
		rejection = exchange.exhaustedRejection()
	}
	return decided{service: exchange.service, target: target.ID, rejection: rejection}
}

// check returns an error if a report, whose draws are equal, does not say what has happened.
func (decided decided) check(report *explain.Report) error {
	expected := report.Rejection
	if expected == nil {
		index := slices.IndexFunc(report.Services, func(service explain.Service) bool { return service.Name == decided.service })
		if index < 0 {
			return fmt.Errorf("service %q is not explained", decided.service)
		}
		service := report.Services[index]
		if len(service.Rejections) > 0 {
			expected = &service.Rejections[0]
		}
		for _, target := range service.Targets {
			if decided.rejection == nil && (target.Share == 1) != (target.ID == decided.target) {
				return fmt.Errorf("request went to %q, explained with share %g of %q", decided.target, target.Share, target.ID)
			}
		}
	}
	rejection := decided.rejection
	switch {
	case (expected == nil) != (rejection == nil):
		return fmt.Errorf("rejection is %+v, explained as %+v", rejection, expected)
	case rejection == nil:
		return nil
	case rejection.status != expected.Status || rejection.reason != expected.Reason:
		return fmt.Errorf("rejection is %+v, explained as %+v", rejection, expected)
	}
	if retry := explain.Millis(rejection.retryDelay); retry < expected.RetryAfter || retry > expected.MaxRetryAfter {
		return fmt.Errorf("Retry-After of %q is %d ms, explained as %d to %d ms", rejection.reason, retry, expected.RetryAfter, expected.MaxRetryAfter)
	}
	return nil
}

// TestExplainAgrees guards against an explanation that differs from what then happens to
// the request, and against one that changes what happens, in a thousand seeded states of a
// host. The explanation draws targets from copies of the random source, once with the lowest and once with the highest Retry-After, and says for each
// service what would happen if it was drawn.
func TestExplainAgrees(t *testing.T) {
	reasons := make(map[string]int)
	for seed := range uint64(1000) {
		explained, twin := newHostState(t, seed), newHostState(t, seed)
		content, err := explained.source.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		source := func() func(int) int {
			copied := rand.NewPCG(0, 0)
			if err := copied.UnmarshalBinary(content); err != nil {
				t.Fatal(err)
			}
			return rand.New(copied).IntN
		}
		incoming := explained.incoming.Clone(context.Background())
		incoming.ContentLength = int64(len(explained.content))
		report := explained.handler.explain(context.Background(), incoming, explained.content, 2, source)
		result, undisturbed := explained.serve(), twin.serve()
		if err := result.check(report); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		reason, expected := "served", "served"
		if result.rejection != nil {
			reason = result.rejection.reason
		}
		if undisturbed.rejection != nil {
			expected = undisturbed.rejection.reason
		}
		if reason != expected || result.target != undisturbed.target {
			t.Fatalf("seed %d: request ended as %q at %q after an explanation, and as %q at %q without one", seed, reason, result.target, expected, undisturbed.target)
		}
		reasons[reason]++
	}
	t.Logf("of 1000 states: %v", reasons)
	if reasons["served"] < 200 || len(reasons) < 14 {
		t.Error("states are too uniform to show anything")
	}
}
