// Package front serves callers: it finds the route and the workspace of a
// request, admits it, sends it to a target and passes the answer on.
package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

// Configuration gives the version in force.
type Configuration interface {
	// Table returns nil before the first version is known.
	Table() *route.Table
	// Current reports whether no later version can have been in force for
	// longer than the deployment allows.
	Current() bool
}

// Rates admits requests of workspaces.
type Rates interface {
	Admit(ctx context.Context, question quota.Question) (admitted bool, retry time.Duration)
	// Refund gives back a request that was admitted and has not run.
	Refund(workspace string)
}

// Budgets admits turns of programs.
type Budgets interface {
	// Reserve takes tokens for a turn. Settle must be called with what the turn
	// has generated.
	Reserve(ctx context.Context, claim budget.Claim) (settle func(used int), err error)
}

// Histories keeps turns and assembles what a turn continues.
type Histories interface {
	Input(ctx context.Context, program, workspace, previous string) ([]byte, error)
	Keep(ctx context.Context, program string, turn history.Turn) error
	// Ready reports whether a turn with an input of a size could be made
	// durable.
	Ready(size int) error
}

// Front is the handler of callers' requests.
type Front struct {
	clock         clockwork.Clock
	logger        log.Interface
	metrics       *metric.Metrics
	configuration Configuration
	board         *placement.Board
	pool          *outbound.Pool
	suspects      *placement.Suspects
	rates         Rates
	budgets       Budgets
	histories     Histories
	terms         func() quota.Terms
	draining      atomic.Bool
	active        atomic.Int64
}

// Parts are what a front works with.
type Parts struct {
	Clock         clockwork.Clock
	Logger        log.Interface
	Metrics       *metric.Metrics
	Configuration Configuration
	Board         *placement.Board
	Pool          *outbound.Pool
	Suspects      *placement.Suspects
	Rates         Rates
	Budgets       Budgets
	Histories     Histories
	Terms         func() quota.Terms // of the workspaces' rates
}

// New returns a front.
func New(parts Parts) *Front {
	return &Front{
		clock: parts.Clock, logger: parts.Logger, metrics: parts.Metrics, configuration: parts.Configuration,
		board: parts.Board, pool: parts.Pool, suspects: parts.Suspects, rates: parts.Rates, budgets: parts.Budgets, histories: parts.Histories, terms: parts.Terms,
	}
}

// Drain asks callers to leave with their next answer.
func (front *Front) Drain() { front.draining.Store(true) }

// Active returns the number of requests under way.
func (front *Front) Active() int64 { return front.active.Load() }

// visit is one request on its way through the host.
type visit struct {
	front     *Front
	writer    http.ResponseWriter
	request   *request.Request
	route     *route.Route
	workspace *route.Workspace
	service   string
	arrived   time.Time
	deadline  time.Time
	body      []byte
	digest    uint64 // of the content, by which a request that crashes targets is known again
	tried     []string
	runs      int            // targets that may have run the request
	waited    time.Duration  // for the store and other hosts
	charged   bool           // a token of the workspace's rate was taken
	settle    func(used int) // ends the reservation of a turn
}

// ServeHTTP implements http.Handler.
func (front *Front) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	front.active.Add(1)
	defer front.active.Add(-1)
	if front.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	visit := &visit{front: front, writer: writer, arrived: front.clock.Now()}
	if refused := visit.admit(incoming); refused != nil {
		visit.reject(refused)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), visit.deadline)
	defer cancel()
	var refused *rejection
	if visit.route.Kind == route.Streaming {
		refused = visit.stream(ctx)
	} else {
		refused = visit.plain(ctx)
	}
	if refused != nil {
		visit.reject(refused)
	}
}

// workspaceName returns the name that the target receives.
func (visit *visit) workspaceName() string {
	if visit.workspace == nil {
		return ""
	}
	return visit.workspace.Name
}

// urgent reports whether the request has the highest priority. That of a
// workspace goes before that of a route.
func (visit *visit) urgent() bool {
	if visit.workspace != nil && visit.workspace.HasPriority {
		return visit.workspace.Priority == 0
	}
	return visit.route.Priority == 0
}

// timeLeft returns how long the caller and the route still wait.
func (visit *visit) timeLeft() time.Duration {
	return visit.deadline.Sub(visit.front.clock.Now())
}

// message returns the bytes for a target.
func (visit *visit) message(target placement.Target, lastEvent string) []byte {
	return platform.EncodeRequest(visit.request, visit.body, platform.Destination{
		Target: target.ID, Workspace: visit.workspaceName(), TimeLeft: visit.timeLeft(), LastEvent: lastEvent,
	})
}
