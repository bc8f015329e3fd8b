package api

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/godwitspread/godwitspread/internal/entry"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// openProgram starts a program in the data centre of this host, a sub-agent in
// the slot of its parent.
func (server *Server) openProgram(ctx *gin.Context) {
	var request OpenRequest
	if refused := server.readRequest(ctx, &request, true); refused != nil {
		server.fail(ctx, refused)
		return
	}
	if place, ok := server.follower.Text().DataCentre(server.settings.DataCentre); !ok || place.Closed {
		server.fail(ctx, refusal.New(refusal.NotReady, "data centre %q opens no programs", server.settings.DataCentre))
		return
	}
	session := sessionOf(ctx)
	id := entry.NewID(server.settings.DataCentre)
	open := server.terms(session, request)
	open.Root = id.String()
	if request.Parent != "" {
		parent, err := entry.ParseID(request.Parent)
		if err != nil {
			server.fail(ctx, refusal.New(refusal.NotFound, "program %q does not exist", request.Parent))
			return
		}
		id = entry.NewChildID(parent)
		open.Root, open.Budget = request.Parent, 0
	}
	if err := server.router.Open(ctx.Request.Context(), id, open); err != nil {
		server.fail(ctx, err)
		return
	}
	ctx.JSON(http.StatusCreated, gin.H{"program": id.String(), "budget": open.Budget})
}

// terms narrows the limits of a workspace by those of a request.
func (server *Server) terms(session *session, request OpenRequest) ledger.Open {
	limits := session.workspace.Limits
	return ledger.Open{
		Workspace: session.workspace.Name,
		Budget:    narrower(limits.Tokens, request.Budget),
		Limits: ledger.Limits{
			Turns: narrower(limits.Turns, request.Limits.Turns),
			Time:  narrower(limits.Time, time.Duration(request.Limits.TimeMillis)*time.Millisecond),
			Idle:  narrower(limits.Idle, time.Duration(request.Limits.IdleMillis)*time.Millisecond),
		},
	}
}

// narrower returns the smaller of a limit and a wish, where zero is no wish.
func narrower[T int | int64 | time.Duration](limit, wish T) T {
	if wish == 0 {
		return limit
	}
	return min(limit, wish)
}

// programBody is the state of a program as its workspace sees it.
type programBody struct {
	Program   string           `json:"program"`
	Parent    string           `json:"parent,omitempty"`
	Turns     int              `json:"turns"`
	Budget    int64            `json:"budget"`
	Spent     int64            `json:"spent"`
	Forfeited int64            `json:"forfeited,omitempty"`
	Running   bool             `json:"running"`
	Ended     ledger.EndReason `json:"ended,omitempty"`
}

// turnBody is one turn of a history.
type turnBody struct {
	Turn    int           `json:"turn"`
	Call    string        `json:"call"`
	Service string        `json:"service"`
	Input   string        `json:"input"`
	Output  string        `json:"output"`
	Status  int           `json:"status,omitempty"`
	Result  ledger.Result `json:"result"`
	Tokens  int           `json:"tokens"`
}

func bodyOf(view *program.View) programBody {
	body := programBody{
		Program: view.Program, Turns: view.Turns, Budget: view.Budget, Spent: view.Spent,
		Forfeited: view.Forfeited, Running: view.Running, Ended: view.Ended,
	}
	if view.Root != view.Program {
		body.Parent = view.Root
	}
	return body
}

func turnOf(entry ledger.Entry) turnBody {
	return turnBody{
		Turn: entry.Number, Call: entry.Call, Service: entry.Service, Input: entry.Input,
		Output: entry.Output, Status: entry.Status, Result: entry.Result, Tokens: entry.Tokens,
	}
}

// query fetches the program of a request, or fails it.
func (server *Server) query(ctx *gin.Context) (*program.View, bool) {
	view, err := server.router.Query(ctx.Request.Context(), ctx.Param("program"), sessionOf(ctx).workspace.Name)
	if err != nil {
		server.fail(ctx, err)
		return nil, false
	}
	return view, true
}

func (server *Server) showProgram(ctx *gin.Context) {
	if view, ok := server.query(ctx); ok {
		ctx.JSON(http.StatusOK, bodyOf(view))
	}
}

func (server *Server) showHistory(ctx *gin.Context) {
	view, ok := server.query(ctx)
	if !ok {
		return
	}
	turns := make([]turnBody, 0, len(view.Entries))
	for _, entry := range view.Entries {
		turns = append(turns, turnOf(entry))
	}
	ctx.JSON(http.StatusOK, gin.H{"program": view.Program, "turns": turns})
}

// showCall fetches the answer of an earlier call again.
func (server *Server) showCall(ctx *gin.Context) {
	view, ok := server.query(ctx)
	if !ok {
		return
	}
	for _, entry := range view.Entries {
		if entry.Call == ctx.Param("call") {
			ctx.JSON(http.StatusOK, turnOf(entry))
			return
		}
	}
	server.fail(ctx, refusal.New(refusal.NotFound, "call %q is not in the program's history", ctx.Param("call")))
}

func (server *Server) endProgram(ctx *gin.Context) {
	if err := server.router.End(ctx.Request.Context(), ctx.Param("program"), sessionOf(ctx).workspace.Name); err != nil {
		server.fail(ctx, err)
		return
	}
	ctx.JSON(http.StatusOK, gin.H{"program": ctx.Param("program"), "ended": true})
}
