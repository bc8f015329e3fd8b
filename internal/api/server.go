// Package api is the callers' interface: HTTP, JSON and server-sent events.
// Handlers validate, call and respond.
package api

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/entry"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Router brings requests to the owners of programs.
type Router interface {
	Call(ctx context.Context, message entry.CallMessage, each func(string) error) (program.Answer, error)
	Open(ctx context.Context, id entry.ID, open ledger.Open) error
	End(ctx context.Context, id, workspace string) error
	Query(ctx context.Context, id, workspace string) (*program.View, error)
}

// Runner runs calls that belong to no program.
type Runner interface {
	Run(ctx context.Context, dispatch program.Dispatch, each func(string)) program.DispatchResult
}

// Admitter counts the requests of workspaces.
type Admitter interface {
	Admit(ctx context.Context, workspace string) error
}

// Settings configures a Server.
type Settings struct {
	DataCentre string
	MaxBody    int64
	// Ready tells why the host does not take callers, empty if it does.
	Ready func() []string
}

// Server answers callers.
type Server struct {
	settings Settings
	clock    clockwork.Clock
	metrics  *metric.Metrics
	follower *configuration.Follower
	router   Router
	runner   Runner
	admitter Admitter
	sessions *sessions
	draining atomic.Bool
}

// NewServer returns a server that takes callers.
func NewServer(settings Settings, clock clockwork.Clock, metrics *metric.Metrics, follower *configuration.Follower,
	router Router, runner Runner, admitter Admitter) *Server {
	server := &Server{
		settings: settings, clock: clock, metrics: metrics, follower: follower,
		router: router, runner: runner, admitter: admitter, sessions: newSessions(),
	}
	follower.Watch(server.sessions.check)
	return server
}

// Handler returns the HTTP interface.
func (server *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.ContextWithFallback = true
	engine.Use(gin.CustomRecovery(func(ctx *gin.Context, _ any) {
		server.fail(ctx, refusal.New(refusal.Internal, "the request met an internal fault").WithRun(refusal.Unknown))
	}))
	engine.NoRoute(func(ctx *gin.Context) {
		server.fail(ctx, refusal.New(refusal.NotFound, "path %q does not exist", ctx.Request.URL.Path))
	})
	engine.GET("/healthz", func(ctx *gin.Context) { ctx.JSON(http.StatusOK, gin.H{"healthy": true}) })
	engine.GET("/readyz", server.ready)
	engine.POST("/v1/services/:service", server.callOpen, server.authenticate, server.callService)
	programs := engine.Group("/v1/programs", server.authenticate)
	programs.POST("", server.openProgram)
	programs.GET("/:program", server.showProgram)
	programs.GET("/:program/history", server.showHistory)
	programs.DELETE("/:program", server.endProgram)
	programs.POST("/:program/calls", server.callProgram)
	programs.GET("/:program/calls/:call", server.showCall)
	return engine
}

// Drain makes the host unready. Requests are served as before.
func (server *Server) Drain() { server.draining.Store(true) }

func (server *Server) ready(ctx *gin.Context) {
	reasons := server.settings.Ready()
	if server.draining.Load() {
		reasons = append(reasons, "the host is leaving")
	}
	if len(reasons) > 0 {
		ctx.JSON(http.StatusServiceUnavailable, gin.H{"ready": false, "reasons": reasons})
		return
	}
	ctx.JSON(http.StatusOK, gin.H{"ready": true})
}

// errorBody is the one shape of errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code             refusal.Code `json:"code"`
	Message          string       `json:"message"`
	Run              refusal.Run  `json:"run"`
	RetryAfterMillis int64        `json:"retry_after_ms,omitempty"`
}

func detailOf(refused *refusal.Refusal) errorDetail {
	return errorDetail{
		Code: refused.Code, Message: refused.Message, Run: refused.Run, RetryAfterMillis: refused.RetryAfter.Milliseconds(),
	}
}

// statuses maps codes to HTTP; the others are 503.
var statuses = map[refusal.Code]int{
	refusal.BadRequest:       http.StatusBadRequest,
	refusal.TooLarge:         http.StatusRequestEntityTooLarge,
	refusal.Unauthorized:     http.StatusUnauthorized,
	refusal.KeyWithdrawn:     http.StatusUnauthorized,
	refusal.NotFound:         http.StatusNotFound,
	refusal.UnknownService:   http.StatusNotFound,
	refusal.OutOfTurn:        http.StatusConflict,
	refusal.CallConflict:     http.StatusConflict,
	refusal.ProgramEnded:     http.StatusGone,
	refusal.ProgramBusy:      http.StatusTooManyRequests,
	refusal.BudgetExceeded:   http.StatusPaymentRequired,
	refusal.RateExceeded:     http.StatusTooManyRequests,
	refusal.DeadlineExceeded: http.StatusGatewayTimeout,
	refusal.OutcomeUnknown:   http.StatusGatewayTimeout,
	refusal.TargetFailed:     http.StatusBadGateway,
	refusal.Quarantined:      http.StatusUnprocessableEntity,
	refusal.Internal:         http.StatusInternalServerError,
}

// fail answers with a refusal and counts it.
func (server *Server) fail(ctx *gin.Context, err error) {
	refused := server.refusalOf(ctx, err)
	status, ok := statuses[refused.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if refused.RetryAfter > 0 {
		seconds := int((refused.RetryAfter + time.Second - 1) / time.Second)
		ctx.Header("Retry-After", itoa(seconds))
	}
	ctx.AbortWithStatusJSON(status, errorBody{Error: detailOf(refused)})
}

// refusalOf counts an error and turns it into a refusal. A call that was cut
// off because its key was withdrawn says so.
func (server *Server) refusalOf(ctx *gin.Context, err error) *refusal.Refusal {
	refused := refusal.From(err)
	if found, ok := ctx.Get(sessionKey); ok && found.(*session).withdrawn.Load() {
		refused = refusal.New(refusal.KeyWithdrawn, "the key was withdrawn").WithRun(refused.Run)
	}
	server.metrics.Refused(refused.Code)
	return refused
}
