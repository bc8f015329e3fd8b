package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

const streamsPerCase = 12

// newFleetWithTwoVersions returns a fleet with two engines of each of two software
// versions. Every engine cuts off each stream that is not resumed in the middle of
// its last event.
func newFleetWithTwoVersions(t *testing.T, hosts int) *fleet {
	t.Helper()
	fleet := newFleet(t, hosts)
	fleet.addEngine("e-3", "v1")
	for number, engine := range fleet.engines {
		engine.Version = fmt.Sprintf("v%d", number%2+1)
		engine.SetBehaviour(func(run standin.Run) standin.Behaviour {
			if run.Header.Get("Resumes") == "" {
				return standin.Truncate
			}
			return standin.Normal
		})
		fleet.store.Put("keyed.servers", engine.ID, engine.Entry("ready"))
	}
	time.Sleep(2 * entryPropagation)
	return fleet
}

// entryPropagation is the time after which all hosts know an entry of a target.
const entryPropagation = 500 * time.Millisecond

func (fleet *fleet) addEngine(id, version string) {
	engine := &standin.Target{ID: id, Service: "engines", DataCentre: "dc-1", Events: eventsPerStream, Work: 2 * time.Millisecond, Version: version}
	fleet.engines = append(fleet.engines, engine)
	fleet.startTarget(engine)
}

// versionsOf returns the software versions of the targets that ran attempts.
func (fleet *fleet) versionsOf(attempts ...string) map[string]bool {
	versions := make(map[string]bool)
	for _, attempt := range attempts {
		for _, run := range fleet.runsOf(attempt) {
			for _, engine := range fleet.engines {
				if engine.ID == run.Target {
					versions[engine.Version] = true
				}
			}
		}
	}
	return versions
}

// resume sends the attempt of a caller that has received events of a stream.
func (host *testHost) resume(first testResponse) testResponse {
	last := strings.Count(first.body, "\ndata:")
	return host.send(testRequest{path: "/summary/a", key: key, header: map[string]string{"Last-Event-Id": fmt.Sprint(last), "Resumes": first.attempt}})
}

// TestStreamStaysAtItsVersion guards against streams that hold events from targets of
// two software versions, in one response or over the attempts of a caller.
func TestStreamStaysAtItsVersion(t *testing.T) {
	tests := []struct {
		name    string
		between func(fleet *fleet) // after the first attempts, at host 0
		back    []int              // hosts that the callers come back to; default all but host 0
		gone    string             // version whose streams can't go on, so that they are refused
	}{
		{name: "other hosts", between: func(*fleet) {}},
		{name: "the host that began the streams is killed", between: func(fleet *fleet) { fleet.hosts[0].kill() }},
		{name: "the data centre that began the streams is lost", between: func(fleet *fleet) {
			fleet.hosts[0].kill()
			fleet.hosts[3].kill()
		}, back: []int{1, 2}},
		{name: "only the data centre that began the streams is left", between: func(fleet *fleet) {
			for _, host := range fleet.hosts[:3] {
				host.kill()
			}
		}, back: []int{3}},
		{name: "other hosts have just started", between: func(fleet *fleet) {
			for _, host := range fleet.hosts[1:] {
				host.kill()
				fleet.startHost(host)
			}
			fleet.awaitReady()
		}},
		{name: "the host that began the streams has restarted", between: func(fleet *fleet) {
			fleet.hosts[0].kill()
			fleet.startHost(fleet.hosts[0])
			fleet.awaitReady()
		}, back: []int{0}},
		{name: "the store is lost", between: func(fleet *fleet) {
			fleet.store.SetFault(func(string, string) standin.Fault { return standin.Reset })
			time.Sleep(time.Second)
		}},
		{name: "the entries of the targets that began the streams are gone", between: func(fleet *fleet) {
			for _, engine := range fleet.engines {
				engine.SetBehaviour(nil)
			}
			fleet.store.Put("keyed.servers", "e-0", nil)
			fleet.store.Put("keyed.servers", "e-1", nil)
			time.Sleep(entryPropagation)
		}},
		{name: "all hosts have restarted", between: func(fleet *fleet) {
			for _, host := range fleet.hosts {
				host.kill()
			}
			for _, host := range fleet.hosts {
				fleet.startHost(host)
			}
			fleet.awaitReady()
		}},
		{name: "all hosts have restarted, and the version that began the streams has left", between: func(fleet *fleet) {
			for _, host := range fleet.hosts {
				host.kill()
			}
			for _, engine := range fleet.engines {
				if engine.Version == "v1" {
					fleet.store.Put("keyed.servers", engine.ID, nil)
				}
			}
			for _, host := range fleet.hosts {
				fleet.startHost(host)
			}
			fleet.awaitReady()
		}, gone: "v1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newFleetWithTwoVersions(t, 4)
			var cut []testResponse
			for range streamsPerCase {
				response := fleet.hosts[0].send(testRequest{path: "/summary/a", key: key})
				is.Equal(response.status, 200)
				is.True(!response.complete)
				is.Equal(len(fleet.versionsOf(response.attempt)), 1) // in one response
				cut = append(cut, response)
			}
			test.between(fleet)
			if test.back == nil {
				test.back = []int{1, 2, 3}
			}
			served, expected := 0, 0
			for number, first := range cut {
				second := fleet.hosts[test.back[number%len(test.back)]].resume(first)
				if !fleet.versionsOf(first.attempt)[test.gone] {
					expected++
				}
				is.Equal(len(fleet.versionsOf(first.attempt, second.attempt)), 1) // over the attempts
				if second.status == 200 {
					is.True(second.complete)
					served++
					continue
				}
				is.Equal(second.status, 503)
				is.Equal(len(fleet.runsOf(second.attempt)), 0)
				is.True(second.duration < time.Second) // refused at once
			}
			is.Equal(served, expected)
			is.True(test.gone != "" || expected == streamsPerCase)
		})
	}
}

