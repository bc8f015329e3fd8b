package gateway_test

import (
	"context"
	"strconv"
	"strings"
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
		limits  []float64    // by target; 0 for none
		fault   func(*fleet) // after the limits are enforced
	}{
		{"plain service, one target", "/lookup/a", func(fleet *fleet) []*standin.Target { return fleet.tools }, []float64{3, 0, 0}, nil},
		{"engines, two targets", "/summary/a", func(fleet *fleet) []*standin.Target { return fleet.engines }, []float64{2, 0.5, 0}, nil},
		{"a host restarts", "/lookup/a", func(fleet *fleet) []*standin.Target { return fleet.tools }, []float64{3, 3, 0}, func(fleet *fleet) {
			restarted := fleet.hosts[3]
			restarted.kill()
			fleet.startHost(restarted)
		}},
		{"a host stops as planned", "/lookup/a", func(fleet *fleet) []*standin.Target { return fleet.tools }, []float64{3, 3, 0}, func(fleet *fleet) {
			fleet.hosts[3].stopped = true
			if err := fleet.hosts[3].Stop(context.Background()); err != nil {
				fleet.t.Error(err)
			}
		}},
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
			if test.fault != nil {
				timer := time.AfterFunc(limitSettled+time.Second, func() { test.fault(fleet) })
				defer timer.Stop()
			}
			// The fault affects the host that gets no requests of callers.
			responses := fleet.drive(testRequest{path: test.path, key: key}, fleet.hosts[:3], 60*time.Millisecond, limitSettled+limitWindow+time.Second)
			for _, response := range responses {
				is.Equal(response.status, 200)
			}
			unused := fleet.hosts[3] // has sent no request to a target
			if test.fault == nil {
				is.True(len(unused.Status().TargetLimits) > 0)
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

// TestTargetsAtTheirLimits guards against requests that wait for targets without
// room until their deadline passes, and against refusals that leave room unused or
// name a time at which there is none.
func TestTargetsAtTheirLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := newFleet(t, 3)
	const limit = 2.0 // of each of the three targets
	for _, target := range fleet.tools {
		target.SetLimit("2")
	}
	const duration = 4 * time.Second
	responses := fleet.drive(testRequest{path: "/lookup/a", key: key}, fleet.hosts, 50*time.Millisecond, duration)
	served, refused, longest := 0, 0, time.Duration(0)
	for _, response := range responses {
		if response.status == 200 {
			served++
			longest = max(longest, response.duration)
			continue
		}
		refused++
		is.Equal(response.status, 503)
		is.True(strings.Contains(response.body, "targets_limited"))
		is.Equal(len(fleet.runsOf(response.attempt)), 0)
		is.True(response.duration < 300*time.Millisecond)
		delay, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(delay > 0 && delay < 2)
	}
	allowed := len(fleet.tools) * int(limit*duration.Seconds())
	t.Logf("%d served, %d refused, %d allowed", served, refused, allowed)
	is.True(served >= allowed/2 && refused > 0)
	is.True(longest > 200*time.Millisecond) // a request waits for room that it will have soon
	for _, target := range fleet.tools {
		target.SetLimit("")
	}
	fleet.eventually(3*time.Second, "requests are served without a limit", func() bool {
		for range 20 {
			if fleet.hosts[0].send(testRequest{path: "/lookup/a", key: key}).status != 200 {
				return false
			}
		}
		return true
	})
}
