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
	"github.com/godwitspread/godwitspread/internal/entry"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// answerBody is the answer to a call.
type answerBody struct {
	Call     string        `json:"call"`
	Turn     int           `json:"turn,omitempty"`
	Output   string        `json:"output"`
	Status   int           `json:"status,omitempty"`
	Tokens   int64         `json:"tokens"`
	Result   ledger.Result `json:"result"`
	Replayed bool          `json:"replayed,omitempty"`
}

func answerOf(call string, answer program.Answer) answerBody {
	return answerBody{
		Call: call, Turn: answer.Turn, Output: answer.Output, Status: answer.Status,
		Tokens: answer.Tokens, Result: answer.Result, Replayed: answer.Replayed,
	}
}

// allowed finds a service that the workspace may call.
func (server *Server) allowed(workspace configuration.Workspace, name string) (configuration.Service, *refusal.Refusal) {
	service, ok := server.follower.Text().Service(name)
	if !ok || len(workspace.Services) > 0 && !slices.Contains(workspace.Services, name) {
		return service, refusal.New(refusal.UnknownService, "service %q does not exist for this workspace", name)
	}
	return service, nil
}

// callProgram runs the next call of a program.
func (server *Server) callProgram(ctx *gin.Context) {
	var request CallRequest
	if refused := server.readRequest(ctx, &request, false); refused != nil {
		server.fail(ctx, refused)
		return
	}
	session := sessionOf(ctx)
	service, refused := server.allowed(session.workspace, request.Service)
	if refused != nil {
		server.fail(ctx, refused)
		return
	}
	if secretIn(request.Input+request.ID, session) {
		server.fail(ctx, refusal.New(refusal.BadRequest, "the input holds a key, which must not reach a target"))
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	server.respond(ctx, entry.CallMessage{
		Program: ctx.Param("program"), Workspace: session.workspace.Name, Call: request.ID, Turn: request.Turn,
		Service: request.Service, Input: request.Input, MaxTokens: request.MaxTokens,
		TimeoutMillis: timeoutOf(service, request.TimeoutMillis),
	}, request.Stream)
}

func timeoutOf(service configuration.Service, wish int64) int64 {
	if wish > 0 {
		return wish
	}
	return service.Timeout.Milliseconds()
}

// respond runs a call and writes its answer, whole or as a stream of events.
func (server *Server) respond(ctx *gin.Context, message entry.CallMessage, stream bool) {
	started := server.clock.Now()
	var events *eventWriter
	each := func(string) error { return nil }
	if stream {
		events = newEventWriter(ctx)
		each = func(text string) error {
			if !events.started {
				server.metrics.Latency("first_text", server.clock.Now().Sub(started))
			}
			return events.send("delta", gin.H{"text": text})
		}
	}
	answer, err := server.router.Call(ctx.Request.Context(), message, each)
	server.metrics.Latency("call", server.clock.Now().Sub(started))
	switch {
	case err != nil && events != nil && events.started:
		// The stream has begun, so the error is its last event.
		_ = events.send("error", errorBody{Error: detailOf(server.refusalOf(ctx, err))})
	case err != nil:
		server.fail(ctx, err)
	case events != nil:
		// The caller may have gone; the answer is in its history.
		_ = events.send("done", answerOf(message.Call, answer))
	default:
		ctx.JSON(http.StatusOK, answerOf(message.Call, answer))
	}
}

// eventWriter writes server-sent events.
type eventWriter struct {
	ctx        *gin.Context
	controller *http.ResponseController
	started    bool
}

// eventTimeout bounds the time that a slow caller may hold up a stream.
const eventTimeout = 10 * time.Second

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
	// Recorders in tests know no deadlines.
	_ = writer.controller.SetWriteDeadline(time.Now().Add(eventTimeout))
	if _, err := fmt.Fprintf(writer.ctx.Writer, "event: %s\ndata: %s\n\n", event, data); err != nil {
		return err
	}
	writer.ctx.Writer.Flush()
	return nil
}

