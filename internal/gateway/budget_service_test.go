package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestBudgetOfRemovedService guards against counting the events of a turn by the
// configuration in force when the turn ends: its service may have left the configuration
// or changed meanwhile. The turns must count as the configuration at their arrival says.
func TestBudgetOfRemovedService(t *testing.T) {
	const (
		eventTokens = 10
		tokens      = eventTokens * eventsPerStream // of one turn
		budget      = 8 * tokens
	)
	service := func(name string, eventTokens int) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 100, "engine": map[string]any{"slots": 8, "eventTokens": eventTokens}}
	}
	cases := []struct {
		name     string
		versions [][]map[string]any // engines of each version that is published during the first turns
	}{
		{"no change", nil},
		{"removed", [][]map[string]any{{service("next", eventTokens)}}},
		{"removed and back with fewer tokens an event", [][]map[string]any{{service("next", eventTokens)}, {service("next", eventTokens), service("engines", 1)}}},
		{"no engine any more", [][]map[string]any{{service("next", eventTokens), {"name": "engines", "healthPath": "/health", "connectionLimit": 100}}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(t, 3)
			plain := fleet.config["services"].([]map[string]any)[0]
			fleet.engines = append(fleet.engines, fleet.target("n-0", "next", eventsPerStream))
			for _, engine := range fleet.engines[:3] {
				engine.SetWork(200 * time.Millisecond)
			}
			var mutex sync.Mutex
			total := 0
			turn := func(host *testHost) int {
				response := host.send(testRequest{path: "/summary/x", key: key, body: "input", program: "p", budget: budget, tokens: tokens})
				mutex.Lock()
				defer mutex.Unlock()
				total += eventTokens * strings.Count(response.body, "id: ")
				return response.status
			}
			var turns sync.WaitGroup
			for number := range 6 {
				turns.Go(func() {
					if status := turn(fleet.hosts[number%3]); status != http.StatusOK {
						t.Errorf("turn %d: status %d", number, status)
					}
				})
			}
			time.Sleep(200 * time.Millisecond) // the turns have begun
			for _, engines := range test.versions {
				routes := fleet.config["routes"].([]map[string]any)
				for index, fields := range routes {
					if name := fmt.Sprint(fields["name"]); name == "summary" || name == "dialogue" {
						routes[index]["service"] = "next"
					}
				}
				fleet.config["services"] = append([]map[string]any{plain}, engines...)
				fleet.publish()
				fleet.awaitReady()
			}
			turns.Wait()
			for number := 0; ; number++ {
				status := turn(fleet.hosts[number%3])
				if status == http.StatusPaymentRequired {
					break
				}
				if status != http.StatusOK {
					t.Fatalf("further turn %d: status %d", number, status)
				}
			}
			if total != budget {
				t.Errorf("the program got %d tokens, its budget is %d", total, budget)
			}
		})
	}
}
