package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/standin"
	"github.com/godwitspread/godwitspread/pkg/client"
)

// refusalOf returns the code of a refusal and whether the call has run.
func refusalOf(err error) (string, client.Run) {
	var refused *client.Error
	if errors.As(err, &refused) {
		return refused.Code, refused.Run
	}
	return fmt.Sprint(err), ""
}

// TestProgramAcrossHosts guards against programs whose outcome depends on the host that
// receives a call: turns that are lost or run twice, streams with gaps, refused calls
// that run, access from other workspaces, and sub-agents that outlive their parent.
func TestProgramAcrossHosts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "b")
	council := cluster.client("council")
	id := mustOpen(t, council, client.OpenOptions{Budget: 3000})
	for turn := range 4 {
		// The client cycles through the hosts, including those of the other data centre.
		_, err := council.Do(ctx, id, draftCall(fmt.Sprint("d", turn), fmt.Sprint("item ", turn)))
		is.NoErr(err)
	}
	var streamed strings.Builder
	streaming := draftCall("s", "streamed")
	streaming.Each = func(text string) { streamed.WriteString(text) }
	answer, err := council.Do(ctx, id, streaming)
	is.NoErr(err)
	is.Equal(streamed.String(), answer.Output) // the stream is complete
	filed, err := council.Do(ctx, id, client.Call{ID: "f", Service: "filing", Input: `{"n":1}`, Timeout: 20 * time.Second})
	is.NoErr(err)
	again, err := council.Do(ctx, id, client.Call{ID: "f", Service: "filing", Input: `{"n":1}`, Timeout: 20 * time.Second})
	is.NoErr(err)
	is.True(again.Replayed && again.Output == filed.Output)
	is.Equal(cluster.filing.Runs()[id+"/f"], 1)
	turns, err := council.History(ctx, id)
	is.NoErr(err)
	is.Equal(len(turns), 6)
	checkHistory(is, turns)

	tests := []struct {
		name string
		call client.Call
		code string
	}{
		{"turn number out of order", client.Call{ID: "x", Service: "draft", Turn: 3, Input: "x"}, "out_of_turn"},
		{"different input with the same call ID", client.Call{ID: "f", Service: "filing", Input: `{"n":2}`}, "call_conflict"},
		{"unknown service", client.Call{ID: "y", Service: "nothing", Input: "x"}, "unknown_service"},
		{"budget exceeded", client.Call{ID: "z", Service: "draft", Input: strings.Repeat("long ", 4000)}, "budget_exceeded"},
		{"key in the input", client.Call{ID: "k", Service: "draft", Input: "my key is " + cluster.secrets["council"]}, "bad_request"},
	}
	for _, test := range tests {
		_, err := council.Do(ctx, id, test.call)
		code, run := refusalOf(err)
		is.Equal(code, test.code)    // refused with the expected code
		is.Equal(run, client.NotRun) // the call has not run
	}

	temple := cluster.client("temple")
	_, err = temple.History(ctx, id)
	foreign, _ := refusalOf(err)
	_, err = temple.History(ctx, "a.1.doesnotexist")
	absent, _ := refusalOf(err)
	is.Equal(foreign, absent) // a program of another workspace is indistinguishable from a nonexistent one

	child := mustOpen(t, council, client.OpenOptions{Parent: id})
	_, err = council.Do(ctx, child, draftCall("c", "sub-agent"))
	is.NoErr(err)
	parent, err := council.Program(ctx, id)
	is.NoErr(err)
	sub, err := council.Program(ctx, child)
	is.NoErr(err)
	is.Equal(sub.Budget, parent.Budget) // the budget is shared with the parent
	is.True(parent.Spent > 0 && parent.Spent <= parent.Budget)
	is.NoErr(council.End(ctx, id))
	_, err = council.Do(ctx, child, draftCall("late", "late"))
	code, _ := refusalOf(err)
	is.Equal(code, "program_ended") // sub-agents end with their parent
	cluster.eventually("engine memory of ended programs is released", func() bool { return cluster.engine.CachedPrograms() == 0 })

	cluster.checkNoSecret(is)
}

