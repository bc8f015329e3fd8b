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

// codeOf returns the code and run of a refusal.
func codeOf(err error) (string, client.Run) {
	var refused *client.Error
	if errors.As(err, &refused) {
		return refused.Code, refused.Run
	}
	return fmt.Sprint(err), ""
}

func TestProgramAcrossHosts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "b")
	council := cluster.client("council")
	id := mustOpen(t, council, client.OpenOptions{Budget: 3000})
	for turn := range 4 {
		// The client takes the hosts in turn, also those of the other data centre.
		_, err := council.Do(ctx, id, draft(fmt.Sprint("d", turn), fmt.Sprint("item ", turn)))
		is.NoErr(err)
	}
	var streamed strings.Builder
	streaming := draft("s", "streamed")
	streaming.Each = func(text string) { streamed.WriteString(text) }
	answer, err := council.Do(ctx, id, streaming)
	is.NoErr(err)
	is.Equal(streamed.String(), answer.Output) // a stream is whole
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
		{"out of turn", client.Call{ID: "x", Service: "draft", Turn: 3, Input: "x"}, "out_of_turn"},
		{"other input under the same id", client.Call{ID: "f", Service: "filing", Input: `{"n":2}`}, "call_conflict"},
		{"unknown service", client.Call{ID: "y", Service: "nothing", Input: "x"}, "unknown_service"},
		{"over the budget", client.Call{ID: "z", Service: "draft", Input: strings.Repeat("long ", 4000)}, "budget_exceeded"},
		{"input holds a key", client.Call{ID: "k", Service: "draft", Input: "my key is " + cluster.secrets["council"]}, "bad_request"},
	}
	for _, test := range tests {
		_, err := council.Do(ctx, id, test.call)
		code, run := codeOf(err)
		is.Equal(code, test.code)    // refused for its reason
		is.Equal(run, client.NotRun) // and not run
	}

	temple := cluster.client("temple")
	_, err = temple.History(ctx, id)
	foreign, _ := codeOf(err)
	_, err = temple.History(ctx, "a.1.doesnotexist")
	absent, _ := codeOf(err)
	is.Equal(foreign, absent) // another workspace's program looks like none

	child := mustOpen(t, council, client.OpenOptions{Parent: id})
	_, err = council.Do(ctx, child, draft("c", "sub-agent"))
	is.NoErr(err)
	parent, err := council.Program(ctx, id)
	is.NoErr(err)
	sub, err := council.Program(ctx, child)
	is.NoErr(err)
	is.Equal(sub.Budget, parent.Budget) // shared with the parent
	is.True(parent.Spent > 0 && parent.Spent <= parent.Budget)
	is.NoErr(council.End(ctx, id))
	_, err = council.Do(ctx, child, draft("late", "late"))
	code, _ := codeOf(err)
	is.Equal(code, "program_ended") // sub-agents end with their parent
	cluster.eventually("engine memory of ended programs is released", func() bool { return cluster.engine.Holds() == 0 })

	cluster.checkNoSecret(is)
}

// checkNoSecret searches all that targets and the log have received.
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
	is.True(received.Len() > 1000)                            // there was something to search
	is.True(!strings.Contains(received.String(), key.Prefix)) // no key reached a target or the log
}

func TestServicesOutsidePrograms(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "b")
	council := cluster.client("council")
	answer, err := council.Service(ctx, "records", "", []byte(`{"find":1}`))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusOK)
	for range 4 {
		// Sent again through hosts of both data centres, it runs once.
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
	is.Equal(response.StatusCode, http.StatusOK) // an open route needs no key
	response, err = http.Post(cluster.nodes[0].url()+"/v1/services/records", "application/json", strings.NewReader("{}"))
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusUnauthorized)
}

func TestOwnerLostDuringStream(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "a")
	id := mustOpen(t, cluster.client("council"), client.OpenOptions{})
	_, err := cluster.client("council").Do(ctx, id, draft("first", "first"))
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
	call := draft("second", "second")
	call.Each = func(text string) {
		streamed.WriteString(text)
		once.Do(func() { cluster.kill(owner) })
	}
	answer, err := council.Do(ctx, id, call)
	is.NoErr(err)
	is.Equal(streamed.String(), answer.Output) // whole, nothing doubled
	turns, err := council.History(ctx, id)
	is.NoErr(err)
	is.Equal(len(turns), 2)
	checkHistory(is, turns)
}

// TestPlannedStops replaces every host in turn under traffic. No request may
// be cut off.
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
			cluster.drive(worker, &stopping, &calls)
		}()
	}
	cluster.eventually("traffic runs", func() bool { return calls.Load() > 20 })
	for _, node := range cluster.nodes[:3] {
		cluster.start("a")
		cluster.waitReady()
		cluster.stop(node)
		before := calls.Load()
		cluster.eventually("traffic goes on", func() bool { return calls.Load() > before+10 })
	}
	stopping.Store(true)
	workers.Wait()
	for call, runs := range cluster.filing.Runs() {
		if runs != 1 {
			t.Errorf("call %s ran %d times", call, runs)
		}
	}
	is.True(calls.Load() > 60)
}

