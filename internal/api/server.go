// Package api serves the HTTP interface for callers, with JSON bodies and server-sent
// events.
package api

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/forwarding"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Router forwards requests to the owners of programs.
type Router interface {
	Call(ctx context.Context, message forwarding.CallMessage, onText func(string) error) (program.Answer, error)
	Open(ctx context.Context, id forwarding.ID, open ledger.Open) error
	End(ctx context.Context, id, workspace string) error
	Query(ctx context.Context, id, workspace string) (*program.View, error)
}

// Runner runs calls outside programs.
type Runner interface {
	Run(ctx context.Context, dispatch program.Dispatch, onText func(string)) program.DispatchResult
}

// Admitter admits requests within the rate limits of workspaces.
type Admitter interface {
	Admit(ctx context.Context, workspace string) error
}

// Settings configures a Server.
type Settings struct {
	DataCentre string
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// NotReadyReasons returns the reasons why the host is not ready. The host is ready
	// if there are none.
	NotReadyReasons func() []string
}

// Server handles the requests of callers.
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

// NewServer returns a server that is not draining.
func NewServer(settings Settings, clock clockwork.Clock, metrics *metric.Metrics, follower *configuration.Follower,
	router Router, runner Runner, admitter Admitter) *Server {
	server := &Server{
		settings: settings, clock: clock, metrics: metrics, follower: follower,
		router: router, runner: runner, admitter: admitter, sessions: newSessions(),
	}
	follower.Watch(server.sessions.cancelWithdrawn)
	return server
}

// Handler returns the HTTP handler with all routes.
func (server *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.ContextWithFallback = true
	engine.Use(gin.CustomRecovery(func(ctx *gin.Context, _ any) {
		server.writeError(ctx, refusal.New(refusal.Internal, "the request met an internal fault").WithRun(refusal.RunUnknown))
	}))
	engine.NoRoute(func(ctx *gin.Context) {
		server.writeError(ctx, refusal.New(refusal.NotFound, "path %q does not exist", ctx.Request.URL.Path))
	})
	engine.GET("/healthz", func(ctx *gin.Context) { ctx.JSON(http.StatusOK, gin.H{"healthy": true}) })
	engine.GET("/readyz", server.reportReadiness)
	engine.POST("/v1/services/:service", server.callWithoutKey, server.authenticate, server.callService)
	programs := engine.Group("/v1/programs", server.authenticate)
	programs.POST("", server.openProgram)
	programs.GET("/:program", server.showProgram)
	programs.GET("/:program/history", server.showHistory)
	programs.DELETE("/:program", server.endProgram)
	programs.POST("/:program/calls", server.callProgram)
	programs.GET("/:program/calls/:call", server.showCall)
	return engine
}

// Drain makes the host report that it is not ready. Requests are still served.
func (server *Server) Drain() { server.draining.Store(true) }

func (server *Server) reportReadiness(ctx *gin.Context) {
	reasons := server.settings.NotReadyReasons()
	if server.draining.Load() {
		reasons = append(reasons, "the host is leaving")
	}
	if len(reasons) > 0 {
		ctx.JSON(http.StatusServiceUnavailable, gin.H{"ready": false, "reasons": reasons})
		return
	}
	ctx.JSON(http.StatusOK, gin.H{"ready": true})
}

// errorResponse is the JSON form of all errors.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code             refusal.Code     `json:"code"`
	Message          string           `json:"message"`
	Run              refusal.RunState `json:"run"`
	RetryAfterMillis int64            `json:"retry_after_ms,omitempty"`
}

func newErrorDetail(refused *refusal.Refusal) errorDetail {
	return errorDetail{
		Code: refused.Code, Message: refused.Message, Run: refused.Run, RetryAfterMillis: refused.RetryAfter.Milliseconds(),
	}
}

// httpStatuses maps refusal codes to HTTP statuses. All other codes are sent with 503.
var httpStatuses = map[refusal.Code]int{
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

// writeError counts an error and writes it as the response.
func (server *Server) writeError(ctx *gin.Context, err error) {
	refused := server.recordRefusal(ctx, err)
	status, ok := httpStatuses[refused.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if refused.RetryAfter > 0 {
		seconds := int((refused.RetryAfter + time.Second - 1) / time.Second)
		ctx.Header("Retry-After", itoa(seconds))
	}
	ctx.AbortWithStatusJSON(status, errorResponse{Error: newErrorDetail(refused)})
}

// recordRefusal converts an error to a refusal and counts it. If the key of the request
// has been withdrawn, the refusal says so, because the withdrawal cancels the request.
func (server *Server) recordRefusal(ctx *gin.Context, err error) *refusal.Refusal {
	refused := refusal.From(err)
	if found, ok := ctx.Get(sessionContextKey); ok && found.(*session).withdrawn.Load() {
		refused = refusal.New(refusal.KeyWithdrawn, "the key was withdrawn").WithRun(refused.Run)
	}
	server.metrics.CountRefusal(refused.Code)
	return refused
}
