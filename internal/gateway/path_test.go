package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// TestRequestsWithoutFaults sends requests of every kind without faults. A
// routed request runs exactly once and reaches the target unchanged except for
// its key; a rejected request runs nowhere.
func TestRequestsWithoutFaults(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	tests := []struct {
		name    string
		request testRequest
		status  int
		runs    int
	}{
		{"safe request", testRequest{path: "/lookup/a?x=%2F1", key: key, method: http.MethodGet}, 200, 1},
		{"longest prefix wins", testRequest{path: "/lookup/inner/b", key: key}, 200, 1},
		{"unsafe request", testRequest{path: "/filing/a", key: key, body: "file this"}, 200, 1},
		{"streaming request", testRequest{path: "/summary/a", key: key, body: "sum up"}, 200, 1},
		{"turn with retained context", testRequest{path: "/dialogue/a", key: key, body: "hello"}, 200, 1},
		{"public route without a key", testRequest{path: "/open/a"}, 200, 1},
		{"no route", testRequest{path: "/nowhere/a", key: key}, 404, 0},
		{"no key", testRequest{path: "/lookup/a"}, 401, 0},
		{"unknown key", testRequest{path: "/lookup/a", key: "stolen"}, 401, 0},
		{"unknown turn", testRequest{path: "/dialogue/a", key: key, previous: "never-was"}, 404, 0},
		{"body too large", testRequest{path: "/filing/a", key: key, body: strings.Repeat("x", 70000)}, 413, 0},
	}
	for _, test := range tests {
		for _, host := range fleet.hosts {
			response := host.send(test.request)
			is.NoErr(response.err)
			is.Equal(response.status, test.status) // test.name
			runs := fleet.runsOf(response.attempt)
			is.Equal(len(runs), test.runs) // test.name
			if test.runs == 0 {
				continue
			}
			is.Equal(runs[0].Path, test.request.path)
			is.Equal(runs[0].Body, test.request.body)
			is.Equal(runs[0].Header.Get("Authorization"), "") // a key never reaches a target
			is.True(runs[0].TimeLeft > 0 && runs[0].TimeLeft <= 3*time.Second)
			is.Equal(response.header.Get("Godwitspread-Response-Signature"), "signed-by-"+runs[0].Target)
		}
	}
}

// TestForgedHeaders checks that headers which only a host may set are removed or
// replaced when a caller sends them, and that other headers pass.
func TestForgedHeaders(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	forged := map[string]string{
		"Godwitspread-Tenant": "temple", "Godwitspread-Hold": "h", "Godwitspread-Pin-Ms": "9", "Godwitspread-Cache-Backup": "1.2.3.4:5",
		"Kv-From": "1.2.3.4:5/6", "Kv-Fetch": "1.2.3.4:5", "Godwitspread-Expect-Instance": "other", "X-Own": "kept",
	}
	response := fleet.hosts[0].send(testRequest{path: "/lookup/a", key: key, header: forged})
	is.Equal(response.status, 200)
	run := fleet.runsOf(response.attempt)[0]
	is.Equal(run.Workspace, "council")
	is.Equal(run.Header.Get("X-Own"), "kept")
	for _, name := range []string{"Godwitspread-Hold", "Godwitspread-Pin-Ms", "Godwitspread-Cache-Backup", "Kv-From", "Kv-Fetch"} {
		is.Equal(run.Header.Get(name), "") // name
	}
	is.Equal(run.Header.Get("Godwitspread-Expect-Instance"), run.Target)
}

// TestChainOverHosts checks that a chain of turns is complete and in order when
// each turn goes through another host, and that another workspace cannot use it.
func TestChainOverHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	expected, previous := "", ""
	for turn := range 6 {
		host := fleet.hosts[turn%3]
		input := fmt.Sprintf("input %d;", turn)
		expected += input
		response := host.send(testRequest{path: "/dialogue/a", key: key, body: input, program: "p1", previous: previous, budget: 10000, tokens: 100})
		is.NoErr(response.err)
		is.Equal(response.status, 200)
		runs := fleet.runsOf(response.attempt)
		is.Equal(len(runs), 1)
		is.Equal(runs[0].Body, expected) // the whole chain, oldest turn first
		for number := range eventsPerStream {
			expected += fmt.Sprintf("piece %d of %s\n", number+1, response.attempt)
		}
		previous = response.attempt
	}
	stolen := fleet.hosts[0].send(testRequest{path: "/dialogue/a", key: otherKey, body: "x", previous: previous})
	is.Equal(stolen.status, 404) // the turn belongs to another workspace
	is.Equal(len(fleet.runsOf(stolen.attempt)), 0)
}

