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

func TestCalmPath(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	tests := []struct {
		name   string
		asked  asked
		status int
		runs   int
	}{
		{"safe", asked{path: "/lookup/a?x=%2F1", key: key, method: http.MethodGet}, 200, 1},
		{"longest prefix", asked{path: "/lookup/inner/b", key: key}, 200, 1},
		{"unsafe", asked{path: "/filing/a", key: key, body: "file this"}, 200, 1},
		{"streaming", asked{path: "/summary/a", key: key, body: "sum up"}, 200, 1},
		{"kept turn", asked{path: "/dialogue/a", key: key, body: "hello"}, 200, 1},
		{"open to all", asked{path: "/open/a"}, 200, 1},
		{"no route", asked{path: "/nowhere/a", key: key}, 404, 0},
		{"no key", asked{path: "/lookup/a"}, 401, 0},
		{"unknown key", asked{path: "/lookup/a", key: "stolen"}, 401, 0},
		{"unknown turn", asked{path: "/dialogue/a", key: key, previous: "never-was"}, 404, 0},
		{"body too large", asked{path: "/filing/a", key: key, body: strings.Repeat("x", 70000)}, 413, 0},
	}
	for _, test := range tests {
		for _, host := range fleet.hosts {
			answer := host.ask(test.asked)
			is.NoErr(answer.err)
			is.Equal(answer.status, test.status) // test.name
			runs := fleet.ran(answer.attempt)
			is.Equal(len(runs), test.runs) // test.name
			if test.runs == 0 {
				continue
			}
			is.Equal(runs[0].Path, test.asked.path)
			is.Equal(runs[0].Body, test.asked.body)
			is.Equal(runs[0].Header.Get("Authorization"), "") // no target sees a key
			is.True(runs[0].TimeLeft > 0 && runs[0].TimeLeft <= 3*time.Second)
			is.Equal(answer.header.Get("Godwitspread-Response-Signature"), "signed-by-"+runs[0].Target)
		}
	}
}

func TestForgedHeaders(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	forged := map[string]string{
		"Godwitspread-Tenant": "temple", "Godwitspread-Hold": "h", "Godwitspread-Pin-Ms": "9", "Godwitspread-Cache-Backup": "1.2.3.4:5",
		"Kv-From": "1.2.3.4:5/6", "Kv-Fetch": "1.2.3.4:5", "Godwitspread-Expect-Instance": "other", "X-Own": "kept",
	}
	answer := fleet.hosts[0].ask(asked{path: "/lookup/a", key: key, header: forged})
	is.Equal(answer.status, 200)
	run := fleet.ran(answer.attempt)[0]
	is.Equal(run.Workspace, "council")
	is.Equal(run.Header.Get("X-Own"), "kept")
	for _, name := range []string{"Godwitspread-Hold", "Godwitspread-Pin-Ms", "Godwitspread-Cache-Backup", "Kv-From", "Kv-Fetch"} {
		is.Equal(run.Header.Get(name), "") // name
	}
	is.Equal(run.Header.Get("Godwitspread-Expect-Instance"), run.Target)
}

func TestChainOverHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	expected, previous := "", ""
	for turn := range 6 {
		host := fleet.hosts[turn%3]
		input := fmt.Sprintf("input %d;", turn)
		expected += input
		answer := host.ask(asked{path: "/dialogue/a", key: key, body: input, program: "p1", previous: previous, budget: 10000, tokens: 100})
		is.NoErr(answer.err)
		is.Equal(answer.status, 200)
		runs := fleet.ran(answer.attempt)
		is.Equal(len(runs), 1)
		is.Equal(runs[0].Body, expected) // the chain, oldest first
		for number := range testEvent {
			expected += fmt.Sprintf("piece %d of %s\n", number+1, answer.attempt)
		}
		previous = answer.attempt
	}
	stolen := fleet.hosts[0].ask(asked{path: "/dialogue/a", key: otherKey, body: "x", previous: previous})
	is.Equal(stolen.status, 404) // a turn of another workspace
	is.Equal(len(fleet.ran(stolen.attempt)), 0)
}

func TestBudgetOverHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	const budget, most = 500, 100 // an event counts 10 tokens, so a turn spends 50
	served := 0
	for turn := range 30 {
		answer := fleet.hosts[turn%3].ask(asked{path: "/summary/a", key: key, program: "p2", budget: budget, tokens: most})
		if answer.status == 402 {
			is.Equal(len(fleet.ran(answer.attempt)), 0)
			continue
		}
		is.Equal(answer.status, 200)
		served++
	}
	spent := served * testEvent * 10
	is.True(spent <= budget)
	is.True(spent > budget-most) // the budget does not hold one more turn
}

func TestSmuggledAndMalformed(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	inner := "POST /filing/x HTTP/1.1\r\nHost: " + hostName + "\r\nGodwitspread-Attempt-Id: smuggled\r\nAuthorization: Bearer " + key + "\r\n\r\n"
	head := "POST /filing/a HTTP/1.1\r\nHost: " + hostName + "\r\nGodwitspread-Attempt-Id: outer\r\nAuthorization: Bearer " + key + "\r\n"
	tests := []struct {
		name string
		text string
	}{
		{"in a body", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner)},
		{"two lengths", head + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + inner},
		{"length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"broken line", "GARBAGE\r\n\r\n"},
		{"huge head", head + "X: " + strings.Repeat("x", 40000) + "\r\n\r\n"},
	}
	for _, test := range tests {
		connection, err := net.Dial("tcp", fleet.hosts[0].settings.CallerAddress)
		is.NoErr(err)
		is.NoErr(connection.SetDeadline(time.Now().Add(2 * time.Second)))
		// The host may close before it has read all.
		_, _ = connection.Write([]byte(test.text))
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err == nil {
			// Whatever the answer, it is one answer.
			_, _ = io.Copy(io.Discard, response.Body)
		}
		connection.Close()
		is.Equal(len(fleet.ran("smuggled")), 0) // test.name
	}
}

func TestDrainOfTarget(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	leaving := fleet.tools[0]
	fleet.store.Put("keyed.servers", leaving.ID, leaving.Entry("draining"))
	time.Sleep(time.Second) // half of the time that the bounds allow
	before := len(leaving.Runs())
	for range 40 {
		for _, host := range fleet.hosts {
			is.Equal(host.ask(asked{path: "/lookup/a", key: key}).status, 200)
		}
	}
	is.Equal(len(leaving.Runs()), before)
}

func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	for _, engine := range fleet.engines {
		engine.Work = 100 * time.Millisecond
	}
	host := fleet.hosts[0]
	answers := make(chan answered, 10)
	for range cap(answers) {
		go func() { answers <- host.ask(asked{path: "/summary/a", key: key}) }()
	}
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- host.Stop(context.Background()) }()
	host.stopped = true
	fleet.eventually(time.Second, "host leaves the rotation", func() bool {
		response, err := http.Get("http://" + host.settings.ReadyAddress + "/readiness")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	late := host.ask(asked{path: "/lookup/late", key: key})
	is.Equal(late.status, 200) // callers come until the balancer has noticed
	for range cap(answers) {
		answer := <-answers
		is.NoErr(answer.err)
		is.Equal(answer.status, 200)
	}
	is.NoErr(<-stopped)
}

func TestConfigurationChanges(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.config["tenants"] = []map[string]any{{"name": "temple", "keys": []string{otherKey, key}}}
	fleet.config["routes"] = append(fleet.config["routes"].([]map[string]any), route("new", "/new/", "safe", "tools", nil))
	fleet.publish()
	fleet.eventually(2*time.Second, "the new version is in force", func() bool {
		for _, host := range fleet.hosts {
			answer := host.ask(asked{path: "/new/a", key: key})
			if answer.status != 200 || fleet.ran(answer.attempt)[0].Workspace != "temple" {
				return false
			}
		}
		return true
	})
	fleet.store.DropHistory()
	fleet.config["tenants"] = []map[string]any{{"name": "temple", "keys": []string{otherKey}}}
	fleet.publish()
	fleet.eventually(2*time.Second, "the withdrawn key is refused", func() bool {
		for _, host := range fleet.hosts {
			if host.ask(asked{path: "/new/a", key: key}).status != 401 {
				return false
			}
		}
		return true
	})
	is.Equal(fleet.hosts[0].ask(asked{path: "/new/a", key: otherKey}).status, 200)
}

func TestRateOverHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	const rate, burst = 20, 20
	fleet.config["tenants"] = []map[string]any{{"name": "council", "keys": []string{key}, "ratePerS": rate, "burst": burst}}
	fleet.publish()
	fleet.settle()
	begun := time.Now()
	served := 0
	for time.Since(begun) < 2*time.Second {
		for _, host := range fleet.hosts {
			answer := host.ask(asked{path: "/lookup/a", key: key, method: http.MethodGet})
			switch answer.status {
			case 200:
				served++
			case 429:
				is.True(answer.header.Get("Retry-After") != "")
				is.Equal(len(fleet.ran(answer.attempt)), 0)
			default:
				t.Fatalf("status %d: %s", answer.status, answer.body)
			}
		}
	}
	passed := time.Since(begun).Seconds()
	is.True(float64(served) <= rate*passed+burst)
	is.True(float64(served) >= 0.8*rate*passed)
}

