package api

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/forwarding"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// callResponse is the JSON form of the response to a call.
type callResponse struct {
	Call     string        `json:"call"`
	Turn     int           `json:"turn,omitempty"`
	Output   string        `json:"output"`
	Status   int           `json:"status,omitempty"`
	Tokens   int64         `json:"tokens"`
	Result   ledger.Result `json:"result"`
	Replayed bool          `json:"replayed,omitempty"`
}

func newCallResponse(call string, answer program.Answer) callResponse {
	return callResponse{
		Call: call, Turn: answer.Turn, Output: answer.Output, Status: answer.Status,
		Tokens: answer.Tokens, Result: answer.Result, Replayed: answer.Replayed,
	}
}

// lookUpService returns a service that the workspace may call.
func (server *Server) lookUpService(workspace configuration.Workspace, name string) (configuration.Service, *refusal.Refusal) {
	service, ok := server.follower.Text().Service(name)
	if !ok || len(workspace.Services) > 0 && !slices.Contains(workspace.Services, name) {
		return service, refusal.New(refusal.UnknownService, "service %q does not exist for this workspace", name)
	}
	return service, nil
}

// callProgram handles a request to run the next call of a program.
func (server *Server) callProgram(ctx *gin.Context) {
	var request CallRequest
	if refused := server.readRequest(ctx, &request, false); refused != nil {
		server.writeError(ctx, refused)
		return
	}
	session := requestSession(ctx)
	service, refused := server.lookUpService(session.workspace, request.Service)
	if refused != nil {
		server.writeError(ctx, refused)
		return
	}
	if containsSecret(request.Input+request.ID, session) {
		server.writeError(ctx, refusal.New(refusal.BadRequest, "the input holds a key, which must not reach a target"))
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	server.forwardCall(ctx, forwarding.CallMessage{
		Program: ctx.Param("program"), Workspace: session.workspace.Name, Call: request.ID, Turn: request.Turn,
		Service: request.Service, Input: request.Input, MaxTokens: request.MaxTokens,
		TimeoutMillis: callTimeoutMillis(service, request.TimeoutMillis),
	}, request.Stream)
}

// callTimeoutMillis returns the requested timeout, or that of the service if the
// request has none.
func callTimeoutMillis(service configuration.Service, requested int64) int64 {
	if requested > 0 {
		return requested
	}
	return service.Timeout.Milliseconds()
}

// forwardCall forwards a call to the owner of its program, and writes the response as
// one JSON document or as a stream of events.
func (server *Server) forwardCall(ctx *gin.Context, message forwarding.CallMessage, stream bool) {
	started := server.clock.Now()
	var events *eventWriter
	onText := func(string) error { return nil }
	if stream {
		events = newEventWriter(ctx)
		onText = func(text string) error {
			if !events.started {
				server.metrics.ObserveLatency("first_text", server.clock.Now().Sub(started))
			}
			return events.send("delta", gin.H{"text": text})
		}
	}
	answer, err := server.router.Call(ctx.Request.Context(), message, onText)
	server.metrics.ObserveLatency("call", server.clock.Now().Sub(started))
	switch {
	case err != nil && events != nil && events.started:
		// The status has been sent, so the error is sent as the last event.
		_ = events.send("error", errorResponse{Error: newErrorDetail(server.recordRefusal(ctx, err))})
	case err != nil:
		server.writeError(ctx, err)
	case events != nil:
		// A write error is ignored because the caller can read the response from
		// the program's history.
		_ = events.send("done", newCallResponse(message.Call, answer))
	default:
		ctx.JSON(http.StatusOK, newCallResponse(message.Call, answer))
	}
}

// eventWriter writes server-sent events. It sends the HTTP header with the first event,
// so that an error before it can still be written with its own status.
type eventWriter struct {
	ctx        *gin.Context
	controller *http.ResponseController
	started    bool
}

// eventWriteTimeout is the longest time for which a slow caller may block a stream.
const eventWriteTimeout = 10 * time.Second

func newEventWriter(ctx *gin.Context) *eventWriter {
	return &eventWriter{ctx: ctx, controller: http.NewResponseController(ctx.Writer)}
}

func (writer *eventWriter) send(event string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode event %q: %w", event, err)
	}
	if !writer.started {
		writer.started = true
		writer.ctx.Header("Content-Type", "text/event-stream")
		writer.ctx.Header("Cache-Control", "no-store")
		writer.ctx.Status(http.StatusOK)
	}
	// The error is ignored because the response recorders of tests do not support
	// deadlines.
	_ = writer.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := fmt.Fprintf(writer.ctx.Writer, "event: %s\ndata: %s\n\n", event, data); err != nil {
		return err
	}
	writer.ctx.Writer.Flush()
	return nil
}

