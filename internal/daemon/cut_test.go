package daemon

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/standin"
	"github.com/godwitspread/godwitspread/pkg/client"
)

// cutPlatform passes requests on to the platform until it is cut.
func cutPlatform(t *testing.T, target string) (*httptest.Server, *atomic.Bool) {
	t.Helper()
	var cut atomic.Bool
	proxy := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if cut.Load() {
			drop(writer)
			return
		}
		forward, err := http.NewRequestWithContext(request.Context(), request.Method, target+request.URL.RequestURI(), request.Body)
		if err != nil {
			drop(writer)
			return
		}
		response, err := http.DefaultClient.Do(forward)
		if err != nil || cut.Load() {
			drop(writer)
			return
		}
		defer response.Body.Close()
		writer.WriteHeader(response.StatusCode)
		// The host asks again if this fails.
		_, _ = io.Copy(writer, response.Body)
	}))
	t.Cleanup(func() { proxy.CloseClientConnections(); proxy.Close() })
	return proxy, &cut
}

func drop(writer http.ResponseWriter) {
	if socket, _, err := http.NewResponseController(writer).Hijack(); err == nil {
		socket.Close()
	}
}

// TestHostCutFromPlatform cuts one host off from the platform. It follows the
// configuration and the withdrawals through its neighbours, and its programs
// go on.
func TestHostCutFromPlatform(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a")
	proxy, cut := cutPlatform(t, cluster.server.URL)
	direct := cluster.server.URL
	cluster.server.URL = proxy.URL
	lonely := cluster.start("a")
	cluster.server.URL = direct
	cluster.waitReady()
	cut.Store(true)
	cluster.eventually("the host notices", func() bool {
		age, ok := lonely.daemon.owner.LedgerAge()
		return ok && age > 4*time.Second
	})
	council := cluster.client("council", lonely)
	id := mustOpen(t, cluster.client("council", cluster.nodes[0]), client.OpenOptions{})
	_, err := council.Do(ctx, id, draft("1", "through the lonely host"))
	is.NoErr(err)
	cluster.publish(configuration.Record{ID: rand.Text(), Withdraw: &configuration.Withdraw{Key: cluster.keys["council"]}})
	cluster.eventually("the withdrawal arrives through a neighbour", func() bool {
		_, err := council.Program(ctx, id)
		code, _ := codeOf(err)
		return code == "unauthorized"
	})
	_, err = cluster.client("temple", lonely).Open(ctx, client.OpenOptions{})
	code, run := codeOf(err)
	is.True(err == nil || run == client.NotRun && code != "unauthorized") // other keys are still good there
}

// TestDataCentreCutFromPlatform cuts a whole data centre off from the platform.
// Its programs go on with what may be repeated, and everything else is refused
// as not run; the other data centre is not affected.
func TestDataCentreCutFromPlatform(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a")
	proxy, cut := cutPlatform(t, cluster.server.URL)
	direct := cluster.server.URL
	cluster.server.URL = proxy.URL
	lonely := []*node{cluster.start("b"), cluster.start("b")}
	cluster.server.URL = direct
	cluster.waitReady()
	far, near := cluster.client("council", lonely...), cluster.client("council", cluster.nodes[0])
	id := mustOpen(t, far, client.OpenOptions{})
	_, err := far.Do(ctx, id, draft("before", "before"))
	is.NoErr(err)
	cut.Store(true)
	cluster.eventually("the hosts notice", func() bool {
		age, ok := lonely[0].daemon.owner.LedgerAge()
		return ok && age > 3*time.Second
	})
	_, err = far.Do(ctx, id, draft("during", "during"))
	is.NoErr(err) // answered from the memory of the second host, counted under witnesses
	_, err = far.Do(ctx, id, client.Call{ID: "f", Service: "filing", Input: "{}", Timeout: time.Second})
	_, run := codeOf(err)
	is.Equal(run, client.NotRun)
	_, err = far.Open(ctx, client.OpenOptions{})
	is.True(err != nil) // a new program cannot be agreed there
	other := mustOpen(t, near, client.OpenOptions{})
	_, err = near.Do(ctx, other, client.Call{ID: "f", Service: "filing", Input: "{}", Timeout: 20 * time.Second})
	is.NoErr(err)
	cut.Store(false)
	_, err = far.Do(ctx, id, client.Call{ID: "g", Service: "filing", Input: "{}", Timeout: 30 * time.Second})
	is.NoErr(err)
	turns, err := far.History(ctx, id)
	is.NoErr(err)
	is.Equal(len(turns), 3)
	checkHistory(is, turns)
	is.Equal(cluster.filing.Runs()[id+"/f"], 0)
	is.Equal(cluster.filing.Runs()[id+"/g"], 1)
}

// TestStartWithoutLog starts a host while the log is away. It learns the
// configuration from its neighbours.
func TestStartWithoutLog(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, "a", "a")
	cluster.log.SetFaults(standin.LogFaults{Outage: true})
	late := cluster.start("a")
	cluster.eventually("the text arrives through a neighbour", func() bool {
		return late.daemon.Status().Configuration.Version == 1
	})
	cluster.eventually("only the ledger is missing", func() bool { return len(late.daemon.Status().Reasons) == 1 })
	is.Equal(late.daemon.Status().Reasons[0], "the ledger was not read yet") // unready, and says why
	cluster.log.SetFaults(standin.LogFaults{})
	cluster.waitReady()
}

// TestWithdrawalTravelTime checks in virtual time that a host without the log
// takes over a withdrawal with the next heartbeat.
func TestWithdrawalTravelTime(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	log := standin.NewLog(clock, func() float64 { return 1 }, 0, 1000)
	near, far := configuration.NewFollower(clock, metric.Discard(), log), configuration.NewFollower(clock, metric.Discard(), log)
	withdraw, err := configuration.Record{ID: "1", Withdraw: &configuration.Withdraw{Key: "k"}}.Encode()
	is.NoErr(err)
	_, err = log.Append(context.Background(), platform.ConfigurationStream, withdraw)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go near.Run(ctx)
	for {
		if _, ok := near.Age(); ok {
			break
		}
		time.Sleep(time.Millisecond)
	}
	var next int64
	near.View(func(state *configuration.State) { next = state.Next() })
	age, ok := near.Age()
	is.True(ok)
	is.True(far.Heard(next, age, true, clock.Now())) // one heartbeat tells that there is news
	far.Pull(func() (configuration.Snapshot, error) {
		var snapshot configuration.Snapshot
		near.View(func(state *configuration.State) { snapshot = state.Snapshot() })
		return snapshot, nil
	})
	is.True(!far.Heard(next, age, true, clock.Now())) // and the view is as fresh as the peer's
	farAge, ok := far.Age()
	is.True(ok)
	is.Equal(farAge, age)
	far.View(func(state *configuration.State) { is.Equal(state.Snapshot().Withdrawn, []string{"k"}) })
}
