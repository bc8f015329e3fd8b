package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// departureKnown is the time after which all hosts know that a target is leaving, half of
// the bound of the test's settings.
const departureKnown = time.Second

// arrivalsAt returns the number of requests that reached a target.
func arrivalsAt(target *standin.Target) int { return len(target.Arrivals()) }

// TestLeavingTarget guards against sending requests to a target that has said in a
// response that it is leaving, whatever its entry in the store says and whichever host
// has received the response.
func TestLeavingTarget(t *testing.T) {
	behave := func(behaviour standin.Behaviour) func(*fleet, *standin.Target) {
		return func(_ *fleet, leaving *standin.Target) {
			leaving.SetBehaviour(func(standin.Run) standin.Behaviour { return behaviour })
		}
	}
	tests := []struct {
		name   string
		path   string
		before func(fleet *fleet, leaving *standin.Target) // before the target says so
		after  func(fleet *fleet, leaving *standin.Target) // once a host knows
	}{
		{name: "plain response", path: "/lookup/a"},
		{name: "stream", path: "/summary/a"},
		{name: "kept turn", path: "/dialogue/a"},
		{name: "refusal", path: "/lookup/a", before: behave(standin.Shed)},
		{name: "truncated stream that goes on elsewhere", path: "/summary/a", before: behave(standin.Truncate)},
		{name: "response without end", path: "/lookup/a", before: behave(standin.EndlessBody)},
		{name: "refusal without end", path: "/lookup/a", before: behave(standin.EndlessRefusal)},
		{name: "response to another request", path: "/lookup/a", before: behave(standin.EndlessStale)},
		{name: "caller that gives up", path: "/summary/slow", before: func(_ *fleet, leaving *standin.Target) { leaving.SetWork(200 * time.Millisecond) }},
		{name: "response through another host", path: "/lookup/a", before: func(fleet *fleet, _ *standin.Target) {
			fleet.hosts[0].targets.set(refusing)
			fleet.eventually(5*time.Second, "the host has lost its targets", func() bool {
				fleet.hosts[0].send(testRequest{path: "/open/a"})
				return fleet.hosts[0].Status().TargetsLost
			})
		}},
		{name: "target with a request limit", path: "/lookup/a", before: func(_ *fleet, leaving *standin.Target) { leaving.SetLimit("2") }},
		{name: "entries are listed again as ready", path: "/lookup/a", after: func(fleet *fleet, leaving *standin.Target) {
			for number := range 3 {
				fleet.store.Put("keyed.servers", leaving.ID, leaving.Report("ready", number+2))
			}
			fleet.store.TrimRecords()
			time.Sleep(entryPropagation)
		}},
		{name: "the entry is removed and comes back", path: "/lookup/a", after: func(fleet *fleet, leaving *standin.Target) {
			fleet.store.Put("keyed.servers", leaving.ID, nil)
			time.Sleep(3 * time.Second) // until hosts forget the target
			fleet.store.Put("keyed.servers", leaving.ID, leaving.Entry("ready"))
			time.Sleep(entryPropagation)
		}},
		{name: "the store is lost", path: "/lookup/a", after: func(fleet *fleet, _ *standin.Target) {
			fleet.store.SetFault(func(string, string) standin.Fault { return standin.Reset })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, 3)
			leaving := fleet.tools[0]
			if strings.HasPrefix(test.path, "/summary") || strings.HasPrefix(test.path, "/dialogue") {
				leaving = fleet.engines[0]
			}
			if test.before != nil {
				test.before(fleet, leaving)
			}
			limit := 2 * time.Second
			if strings.HasSuffix(test.path, "slow") {
				limit = 300 * time.Millisecond // after the first event
			}
			leaving.SetLeaving("1")
			before := arrivalsAt(leaving)
			for number := 0; arrivalsAt(leaving) == before; number++ {
				is.True(number < 200)
				fleet.hosts[0].send(testRequest{path: test.path, key: key, limit: limit})
			}
			if test.after != nil {
				test.after(fleet, leaving)
			}
			known := arrivalsAt(leaving)
			for range 20 {
				response := fleet.hosts[0].send(testRequest{path: test.path, key: key})
				is.Equal(response.status, 200)
			}
			is.Equal(arrivalsAt(leaving), known) // from the host that has received the response
			time.Sleep(departureKnown)
			known = arrivalsAt(leaving)
			for number := range 30 {
				response := fleet.hosts[number%3].send(testRequest{path: test.path, key: key})
				is.Equal(response.status, 200)
			}
			is.Equal(arrivalsAt(leaving), known) // from all hosts
		})
	}
}

