package quota

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// detectionTime is the time after which hosts consider another host unreachable.
const detectionTime = 800 * time.Millisecond

// fleet is a set of hosts between which a network partition can occur.
type fleet struct {
	clock *clockwork.FakeClock
	hosts []*fleetHost
}

type fleetHost struct {
	fleet    *fleet
	number   int
	limiter  *Limiter
	lastSeen []time.Time // by host
}

func newFleet(t *testing.T, size int) *fleet {
	fleet := &fleet{clock: clockwork.NewFakeClockAt(time.Unix(10_000, 0))}
	for number := range size {
		host := &fleetHost{fleet: fleet, number: number, lastSeen: make([]time.Time, size)}
		metrics := metric.New(fmt.Sprint(number), "dc")
		t.Cleanup(func() { _ = metrics.Close() })
		host.limiter = NewLimiter(host, fleet.clock, metrics)
		fleet.hosts = append(fleet.hosts, host)
	}
	return fleet
}

func (host *fleetHost) reachable(other int) bool {
	return other == host.number || host.fleet.clock.Since(host.lastSeen[other]) <= detectionTime
}

func (host *fleetHost) Coordinator(workspace string) (string, bool) {
	coordinator, highest := host.number, uint64(0)
	for number := range host.fleet.hosts {
		if weight := xxhash.Sum64String(fmt.Sprint(workspace, number)); host.reachable(number) && weight > highest {
			coordinator, highest = number, weight
		}
	}
	return fmt.Sprint(coordinator), coordinator == host.number
}

var errPartitioned = errors.New("host is on the other side of a network partition")

func (host *fleetHost) RequestAdmission(_ context.Context, address string, request AdmissionRequest) (AdmissionResponse, error) {
	for number, other := range host.fleet.hosts {
		if fmt.Sprint(number) == address && host.fleet.clock.Since(host.lastSeen[number]) < time.Millisecond {
			return other.limiter.Serve(request), nil
		}
	}
	return AdmissionResponse{}, errPartitioned
}

func (host *fleetHost) ReachableShare() (float64, float64) {
	live := 0
	for number := range host.fleet.hosts {
		if host.reachable(number) {
			live++
		}
	}
	return float64(live) / float64(len(host.fleet.hosts)), 1 / float64(len(host.fleet.hosts))
}

// TestRateDuringPartition guards against exceeding a limit around network
// partitions: a workspace sends more than its limit through all hosts while
// four of ten hosts are partitioned off and return, three times. No window may
// admit more requests than the deployment tolerates.
func TestRateDuringPartition(t *testing.T) {
	is := is.New(t)
	settings := LimitSettings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, rate := range []float64{36, 95, 400} {
		fleet := newFleet(t, 10)
		random := rand.New(rand.NewPCG(3, uint64(rate)))
		start := fleet.clock.Now()
		var admitted []time.Time
		served := make(map[bool]int) // by whether the hosts are partitioned
		for step := range 3000 {
			fleet.clock.Advance(10 * time.Millisecond)
			now := fleet.clock.Now()
			partitioned := step%1000 >= 500 && step%1000 < 900
			for _, host := range fleet.hosts {
				for other := range fleet.hosts {
					if !partitioned || (host.number < 4) == (other < 4) {
						host.lastSeen[other] = now
					}
				}
				host.limiter.EvictAccounts()
			}
			for range 1 + int(rate/30) {
				host := fleet.hosts[random.IntN(10)]
				response := host.limiter.decide(context.Background(), AdmissionRequest{Workspace: "w", Limit: settings.Limit(rate, rate), Program: fmt.Sprint(random.IntN(40)), Route: "r"})
				if response.Admitted {
					admitted = append(admitted, now.Add(response.Delay))
					served[partitioned]++
				}
			}
		}
		sort.Slice(admitted, func(left, right int) bool { return admitted[left].Before(admitted[right]) })
		tolerated, worst := (rate*5+rate)*1.1+20, 0
		var at time.Time
		for first, last := 0, 0; last < len(admitted); last++ {
			for !admitted[last].Before(admitted[first].Add(settings.Window)) {
				first++
			}
			if last-first+1 > worst {
				worst, at = last-first+1, admitted[first]
			}
		}
		t.Logf("rate %v: got %d in the window from %v, want at most %v; %d served without a partition, %d during one", rate, worst, at.Sub(start), tolerated, served[false], served[true])
		is.True(float64(worst) <= tolerated)
		is.True(float64(served[true]) >= 0.6*rate*12) // the partitioned hosts use at least 60 % of the rate
	}
}

// TestNotCoordinator guards against a second account of a workspace: a host
// that is not the coordinator must say so and must not create an account.
func TestNotCoordinator(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.clock.Advance(time.Second)
	coordinator, other := fleet.hosts[0], fleet.hosts[1]
	for _, host := range fleet.hosts {
		for other := range fleet.hosts {
			host.lastSeen[other] = fleet.clock.Now()
		}
	}
	if _, self := coordinator.Coordinator("w"); !self {
		coordinator, other = other, coordinator
	}
	request := AdmissionRequest{Workspace: "w", Limit: Limit{Rate: 40, Burst: 40, Window: 5 * time.Second}}
	is.True(coordinator.limiter.Serve(request).Admitted)
	is.Equal(other.limiter.Serve(request), AdmissionResponse{NotCoordinator: true})
	is.Equal(len(other.limiter.accounts), 0)
}

// TestMalformedAdmissionRequest guards against a request of another host whose limit
// ends the process of the coordinator or uses up its memory.
func TestMalformedAdmissionRequest(t *testing.T) {
	valid := Limit{Rate: 10, Burst: 10, Window: 5 * time.Second}
	tests := []struct {
		name  string
		limit Limit
	}{
		{"negative window", Limit{Rate: 10, Burst: 10, Window: -time.Hour}},
		{"no window", Limit{Rate: 10, Burst: 10}},
		{"window of centuries", Limit{Rate: 10, Burst: 10, Window: math.MaxInt64}},
		{"rate is not a number", Limit{Rate: math.NaN(), Burst: 10, Window: 5 * time.Second}},
		{"infinite burst", Limit{Rate: 10, Burst: math.Inf(1), Window: 5 * time.Second}},
		{"negative reserve", Limit{Rate: 10, Burst: 10, Window: 5 * time.Second, Reserve: -1}},
	}
	for _, test := range tests {
		is := is.New(t)
		fleet := newFleet(t, 1)
		limiter := fleet.hosts[0].limiter
		is.True(!limiter.Serve(AdmissionRequest{Workspace: "w", Limit: test.limit}).Admitted) // test.name
		fleet.clock.Advance(time.Minute)
		is.True(limiter.Serve(AdmissionRequest{Workspace: "w", Limit: valid}).Admitted) // test.name
		is.True(!limiter.Serve(AdmissionRequest{Workspace: "w", Limit: test.limit}).Admitted)
		is.True(limiter.Serve(AdmissionRequest{Workspace: "w", Limit: valid}).Admitted)
	}
}
