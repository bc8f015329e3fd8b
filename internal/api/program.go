package api

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/godwitspread/godwitspread/internal/forwarding"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// openProgram starts a program in the data centre of this host, or a sub-agent in the
// data centre and slot of its parent.
func (server *Server) openProgram(ctx *gin.Context) {
	var request OpenRequest
	if refused := server.readRequest(ctx, &request, true); refused != nil {
		server.writeError(ctx, refused)
		return
	}
	if dataCentre, ok := server.follower.Text().DataCentre(server.settings.DataCentre); !ok || dataCentre.Closed {
		server.writeError(ctx, refusal.New(refusal.NotReady, "data centre %q opens no programs", server.settings.DataCentre))
		return
	}
	session := requestSession(ctx)
	id := forwarding.NewID(server.settings.DataCentre)
	open := server.newOpen(session, request)
	open.Root = id.String()
	if request.Parent != "" {
		parent, err := forwarding.ParseID(request.Parent)
		if err != nil {
			server.writeError(ctx, refusal.New(refusal.NotFound, "program %q does not exist", request.Parent))
			return
		}
		id = forwarding.NewChildID(parent)
		open.Root, open.Budget = request.Parent, 0
	}
	if err := server.router.Open(ctx.Request.Context(), id, open); err != nil {
		server.writeError(ctx, err)
		return
	}
	ctx.JSON(http.StatusCreated, gin.H{"program": id.String(), "budget": open.Budget})
}

// newOpen returns the parameters of a new program, with the limits of its workspace
// lowered to those of the request.
func (server *Server) newOpen(session *session, request OpenRequest) ledger.Open {
	limits := session.workspace.Limits
	return ledger.Open{
		Workspace: session.workspace.Name,
		Budget:    lowerLimit(limits.Tokens, request.Budget),
		Limits: ledger.Limits{
			Turns: lowerLimit(limits.Turns, request.Limits.Turns),
			Time:  lowerLimit(limits.Time, time.Duration(request.Limits.TimeMillis)*time.Millisecond),
			Idle:  lowerLimit(limits.Idle, time.Duration(request.Limits.IdleMillis)*time.Millisecond),
		},
	}
}

// lowerLimit returns the lower of a limit and a requested limit. A requested limit of
// zero means that there is none.
func lowerLimit[T int | int64 | time.Duration](limit, requested T) T {
	if requested == 0 {
		return limit
	}
	return min(limit, requested)
}

// programResponse is the JSON form of the state of a program.
type programResponse struct {
	Program   string           `json:"program"`
	Parent    string           `json:"parent,omitempty"`
	Turns     int              `json:"turns"`
	Budget    int64            `json:"budget"`
	Spent     int64            `json:"spent"`
	Forfeited int64            `json:"forfeited,omitempty"`
	Running   bool             `json:"running"`
	Ended     ledger.EndReason `json:"ended,omitempty"`
}

// turnResponse is the JSON form of one turn of a program's history.
type turnResponse struct {
	Turn    int           `json:"turn"`
	Call    string        `json:"call"`
	Service string        `json:"service"`
	Input   string        `json:"input"`
	Output  string        `json:"output"`
	Status  int           `json:"status,omitempty"`
	Result  ledger.Result `json:"result"`
	Tokens  int           `json:"tokens"`
}

func newProgramResponse(view *program.View) programResponse {
	response := programResponse{
		Program: view.Program, Turns: view.Turns, Budget: view.Budget, Spent: view.Spent,
		Forfeited: view.Forfeited, Running: view.Running, Ended: view.Ended,
	}
	if view.Root != view.Program {
		response.Parent = view.Root
	}
	return response
}

func newTurnResponse(entry ledger.Entry) turnResponse {
	return turnResponse{
		Turn: entry.Number, Call: entry.Call, Service: entry.Service, Input: entry.Input,
		Output: entry.Output, Status: entry.Status, Result: entry.Result, Tokens: entry.Tokens,
	}
}

// queryProgram returns the state of the requested program. If it fails, it writes the
// error and returns false.
func (server *Server) queryProgram(ctx *gin.Context) (*program.View, bool) {
	view, err := server.router.Query(ctx.Request.Context(), ctx.Param("program"), requestSession(ctx).workspace.Name)
	if err != nil {
		server.writeError(ctx, err)
		return nil, false
	}
	return view, true
}

func (server *Server) showProgram(ctx *gin.Context) {
	if view, ok := server.queryProgram(ctx); ok {
		ctx.JSON(http.StatusOK, newProgramResponse(view))
	}
}

func (server *Server) showHistory(ctx *gin.Context) {
	view, ok := server.queryProgram(ctx)
	if !ok {
		return
	}
	turns := make([]turnResponse, 0, len(view.Entries))
	for _, entry := range view.Entries {
		turns = append(turns, newTurnResponse(entry))
	}
	ctx.JSON(http.StatusOK, gin.H{"program": view.Program, "turns": turns})
}

// showCall returns the turn of an earlier call.
func (server *Server) showCall(ctx *gin.Context) {
	view, ok := server.queryProgram(ctx)
	if !ok {
		return
	}
	for _, entry := range view.Entries {
		if entry.Call == ctx.Param("call") {
			ctx.JSON(http.StatusOK, newTurnResponse(entry))
			return
		}
	}
	server.writeError(ctx, refusal.New(refusal.NotFound, "call %q is not in the program's history", ctx.Param("call")))
}

func (server *Server) endProgram(ctx *gin.Context) {
	if err := server.router.End(ctx.Request.Context(), ctx.Param("program"), requestSession(ctx).workspace.Name); err != nil {
		server.writeError(ctx, err)
		return
	}
	ctx.JSON(http.StatusOK, gin.H{"program": ctx.Param("program"), "ended": true})
}
