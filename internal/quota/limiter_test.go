package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// noticeTime is how long hosts take to notice that others are silent.
const noticeTime = 800 * time.Millisecond

// fleet is hosts of which some are cut off at times.
type fleet struct {
	clock *clockwork.FakeClock
	hosts []*fleetHost
}

type fleetHost struct {
	fleet   *fleet
	number  int
	limiter *Limiter
	heard   []time.Time // when each host was last heard
}

func newFleet(t *testing.T, size int) *fleet {
	fleet := &fleet{clock: clockwork.NewFakeClockAt(time.Unix(10_000, 0))}
	for number := range size {
		host := &fleetHost{fleet: fleet, number: number, heard: make([]time.Time, size)}
		metrics := metric.New(fmt.Sprint(number), "dc")
		t.Cleanup(func() { _ = metrics.Close() })
		host.limiter = NewLimiter(host, fleet.clock, metrics)
		fleet.hosts = append(fleet.hosts, host)
	}
	return fleet
}

func (host *fleetHost) alive(other int) bool {
	return other == host.number || host.fleet.clock.Since(host.heard[other]) <= noticeTime
}

func (host *fleetHost) Home(workspace string) (string, bool) {
	best, highest := host.number, uint64(0)
	for number := range host.fleet.hosts {
		if weight := xxhash.Sum64String(fmt.Sprint(workspace, number)); host.alive(number) && weight > highest {
			best, highest = number, weight
		}
	}
	return fmt.Sprint(best), best == host.number
}

var errCut = errors.New("host is cut off")

func (host *fleetHost) AskQuota(_ context.Context, address string, question Question) (Answer, error) {
	for number, other := range host.fleet.hosts {
		if fmt.Sprint(number) == address && host.fleet.clock.Since(host.heard[number]) < time.Millisecond {
			return other.limiter.Serve(question), nil
		}
	}
	return Answer{}, errCut
}

func (host *fleetHost) Portion() (float64, float64) {
	live := 0
	for number := range host.fleet.hosts {
		if host.alive(number) {
			live++
		}
	}
	return float64(live) / float64(len(host.fleet.hosts)), 1 / float64(len(host.fleet.hosts))
}

// TestRateWhileCut replays a workspace that presses beyond its limit through
// all hosts, while four of ten are cut off and return, three times: no window
// takes more than the deployment tolerates.
func TestRateWhileCut(t *testing.T) {
	is := is.New(t)
	terms := Terms{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	for _, rate := range []float64{36, 95, 400} {
		fleet := newFleet(t, 10)
		random := rand.New(rand.NewPCG(3, uint64(rate)))
		begun := fleet.clock.Now()
		var taken []time.Time
		served := make(map[bool]int) // by whether the hosts are cut off
		for step := range 3000 {
			fleet.clock.Advance(10 * time.Millisecond)
			now := fleet.clock.Now()
			cut := step%1000 >= 500 && step%1000 < 900
			for _, host := range fleet.hosts {
				for other := range fleet.hosts {
					if !cut || (host.number < 4) == (other < 4) {
						host.heard[other] = now
					}
				}
				host.limiter.Tidy()
			}
			for range 1 + int(rate/30) {
				host := fleet.hosts[random.IntN(10)]
				answer := host.limiter.ask(context.Background(), Question{Workspace: "w", Limit: terms.Limit(rate, rate), Program: fmt.Sprint(random.IntN(40)), Route: "r"})
				if answer.Admitted {
					taken = append(taken, now.Add(answer.Delay))
					served[cut]++
				}
			}
		}
		sort.Slice(taken, func(left, right int) bool { return taken[left].Before(taken[right]) })
		most, worst := (rate*5+rate)*1.1+20, 0
		var at time.Time
		for first, last := 0, 0; last < len(taken); last++ {
			for !taken[last].Before(taken[first].Add(terms.Window)) {
				first++
			}
			if last-first+1 > worst {
				worst, at = last-first+1, taken[first]
			}
		}
		t.Logf("rate %v: %d in a window from %v, tolerated %v; %d served while whole, %d while cut", rate, worst, at.Sub(begun), most, served[false], served[true])
		is.True(float64(worst) <= most)
		is.True(float64(served[true]) >= 0.6*rate*12) // and the rate is not left unused
	}
}

// TestNotTheKeeper checks that a host which does not keep an account says so,
// and that the one that asked then uses its own small part.
func TestNotTheKeeper(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	fleet.clock.Advance(time.Second)
	keeper, asking := fleet.hosts[0], fleet.hosts[1]
	for _, host := range fleet.hosts {
		for other := range fleet.hosts {
			host.heard[other] = fleet.clock.Now()
		}
	}
	if _, self := keeper.Home("w"); !self {
		keeper, asking = asking, keeper
	}
	question := Question{Workspace: "w", Limit: Limit{Rate: 40, Burst: 40, Window: 5 * time.Second}}
	is.True(keeper.limiter.Serve(question).Admitted)
	is.Equal(asking.limiter.Serve(question), Answer{Elsewhere: true})
	is.Equal(len(asking.limiter.accounts), 0)
}
