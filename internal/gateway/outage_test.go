package gateway_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// TestTurnOutlivesAllHosts guards against the loss of a turn that existed only in
// the memory of hosts because the store was slow when they crashed. A turn with a
// complete response must be in the store.
func TestTurnOutlivesAllHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.store.SetDelay(200 * time.Millisecond) // fifty times the normal delay
	first := fleet.hosts[0].send(testRequest{path: "/dialogue/a", key: key, body: "first;", program: "p3", budget: 1000, tokens: 100})
	is.NoErr(first.err)
	is.Equal(first.status, 200)
	for _, host := range fleet.hosts {
		host.kill()
	}
	fleet.store.SetDelay(0)
	for _, host := range fleet.hosts {
		fleet.startHost(host)
	}
	fleet.awaitReady()
	second := fleet.hosts[1].send(testRequest{path: "/dialogue/a", key: key, body: "second;", program: "p4", previous: first.attempt, budget: 1000, tokens: 100})
	is.NoErr(second.err)
	is.Equal(second.status, 200)
	is.True(strings.HasPrefix(fleet.runsOf(second.attempt)[0].Body, "first;piece 1 of "+first.attempt))
	is.Equal(fleet.hosts[2].send(testRequest{path: "/dialogue/a", key: key, previous: "never-was"}).status, 404)
}

// TestStoreUnreachableForAllHosts guards against requests that wait, run, or are
// refused as if a turn were missing or a budget spent while no host reaches the
// store. Requests that need the store must be refused at once; others are served.
func TestStoreUnreachableForAllHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	first := fleet.hosts[0].send(testRequest{path: "/dialogue/a", key: key, body: "first;", program: "p5", budget: 1000, tokens: 100})
	is.Equal(first.status, 200)
	for _, fault := range []standin.Fault{standin.Busy, standin.Reset, standin.NoResponse} {
		fleet.store.SetFault(func(string, string) standin.Fault { return fault })
		time.Sleep(time.Second) // the hosts detect the outage
		for number, host := range fleet.hosts {
			is.Equal(host.send(testRequest{path: "/lookup/a", key: key}).status, 200) // calls to plain services continue
			start := time.Now()
			turn := host.send(testRequest{path: "/dialogue/a", key: key, body: "x", program: "p5", previous: first.attempt, budget: 1000, tokens: 100})
			if turn.status != 503 {
				t.Logf("fault %d host %d: complete response %v after %v", fault, number, turn.complete, time.Since(start))
			}
			is.Equal(turn.status, 503) // not 404
			unknown := host.send(testRequest{path: "/summary/a", key: key, body: "x", program: fmt.Sprintf("new-%d-%d", fault, number), budget: 1000, tokens: 100})
			is.Equal(unknown.status, 503) // not 402
			is.True(time.Since(start) < 800*time.Millisecond)
			is.Equal(len(fleet.runsOf(turn.attempt))+len(fleet.runsOf(unknown.attempt)), 0)
		}
		fleet.store.SetFault(nil)
		fleet.eventually(3*time.Second, "turns are served again", func() bool {
			response := fleet.hosts[1].send(testRequest{path: "/dialogue/a", key: key, body: "x", program: "p5", previous: first.attempt, budget: 1000, tokens: 100})
			return response.status == 200
		})
	}
}

// TestStoreUnreachableForOneHost guards against a host that fails turns or keeps an
// old configuration because its own path to the store fails: it must call the
// store through the other hosts.
func TestStoreUnreachableForOneHost(t *testing.T) {
	for _, fault := range []standin.Fault{standin.Busy, standin.Reset, standin.NoResponse} {
		is := is.New(t)
		fleet := newFleet(t, 3)
		fleet.store.SetFault(func(_, from string) standin.Fault {
			if from == "host-1" {
				return fault
			}
			return standin.Healthy
		})
		time.Sleep(time.Second) // the host detects the outage
		previous := ""
		for turn := range 4 {
			response := fleet.hosts[0].send(testRequest{
				path: "/dialogue/a", key: key, body: fmt.Sprintf("turn %d;", turn), program: "p6", previous: previous, budget: 1000, tokens: 100,
			})
			is.NoErr(response.err)
			is.Equal(response.status, 200)
			previous = response.attempt
		}
		fleet.config["routes"] = append(fleet.config["routes"].([]map[string]any), route("late", "/late/", "safe", "tools", nil))
		fleet.publish()
		fleet.eventually(2*time.Second, "the new version is read through another host", func() bool {
			return fleet.hosts[0].send(testRequest{path: "/late/a", key: key}).status == 200
		})
	}
}