// checkNoSecret checks that neither the targets nor the log have received a key.
func (cluster *cluster) checkNoSecret(is *is.I) {
	var received strings.Builder
	for _, headers := range [][]http.Header{cluster.engine.Headers(), cluster.filing.Headers(), cluster.records.Headers()} {
		for _, header := range headers {
			fmt.Fprintln(&received, header)
		}
	}
	for _, stream := range []string{platform.ConfigurationStream, "ledger.a", "ledger.b", "history.a", "history.b"} {
		page, err := cluster.log.Read(context.Background(), stream, 0, 0, 0)
		is.NoErr(err)
		for _, entry := range page.Entries {
			received.Write(entry.Data)
		}
	}
	is.True(received.Len() > 1000)                            // data was received
	is.True(!strings.Contains(received.String(), key.Prefix)) // no key reached a target or the log
}

// TestServicesOutsidePrograms guards against a service call outside a program that runs
// again when the caller repeats it through another host, and against open routes that
// require a key or other routes that don't.
func TestServicesOutsidePrograms(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "b")
	council := cluster.client("council")
	answer, err := council.Service(ctx, "records", "", []byte(`{"find":1}`))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusOK)
	for range 4 {
		// Repeated through hosts of both data centres, the call runs once.
		answer, err = council.Service(ctx, "filing", "resolution-9", []byte(`{"n":9}`))
		is.NoErr(err)
	}
	is.True(answer.Replayed)
	total := 0
	for _, runs := range cluster.filing.Runs() {
		total += runs
	}
	is.Equal(total, 1)
	response, err := http.Post(cluster.nodes[0].url()+"/v1/services/notices", "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK) // an open route requires no key
	response, err = http.Post(cluster.nodes[0].url()+"/v1/services/records", "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusUnauthorized)
}

// TestOwnerLostDuringStream guards against gaps and duplicates in a stream whose owner
// crashes after the first text. A new owner must resume the call.
func TestOwnerLostDuringStream(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "a")
	id := mustOpen(t, cluster.client("council"), client.OpenOptions{})
	_, err := cluster.client("council").Do(ctx, id, draftCall("first", "first"))
	is.NoErr(err)
	owner := cluster.ownerOf(id)
	var others []*node
	for _, node := range cluster.nodes {
		if node != owner {
			others = append(others, node)
		}
	}
	council := cluster.client("council", others...)
	var once sync.Once
	var streamed strings.Builder
	call := draftCall("second", "second")
	call.Each = func(text string) {
		streamed.WriteString(text)
		once.Do(func() { cluster.kill(owner) })
	}
	answer, err := council.Do(ctx, id, call)
	is.NoErr(err)
	is.Equal(streamed.String(), answer.Output) // the stream is complete and has no duplicates
	turns, err := council.History(ctx, id)
	is.NoErr(err)
	is.Equal(len(turns), 2)
	checkHistory(is, turns)
}

// TestPlannedStops guards against requests that fail or run twice during a planned stop.
// It replaces each host under traffic, one after the other.
func TestPlannedStops(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, "a", "a", "a")
	var stopping atomic.Bool
	var calls atomic.Int64
	var workers sync.WaitGroup
	for worker := range 6 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			cluster.runPrograms(worker, &stopping, &calls)
		}()
	}
	cluster.eventually("calls succeed before the first stop", func() bool { return calls.Load() > 20 })
	for _, node := range cluster.nodes[:3] {
		cluster.start("a")
		cluster.waitReady()
		cluster.stop(node)
		before := calls.Load()
		cluster.eventually("calls succeed after the stop", func() bool { return calls.Load() > before+10 })
	}
	stopping.Store(true)
	workers.Wait()
	for call, runs := range cluster.filing.Runs() {
		if runs != 1 {
			t.Errorf("call %s: got %d runs, want 1", call, runs)
		}
	}
	is.True(calls.Load() > 60)
}

// runPrograms runs programs through the hosts that are ready, until stopping is set.
func (cluster *cluster) runPrograms(worker int, stopping *atomic.Bool, calls *atomic.Int64) {
	ctx := context.Background()
	for number := 0; !stopping.Load(); number++ {
		caller := cluster.readyClient()
		id, err := caller.Open(ctx, client.OpenOptions{})
		if err != nil {
			cluster.t.Errorf("worker %d: open program: %v", worker, err)
			return
		}
		for turn := range 3 {
			call := draftCall(fmt.Sprint("t", turn), fmt.Sprint(worker, number, turn))
			if turn == 1 {
				call = client.Call{ID: "f", Service: "filing", Input: "{}", Timeout: 20 * time.Second}
			}
			if _, err := cluster.readyClient().Do(ctx, id, call); err != nil {
				cluster.t.Errorf("worker %d: call %s of program %s: %v", worker, call.ID, id, err)
			}
			calls.Add(1)
		}
	}
}

