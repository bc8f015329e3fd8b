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

// newPlatformProxy returns a proxy of the platform, and a flag that makes it close every
// connection, as in a network partition.
func newPlatformProxy(t *testing.T, platformURL string) (*httptest.Server, *atomic.Bool) {
	t.Helper()
	var partitioned atomic.Bool
	proxy := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if partitioned.Load() {
			closeConnection(writer)
			return
		}
		forward, err := http.NewRequestWithContext(request.Context(), request.Method, platformURL+request.URL.RequestURI(), request.Body)
		if err != nil {
			closeConnection(writer)
			return
		}
		response, err := http.DefaultClient.Do(forward)
		if err != nil || partitioned.Load() {
			closeConnection(writer)
			return
		}
		defer response.Body.Close()
		writer.WriteHeader(response.StatusCode)
		// The host retries the request if this fails.
		_, _ = io.Copy(writer, response.Body)
	}))
	t.Cleanup(func() { proxy.CloseClientConnections(); proxy.Close() })
	return proxy, &partitioned
}

func closeConnection(writer http.ResponseWriter) {
	if socket, _, err := http.NewResponseController(writer).Hijack(); err == nil {
		socket.Close()
	}
}

// TestHostIsolatedFromPlatform guards against a host that serves an outdated
// configuration or withdrawn keys because a network partition separates it from the
// platform. The host must receive the configuration and withdrawals from other hosts,
// and still serve programs.
func TestHostIsolatedFromPlatform(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a")
	proxy, partitioned := newPlatformProxy(t, cluster.server.URL)
	directURL := cluster.server.URL
	cluster.server.URL = proxy.URL
	isolated := cluster.start("a")
	cluster.server.URL = directURL
	cluster.waitReady()
	partitioned.Store(true)
	cluster.eventually("the ledger of the isolated host is stale", func() bool {
		age, ok := isolated.daemon.owner.LedgerAge()
		return ok && age > 4*time.Second
	})
	council := cluster.client("council", isolated)
	id := mustOpen(t, cluster.client("council", cluster.nodes[0]), client.OpenOptions{})
	_, err := council.Do(ctx, id, draftCall("1", "through the isolated host"))
	is.NoErr(err)
	cluster.publish(configuration.Record{ID: rand.Text(), Withdraw: &configuration.Withdraw{Key: cluster.keys["council"]}})
	cluster.eventually("the withdrawal arrives through another host", func() bool {
		_, err := council.Program(ctx, id)
		code, _ := refusalOf(err)
		return code == "unauthorized"
	})
	_, err = cluster.client("temple", isolated).Open(ctx, client.OpenOptions{})
	code, run := refusalOf(err)
	is.True(err == nil || run == client.NotRun && code != "unauthorized") // other keys are still valid on the isolated host
}

// TestDataCentreIsolatedFromPlatform guards against calls that run twice or are lost
// when a network partition separates a data centre from the platform. Repeatable calls
// must still run there, all others must be refused as not run, and the other data centre
// must not be affected.
func TestDataCentreIsolatedFromPlatform(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a")
	proxy, partitioned := newPlatformProxy(t, cluster.server.URL)
	directURL := cluster.server.URL
	cluster.server.URL = proxy.URL
	isolated := []*node{cluster.start("b"), cluster.start("b")}
	cluster.server.URL = directURL
	cluster.waitReady()
	isolatedClient, connectedClient := cluster.client("council", isolated...), cluster.client("council", cluster.nodes[0])
	id := mustOpen(t, isolatedClient, client.OpenOptions{})
	_, err := isolatedClient.Do(ctx, id, draftCall("before", "before"))
	is.NoErr(err)
	partitioned.Store(true)
	cluster.eventually("the ledger of the first isolated host is stale", func() bool {
		age, ok := isolated[0].daemon.owner.LedgerAge()
		return ok && age > 3*time.Second
	})
	_, err = isolatedClient.Do(ctx, id, draftCall("during", "during"))
	is.NoErr(err) // the call needs only a replica on the second host, and witnesses renew the leases of the rate limits' coordinators
	_, err = isolatedClient.Do(ctx, id, client.Call{ID: "f", Service: "filing", Input: "{}", Timeout: time.Second})
	_, run := refusalOf(err)
	is.Equal(run, client.NotRun)
	_, err = isolatedClient.Open(ctx, client.OpenOptions{})
	is.True(err != nil) // opening a program requires the log
	other := mustOpen(t, connectedClient, client.OpenOptions{})
	_, err = connectedClient.Do(ctx, other, client.Call{ID: "f", Service: "filing", Input: "{}", Timeout: 20 * time.Second})
	is.NoErr(err)
	partitioned.Store(false)
	_, err = isolatedClient.Do(ctx, id, client.Call{ID: "g", Service: "filing", Input: "{}", Timeout: 30 * time.Second})
	is.NoErr(err)
	turns, err := isolatedClient.History(ctx, id)
	is.NoErr(err)
	is.Equal(len(turns), 3)
	checkHistory(is, turns)
	is.Equal(cluster.filing.Runs()[id+"/f"], 0)
	is.Equal(cluster.filing.Runs()[id+"/g"], 1)
}

// TestStartWithoutLog guards against a host that starts during an outage of the log and
// waits for it to load the configuration, or reports that it is ready without the ledger.
// The host must get the configuration from other hosts.
func TestStartWithoutLog(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, "a", "a")
	cluster.log.SetFaults(standin.LogFaults{Outage: true})
	newNode := cluster.start("a")
	cluster.eventually("the configuration arrives from another host", func() bool {
		return newNode.daemon.Status().Configuration.Version == 1
	})
	cluster.eventually("the ledger is the only reason not to be ready", func() bool { return len(newNode.daemon.Status().Reasons) == 1 })
	is.Equal(newNode.daemon.Status().Reasons[0], "the ledger was not read yet") // the status names the reason
	cluster.log.SetFaults(standin.LogFaults{})
	cluster.waitReady()
}

// TestWithdrawalPropagation guards against a host that cannot read the log and needs more
// than one heartbeat to learn of a withdrawal. It uses a fake clock.
func TestWithdrawalPropagation(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	log := standin.NewLog(clock, func() float64 { return 1 }, 0, 1000)
	connected, isolated := configuration.NewFollower(clock, metric.Discard(), log), configuration.NewFollower(clock, metric.Discard(), log)
	withdraw, err := configuration.Record{ID: "1", Withdraw: &configuration.Withdraw{Key: "k"}}.Encode()
	is.NoErr(err)
	_, err = log.Append(context.Background(), platform.ConfigurationStream, withdraw)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go connected.Run(ctx)
	for {
		if _, ok := connected.Age(); ok {
			break
		}
		time.Sleep(time.Millisecond)
	}
	var next int64
	connected.View(func(state *configuration.State) { next = state.Next() })
	age, ok := connected.Age()
	is.True(ok)
	is.True(isolated.ObservePeer(next, age, true, clock.Now())) // one heartbeat reveals that the peer has newer records
	isolated.Pull(func() (configuration.Snapshot, error) {
		var snapshot configuration.Snapshot
		connected.View(func(state *configuration.State) { snapshot = state.Snapshot() })
		return snapshot, nil
	})
	is.True(!isolated.ObservePeer(next, age, true, clock.Now())) // the view is as fresh as the peer's
	isolatedAge, ok := isolated.Age()
	is.True(ok)
	is.Equal(isolatedAge, age)
	isolated.View(func(state *configuration.State) { is.Equal(state.Snapshot().Withdrawn, []string{"k"}) })
}