// drive runs programs against the hosts that are ready until it is stopped.
func (cluster *cluster) drive(worker int, stopping *atomic.Bool, calls *atomic.Int64) {
	ctx := context.Background()
	for number := 0; !stopping.Load(); number++ {
		caller := cluster.balanced()
		id, err := caller.Open(ctx, client.OpenOptions{})
		if err != nil {
			cluster.t.Errorf("worker %d: open: %v", worker, err)
			return
		}
		for turn := range 3 {
			call := draft(fmt.Sprint("t", turn), fmt.Sprint(worker, number, turn))
			if turn == 1 {
				call = client.Call{ID: "f", Service: "filing", Input: "{}", Timeout: 20 * time.Second}
			}
			if _, err := cluster.balanced().Do(ctx, id, call); err != nil {
				cluster.t.Errorf("worker %d: call %s of %s: %v", worker, call.ID, id, err)
			}
			calls.Add(1)
		}
	}
}

// balanced returns a client for one ready host, as a balancer picks it.
func (cluster *cluster) balanced() *client.Client {
	for {
		cluster.mutex.Lock()
		nodes := slices.Clone(cluster.nodes)
		cluster.mutex.Unlock()
		for _, place := range rand.Text() {
			node := nodes[int(place)%len(nodes)]
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
	cluster.eventually("the call runs", func() bool { return len(cluster.filing.Runs()) == 1 })
	withdraw := configuration.Record{ID: rand.Text(), Withdraw: &configuration.Withdraw{Key: cluster.keys["council"]}}
	cluster.publish(withdraw)
	code, run := codeOf(<-failed) // ends although the target never answers
	is.Equal(code, "key_withdrawn")
	is.Equal(run, client.Unknown) // it may have run
	cluster.publish(configuration.Record{ID: rand.Text(), Give: &configuration.Give{
		Key: cluster.keys["council"], Digest: key.Digest(cluster.secrets["council"]), Workspace: "council",
	}})
	for _, node := range cluster.nodes {
		cluster.eventually("the key stops working", func() bool {
			_, err := cluster.client("council", node).Program(ctx, id)
			code, _ := codeOf(err)
			return code == "unauthorized"
		})
	}
	_, err := cluster.client("temple").Open(ctx, client.OpenOptions{})
	is.NoErr(err) // other keys go on
}

func TestLogOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cluster := newCluster(t, "a", "a", "a")
	council := cluster.client("council")
	id := mustOpen(t, council, client.OpenOptions{})
	_, err := council.Do(ctx, id, draft("before", "before"))
	is.NoErr(err)
	cluster.log.SetFaults(standin.LogFaults{Outage: true})
	cluster.eventually("the hosts notice", func() bool {
		age, ok := cluster.nodes[0].daemon.owner.LedgerAge()
		return ok && age > 3*time.Second
	})
	for turn := range 3 {
		_, err := council.Do(ctx, id, draft(fmt.Sprint("during", turn), "during"))
		is.NoErr(err) // idempotent calls go on, and workspaces are still counted
	}
	_, err = council.Do(ctx, id, client.Call{ID: "f", Service: "filing", Input: "{}", Timeout: time.Second})
	_, run := codeOf(err)
	is.Equal(run, client.NotRun)
	is.Equal(len(cluster.filing.Runs()), 0)
	// A withdrawal cannot arrive, and a configuration is still in force.
	cluster.log.SetFaults(standin.LogFaults{})
	_, err = council.Do(ctx, id, client.Call{ID: "g", Service: "filing", Input: "{}", Timeout: 30 * time.Second})
	is.NoErr(err)
	turns, err := council.History(ctx, id)
	is.NoErr(err)
	is.Equal(len(turns), 5)
	checkHistory(is, turns)
	is.Equal(len(cluster.filing.Runs()), 1)
}

func TestRateOverTheFleet(t *testing.T) {
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
			if code, _ := codeOf(err); code == "rate_exceeded" {
				refused.Add(1)
			} else if err == nil {
				admitted.Add(1)
			}
		}()
	}
	started := time.Now()
	callers.Wait()
	bound := int64(4 + time.Since(started).Seconds()*1 + 1)
	is.True(admitted.Load() <= bound) // rate 1, burst 4, counted over all hosts
	is.True(refused.Load() > 0)
	_, err := cluster.client("council").Service(ctx, "records", "", []byte("{}"))
	is.NoErr(err) // the others are not affected
}