// readyClient returns a client for one random ready host, as a load balancer would
// select.
func (cluster *cluster) readyClient() *client.Client {
	for {
		cluster.mutex.Lock()
		nodes := slices.Clone(cluster.nodes)
		cluster.mutex.Unlock()
		for _, character := range rand.Text() {
			node := nodes[int(character)%len(nodes)]
			response, err := http.Get(node.url() + "/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return cluster.client("council", node)
			}
		}
	}
}

// TestWithdrawnKey guards against keys that work after their withdrawal: for a call that
// is already running, on any host, or because a later record issues the key again.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a")
	council := cluster.client("council")
	id := mustOpen(t, council, client.OpenOptions{})
	call := client.Call{ID: "hang", Service: "filing", Input: "{}", Timeout: 50 * time.Second}
	cluster.filing.Fail(standin.ServiceHang)
	failed := make(chan error, 1)
	go func() {
		_, err := council.Do(ctx, id, call)
		failed <- err
	}()
	cluster.eventually("the call is running", func() bool { return len(cluster.filing.Runs()) == 1 })
	withdraw := configuration.Record{ID: rand.Text(), Withdraw: &configuration.Withdraw{Key: cluster.keys["council"]}}
	cluster.publish(withdraw)
	code, run := refusalOf(<-failed) // the call ends although the target never responds
	is.Equal(code, "key_withdrawn")
	is.Equal(run, client.Unknown) // the call may have run
	cluster.publish(configuration.Record{ID: rand.Text(), Give: &configuration.Give{
		Key: cluster.keys["council"], Digest: key.Digest(cluster.secrets["council"]), Workspace: "council",
	}})
	for _, node := range cluster.nodes {
		cluster.eventually("the key is rejected", func() bool {
			_, err := cluster.client("council", node).Program(ctx, id)
			code, _ := refusalOf(err)
			return code == "unauthorized"
		})
	}
	_, err := cluster.client("temple").Open(ctx, client.OpenOptions{})
	is.NoErr(err) // other keys still work
}

// TestLogOutage guards against an outage of the log that stops repeatable calls, or that
// lets a call that must not be repeated run without a record of it.
func TestLogOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "a")
	council := cluster.client("council")
	id := mustOpen(t, council, client.OpenOptions{})
	_, err := council.Do(ctx, id, draftCall("before", "before"))
	is.NoErr(err)
	cluster.log.SetFaults(standin.LogFaults{Outage: true})
	cluster.eventually("the ledger of the first host is stale", func() bool {
		age, ok := cluster.nodes[0].daemon.owner.LedgerAge()
		return ok && age > 3*time.Second
	})
	for turn := range 3 {
		_, err := council.Do(ctx, id, draftCall(fmt.Sprint("during", turn), "during"))
		is.NoErr(err) // repeatable calls still run, and rate limits are still enforced
	}
	_, err = council.Do(ctx, id, client.Call{ID: "f", Service: "filing", Input: "{}", Timeout: time.Second})
	_, run := refusalOf(err)
	is.Equal(run, client.NotRun)
	is.Equal(len(cluster.filing.Runs()), 0)
	// No withdrawal could arrive during the outage, and the configuration stayed in force.
	cluster.log.SetFaults(standin.LogFaults{})
	_, err = council.Do(ctx, id, client.Call{ID: "g", Service: "filing", Input: "{}", Timeout: 30 * time.Second})
	is.NoErr(err)
	turns, err := council.History(ctx, id)
	is.NoErr(err)
	is.Equal(len(turns), 5)
	checkHistory(is, turns)
	is.Equal(len(cluster.filing.Runs()), 1)
}

// TestRateAcrossHosts guards against rate limits that each host or data centre applies
// on its own, which would admit a multiple of the workspace's rate.
func TestRateAcrossHosts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "b")
	var admitted, refused atomic.Int64
	var callers sync.WaitGroup
	for range 30 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			_, err := cluster.client("small").Service(ctx, "records", "", []byte("{}"))
			if code, _ := refusalOf(err); code == "rate_exceeded" {
				refused.Add(1)
			} else if err == nil {
				admitted.Add(1)
			}
		}()
	}
	started := time.Now()
	callers.Wait()
	bound := int64(4 + time.Since(started).Seconds()*1 + 1)
	is.True(admitted.Load() <= bound) // rate 1 and burst 4, over all hosts
	is.True(refused.Load() > 0)
	_, err := cluster.client("council").Service(ctx, "records", "", []byte("{}"))
	is.NoErr(err) // other workspaces are not affected
}
