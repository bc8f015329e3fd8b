package trial

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// silentStore plays a burst of turns, then a calm phase in which the open channels between
// the hosts and the store go silent while new ones work, and then a change of the
// configuration that moves a route to another service.
func silentStore(record *record, trouble bool) (held bool, err error) {
	deployment, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer deployment.close()
	for number := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+number)
		for _, target := range []*standin.Target{
			{ID: fmt.Sprintf("engine-%d", number), Service: "engines", DataCentre: zone, Events: 4, Work: 15 * time.Millisecond},
			{ID: fmt.Sprintf("old-%d", number), Service: "old", DataCentre: zone, Work: 5 * time.Millisecond},
			{ID: fmt.Sprintf("new-%d", number), Service: "new", DataCentre: zone, Work: 5 * time.Millisecond},
		} {
			if err := deployment.addTarget(target); err != nil {
				return false, err
			}
		}
	}
	if err := deployment.putConfiguration(silentConfiguration(1, "old")); err != nil {
		return false, err
	}
	if err := deployment.addHosts(3); err != nil {
		return false, err
	}
	if err := deployment.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	record.printf("burst of turns")
	var programs sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for number := range 28 {
		programs.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				previous := ""
				for turn := range 4 {
					response := deployment.send(deployment.hosts[(number+turn)%len(deployment.hosts)], standin.CallerRequest{
						Path: "/dialogue/x", Body: fmt.Sprintf("turn %d of program %d;", turn, number), Key: fmt.Sprintf("key-%d", number%tenants),
						Program: fmt.Sprintf("p%d-%d", number, round), Previous: previous, Budget: 5000, Tokens: 100,
					})
					if response.Status != 200 {
						break
					}
					previous = response.Attempt
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	programs.Wait()
	record.printf("calm phase")
	time.Sleep(4 * time.Second)
	if trouble {
		for _, host := range deployment.hosts {
			record.printf("the %d open channels of %s to the store go silent; new ones work", host.store.silence(), host.name)
		}
	}
	silenced := time.Now()
	time.Sleep(500 * time.Millisecond)
	if err := deployment.putConfiguration(silentConfiguration(2, "new")); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	// Requests count later than configMs after the ack, and once the channels of the
	// machines have not been reset for stabilityWindowMs.
	judgedFrom := silenced.Add(stabilityMillis * time.Millisecond)
	if bound := acknowledged.Add(configMillis * time.Millisecond); bound.After(judgedFrom) {
		judgedFrom = bound
	}
	time.Sleep(time.Until(judgedFrom) + 20*time.Millisecond)
	stale, served := 0, 0
	for time.Since(acknowledged) < 15*time.Second {
		for _, host := range deployment.hosts {
			late := time.Since(acknowledged).Round(time.Millisecond)
			response := deployment.send(host, standin.CallerRequest{Path: "/lookup/x", Key: "key-0"})
			if response.Status != 200 {
				continue
			}
			served++
			if strings.Contains(response.Body, "by old-") {
				stale++
				record.printf("%s was sent to %s %v after the ack of version 2 and run by the service of version 1", response.Attempt, host.name, late)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	record.printf("%d requests served, %d of them by the old service", served, stale)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return stale == 0, nil
}

const tenants = 8

func silentConfiguration(version int, service string) map[string]any {
	var workspaces []map[string]any
	for number := range tenants {
		workspaces = append(workspaces, map[string]any{"name": fmt.Sprintf("tenant-%d", number), "keys": []string{fmt.Sprintf("key-%d", number)}, "ratePerS": 500, "burst": 500})
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			routeOf("lookup", "safe", service, nil),
			routeOf("filing", "unsafe", service, map[string]any{"attempts": 1}),
			routeOf("dialogue", "streaming", "engines", map[string]any{"retainContext": true, "retentionS": 60}),
		},
		"services": []map[string]any{
			{"name": "old", "connectionLimit": 100}, {"name": "new", "connectionLimit": 100},
			{"name": "engines", "connectionLimit": 140, "engine": map[string]any{"slots": 8, "eventTokens": 14}},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": workspaces,
	}
}