// TestBudgetOverHosts checks that several hosts together neither exceed the budget
// of a program nor refuse it before the budget is spent.
func TestBudgetOverHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	const budget, maxTurnTokens = 500, 100 // an event counts 10 tokens, so a turn spends 50
	served := 0
	for turn := range 30 {
		response := fleet.hosts[turn%3].send(testRequest{path: "/summary/a", key: key, program: "p2", budget: budget, tokens: maxTurnTokens})
		if response.status == 402 {
			is.Equal(len(fleet.runsOf(response.attempt)), 0)
			continue
		}
		is.Equal(response.status, 200)
		served++
	}
	spent := served * eventsPerStream * 10
	is.True(spent <= budget)
	is.True(spent > budget-maxTurnTokens) // the rest of the budget is too small for another turn
}

// TestSmuggledAndMalformed guards against request smuggling: a second request
// that is hidden in the body of the first one, or behind its ambiguous lengths,
// must never run, and neither must one after malformed input.
func TestSmuggledAndMalformed(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	smuggled := "POST /filing/x HTTP/1.1\r\nHost: " + hostName + "\r\nGodwitspread-Attempt-Id: smuggled\r\nAuthorization: Bearer " + key + "\r\n\r\n"
	head := "POST /filing/a HTTP/1.1\r\nHost: " + hostName + "\r\nGodwitspread-Attempt-Id: outer\r\nAuthorization: Bearer " + key + "\r\n"
	tests := []struct {
		name string
		text string
	}{
		{"request in a body", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(smuggled), smuggled)},
		{"two content lengths", head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + smuggled},
		{"content length and chunked encoding", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"malformed request line", "GARBAGE\r\n\r\n"},
		{"header too large", head + "X: " + strings.Repeat("x", 40000) + "\r\n\r\n"},
	}
	for _, test := range tests {
		connection, err := net.Dial("tcp", fleet.hosts[0].settings.CallerAddress)
		is.NoErr(err)
		is.NoErr(connection.SetDeadline(time.Now().Add(2 * time.Second)))
		// The host may close the connection before it has read everything.
		_, _ = connection.Write([]byte(test.text))
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err == nil {
			// Any status is accepted; the test checks only which requests run.
			_, _ = io.Copy(io.Discard, response.Body)
		}
		connection.Close()
		is.Equal(len(fleet.runsOf("smuggled")), 0) // test.name
	}
}

// TestDrainOfTarget guards against requests to a draining target: no host may send
// one after the time that hosts have to detect the new state of its entry.
func TestDrainOfTarget(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	leaving := fleet.tools[0]
	fleet.store.Put("keyed.servers", leaving.ID, leaving.Entry("draining"))
	time.Sleep(time.Second) // half of the time that the bounds allow
	before := len(leaving.Runs())
	for range 40 {
		for _, host := range fleet.hosts {
			is.Equal(host.send(testRequest{path: "/lookup/a", key: key}).status, 200)
		}
	}
	is.Equal(len(leaving.Runs()), before)
}

// TestPlannedStopCutsNothing checks that a planned stop cuts off no request: those
// in flight finish, and new ones are served until the load balancer has removed the
// host.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	for _, engine := range fleet.engines {
		engine.Work = 100 * time.Millisecond
	}
	host := fleet.hosts[0]
	responses := make(chan testResponse, 10)
	for range cap(responses) {
		go func() { responses <- host.send(testRequest{path: "/summary/a", key: key}) }()
	}
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- host.Stop(context.Background()) }()
	host.stopped = true
	fleet.eventually(time.Second, "the host reports that it is not ready", func() bool {
		response, err := http.Get("http://" + host.settings.ReadyAddress + "/readiness")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	late := host.send(testRequest{path: "/lookup/late", key: key})
	is.Equal(late.status, 200) // callers arrive until the load balancer has removed the host
	for range cap(responses) {
		response := <-responses
		is.NoErr(response.err)
		is.Equal(response.status, 200)
	}
	is.NoErr(<-stopped)
}

// TestConfigurationChanges checks that a new route and a moved key take effect on
// every host, and that a withdrawn key is refused even if the store trimmed the
// versions in between.
func TestConfigurationChanges(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.config["tenants"] = []map[string]any{{"name": "temple", "keys": []string{otherKey, key}}}
	fleet.config["routes"] = append(fleet.config["routes"].([]map[string]any), route("new", "/new/", "safe", "tools", nil))
	fleet.publish()
	fleet.eventually(2*time.Second, "the new version is applied", func() bool {
		for _, host := range fleet.hosts {
			response := host.send(testRequest{path: "/new/a", key: key})
			if response.status != 200 || fleet.runsOf(response.attempt)[0].Workspace != "temple" {
				return false
			}
		}
		return true
	})
	fleet.store.TrimRecords()
	fleet.config["tenants"] = []map[string]any{{"name": "temple", "keys": []string{otherKey}}}
	fleet.publish()
	fleet.eventually(2*time.Second, "the withdrawn key is refused", func() bool {
		for _, host := range fleet.hosts {
			if host.send(testRequest{path: "/new/a", key: key}).status != 401 {
				return false
			}
		}
		return true
	})
	is.Equal(fleet.hosts[0].send(testRequest{path: "/new/a", key: otherKey}).status, 200)
}

// TestRateOverHosts checks that several hosts together neither exceed the rate of a
// workspace nor serve less than 80 percent of it.
func TestRateOverHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	const rate, burst = 20, 20
	fleet.config["tenants"] = []map[string]any{{"name": "council", "keys": []string{key}, "ratePerS": rate, "burst": burst}}
	fleet.publish()
	fleet.awaitReady()
	start := time.Now()
	served := 0
	for time.Since(start) < 2*time.Second {
		for _, host := range fleet.hosts {
			response := host.send(testRequest{path: "/lookup/a", key: key, method: http.MethodGet})
			switch response.status {
			case 200:
				served++
			case 429:
				is.True(response.header.Get("Retry-After") != "")
				is.Equal(len(fleet.runsOf(response.attempt)), 0)
			default:
				t.Fatalf("got status %d (%s), want 200 or 429", response.status, response.body)
			}
		}
	}
	elapsed := time.Since(start).Seconds()
	is.True(float64(served) <= rate*elapsed+burst)
	is.True(float64(served) >= 0.8*rate*elapsed)
}

