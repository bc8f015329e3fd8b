package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
)

// Policy is a way to decide.
type Policy struct {
	Name      string
	Rates     func(limit func(now time.Time) quota.Limit) Rates
	Placement placement.Policy
}

// Pattern is a load that is replayed.
type Pattern struct {
	Name       string
	Size       Size
	Kinds      []Kind
	Workspaces []string
	Length     time.Duration
	Load       func(passed time.Duration) float64               // factor of the programs' rates
	Limit      func(passed time.Duration) (rate, burst float64) // of each workspace; none if nil
	Policies   []Policy
}

// Result is what a policy achieved.
type Result struct {
	Pattern  string             `json:"pattern"`
	Policy   string             `json:"policy"`
	Programs int                `json:"programs"`
	InAim    map[string]float64 `json:"in_aim_share"`
	Worth    float64            `json:"worth_of_owed"`
	Served   float64            `json:"served_of_owed"`
	Worst    float64            `json:"worst_window"`
	P50      time.Duration      `json:"p50_ns"`
	P95      time.Duration      `json:"p95_ns"`
	Stopped  int                `json:"stopped_midway"`
	Refused  int                `json:"refused_at_first"`
	Reasons  map[string]int     `json:"refusals"`
	Over     float64            `json:"most_of_limit"` // largest part of the tolerated requests that a window took
}

// limitSettings are the rate window and tolerance of the replayed deployments.
var limitSettings = quota.LimitSettings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const windowTime = 2 * time.Second // of the worst window

// Run replays a pattern with a policy.
func Run(pattern Pattern, policy Policy, seed uint64) Result {
	var world *world
	var start time.Time
	limit := func(now time.Time) quota.Limit {
		if pattern.Limit == nil {
			return quota.Limit{}
		}
		rate, burst := pattern.Limit(now.Sub(start))
		return limitSettings.Limit(rate, burst)
	}
	inner := policy.Rates(limit)
	var taken []time.Time
	world = newWorld(seed, pattern.Size, policy.Placement, func(request quota.AdmissionRequest, now time.Time) quota.AdmissionResponse {
		response := inner(request, now)
		if response.Admitted {
			taken = append(taken, now.Add(response.Delay))
		}
		return response
	})
	start = world.now
	world.exchange(start.Add(pattern.Length + time.Minute))
	var programs []*program
	for index := range pattern.Kinds {
		kind := &pattern.Kinds[index]
		at := time.Duration(0)
		for {
			at += time.Duration(world.random.ExpFloat64() / (kind.PerSecond * pattern.Load(at)) * float64(time.Second))
			if at >= pattern.Length {
				break
			}
			one := draw(world.random, kind, fmt.Sprintf("%s-%d", kind.Name, len(programs)), pattern.Workspaces[world.random.IntN(len(pattern.Workspaces))])
			programs = append(programs, one)
			centre := dataCentre(world.random.IntN(3))
			world.after(at, func() { world.launch(one, centre) })
		}
	}
	world.run()
	return measure(pattern, policy, world, start, programs, limit, taken)
}

func measure(pattern Pattern, policy Policy, world *world, start time.Time, programs []*program, limit func(time.Time) quota.Limit, taken []time.Time) Result {
	result := Result{Pattern: pattern.Name, Policy: policy.Name, Programs: len(programs), InAim: make(map[string]float64), Reasons: world.reasons}
	idle, count := make(map[string]time.Duration), make(map[string]int)
	needed := make(map[int]float64) // requests by window of the rate
	window := func(one *program, length time.Duration) int { return int(one.begun.Sub(start) / length) }
	for _, one := range programs {
		idle[one.kind.Name] += one.idle
		count[one.kind.Name]++
		needed[window(one, limitSettings.Window)] += float64(one.requests)
	}
	earned, owed := make(map[int]float64), make(map[int]float64)
	var earnedAll, owedAll, served float64
	var took []time.Duration
	for _, one := range programs {
		mean := idle[one.kind.Name] / time.Duration(count[one.kind.Name])
		share := 1.0
		if bound := limit(one.begun); bound.Rate > 0 {
			share = min(1, (bound.Rate*bound.Window.Seconds()+bound.Burst)/needed[window(one, limitSettings.Window)])
		}
		gained := one.earned(mean)
		at := window(one, windowTime)
		earned[at] += gained
		owed[at] += share * one.worth(mean)
		earnedAll += gained
		owedAll += share * one.worth(mean)
		if one.failed && one.sent == 0 {
			result.Refused++
		} else if one.failed {
			result.Stopped++
		}
		if !one.finished.IsZero() || one.endless {
			served++
		}
		result.Served += share
		if !one.finished.IsZero() {
			took = append(took, one.finished.Sub(one.begun))
			if one.finished.Sub(one.begun) <= one.aim {
				result.InAim[one.kind.Name] += 1 / float64(count[one.kind.Name])
			}
		}
	}
	result.Worth = min(1, earnedAll/owedAll)
	result.Served = min(1, served/result.Served)
	result.Worst = 1
	for at, due := range owed {
		if due > 0 {
			result.Worst = math.Min(result.Worst, earned[at]/due)
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		result.P50, result.P95 = took[len(took)/2], took[len(took)*95/100]
	}
	if pattern.Limit != nil {
		slices.SortFunc(taken, time.Time.Compare)
		for first, last := 0, 0; last < len(taken); last++ {
			for !taken[last].Before(taken[first].Add(limitSettings.Window)) {
				first++
			}
			// A lowered limit binds a window later.
			bound := limit(taken[first])
			most := (bound.Rate*limitSettings.Window.Seconds()+bound.Burst)*(1+limitSettings.Overage) + limitSettings.Slack
			result.Over = math.Max(result.Over, float64(last-first+1)/most)
		}
	}
	return result
}
