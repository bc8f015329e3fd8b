package experiment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
)

// Policy is a combination of rate limiting and placement under comparison.
type Policy struct {
	Name      string
	Admission func(limit func(now time.Time) quota.Limit) Admission // creates an Admission for a rate limit
	Placement placement.Policy
}

// Pattern is a load pattern and the policies that are compared under it.
type Pattern struct {
	Name       string
	Size       Size
	Kinds      []ProgramKind
	Workspaces []string
	Length     time.Duration                                     // programs start during this time
	Load       func(elapsed time.Duration) float64               // factor of the rates at which programs start
	Limit      func(elapsed time.Duration) (rate, burst float64) // rate limit of each workspace; nil for none
	Policies   []Policy
}

// Result is the performance of a policy under a pattern. The worth owed is what
// the programs are worth, of which only the share counts that the rate limit
// permits.
type Result struct {
	Pattern  string             `json:"pattern"`
	Policy   string             `json:"policy"`
	Programs int                `json:"programs"`
	InAim    map[string]float64 `json:"in_aim_share"`   // fraction of the programs that end within their time limit, by kind
	Worth    float64            `json:"worth_of_owed"`  // ratio of the worth earned to the worth owed, at most 1
	Served   float64            `json:"served_of_owed"` // ratio of the programs that end, and endless ones, to those that the rate limit permits, at most 1
	Worst    float64            `json:"worst_window"`   // lowest ratio of worth earned to worth owed in a window
	P50      time.Duration      `json:"p50_ns"`         // duration of the programs that end
	P95      time.Duration      `json:"p95_ns"`
	Stopped  int                `json:"stopped_midway"`   // programs that fail after a call was sent
	Refused  int                `json:"refused_at_first"` // programs that fail before a call is sent
	Reasons  map[string]int     `json:"refusals"`         // number by reason
	Over     float64            `json:"most_of_limit"`    // highest ratio of the requests in a rate window to those that the limit tolerates
}

// limitSettings defines the rate window and tolerance of the simulated deployments.
var limitSettings = quota.LimitSettings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const worthWindow = 2 * time.Second // length of the windows compared for Result.Worst

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
	simulation.exchangeLoad(start.Add(pattern.Length + time.Minute))
	var programs []*program
	for index := range pattern.Kinds {
		kind := &pattern.Kinds[index]
		offset := time.Duration(0)
		for {
			offset += time.Duration(simulation.random.ExpFloat64() / (kind.ProgramsPerSecond * pattern.Load(offset)) * float64(time.Second))
			if offset >= pattern.Length {
				break
			}
			program := drawProgram(simulation.random, kind, fmt.Sprintf("%s-%d", kind.Name, len(programs)), pattern.Workspaces[simulation.random.IntN(len(pattern.Workspaces))])
			programs = append(programs, program)
			centre := dataCentre(simulation.random.IntN(3))
			simulation.schedule(offset, func() { simulation.startProgram(program, centre) })
		}
	}
	simulation.run()
	return summarize(pattern, policy, simulation, start, programs, limit, admitted)
}

// summarize computes the result of a simulation that has ended. A program counts
// for the window in which it starts.
func summarize(pattern Pattern, policy Policy, simulation *simulation, start time.Time, programs []*program, limit func(time.Time) quota.Limit, admitted []time.Time) Result {
	result := Result{Pattern: pattern.Name, Policy: policy.Name, Programs: len(programs), InAim: make(map[string]float64), Reasons: simulation.refusals}
	idleTime, count := make(map[string]time.Duration), make(map[string]int)
	demand := make(map[int]float64) // requests by rate window
	window := func(program *program, length time.Duration) int { return int(program.started.Sub(start) / length) }
	for _, program := range programs {
		idleTime[program.kind.Name] += program.idleTime
		count[program.kind.Name]++
		demand[window(program, limitSettings.Window)] += float64(program.requests)
	}
	earned, owed := make(map[int]float64), make(map[int]float64)
	var totalEarned, totalOwed, served float64
	var durations []time.Duration
	for _, program := range programs {
		meanIdle := idleTime[program.kind.Name] / time.Duration(count[program.kind.Name])
		servableShare := 1.0
		if rateLimit := limit(program.started); rateLimit.Rate > 0 {
			servableShare = min(1, (rateLimit.Rate*rateLimit.Window.Seconds()+rateLimit.Burst)/demand[window(program, limitSettings.Window)])
		}
		gained := program.earned(meanIdle)
		index := window(program, worthWindow)
		earned[index] += gained
		owed[index] += servableShare * program.worth(meanIdle)
		totalEarned += gained
		totalOwed += servableShare * program.worth(meanIdle)
		if program.failed && program.attempts == 0 {
			result.Refused++
		} else if program.failed {
			result.Stopped++
		}
		if !program.finished.IsZero() || program.endless {
			served++
		}
		result.Served += servableShare
		if !program.finished.IsZero() {
			durations = append(durations, program.finished.Sub(program.started))
			if program.finished.Sub(program.started) <= program.timeLimit {
				result.InAim[program.kind.Name] += 1 / float64(count[program.kind.Name])
			}
		}
	}
	result.Worth = min(1, totalEarned/totalOwed)
	result.Served = min(1, served/result.Served)
	result.Worst = 1
	for index, due := range owed {
		if due > 0 {
			result.Worst = math.Min(result.Worst, earned[index]/due)
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
			result.Over = math.Max(result.Over, float64(last-first+1)/tolerated)
		}
	}
	return result
}
