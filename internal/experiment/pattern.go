package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/overload"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
)

// Policy is a combination of rate limiting and placement under comparison.
type Policy struct {
	Name      string
	Admission func(limit func(now time.Time) quota.Limit) Admission // creates an Admission for a rate limit
	Placement placement.Policy
	Starts    func(random func() float64) *overload.Controller // creates the decision of a host about new programs; nil for the overload threshold of the placement
}

// Pattern is a load pattern and the policies that are compared under it.
type Pattern struct {
	Name          string
	Size          Size
	Kinds         []ProgramKind
	Workspaces    []string
	StartPeriod   time.Duration                                     // programs start during this time
	Load          func(elapsed time.Duration) float64               // factor applied to the rates at which programs start
	Limit         func(elapsed time.Duration) (rate, burst float64) // rate limit of each workspace; nil for none
	BusyWorkspace float64                                           // factor applied to the share of the first workspace while the load is above the usual; 0 for equal shares
	Speed         func(elapsed time.Duration) float64               // speed of the engines, relative to the usual; nil for 1
	LostHosts     int                                               // number of hosts that are lost at LossAt
	LossAt        time.Duration
	Policies      []Policy
}

// Result is the performance of a policy under a pattern. Worth is the relative value
// of a program that ends in time, as its kind defines it. The worth owed is the worth
// of all programs, scaled by the share of their requests that the rate limit permits.
type Result struct {
	Pattern           string             `json:"pattern"`
	Policy            string             `json:"policy"`
	Programs          int                `json:"programs"`
	OnTime            int                `json:"in_aim"`              // programs that end within their time limit
	OnTimeShare       map[string]float64 `json:"in_aim_share"`        // fraction of the programs that end within their time limit, by kind
	OnTimeByWorkspace map[string]float64 `json:"in_aim_by_workspace"` // the same by workspace
	WorthRatio        float64            `json:"worth_of_owed"`       // ratio of the worth earned to the worth owed, at most 1
	ServedRatio       float64            `json:"served_of_owed"`      // ratio of the programs that end, and endless ones, to those that the rate limit permits, at most 1
	WorstWindowRatio  float64            `json:"worst_window"`        // lowest ratio of worth earned to worth owed in a window
	P50               time.Duration      `json:"p50_ns"`              // duration of the programs that end; P95 likewise
	P95               time.Duration      `json:"p95_ns"`
	FailedMidway      int                `json:"stopped_midway"`   // programs that fail after a call was sent
	RefusedAtStart    int                `json:"refused_at_first"` // programs that fail before a call is sent
	Refusals          map[string]int     `json:"refusals"`         // number of refused requests by reason
	MaxLimitRatio     float64            `json:"most_of_limit"`    // highest ratio of the requests in a rate window to those that the limit tolerates
}

// limitSettings defines the rate window and tolerance of the simulated deployments.
var limitSettings = quota.LimitSettings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const worthWindow = 2 * time.Second // length of the windows compared for Result.WorstWindowRatio

// Run simulates a pattern under a policy. Equal seeds give equal results.
func Run(pattern Pattern, policy Policy, seed uint64) Result {
	var simulation *simulation
	var start time.Time
	limit := func(now time.Time) quota.Limit {
		if pattern.Limit == nil {
			return quota.Limit{}
		}
		rate, burst := pattern.Limit(now.Sub(start))
		return limitSettings.Limit(rate, burst)
	}
	admit := policy.Admission(limit)
	var admitted []time.Time
	simulation = newSimulation(seed, pattern.Size, policy.Placement, func(request quota.AdmissionRequest, now time.Time) quota.AdmissionResponse {
		response := admit(request, now)
		if response.Admitted {
			admitted = append(admitted, now.Add(response.Delay))
		}
		return response
	})
	start = simulation.now
	simulation.speed = pattern.Speed
	simulation.decideStarts(policy.Starts)
	if pattern.LostHosts > 0 {
		simulation.schedule(pattern.LossAt, func() { simulation.loseHosts(pattern.LostHosts) })
	}
	simulation.exchangeLoad(start.Add(pattern.StartPeriod + time.Minute))
	var programs []*program
	workspaceCount := make(map[string]int)
	for index := range pattern.Kinds {
		kind := &pattern.Kinds[index]
		offset := time.Duration(0)
		for {
			offset += time.Duration(simulation.random.ExpFloat64() / (kind.ProgramsPerSecond * pattern.Load(offset)) * float64(time.Second))
			if offset >= pattern.StartPeriod {
				break
			}
			program := drawProgram(simulation.random, kind, fmt.Sprintf("%s-%d", kind.Name, len(programs)), pattern.drawWorkspace(simulation.random, offset))
			workspaceCount[program.workspace]++
			programs = append(programs, program)
			centre := dataCentre(simulation.random.IntN(3))
			simulation.schedule(offset, func() { simulation.startProgram(program, centre) })
		}
	}
	simulation.run()
	result := summarize(pattern, policy, simulation, start, programs, limit, admitted)
	result.OnTimeByWorkspace = make(map[string]float64)
	for _, program := range programs {
		if !program.failed && !program.finished.IsZero() && program.finished.Sub(program.started) <= program.timeLimit {
			result.OnTimeByWorkspace[program.workspace] += 1 / float64(workspaceCount[program.workspace])
		}
	}
	return result
}