func TestAnswersOfFaultyTargets(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	host := fleet.hosts[0]
	behave := func(behaviour standin.Behaviour) {
		var first atomic.Bool
		for _, target := range append(append([]*standin.Target{}, fleet.tools...), fleet.engines...) {
			target.SetBehaviour(func(standin.Run) standin.Behaviour {
				if first.CompareAndSwap(false, true) {
					return behaviour
				}
				return standin.Sound
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
		{"safe after a crash", "/lookup/a", standin.Crash, 200, 2},
		{"safe cut off", "/lookup/a", standin.Truncate, 200, 2},
		{"unsafe after a crash", "/filing/a", standin.Crash, 502, 1},
		{"unsafe cut off", "/filing/a", standin.Truncate, 502, 1},
		{"unsafe turned away", "/filing/a", standin.Shed, 200, 1},
		{"stream turned away", "/dialogue/a", standin.Shed, 200, 1},
		{"stream after a crash", "/summary/a", standin.Crash, 200, 2},
		{"safe on a silent target", "/lookup/a", standin.Mute, 200, 2},
		{"stream on a silent target", "/summary/a", standin.Mute, 200, 2},
		{"unsafe on a silent target", "/filing/a", standin.Mute, 504, 1},
		{"kept turn after a crash", "/dialogue/a", standin.Crash, 502, 1},
		{"resumed in the middle", "/summary/a", standin.Truncate, 200, 2},
		{"an earlier answer first", "/lookup/a", standin.OtherBody, 200, 1},
	}
	for _, test := range tests {
		behave(test.behaviour)
		answer := host.ask(asked{path: test.path, key: key, body: "text", limit: 1500 * time.Millisecond})
		is.NoErr(answer.err)
		is.Equal(answer.status, test.status)                // test.name
		is.Equal(len(fleet.ran(answer.attempt)), test.runs) // test.name
		if test.behaviour == standin.OtherBody {
			is.Equal(answer.body, answer.attempt)
		}
		if test.status == 200 && strings.HasPrefix(test.path, "/summary") {
			var expected bytes.Buffer
			for number := range testEvent {
				fmt.Fprintf(&expected, "id: %d\ndata: piece %d of %s\n\n", number+1, number+1, answer.attempt)
			}
			is.Equal(answer.body, expected.String()) // each event once
		}
	}
	behave(standin.Truncate)
	cut := host.ask(asked{path: "/dialogue/a", key: key, body: "text"})
	is.True(!cut.whole) // what is cut off does not look complete
	is.Equal(len(fleet.ran(cut.attempt)), 1)
}
