// Package front is the reverse proxy between callers and targets. It resolves
// the route and the workspace of a request, admits it, sends it to a target and
// relays the response.
package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/origin"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/overload"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

// writeMargin is the time after the deadline of a request in which its caller may
// still receive an error response.
const writeMargin = 500 * time.Millisecond

// Configuration provides the version of the configuration that is in force.
type Configuration interface {
	// Table returns nil until the first version is known.
	Table() *route.Table
	// Current reports whether the version is recent enough: no later version
	// can have been in force for longer than the deployment allows.
	Current() bool
}

// RateLimiter enforces the request rates of workspaces.
type RateLimiter interface {
	// Admit decides on a request and waits until it may run.
	Admit(ctx context.Context, admissionRequest quota.AdmissionRequest) quota.Admission
	// Refund returns the quota of an admitted request that did not run.
	Refund(workspace string, use quota.Use)
}

// BudgetReserver reserves tokens of program budgets for turns.
type BudgetReserver interface {
	// Reserve sets tokens aside for a turn. The caller must settle the reservation
	// with the number of tokens that the turn has generated.
	Reserve(ctx context.Context, claim budget.Claim) (*budget.Reservation, error)
}

// TurnHistory stores turns and assembles the context of a continued turn.
type TurnHistory interface {
	// Transcript returns the transcript of the turns up to and including the previous
	// one. It calls reserve with the bytes that it holds for the caller, and returns its
	// error.
	Transcript(ctx context.Context, program, workspace, previous string, reserve func(bytes int64) error) (history.Transcript, error)
	// Save makes a turn durable.
	Save(ctx context.Context, program string, turn history.Turn) error
	// CheckStorable returns an error if a turn with an input of the given size
	// could not be made durable.
	CheckStorable(ctx context.Context, size int) error
}

// Origins records at which software version streams began.
type Origins interface {
	// Begin records a stream before the caller receives its first event.
	Begin(record origin.Record)
	// Resolve returns where a stream began, and an error if that is not certain.
	Resolve(ctx context.Context, query origin.Query) (origin.Origin, error)
	// Refresh reads the targets' entries again if the last read is not recent.
	Refresh(ctx context.Context) bool
}

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	clock         clockwork.Clock
	logger        log.Interface
	metrics       *metric.Metrics
	configuration Configuration
	registry      *placement.Registry
	pool          *outbound.Pool
	crashTracker  *placement.CrashTracker
	rateLimiter   RateLimiter
	budgets       BudgetReserver
	turnHistory   TurnHistory
	limitSettings func() quota.LimitSettings
	targetLimits  *capacity.Board
	targetLimiter *capacity.Limiter
	coldRate      func(target placement.Target) float64
	recordCold    func(target string, remaining time.Duration, source string)
	origins       Origins
	memory        *memory.Budget
	regions       *region.Regions
	starts        *overload.Controllers
	liveHosts     func() int
	views         Views
	random        func() float64            // for Retry-After, in [0, 1); nil for a running host
	pickService   func(*route.Route) string // draws one of the services of a route
	draining      atomic.Bool
	ending        context.Context // of all requests; cancelled by EndRequests
	end           context.CancelFunc
	refuseAt      atomic.Pointer[time.Time] // once draining
	inFlight      atomic.Int64
}

// Dependencies contains the dependencies of the handler.
type Dependencies struct {
	Clock         clockwork.Clock
	Logger        log.Interface
	Metrics       *metric.Metrics
	Configuration Configuration
	Registry      *placement.Registry
	Pool          *outbound.Pool
	CrashTracker  *placement.CrashTracker
	RateLimiter   RateLimiter
	Budgets       BudgetReserver
	TurnHistory   TurnHistory
	LimitSettings func() quota.LimitSettings // rules by which workspaces' rates are enforced
	TargetLimits  *capacity.Board            // request limits that targets announce
	TargetLimiter *capacity.Limiter          // enforces these limits
	// ColdRate returns the limit of a target in requests a second, or 0 if it is not
	// cold. Nil stands for targets that are never cold.
	ColdRate func(target placement.Target) float64
	// RecordCold is called when a response begins a cold phase of a target; it may be nil.
	RecordCold func(target string, remaining time.Duration, source string)
	Origins    Origins
	Memory     *memory.Budget // of what requests hold
	Regions    *region.Regions
	LiveHosts  func() int // number of live hosts, with this one
	Views      Views
}

