package daemon

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/dispatch"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/owner"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Status is the state of a daemon, as shown to operators.
type Status struct {
	Host          string                  `json:"host"`
	DataCentre    string                  `json:"data_centre"`
	Incarnation   string                  `json:"incarnation"`
	Ready         bool                    `json:"ready"`
	Reasons       []string                `json:"reasons,omitempty"` // why the host is not ready
	Configuration StreamStatus            `json:"configuration"`
	Ledger        StreamStatus            `json:"ledger"`
	Slots         []int                   `json:"slots"`
	Pending       int                     `json:"pending"` // calls in flight or not yet committed
	Hosts         []HostStatus            `json:"hosts"`
	Targets       []dispatch.TargetStatus `json:"targets"`
}

// StreamStatus is the position and age of the daemon's view of a stream. A negative age
// means that the stream has never been read to its end.
type StreamStatus struct {
	Version   uint64 `json:"version,omitempty"`
	Next      int64  `json:"next"`
	AgeMillis int64  `json:"age_ms"`
}

// HostStatus is the state of another host, as known to this host.
type HostStatus struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
	Version    uint64 `json:"version"`
}

func ageMillis(age time.Duration, ok bool) int64 {
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// notReadyReasons returns the reasons why the host does not serve callers yet. It
// returns none if the host is ready.
func notReadyReasons(follower *configuration.Follower, owner *owner.Owner) []string {
	var reasons []string
	if _, ok := follower.Age(); !ok {
		reasons = append(reasons, "the configuration stream was not read yet, neither from the log nor from a peer")
	}
	if follower.Text().DataCentres == nil {
		reasons = append(reasons, "no configuration is in force")
	}
	if !owner.CaughtUp() {
		reasons = append(reasons, "the ledger was not read yet")
	}
	return reasons
}

// Status returns the state of the daemon.
func (daemon *Daemon) Status() Status {
	status := Status{
		Host: daemon.self.Name, DataCentre: daemon.self.DataCentre, Incarnation: daemon.self.Incarnation,
		Reasons: notReadyReasons(daemon.follower, daemon.owner), Slots: []int{}, Hosts: []HostStatus{}, Targets: daemon.queueServer.Status(),
		Pending: daemon.owner.Pending(),
	}
	status.Ready = len(status.Reasons) == 0
	status.Configuration.AgeMillis = ageMillis(daemon.follower.Age())
	daemon.follower.View(func(state *configuration.State) {
		status.Configuration.Version = state.Version()
		status.Configuration.Next = state.Next()
	})
	status.Ledger = StreamStatus{Next: daemon.owner.LedgerNext(), AgeMillis: ageMillis(daemon.owner.LedgerAge())}
	for slot, ownership := range daemon.owner.Owners() {
		if ownership.Owner.Host == daemon.self.Name && ownership.Owner.Incarnation == daemon.self.Incarnation {
			status.Slots = append(status.Slots, slot)
		}
	}
	daemon.heartbeater.View(func(membership *host.Membership, now time.Time) {
		for _, member := range membership.All() {
			status.Hosts = append(status.Hosts, hostStatus(membership, member, now))
		}
	})
	return status
}

func hostStatus(membership *host.Membership, member *host.Member, now time.Time) HostStatus {
	heartbeat := member.Heartbeat()
	state := "silent"
	switch {
	case heartbeat.Leaving:
		state = "leaving"
	case membership.Alive(now, heartbeat.Name, heartbeat.Incarnation):
		state = "live"
	case member.LastSeen().IsZero():
		state = "listed"
	}
	return HostStatus{
		Host: heartbeat.Name, DataCentre: heartbeat.DataCentre, Address: heartbeat.Address,
		State: state, Version: heartbeat.Version,
	}
}

// operatorHandler serves metrics, health and status.
func (daemon *Daemon) operatorHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET("/metrics", gin.WrapH(daemon.metrics.Handler()))
	router.GET("/healthz", func(ctx *gin.Context) { ctx.JSON(http.StatusOK, gin.H{"healthy": true}) })
	router.GET("/status", func(ctx *gin.Context) { ctx.JSON(http.StatusOK, daemon.Status()) })
	router.GET("/programs/:program", daemon.handleProgram)
	return router
}

// ProgramStatus is the state of a program, as shown to operators. It contains no
// inputs or outputs.
type ProgramStatus struct {
	Program   string `json:"program"`
	Workspace string `json:"workspace"`
	Root      string `json:"root"`
	Owner     string `json:"owner"`
	Epoch     uint64 `json:"epoch"`
	Turns     int    `json:"turns"`
	Budget    int64  `json:"budget"`
	Spent     int64  `json:"spent"`
	Forfeited int64  `json:"forfeited"`
	Running   bool   `json:"running"`
	Ended     string `json:"ended,omitempty"`
}

func (daemon *Daemon) handleProgram(ctx *gin.Context) {
	view, err := daemon.router.Inspect(ctx, ctx.Param("program"))
	if err != nil {
		ctx.JSON(http.StatusNotFound, gin.H{"error": refusal.From(err).Message})
		return
	}
	ctx.JSON(http.StatusOK, ProgramStatus{
		Program: view.Program, Workspace: view.Workspace, Root: view.Root, Owner: view.Owner, Epoch: view.Epoch,
		Turns: view.Turns, Budget: view.Budget, Spent: view.Spent, Forfeited: view.Forfeited,
		Running: view.Running, Ended: string(view.Ended),
	})
}