// TestLeavingTargetStartsAgain guards against keeping a departure for a target that has
// started again under its ID, and for a new one at its address.
func TestLeavingTargetStartsAgain(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	leaving := fleet.tools[0]
	leaving.SetLeaving("1")
	for range 30 {
		fleet.hosts[0].send(testRequest{path: "/lookup/a", key: key})
	}
	is.True(arrivalsAt(leaving) > 0)
	address := leaving.Address
	leaving.Close()
	time.Sleep(departureKnown)
	used := func(target *standin.Target) func() bool {
		time.Sleep(entryPropagation)
		before := arrivalsAt(target)
		return func() bool {
			for _, host := range fleet.hosts {
				is.Equal(host.send(testRequest{path: "/lookup/a", key: key}).status, 200)
			}
			return arrivalsAt(target) > before+5
		}
	}
	again := &standin.Target{ID: leaving.ID, Service: "tools", DataCentre: "dc-1", Work: 2 * time.Millisecond}
	is.NoErr(again.Start(address))
	fleet.tools = append(fleet.tools, again)
	fleet.store.Put("keyed.servers", again.ID, again.Entry("ready"))
	fleet.eventually(5*time.Second, "a target that has started again is used", used(again))
	again.Close()
	fleet.store.Put("keyed.servers", again.ID, nil)
	other := &standin.Target{ID: "t-other", Service: "tools", DataCentre: "dc-1", Work: 2 * time.Millisecond}
	is.NoErr(other.Start(address))
	fleet.tools = append(fleet.tools, other)
	fleet.store.Put("keyed.servers", other.ID, other.Entry("ready"))
	fleet.eventually(5*time.Second, "another target at the address is used", used(other))
}

// TestAllTargetsLeave guards against requests that wait for their deadline, or for a
// version that is gone, when all targets that could run them are leaving: they are refused
// at once, have not run, and are told when to come back. New targets are used.
func TestAllTargetsLeave(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.addEngine("e-3", "v2")
	time.Sleep(entryPropagation)
	truncate := func(run standin.Run) standin.Behaviour {
		if run.Header.Get("Resumes") == "" && strings.HasSuffix(run.Path, "cut") {
			return standin.Truncate
		}
		return standin.Normal
	}
	for _, engine := range fleet.engines {
		engine.SetBehaviour(truncate)
	}
	var cut testResponse
	for number := 0; !fleet.versionsOf(cut.attempt)[""]; number++ {
		is.True(number < 100)
		cut = fleet.hosts[0].send(testRequest{path: "/summary/cut", key: key})
	}
	leave := func(engine *standin.Target) {
		engine.SetLeaving("1")
		before := arrivalsAt(engine)
		for number := 0; arrivalsAt(engine) == before; number++ {
			is.True(number < 200)
			fleet.hosts[0].send(testRequest{path: "/summary/a", key: key})
		}
	}
	for _, engine := range fleet.engines[:3] {
		leave(engine)
	}
	refused := func(response testResponse, reason string) {
		t.Helper()
		is.Equal(response.status, 503)
		is.True(strings.Contains(response.body, reason))
		is.True(response.header.Get("Retry-After") != "")
		is.True(response.duration < 500*time.Millisecond)
		is.Equal(len(fleet.runsOf(response.attempt)), 0)
	}
	refused(fleet.hosts[0].resume(cut), "stream_version_gone")
	is.Equal(fleet.hosts[0].send(testRequest{path: "/summary/a", key: key}).status, 200) // the other version serves on
	leave(fleet.engines[3])
	time.Sleep(departureKnown)
	for _, host := range fleet.hosts {
		refused(host.send(testRequest{path: "/summary/a", key: key}), "targets_leaving")
		refused(host.send(testRequest{path: "/dialogue/a", key: key, program: "p-" + host.name, budget: 1000, tokens: 50}), "targets_leaving")
	}
	fleet.addEngine("e-4", "v3")
	time.Sleep(entryPropagation)
	for _, host := range fleet.hosts {
		is.Equal(host.send(testRequest{path: "/summary/a", key: key}).status, 200)
	}
}

// TestMalformedDeparture guards against taking any other value of the header for a
// departure: the target goes on serving, and no response is lost.
func TestMalformedDeparture(t *testing.T) {
	for _, values := range [][]string{{""}, {"0"}, {"2"}, {"1", "1"}, {"1, 1"}, {"true"}, {strings.Repeat("1", 8<<10)}} {
		t.Run(fmt.Sprintf("%.20q", values), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, 2)
			for _, tool := range fleet.tools {
				tool.SetLeaving(values...)
			}
			for number := range 40 {
				is.Equal(fleet.hosts[number%2].send(testRequest{path: "/lookup/a", key: key}).status, 200)
			}
			for _, tool := range fleet.tools {
				is.True(arrivalsAt(tool) > 3)
			}
		})
	}
}