// New returns a handler with the given dependencies.
func New(dependencies Dependencies) *Handler {
	ending, end := context.WithCancel(context.Background())
	return &Handler{
		ending: ending, end: end,
		clock: dependencies.Clock, logger: dependencies.Logger, metrics: dependencies.Metrics, configuration: dependencies.Configuration,
		registry: dependencies.Registry, pool: dependencies.Pool, crashTracker: dependencies.CrashTracker, rateLimiter: dependencies.RateLimiter, budgets: dependencies.Budgets, turnHistory: dependencies.TurnHistory, limitSettings: dependencies.LimitSettings,
		targetLimits: dependencies.TargetLimits, targetLimiter: dependencies.TargetLimiter, origins: dependencies.Origins, memory: dependencies.Memory, regions: dependencies.Regions,
		coldRate: dependencies.ColdRate, recordCold: dependencies.RecordCold,
		starts: overload.NewControllers(rand.Float64), liveHosts: dependencies.LiveHosts, views: dependencies.Views,
		pickService: func(found *route.Route) string { return found.PickService(route.RandomFraction()) },
	}
}

// Drain makes every further response close its connection, so that callers connect to
// another host. Requests that begin when a time has passed are refused, because the host
// may stop before they end.
func (handler *Handler) Drain(refuseAfter time.Duration) {
	refuseAt := handler.clock.Now().Add(refuseAfter)
	handler.refuseAt.Store(&refuseAt)
	handler.draining.Store(true)
}

// stopsSoon reports whether the host may stop before a request ends that begins now.
func (handler *Handler) stopsSoon() bool {
	return handler.draining.Load() && !handler.clock.Now().Before(*handler.refuseAt.Load())
}

// EndRequests ends the requests in flight, because the host stops before their targets may
// have responded. Callers whose response has not begun get one.
func (handler *Handler) EndRequests() {
	handler.metrics.Add("requests_ended_by_stop", int(handler.inFlight.Load()))
	handler.end()
}

// InFlight returns the number of requests in flight.
func (handler *Handler) InFlight() int64 { return handler.inFlight.Load() }

// exchange is the state of one request and its response.
type exchange struct {
	handler       *Handler
	writer        http.ResponseWriter
	reset         func() error // makes the caller's connection end with a reset; nil if the response has chunks or a length
	request       *request.Request
	table         *route.Table // version of the configuration by which the request is served, also if a later one comes into force meanwhile
	route         *route.Route
	workspace     *route.Workspace
	service       string
	home          *region.Constraint // home regions of the route and the workspace; nil for all
	version       string             // software version at which the stream began; empty until then
	arrivedAt     time.Time
	sentAt        time.Time // to the last target
	uncached      int       // tokens of the prompt that this target was not expected to have cached
	deadline      time.Time
	unreadBody    bool                // the request has a body that was not read to its end
	body          request.Body        // as sent to the target: that of the request, after the turns that it continues
	root          string              // of the chain that the turn continues, if any
	overhead      *memory.Reservation // of the request without its content
	memory        *memory.Reservation // of what the request holds beside it
	digest        uint64              // hash of the content, identifies requests that crash targets
	next          *placement.Target   // acquired for the next attempt before the present one is given up
	triedTargets  []string            // IDs of the targets that the request was sent to
	triedVersions []string            // software versions of these targets
	possibleRuns  int                 // number of targets that may have run the request
	waitTime      time.Duration       // time spent waiting for the store and other hosts
	rateUse       quota.Use           // of the workspace's rate by the request
	status        int                 // of the response of that target
	generated     int                 // tokens of that response; at most as many, if it was not a stream
	reservation   *budget.Reservation // of the turn's tokens; nil if its program has no budget
}

