package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noticeTime is the time in which a host with requests notices that it has lost its
// targets, with a margin; callers are promised three seconds.
const noticeTime = 1500 * time.Millisecond

// warmUp sends requests, so that hosts have open connections to targets.
func (fleet *fleet) warmUp(paths ...string) {
	for _, host := range fleet.hosts {
		for _, path := range paths {
			for range 3 {
				host.send(testRequest{path: path, key: key})
			}
		}
	}
}

// cut cuts hosts off from all targets and lets callers send requests to them until
// the hosts have noticed.
func (fleet *fleet) cut(mode cutMode, hosts ...int) {
	var cutHosts []*testHost
	for _, number := range hosts {
		fleet.hosts[number].targets.set(mode)
		cutHosts = append(cutHosts, fleet.hosts[number])
	}
	fleet.drive(testRequest{path: "/lookup/a", key: key, limit: time.Second}, cutHosts, 50*time.Millisecond, noticeTime)
}

// TestHostsWithoutTargets guards against hosts that refuse their callers because they
// have lost all targets, while other hosts reach them.
func TestHostsWithoutTargets(t *testing.T) {
	tests := []struct {
		name string
		mode cutMode
		cut  []int    // hosts 0 and 3 are a whole data centre
		open []string // routes to whose targets the hosts have open connections
	}{
		{"one host, connections hang", hanging, []int{0}, []string{"/lookup/a", "/summary/a"}},
		{"one host, connections are reset", resetting, []int{0}, []string{"/lookup/a", "/summary/a"}},
		{"one host, open connections to engines live on", refusing, []int{0}, []string{"/summary/a"}},
		{"most hosts, connections hang", hanging, []int{0, 1, 3}, []string{"/lookup/a", "/summary/a"}},
		{"a data centre, connections are reset", resetting, []int{0, 3}, []string{"/lookup/a", "/summary/a"}},
		{"a data centre, open connections to tools live on", refusing, []int{0, 3}, []string{"/lookup/a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, 4)
			fleet.warmUp(test.open...)
			fleet.cut(test.mode, test.cut...)
			sent, served := 0, 0
			record := func(response testResponse, most int) {
				sent++
				if response.status == 200 && response.complete {
					served++
					is.Equal(len(fleet.runsOf(response.attempt)), 1)
				} else {
					t.Logf("attempt %s: status %d %s after %v, %d runs", response.attempt, response.status, response.body, response.duration, len(fleet.runsOf(response.attempt)))
				}
				is.True(len(fleet.runsOf(response.attempt)) <= most)
			}
			for round := range 10 {
				for _, number := range test.cut {
					host := fleet.hosts[number]
					record(host.send(testRequest{path: "/lookup/a", key: key}), 2)
					record(host.send(testRequest{path: "/filing/a", key: key, body: "file this"}), 1)
					record(host.send(testRequest{path: "/summary/a", key: key, program: fmt.Sprint("s", round, number), budget: 1000, tokens: 100}), 2)
					first := host.send(testRequest{path: "/dialogue/a", key: key, body: "first;", program: fmt.Sprint("d", round, number), budget: 1000, tokens: 100})
					record(first, 1)
					other := fleet.hosts[test.cut[len(test.cut)-1]]
					record(other.send(testRequest{path: "/dialogue/a", key: key, body: "second;", program: fmt.Sprint("d", round, number), previous: first.attempt, budget: 1000, tokens: 100}), 1)
				}
			}
			t.Logf("%d of %d first attempts served", served, sent)
			is.True(sent-served <= sent/50)
			for _, number := range test.cut {
				is.True(fleet.hosts[number].Status().TargetsLost || test.mode == refusing)
				fleet.hosts[number].targets.set(connected)
			}
			fleet.eventually(2*time.Second, "the hosts reach the targets themselves", func() bool {
				for _, number := range test.cut {
					if fleet.hosts[number].Status().TargetsLost {
						return false
					}
				}
				return true
			})
			for _, host := range fleet.hosts {
				is.Equal(host.send(testRequest{path: "/filing/a", key: key}).status, 200)
			}
		})
	}
}

// TestAllHostsWithoutTargets guards against requests that wait for targets that no
// host reaches, and against hosts that pass a request on to each other.
func TestAllHostsWithoutTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.warmUp("/lookup/a", "/summary/a")
	fleet.cut(hanging, 0, 1, 2)
	for _, host := range fleet.hosts {
		for _, path := range []string{"/lookup/a", "/filing/a", "/summary/a"} {
			response := host.send(testRequest{path: path, key: key})
			is.Equal(response.status, 503)
			is.True(response.duration < 200*time.Millisecond)
			is.True(response.header.Get("Retry-After") != "")
			is.Equal(len(fleet.runsOf(response.attempt)), 0)
		}
	}
	for _, host := range fleet.hosts {
		host.targets.set(connected)
	}
	fleet.eventually(2*time.Second, "requests are served again", func() bool {
		return fleet.hosts[0].send(testRequest{path: "/lookup/a", key: key}).status == 200
	})
}

// TestCutIsNoCrash guards against refusing a request as one that crashes targets,
// because it was in flight when its host lost them.
func TestCutIsNoCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, 2)
	for _, tool := range fleet.tools {
		tool.Work = 400 * time.Millisecond
	}
	request := testRequest{path: "/lookup/same", key: key, body: "same"}
	timer := time.AfterFunc(200*time.Millisecond, func() { fleet.hosts[0].targets.set(resetting) })
	defer timer.Stop()
	fleet.drive(request, fleet.hosts[:1], 20*time.Millisecond, 150*time.Millisecond)
	fleet.hosts[0].targets.set(connected)
	fleet.eventually(2*time.Second, "the host reaches the targets itself", func() bool { return !fleet.hosts[0].Status().TargetsLost })
	time.Sleep(500 * time.Millisecond) // hosts tell each other of crashes
	for _, host := range fleet.hosts {
		is.Equal(host.send(request).status, 200)
	}
}

// TestStopFinishesExchanges guards against a planned stop that cuts off requests which
// the host sends for another one.
func TestStopFinishesExchanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.cut(hanging, 0)
	for _, tool := range fleet.tools {
		tool.Work = 1800 * time.Millisecond // the host stops accepting after 1.5 s and ends after 2 s
	}
	responses := make(chan testResponse, 1)
	go func() { responses <- fleet.hosts[0].send(testRequest{path: "/filing/a", key: key, body: "file this"}) }()
	time.Sleep(20 * time.Millisecond)
	fleet.hosts[1].stopped = true
	is.NoErr(fleet.hosts[1].Stop(context.Background()))
	response := <-responses
	is.Equal(response.status, 200)
	is.Equal(len(fleet.runsOf(response.attempt)), 1)
}
