package gateway_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// TestTurnOutlivesAllHosts replays the loss of a turn that other hosts held
// while the store was slow: whatever was answered whole is in the store.
func TestTurnOutlivesAllHosts(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.store.SetDelay(200 * time.Millisecond) // fifty times the usual
	first := fleet.hosts[0].ask(asked{path: "/dialogue/a", key: key, body: "first;", program: "p3", budget: 1000, tokens: 100})
	is.NoErr(first.err)
	is.Equal(first.status, 200)
	for _, host := range fleet.hosts {
		host.kill()
	}
	fleet.store.SetDelay(0)
	for _, host := range fleet.hosts {
		fleet.run(host)
	}
	fleet.settle()
	second := fleet.hosts[1].ask(asked{path: "/dialogue/a", key: key, body: "second;", program: "p4", previous: first.attempt, budget: 1000, tokens: 100})
	is.NoErr(second.err)
	is.Equal(second.status, 200)
	is.True(strings.HasPrefix(fleet.ran(second.attempt)[0].Body, "first;piece 1 of "+first.attempt))
	is.Equal(fleet.hosts[2].ask(asked{path: "/dialogue/a", key: key, previous: "never-was"}).status, 404)
}

// TestStoreAwayForAll covers an outage for every host: nothing that needs the
// store is said to be done, and refusals come at once and do not say that a
// turn is missing.
func TestStoreAwayForAll(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	first := fleet.hosts[0].ask(asked{path: "/dialogue/a", key: key, body: "first;", program: "p5", budget: 1000, tokens: 100})
	is.Equal(first.status, 200)
	for _, fault := range []standin.Fault{standin.Busy, standin.Reset, standin.Silent} {
		fleet.store.SetFault(func(string, string) standin.Fault { return fault })
		time.Sleep(time.Second) // the hosts notice
		for number, host := range fleet.hosts {
			is.Equal(host.ask(asked{path: "/lookup/a", key: key}).status, 200) // plain calls go on
			begun := time.Now()
			turn := host.ask(asked{path: "/dialogue/a", key: key, body: "x", program: "p5", previous: first.attempt, budget: 1000, tokens: 100})
			if turn.status != 503 {
				t.Logf("fault %d host %d: whole %v after %v", fault, number, turn.whole, time.Since(begun))
			}
			is.Equal(turn.status, 503) // not 404
			unknown := host.ask(asked{path: "/summary/a", key: key, body: "x", program: fmt.Sprintf("new-%d-%d", fault, number), budget: 1000, tokens: 100})
			is.Equal(unknown.status, 503) // not 402
			is.True(time.Since(begun) < 800*time.Millisecond)
			is.Equal(len(fleet.ran(turn.attempt))+len(fleet.ran(unknown.attempt)), 0)
		}
		fleet.store.SetFault(nil)
		fleet.eventually(3*time.Second, "turns are served again", func() bool {
			answer := fleet.hosts[1].ask(asked{path: "/dialogue/a", key: key, body: "x", program: "p5", previous: first.attempt, budget: 1000, tokens: 100})
			return answer.status == 200
		})
	}
}

// TestStoreAwayForOne covers a host that lost the store while others have it.
func TestStoreAwayForOne(t *testing.T) {
	for _, fault := range []standin.Fault{standin.Busy, standin.Reset, standin.Silent} {
		is := is.New(t)
		fleet := newFleet(t, 3)
		fleet.store.SetFault(func(_, from string) standin.Fault {
			if from == "host-1" {
				return fault
			}
			return standin.Healthy
		})
		time.Sleep(time.Second) // the host notices
		previous := ""
		for turn := range 4 {
			answer := fleet.hosts[0].ask(asked{
				path: "/dialogue/a", key: key, body: fmt.Sprintf("turn %d;", turn), program: "p6", previous: previous, budget: 1000, tokens: 100,
			})
			is.NoErr(answer.err)
			is.Equal(answer.status, 200)
			previous = answer.attempt
		}
		fleet.config["routes"] = append(fleet.config["routes"].([]map[string]any), route("late", "/late/", "safe", "tools", nil))
		fleet.publish()
		fleet.eventually(2*time.Second, "the new version comes through another host", func() bool {
			return fleet.hosts[0].ask(asked{path: "/late/a", key: key}).status == 200
		})
	}
}

// TestLostAnswersOfTheStore covers writes that are done and not answered, or
// done later: a budget is not taken twice, and a turn is kept once.
func TestLostAnswersOfTheStore(t *testing.T) {
	for _, fault := range []standin.Fault{standin.Lost, standin.Late} {
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
			answer := fleet.hosts[turn%3].ask(asked{
				path: "/dialogue/a", key: key, body: "t;", program: "p7", previous: previous, budget: 500, tokens: 100,
			})
			switch answer.status {
			case 200:
				spent += testEvent * 10
				if answer.whole {
					previous = answer.attempt
				}
			case 402, 503:
				is.Equal(len(fleet.ran(answer.attempt)), 0)
			default:
				t.Fatalf("status %d: %s", answer.status, answer.body)
			}
		}
		is.True(spent <= 500)
		is.True(spent >= 300)
	}
}

// TestStoreLostDuringTurn covers an outage that begins while a turn runs: the
// turn is not durable, so its answer must not look whole.
func TestStoreLostDuringTurn(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	for _, engine := range fleet.engines {
		engine.Work = 60 * time.Millisecond
	}
	answers := make(chan answered, 1)
	go func() {
		answers <- fleet.hosts[0].ask(asked{path: "/dialogue/a", key: key, body: "x", program: "p8", budget: 1000, tokens: 100, limit: 1500 * time.Millisecond})
	}()
	time.Sleep(150 * time.Millisecond)
	fleet.store.SetFault(func(string, string) standin.Fault { return standin.Silent })
	answer := <-answers
	is.Equal(answer.status, 200)
	is.True(!answer.whole)
}