// TestResponsesOfFaultyTargets guards against running an unsafe request twice, and
// against failing a request that may be retried, when a target crashes, truncates,
// rejects or never responds: safe requests and resumable streams are retried,
// others run at most once.
func TestResponsesOfFaultyTargets(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	host := fleet.hosts[0]
	behaveOnce := func(behaviour standin.Behaviour) {
		var first atomic.Bool
		for _, target := range append(append([]*standin.Target{}, fleet.tools...), fleet.engines...) {
			target.SetBehaviour(func(standin.Run) standin.Behaviour {
				if first.CompareAndSwap(false, true) {
					return behaviour
				}
				return standin.Normal
			})
		}
	}
	tests := []struct {
		name      string
		path      string
		behaviour standin.Behaviour
		status    int
		runs      int
	}{
		{"safe request after a crash", "/lookup/a", standin.Crash, 200, 2},
		{"safe request with a truncated response", "/lookup/a", standin.Truncate, 200, 2},
		{"unsafe request after a crash", "/filing/a", standin.Crash, 502, 1},
		{"unsafe request with a truncated response", "/filing/a", standin.Truncate, 502, 1},
		{"unsafe request rejected without a run", "/filing/a", standin.Shed, 200, 1},
		{"stream rejected without a run", "/dialogue/a", standin.Shed, 200, 1},
		{"stream after a crash", "/summary/a", standin.Crash, 200, 2},
		{"safe request on an unresponsive target", "/lookup/a", standin.Unresponsive, 200, 2},
		{"stream on an unresponsive target", "/summary/a", standin.Unresponsive, 200, 2},
		{"unsafe request on an unresponsive target", "/filing/a", standin.Unresponsive, 504, 1},
		{"turn with retained context after a crash", "/dialogue/a", standin.Crash, 502, 1},
		{"stream resumed in the middle", "/summary/a", standin.Truncate, 200, 2},
		{"stale response to an earlier request first", "/lookup/a", standin.StaleResponse, 200, 1},
		{"stale error without an ID first", "/lookup/a", standin.StaleError, 200, 1},
		{"stale error without an ID before that of an unsafe request", "/filing/a", standin.StaleError, 200, 1},
	}
	for _, test := range tests {
		behaveOnce(standin.Normal)
		for range 30 { // every target has an idle connection, on which a stale response can arrive
			is.Equal(host.send(testRequest{path: "/lookup/a", key: key}).status, 200)
		}
		behaveOnce(test.behaviour)
		response := host.send(testRequest{path: test.path, key: key, body: "text", limit: 1500 * time.Millisecond})
		is.NoErr(response.err)
		is.Equal(response.status, test.status)                   // test.name
		is.Equal(len(fleet.runsOf(response.attempt)), test.runs) // test.name
		if test.behaviour == standin.StaleResponse || test.behaviour == standin.StaleError {
			is.Equal(response.body, response.attempt)
		}
		if test.status == 200 && strings.HasPrefix(test.path, "/summary") {
			var expected bytes.Buffer
			for number := range eventsPerStream {
				fmt.Fprintf(&expected, "id: %d\ndata: piece %d of %s\n\n", number+1, number+1, response.attempt)
			}
			is.Equal(response.body, expected.String()) // every event exactly once
		}
	}
	behaveOnce(standin.Truncate)
	truncated := host.send(testRequest{path: "/dialogue/a", key: key, body: "text"})
	is.True(!truncated.complete) // a truncated stream does not look complete
	is.Equal(len(fleet.runsOf(truncated.attempt)), 1)
}