// drawWorkspace returns the workspace of a program that starts at a time.
func (pattern *Pattern) drawWorkspace(random *rand.Rand, offset time.Duration) string {
	count := len(pattern.Workspaces)
	if pattern.BusyWorkspace > 0 && pattern.Load(offset) > 1 && random.Float64() < pattern.BusyWorkspace/(pattern.BusyWorkspace+float64(count-1)) {
		return pattern.Workspaces[0]
	}
	if pattern.BusyWorkspace > 0 && pattern.Load(offset) > 1 {
		return pattern.Workspaces[1+random.IntN(count-1)]
	}
	return pattern.Workspaces[random.IntN(count)]
}

// summarize computes the result of a simulation that has ended. A program counts
// for the window in which it starts.
func summarize(pattern Pattern, policy Policy, simulation *simulation, start time.Time, programs []*program, limit func(time.Time) quota.Limit, admitted []time.Time) Result {
	result := Result{Pattern: pattern.Name, Policy: policy.Name, Programs: len(programs), OnTimeShare: make(map[string]float64), Refusals: simulation.refusals}
	unloadedTime, count := make(map[string]time.Duration), make(map[string]int)
	demand := make(map[int]float64) // requests by rate window
	window := func(program *program, length time.Duration) int { return int(program.started.Sub(start) / length) }
	for _, program := range programs {
		unloadedTime[program.kind.Name] += program.unloadedTime
		count[program.kind.Name]++
		demand[window(program, limitSettings.Window)] += float64(program.requests)
	}
	earned, owed := make(map[int]float64), make(map[int]float64)
	var totalEarned, totalOwed, served float64
	var durations []time.Duration
	for _, program := range programs {
		meanUnloadedTime := unloadedTime[program.kind.Name] / time.Duration(count[program.kind.Name])
		servableShare := 1.0
		if rateLimit := limit(program.started); rateLimit.Rate > 0 {
			servableShare = min(1, (rateLimit.Rate*rateLimit.Window.Seconds()+rateLimit.Burst)/demand[window(program, limitSettings.Window)])
		}
		earnedWorth := program.earned(meanUnloadedTime)
		index := window(program, worthWindow)
		earned[index] += earnedWorth
		owed[index] += servableShare * program.worth(meanUnloadedTime)
		totalEarned += earnedWorth
		totalOwed += servableShare * program.worth(meanUnloadedTime)
		if program.failed && program.attempts == 0 {
			result.RefusedAtStart++
		} else if program.failed {
			result.FailedMidway++
		}
		if !program.finished.IsZero() || program.endless {
			served++
		}
		result.ServedRatio += servableShare
		if !program.finished.IsZero() {
			durations = append(durations, program.finished.Sub(program.started))
			if program.finished.Sub(program.started) <= program.timeLimit {
				result.OnTime++
				result.OnTimeShare[program.kind.Name] += 1 / float64(count[program.kind.Name])
			}
		}
	}
	result.WorthRatio = min(1, totalEarned/totalOwed)
	result.ServedRatio = min(1, served/result.ServedRatio)
	result.WorstWindowRatio = 1
	for index, owedWorth := range owed {
		if owedWorth > 0 {
			result.WorstWindowRatio = math.Min(result.WorstWindowRatio, earned[index]/owedWorth)
		}
	}
	slices.Sort(durations)
	if len(durations) > 0 {
		result.P50, result.P95 = durations[len(durations)/2], durations[len(durations)*95/100]
	}
	if pattern.Limit != nil {
		slices.SortFunc(admitted, time.Time.Compare)
		for first, last := 0, 0; last < len(admitted); last++ {
			for !admitted[last].Before(admitted[first].Add(limitSettings.Window)) {
				first++
			}
			// A lowered limit takes effect one window later, so the limit at the
			// first request of the window applies.
			rateLimit := limit(admitted[first])
			tolerated := (rateLimit.Rate*limitSettings.Window.Seconds()+rateLimit.Burst)*(1+limitSettings.Overage) + limitSettings.Slack
			result.MaxLimitRatio = math.Max(result.MaxLimitRatio, float64(last-first+1)/tolerated)
		}
	}
	return result
}