// implicitIdle bounds the life of a program that stands for a single call.
const implicitIdle = 10 * time.Minute

// callService calls a plain service outside a program.
func (server *Server) callService(ctx *gin.Context) {
	session := sessionOf(ctx)
	service, refused := server.allowed(session.workspace, ctx.Param("service"))
	if refused != nil {
		server.fail(ctx, refused)
		return
	}
	input, refused := server.plainInput(ctx, service, session)
	if refused != nil {
		server.fail(ctx, refused)
		return
	}
	if service.Repeatable {
		server.runDirect(ctx, service, session.workspace.Name, input)
		return
	}
	call := ctx.GetHeader("Idempotency-Key")
	home := server.settings.DataCentre
	if call == "" {
		call = strings.ToLower(rand.Text())
	} else {
		home = server.homeOf(session.workspace.Name, call)
	}
	if len(call) > maxCallID {
		server.fail(ctx, refusal.New(refusal.BadRequest, "Idempotency-Key has %d bytes, expected at most %d", len(call), maxCallID))
		return
	}
	id := entry.ImplicitID(home, session.workspace.Name, call).String()
	server.respond(ctx, entry.CallMessage{
		Program: id, Workspace: session.workspace.Name, Call: call, Service: service.Name, Input: input,
		TimeoutMillis: service.Timeout.Milliseconds(),
		Open: &ledger.Open{
			Root: id, Workspace: session.workspace.Name, Budget: service.Cost, Implicit: true,
			Limits: ledger.Limits{Idle: implicitIdle},
		},
	}, false)
}

// homeOf picks the data centre that decides on a call by its idempotency key,
// the same wherever the call is sent again.
func (server *Server) homeOf(workspace, call string) string {
	var names []string
	for _, place := range server.follower.Text().DataCentres {
		names = append(names, place.Name)
	}
	if len(names) == 0 {
		return server.settings.DataCentre
	}
	return host.RankKey("idempotency", workspace+"\x00"+call, names)[0]
}

// plainInput reads and checks the body of a call to a plain service.
func (server *Server) plainInput(ctx *gin.Context, service configuration.Service, session *session) (string, *refusal.Refusal) {
	if service.Kind != configuration.KindPlain {
		return "", refusal.New(refusal.BadRequest, "service %q is an engine, which is called inside programs", service.Name)
	}
	body, refused := server.readBody(ctx)
	if refused != nil {
		return "", refused
	}
	if secretIn(string(body)+ctx.GetHeader("Idempotency-Key"), session) {
		return "", refusal.New(refusal.BadRequest, "the input holds a key, which must not reach a target")
	}
	return string(body), nil
}

// callOpen serves a route that needs no key and leaves the others to the
// handlers after it.
func (server *Server) callOpen(ctx *gin.Context) {
	service, ok := server.follower.Text().Service(ctx.Param("service"))
	if !ok || !service.Open {
		return
	}
	defer ctx.Abort()
	input, refused := server.plainInput(ctx, service, nil)
	if refused != nil {
		server.fail(ctx, refused)
		return
	}
	if !service.Repeatable {
		server.fail(ctx, refusal.New(refusal.Unauthorized, "calls of service %q may not be repeated and need a key", service.Name))
		return
	}
	server.runDirect(ctx, service, "", input)
}

// runDirect runs a repeatable call without a program.
func (server *Server) runDirect(ctx *gin.Context, service configuration.Service, workspace, input string) {
	answered := server.runner.Run(ctx.Request.Context(), program.Dispatch{
		Workspace: workspace, Call: strings.ToLower(rand.Text()), Service: service.Name, Kind: program.KindPlain,
		Repeatable: true, Input: input, Deadline: server.clock.Now().Add(service.Timeout),
	}, func(string) {})
	if answered.Refusal != nil {
		server.fail(ctx, answered.Refusal)
		return
	}
	ctx.JSON(http.StatusOK, answerBody{
		Call: answered.Call, Output: answered.Output, Status: answered.Status, Result: ledger.ResultRan,
	})
}