// TestStreamOfUnknownOrigin guards against continuing a stream at any version, and
// against refusing one of a service that has had a single version all along, when the
// caller does not name the attempt that began it.
func TestStreamOfUnknownOrigin(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 3)
	fleet.config["routes"] = append(fleet.config["routes"].([]map[string]any), route("brief", "/brief/", "streaming", "engines", map[string]any{"resumable": true, "timeoutMs": 300}))
	fleet.publish()
	resume := func(host int) testResponse {
		return fleet.hosts[host].send(testRequest{path: "/brief/a", key: key, limit: 300 * time.Millisecond, header: map[string]string{"Last-Event-Id": "2"}})
	}
	// No caller that waits longer than the route's timeout resumes a stream after this time.
	const lifetime = 10 * time.Second
	fleet.eventually(lifetime+5*time.Second, "a stream of the only version goes on", func() bool { return resume(0).status == 200 })
	fleet.hosts[2].kill()
	fleet.startHost(fleet.hosts[2])
	fleet.awaitReady()
	is.Equal(resume(2).status, 200) // a host that has just started asks the others
	fleet.addEngine("e-3", "v2")
	for number := range fleet.hosts {
		refused := resume(number) // at once, although no host can have read the new entry
		is.Equal(refused.status, 503)
		is.True(strings.Contains(refused.body, "stream_origin_unknown"))
		is.Equal(len(fleet.runsOf(refused.attempt)), 0)
	}
	fleet.store.Put("keyed.servers", "e-3", nil)
	fleet.eventually(lifetime+5*time.Second, "a stream goes on when only one version is left", func() bool { return resume(1).status == 200 })
}

// TestStreamAfterRestartOfAllHosts guards against refusing to continue streams after all
// hosts have restarted although their service has had one version all along, and against
// continuing them at a version that came while no host ran: the store's log tells, unless
// it was trimmed.
func TestStreamAfterRestartOfAllHosts(t *testing.T) {
	tests := []struct {
		name    string
		between func(fleet *fleet) // while no host runs
		status  int
	}{
		{"one version", func(*fleet) {}, 200},
		{"another version has come and left", func(fleet *fleet) {
			fleet.addEngine("e-3", "v2")
			fleet.store.Put("keyed.servers", "e-3", nil)
		}, 503},
		{"all targets were replaced", func(fleet *fleet) {
			fleet.addEngine("e-3", "v2")
			for _, engine := range fleet.engines[:3] {
				fleet.store.Put("keyed.servers", engine.ID, nil)
			}
		}, 503},
		{"the store has forgotten its log", func(fleet *fleet) { fleet.store.TrimRecords() }, 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, 3)
			for _, host := range fleet.hosts {
				host.settings.Heartbeat = 500 * time.Millisecond
			}
			for number := range 40 { // the reports of 20 seconds
				for _, engine := range fleet.engines {
					fleet.store.Put("keyed.servers", engine.ID, engine.Report("ready", number+1))
				}
			}
			for _, engine := range fleet.engines {
				engine.SetBehaviour(func(standin.Run) standin.Behaviour { return standin.Truncate })
			}
			first := fleet.hosts[0].send(testRequest{path: "/summary/a", key: key})
			is.True(first.status == 200 && !first.complete)
			for _, host := range fleet.hosts {
				host.kill()
			}
			test.between(fleet)
			for _, engine := range fleet.engines {
				engine.SetBehaviour(nil)
			}
			for _, host := range fleet.hosts {
				fleet.startHost(host)
			}
			fleet.awaitReady()
			second := fleet.hosts[1].resume(first)
			is.Equal(second.status, test.status)
			is.Equal(len(fleet.versionsOf(first.attempt, second.attempt)), 1)
		})
	}
}

