package gateway_test

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

const (
	limitWindow  = 4 * time.Second // in which the requests of a target are counted
	limitFactor  = 1.5             // tolerated multiple of a limit
	limitSlack   = 5               // requests tolerated beyond it
	limitSettled = 3 * time.Second // after a limit was first named, from which it is enforced
)

// mostInWindow returns the largest number of requests that arrived in a window,
// of those after a time.
func mostInWindow(arrivals []time.Time, after time.Time) int {
	most, first := 0, 0
	for last, arrival := range arrivals {
		for arrivals[first].Before(after) && first < last || arrival.Sub(arrivals[first]) > limitWindow {
			first++
		}
		if !arrival.Before(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// toleratedInWindow returns the largest number of requests that a target with a
// limit may get in a window.
func toleratedInWindow(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
}

// drive sends a request to each of the hosts at an interval, and returns the
// responses when all have arrived.
func (fleet *fleet) drive(request testRequest, hosts []*testHost, interval, duration time.Duration) []testResponse {
	var mutex sync.Mutex
	var responses []testResponse
	var sending sync.WaitGroup
	for _, host := range hosts {
		sending.Add(1)
		go func() {
			defer sending.Done()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
				sending.Add(1)
				go func() {
					defer sending.Done()
					response := host.send(request)
					mutex.Lock()
					defer mutex.Unlock()
					responses = append(responses, response)
				}()
			}
		}()
	}
	sending.Wait()
	return responses
}

// TestTargetLimitOverHosts guards against hosts that together send a target more
// requests than the limit that it names, while others of its service have room.
func TestTargetLimitOverHosts(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		targets func(*fleet) []*standin.Target
		limits  []float64 // by target; 0 for none
	}{
		{"plain service, one target", "/lookup/a", func(fleet *fleet) []*standin.Target { return fleet.tools }, []float64{3, 0, 0}},
		{"engines, two targets", "/summary/a", func(fleet *fleet) []*standin.Target { return fleet.engines }, []float64{2, 0.5, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, 4)
			targets := test.targets(fleet)
			for number, limit := range test.limits {
				if limit > 0 {
					targets[number].SetLimit(strconv.FormatFloat(limit, 'f', -1, 64))
				}
			}
			start := time.Now()
			responses := fleet.drive(testRequest{path: test.path, key: key}, fleet.hosts, 80*time.Millisecond, limitSettled+limitWindow+time.Second)
			for _, response := range responses {
				is.Equal(response.status, 200)
			}
			for number, limit := range test.limits {
				if limit > 0 {
					most := mostInWindow(targets[number].Arrivals(), start.Add(limitSettled))
					t.Logf("limit %g: %d requests in a window, %d tolerated", limit, most, toleratedInWindow(limit))
					is.True(most <= toleratedInWindow(limit))
				}
			}
		})
	}
}