// implicitIdleLimit is the idle limit of a program that is created for a single call.
const implicitIdleLimit = 10 * time.Minute

// callService handles a call of a plain service outside a program. A call that is not
// repeatable runs in an implicit program, which records its outcome.
func (server *Server) callService(ctx *gin.Context) {
	session := requestSession(ctx)
	service, refused := server.lookUpService(session.workspace, ctx.Param("service"))
	if refused != nil {
		server.writeError(ctx, refused)
		return
	}
	input, refused := server.readPlainInput(ctx, service, session)
	if refused != nil {
		server.writeError(ctx, refused)
		return
	}
	if service.Repeatable {
		server.runOutsideProgram(ctx, service, session.workspace.Name, input)
		return
	}
	call := ctx.GetHeader("Idempotency-Key")
	dataCentre := server.settings.DataCentre
	if call == "" {
		call = strings.ToLower(rand.Text())
	} else {
		dataCentre = server.callDataCentre(session.workspace.Name, call)
	}
	if len(call) > maxCallIDBytes {
		server.writeError(ctx, refusal.New(refusal.BadRequest, "Idempotency-Key has %d bytes, expected at most %d", len(call), maxCallIDBytes))
		return
	}
	id := forwarding.ImplicitID(dataCentre, session.workspace.Name, call).String()
	server.forwardCall(ctx, forwarding.CallMessage{
		Program: id, Workspace: session.workspace.Name, Call: call, Service: service.Name, Input: input,
		TimeoutMillis: service.Timeout.Milliseconds(),
		Open: &ledger.Open{
			Root: id, Workspace: session.workspace.Name, Budget: service.Cost, Implicit: true,
			Limits: ledger.Limits{Idle: implicitIdleLimit},
		},
	}, false)
}

// callDataCentre returns the data centre that runs a call with an idempotency key.
// All hosts select the same one, so that a retry reaches the same program.
func (server *Server) callDataCentre(workspace, call string) string {
	var names []string
	for _, dataCentre := range server.follower.Text().DataCentres {
		names = append(names, dataCentre.Name)
	}
	if len(names) == 0 {
		return server.settings.DataCentre
	}
	return host.RankKey("idempotency", workspace+"\x00"+call, names)[0]
}

// readPlainInput reads and validates the body of a call of a plain service.
func (server *Server) readPlainInput(ctx *gin.Context, service configuration.Service, session *session) (string, *refusal.Refusal) {
	if service.Kind != configuration.KindPlain {
		return "", refusal.New(refusal.BadRequest, "service %q is an engine, which is called inside programs", service.Name)
	}
	body, refused := server.readBody(ctx)
	if refused != nil {
		return "", refused
	}
	if containsSecret(string(body)+ctx.GetHeader("Idempotency-Key"), session) {
		return "", refusal.New(refusal.BadRequest, "the input holds a key, which must not reach a target")
	}
	return string(body), nil
}

// callWithoutKey handles a call of an open service, which needs no key. It leaves
// calls of other services to the next handlers.
func (server *Server) callWithoutKey(ctx *gin.Context) {
	service, ok := server.follower.Text().Service(ctx.Param("service"))
	if !ok || !service.Open {
		return
	}
	defer ctx.Abort()
	input, refused := server.readPlainInput(ctx, service, nil)
	if refused != nil {
		server.writeError(ctx, refused)
		return
	}
	if !service.Repeatable {
		server.writeError(ctx, refusal.New(refusal.Unauthorized, "calls of service %q may not be repeated and need a key", service.Name))
		return
	}
	server.runOutsideProgram(ctx, service, "", input)
}

// runOutsideProgram runs a repeatable call without a program.
func (server *Server) runOutsideProgram(ctx *gin.Context, service configuration.Service, workspace, input string) {
	result := server.runner.Run(ctx.Request.Context(), program.Dispatch{
		Workspace: workspace, Call: strings.ToLower(rand.Text()), Service: service.Name, Kind: program.KindPlain,
		Repeatable: true, Input: input, Deadline: server.clock.Now().Add(service.Timeout),
	}, func(string) {})
	if result.Refusal != nil {
		server.writeError(ctx, result.Refusal)
		return
	}
	ctx.JSON(http.StatusOK, callResponse{
		Call: result.Call, Output: result.Output, Status: result.Status, Result: ledger.ResultRan,
	})
}