// TestLostStoreResponses guards against allocating a budget twice, storing a turn
// twice or losing a part of a budget: a write to the store is retried although it has
// succeeded, because its response was lost. Callers return when a refusal says.
func TestLostStoreResponses(t *testing.T) {
	for _, fault := range []standin.Fault{standin.ResponseLost, standin.DelayedLost} {
		is := is.New(t)
		fleet := newFleet(t, 3)
		var calls atomic.Int64
		fleet.store.SetFault(func(call, _ string) standin.Fault {
			if strings.HasSuffix(call, "append") && calls.Add(1)%2 == 0 {
				return fault
			}
			return standin.Healthy
		})
		spent, previous := 0, ""
		for turn := range 14 {
			response := fleet.hosts[turn%3].send(testRequest{
				path: "/dialogue/a", key: key, body: "t;", program: "p7", previous: previous, budget: 500, tokens: 100,
			})
			switch response.status {
			case 200:
				spent += eventsPerStream * 10
				if response.complete {
					previous = response.attempt
				}
			case 402, 503:
				is.Equal(len(fleet.runsOf(response.attempt)), 0)
				response.awaitRetry(is)
			default:
				t.Fatalf("got status %d (%s), want 200, 402 or 503", response.status, response.body)
			}
		}
		t.Logf("%d of 500 tokens spent", spent)
		is.True(spent <= 500)
		is.True(spent >= 450) // the rest is less than a turn
	}
}

// awaitRetry waits as long as a refusal asks the caller to.
func (response testResponse) awaitRetry(is *is.I) {
	text := response.header.Get("Retry-After")
	if text == "" {
		return
	}
	seconds, err := strconv.ParseFloat(text, 64)
	is.NoErr(err)
	time.Sleep(time.Duration(seconds * float64(time.Second)))
}

// TestStoreLostDuringTurn guards against a complete response to a turn that is not
// durable, because an outage of the store began while the turn ran.
func TestStoreLostDuringTurn(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	for _, engine := range fleet.engines {
		engine.Work = 60 * time.Millisecond
	}
	responses := make(chan testResponse, 1)
	go func() {
		responses <- fleet.hosts[0].send(testRequest{path: "/dialogue/a", key: key, body: "x", program: "p8", budget: 1000, tokens: 100, limit: 1500 * time.Millisecond})
	}()
	fleet.eventually(time.Second, "the turn runs", func() bool {
		for _, engine := range fleet.engines {
			if len(engine.Runs()) > 0 {
				return true
			}
		}
		return false
	})
	time.Sleep(60 * time.Millisecond) // after the first event
	fleet.store.SetFault(func(string, string) standin.Fault { return standin.NoResponse })
	response := <-responses
	is.Equal(response.status, 200)
	is.True(!response.complete)
}

// TestTurnThatRanIsNotRefused guards against telling the caller that a turn has not
// run, because it could not be made durable after it had run without any output.
func TestTurnThatRanIsNotRefused(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	for _, engine := range fleet.engines {
		engine.SetBehaviour(func(standin.Run) standin.Behaviour {
			fleet.store.SetFault(func(string, string) standin.Fault { return standin.Busy })
			return standin.EmptyStream
		})
	}
	response := fleet.hosts[0].send(testRequest{path: "/dialogue/a", key: key, body: "x", limit: time.Second})
	is.Equal(len(fleet.runsOf(response.attempt)), 1)
	is.True(response.status == 502 || response.status == 504) // 503 promises that it has not run
}

// TestMissedWakeups guards against a configuration that takes effect late because
// the store does not wake the hosts' waiting reads.
func TestMissedWakeups(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.publish() // its record ends the reads, which then wait again
	fleet.awaitReady()
	fleet.store.SetMissedWakeups(true)
	time.Sleep(50 * time.Millisecond)
	fleet.publish() // wakes the reads once more
	fleet.eventually(4*time.Second, "the version is in force", func() bool { return fleet.hosts[0].Status().Version == int64(fleet.version) })
	fleet.publish()
	start := time.Now()
	fleet.awaitReady()
	is.True(time.Since(start) < fleet.hosts[0].settings.Bounds.Configuration)
}