// ServeHTTP implements http.Handler.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	exchange := &exchange{handler: handler, writer: writer, arrivedAt: handler.clock.Now(), unreadBody: incoming.ContentLength != 0}
	if !incoming.ProtoAtLeast(1, 1) {
		exchange.reset, _ = incoming.Context().Value(resetKey{}).(func() error)
	}
	defer exchange.release()
	if rejection := exchange.admit(incoming); rejection != nil {
		exchange.writeRejection(rejection)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), exchange.deadline)
	defer cancel()
	defer context.AfterFunc(handler.ending, cancel)()
	// The end of the context does not interrupt a write to the caller.
	if err := http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(exchange.timeLeft() + writeMargin)); err != nil {
		exchange.writeRejection(newRejection(http.StatusServiceUnavailable, "connection_lost").withCause(err))
		return
	}
	defer exchange.abandonNext()
	var rejection *rejection
	if exchange.route.Kind == route.Streaming {
		rejection = exchange.serveStream(ctx)
	} else {
		rejection = exchange.servePlain(ctx)
	}
	if rejection != nil {
		exchange.writeRejection(rejection)
	}
}

// release returns the memory of the request.
func (exchange *exchange) release() {
	exchange.memory.Release()
	exchange.overhead.Release()
}

// closeIfDraining makes the response close its connection if the host is stopping.
func (exchange *exchange) closeIfDraining() {
	if exchange.handler.draining.Load() {
		exchange.writer.Header().Set("Connection", "close")
	}
}

// resetKey is the key of the function that makes a caller's connection end with a reset.
type resetKey struct{}

// WithReset returns the context of a connection to a caller with a function that makes
// it end with a reset.
func WithReset(ctx context.Context, reset func() error) context.Context {
	return context.WithValue(ctx, resetKey{}, reset)
}

// abort ends a response that is incomplete. A caller of HTTP/1.0 gets it without chunks,
// so that the end of the connection in order would make it look complete.
func (exchange *exchange) abort() {
	if exchange.reset != nil {
		if err := exchange.reset(); err != nil {
			exchange.handler.logger.WithFields(exchange.logFields()).WithError(err).Warn("connection of a caller cannot be reset")
		}
	}
	panic(http.ErrAbortHandler)
}

// workspaceName returns the name sent to the target, or an empty string.
func (exchange *exchange) workspaceName() string {
	if exchange.workspace == nil {
		return ""
	}
	return exchange.workspace.Name
}

// urgent reports whether the request has the highest priority. The priority of
// the workspace overrides that of the route.
func (exchange *exchange) urgent() bool {
	if exchange.workspace != nil && exchange.workspace.HasPriority {
		return exchange.workspace.Priority == 0
	}
	return exchange.route.Priority == 0
}

// resumed reports whether the request continues a stream of an earlier attempt.
func (exchange *exchange) resumed() bool {
	return exchange.request != nil && (exchange.request.Resumes != "" || exchange.request.LastEvent != "")
}

// timeLeft returns the time until the deadline of the request.
func (exchange *exchange) timeLeft() time.Duration {
	return exchange.deadline.Sub(exchange.handler.clock.Now())
}

// messageFor returns the request as sent to a target.
func (exchange *exchange) messageFor(target placement.Target, lastEvent string) outbound.Message {
	head := platform.EncodeHead(exchange.request, exchange.body.Size(), platform.Destination{
		Target: target.ID, Workspace: exchange.workspaceName(), TimeLeft: exchange.timeLeft(), LastEvent: lastEvent,
	})
	return outbound.Message{Head: head, Body: exchange.body, Memory: exchange.memory}
}
