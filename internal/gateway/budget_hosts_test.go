package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestBudgetOfDepartedHost guards against losing the part of a budget that a host holds
// when it leaves for good: after its planned stop the other hosts must serve the turns
// that the budget allows, and refuse the next one as spent at once. The part that a
// killed host held counts as spent, and turns must not be refused as "unavailable" for
// longer than it takes to notice the loss.
func TestBudgetOfDepartedHost(t *testing.T) {
	const (
		used     = 10 * eventsPerStream // tokens of one turn
		programs = 6
	)
	stop := func(t *testing.T, host *testHost) {
		host.stopped = true
		if err := host.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}
	kill := func(_ *testing.T, host *testHost) { host.kill() }
	cases := []struct {
		name      string
		first     int // host that serves the first turns
		claimed   int // tokens that a turn may use
		budget    int
		eventTime time.Duration // of each event of the first turns
		depart    func(t *testing.T, host *testHost)
		settled   time.Duration // after which the loss is noticed
		turns     int           // that the budget allows
		whole     bool          // no tokens are lost
	}{
		{"planned stop", 0, used, 3 * used, 0, stop, 0, 3, true},
		{"planned stop during turns that another host serves", 3, 2 * used, 4 * used, 350 * time.Millisecond, stop, 0, 3, true},
		{"kill", 0, used, 3 * used, 0, kill, 3 * time.Second, 3, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(t, 4) // the first and the last one are in the same data centre
			turn := func(host *testHost, program, previous string) testResponse {
				return host.send(testRequest{path: "/dialogue/x", key: key, body: "new input", program: program, previous: previous, budget: test.budget, tokens: test.claimed})
			}
			slow := func(pause time.Duration) {
				for _, engine := range fleet.engines {
					engine.SetWork(pause)
				}
			}
			slow(test.eventTime)
			var first, later sync.WaitGroup
			attempts := make([]string, programs)
			begin := func(number int) {
				response := turn(fleet.hosts[test.first], fmt.Sprintf("p-%d", number), "")
				if response.status != http.StatusOK || !response.complete {
					t.Errorf("first turn of program %d: status %d, complete %t", number, response.status, response.complete)
				}
				attempts[number] = response.attempt
			}
			for number := range programs {
				first.Go(func() { begin(number) })
			}
			if test.first == 0 {
				first.Wait()
			} else {
				time.Sleep(100 * time.Millisecond) // the turns have begun
			}
			slow(0)
			test.depart(t, fleet.hosts[0])
			first.Wait()
			time.Sleep(test.settled)
			for number, last := range attempts {
				later.Go(func() {
					served := 1
					for {
						response := turn(fleet.hosts[1], fmt.Sprintf("p-%d", number), last)
						if response.status == http.StatusPaymentRequired {
							break
						}
						if response.status != http.StatusOK {
							t.Errorf("turn %d of program %d: status %d, body %q", served+1, number, response.status, response.body)
							return
						}
						served, last = served+1, response.attempt
					}
					if served > test.turns || test.whole && served < test.turns {
						t.Errorf("%d turns of program %d were served, the budget allows %d", served, number, test.turns)
					}
				})
			}
			later.Wait()
		})
	}
}