// TestStreamOutlivesTimeout guards against taking the version of today for that of a
// stream whose caller waits longer than the route's timeout: all hosts were away and all
// targets were replaced meanwhile, and the new hosts have run for a few timeouts.
func TestStreamOutlivesTimeout(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.config["routes"] = append(fleet.config["routes"].([]map[string]any), route("brief", "/brief/", "streaming", "engines", map[string]any{"resumable": true, "timeoutMs": 300}))
	fleet.publish()
	fleet.awaitReady()
	for _, engine := range fleet.engines {
		engine.SetBehaviour(func(standin.Run) standin.Behaviour { return standin.Truncate })
	}
	first := fleet.hosts[0].send(testRequest{path: "/brief/a", key: key})
	is.True(first.status == 200 && !first.complete)
	for _, host := range fleet.hosts {
		host.kill()
	}
	fleet.addEngine("e-3", "v2")
	for _, engine := range fleet.engines[:3] {
		fleet.store.Put("keyed.servers", engine.ID, nil)
	}
	for _, host := range fleet.hosts {
		fleet.startHost(host)
	}
	fleet.awaitReady()
	time.Sleep(1200 * time.Millisecond)
	second := fleet.hosts[1].send(testRequest{path: "/brief/a", key: key, header: map[string]string{"Last-Event-Id": "4", "Resumes": first.attempt}})
	is.Equal(second.status, 503)
	is.Equal(len(fleet.runsOf(second.attempt)), 0)
}

// TestTargetChangesItsVersion guards against continuing a stream at the version that
// its target had by its entry, if the target has restarted under its ID with another
// one and may have done so before the stream began.
func TestTargetChangesItsVersion(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	first := fleet.engines[0]
	put := func(first, others string) {
		for number, engine := range fleet.engines {
			state := others
			if number == 0 {
				state = first
			}
			fleet.store.Put("keyed.servers", engine.ID, engine.Entry(state))
		}
		time.Sleep(entryPropagation)
	}
	first.Work = 300 * time.Millisecond
	first.SetBehaviour(func(standin.Run) standin.Behaviour { return standin.Truncate })
	put("ready", "draining")
	responses := make(chan testResponse, 1)
	go func() { responses <- fleet.hosts[0].send(testRequest{path: "/summary/a", key: key}) }()
	time.Sleep(450 * time.Millisecond) // the caller has received an event
	first.Version = "v2"
	put("ready", "ready")
	response := <-responses
	is.Equal(response.status, 200)
	is.True(!response.complete)
	is.Equal(len(fleet.runsOf(response.attempt)), 1)
	resumed := fleet.hosts[1].resume(response)
	is.Equal(resumed.status, 503)
	is.Equal(len(fleet.runsOf(resumed.attempt)), 0)
}

// TestResumedStreamStaysAtItsService guards against continuing a stream at another
// service of a split route, and at a service that the route no longer leads to.
func TestResumedStreamStaysAtItsService(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	for number := range 2 {
		engine := fleet.target(fmt.Sprint("o-", number), "other-engines", eventsPerStream)
		fleet.engines = append(fleet.engines, engine)
	}
	for _, engine := range fleet.engines {
		engine.SetBehaviour(func(run standin.Run) standin.Behaviour {
			if run.Header.Get("Resumes") == "" {
				return standin.Truncate
			}
			return standin.Normal
		})
	}
	services := fleet.config["services"].([]map[string]any)
	fleet.config["services"] = append(services, map[string]any{"name": "other-engines", "connectionLimit": 100, "engine": map[string]any{"slots": 8, "eventTokens": 10}})
	routes := fleet.config["routes"].([]map[string]any)
	split := route("split", "/split/", "streaming", "", map[string]any{
		"attempts": 2, "resumable": true, "trafficSplit": []map[string]any{{"service": "engines", "weight": 50}, {"service": "other-engines", "weight": 50}},
	})
	fleet.config["routes"] = append(routes, split)
	fleet.publish()
	fleet.awaitReady()
	time.Sleep(entryPropagation)
	servicesOf := func(attempts ...string) map[string]bool {
		services := make(map[string]bool)
		for _, attempt := range attempts {
			for _, run := range fleet.runsOf(attempt) {
				services[strings.SplitN(run.Target, "-", 2)[0]] = true
			}
		}
		return services
	}
	resume := func(first testResponse) testResponse {
		return fleet.hosts[1].send(testRequest{path: "/split/a", key: key, header: map[string]string{"Last-Event-Id": "4", "Resumes": first.attempt}})
	}
	var atEngines testResponse
	for range streamsPerCase {
		first := fleet.hosts[0].send(testRequest{path: "/split/a", key: key})
		is.True(first.status == 200 && !first.complete)
		if servicesOf(first.attempt)["e"] {
			atEngines = first
		}
		second := resume(first)
		is.Equal(second.status, 200)
		is.Equal(len(servicesOf(first.attempt, second.attempt)), 1)
	}
	is.True(atEngines.attempt != "")
	split["trafficSplit"] = []map[string]any{{"service": "other-engines", "weight": 1}}
	fleet.publish()
	fleet.awaitReady()
	refused := resume(atEngines)
	is.Equal(refused.status, 503)
	is.True(strings.Contains(refused.body, "stream_service_changed"))
	is.Equal(len(fleet.runsOf(refused.attempt)), 0)
}
