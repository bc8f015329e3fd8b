package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/target"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

type policiesCommand struct {
	console *console
	Output  string `long:"output" default:"out" description:"directory for the report"`
	Known   string `long:"known" default:"KNOWN-RED.txt" description:"file that lists the performance goals known to be missed"`
	Seed    uint64 `long:"seed" default:"20261204" description:"seed of the workload"`
}

// schedulingPolicy combines a queue order with a placement.
type schedulingPolicy struct {
	name               string
	knowsRemainingWork bool // the policy orders by the work that a program has left
	build              func(random func() float64) (target.Queue, target.Placement)
}

const (
	policyFairPrefix = "fair order, prefix placement"
	policyOracle     = "oracle of sizes"
	loadReportLag    = 2 * time.Second // age of the load that two-choice placement compares
)

func schedulingPolicies() []schedulingPolicy {
	return []schedulingPolicy{
		{policyFairPrefix, false, func(func() float64) (target.Queue, target.Placement) {
			return target.NewFairQueue(), target.PrefixPlacement{}
		}},
		{"first come, round robin", false, func(func() float64) (target.Queue, target.Placement) {
			return target.NewFIFOQueue(), &target.RoundRobinPlacement{}
		}},
		{"least of two by lagged load", false, func(random func() float64) (target.Queue, target.Placement) {
			return target.NewFIFOQueue(), &target.TwoChoicePlacement{Random: random, Lag: loadReportLag}
		}},
		{"session affinity", false, func(func() float64) (target.Queue, target.Placement) {
			return target.NewFIFOQueue(), &target.AffinityPlacement{}
		}},
		{policyOracle, true, func(func() float64) (target.Queue, target.Placement) {
			return target.NewLeastAttainedQueue(), target.PrefixPlacement{}
		}},
	}
}

// policyScenario is a workload, and optionally a fault, under which the policies
// are measured.
type policyScenario struct {
	name                      string
	engines                   int
	load                      float64 // offered load as a fraction of the engines' capacity
	classes                   []programClass
	firstWorkspaceExceedsRate bool // the first workspace sends five times its normal load
	injectFault               func(fleet *policyFleet)
}

// policyResult is the result of one policy in one scenario.
type policyResult struct {
	Scenario         string             `json:"scenario"`
	Policy           string             `json:"policy"`
	Programs         int64              `json:"programs"`
	P50              float64            `json:"p50_s"`
	P95              float64            `json:"p95_s"`
	P99              float64            `json:"p99_s"`
	ByClass          map[string]float64 `json:"p95_by_class_s"`
	FirstTokenP95    float64            `json:"first_token_p95_s"`
	WastedShare      float64            `json:"wasted_part"`
	WorstShare       float64            `json:"worst_share"`
	Refused          int                `json:"refused"`
	WrongfulRefusals int                `json:"wrongful"`
	CompletedTwice   int                `json:"doubled"`
	LostCalls        int                `json:"lost"`
}

var benchEngine = engineSettings{
	window: 8, prefillPerToken: 100 * time.Microsecond, step: 18 * time.Millisecond, batchingCost: 0.12, maxCacheTokens: 400_000,
}

const (
	policyWarmup      = 2 * time.Minute
	policyMeasurement = 12 * time.Minute
	rateToMeanLoad    = 1.25             // rate limit of the noisy workspace, relative to its normal mean load
	policyDrain       = 20 * time.Minute // for calls that are still in flight after the measurement
)

const (
	classLive      = "live"
	classSecretary = "secretary"
	classOrder     = "order"
	classCaretaker = "caretaker"
)

func liveClass() programClass {
	return programClass{
		name: classLive, workspaces: []string{"province", "village-1", "village-2", "temple-1", "temple-2"}, priority: 1, share: 0.97,
		history: [2]int{200, 800}, input: [2]int{60, 250}, output: [2]int{30, 110}, turns: [2]int{4, 12},
		toolPause: [2]time.Duration{2 * time.Second, 8 * time.Second},
	}
}

func secretaryClass() programClass {
	return programClass{
		name: classSecretary, workspaces: []string{"records-1", "records-2", "records-3"}, share: 0.03,
		history: [2]int{6000, 20000}, input: [2]int{100, 600}, output: [2]int{200, 700}, turns: [2]int{8, 30},
		toolPause: [2]time.Duration{time.Second, 15 * time.Second},
	}
}

func orderClass() programClass {
	return programClass{
		name: classOrder, workspaces: []string{"housing-1", "housing-2", "kindergartens", "schools", "general"}, share: 0.96,
		history: [2]int{300, 1200}, input: [2]int{40, 200}, output: [2]int{40, 160}, turns: [2]int{2, 8},
		toolPause: [2]time.Duration{3 * time.Second, 20 * time.Second},
	}
}

func caretakerClass() programClass {
	return programClass{
		name: classCaretaker, workspaces: []string{"care-1", "care-2", "care-3"}, priority: 1, share: 0.04,
		history: [2]int{3000, 12000}, input: [2]int{80, 400}, output: [2]int{100, 400}, turns: [2]int{10, 40},
		toolPause: [2]time.Duration{2 * time.Second, 12 * time.Second},
	}
}

func policyScenarios() []policyScenario {
	// Sahakorn and Brandtaeppe are two simulated deployments with different workloads.
	sahakornClasses := []programClass{liveClass(), secretaryClass()}
	brandtaeppeClasses := []programClass{orderClass(), caretakerClass()}
	// In the evening, the share of the second class, with longer conversations, is higher.
	evening := func(classes []programClass) []programClass {
		shifted := slices.Clone(classes)
		shifted[0].share, shifted[1].share = 0.7, 0.3
		return shifted
	}
	crash := func(fleet *policyFleet) {
		fleet.schedule(policyWarmup+3*time.Minute, func() { fleet.engines[fleet.addresses[0]].crash(engineRestartDelay) })
	}
	poison := func(fleet *policyFleet) {
		fleet.schedule(policyWarmup+3*time.Minute, fleet.poison)
	}
	return []policyScenario{
		{name: "Sahakorn, 0.7", engines: 4, load: 0.7, classes: sahakornClasses},
		{name: "Sahakorn, 0.95", engines: 4, load: 0.95, classes: sahakornClasses},
		{name: "Sahakorn evening, 0.7", engines: 4, load: 0.7, classes: evening(sahakornClasses)},
		{name: "Sahakorn evening, 0.95", engines: 4, load: 0.95, classes: evening(sahakornClasses)},
		{name: "Sahakorn, 0.95, live alone", engines: 4, load: 0.95, classes: []programClass{liveClass()}},
		{name: "Sahakorn, 0.95, one at five times", engines: 4, load: 0.95, classes: sahakornClasses, firstWorkspaceExceedsRate: true},
		{name: "Sahakorn, 0.7, an engine crashes", engines: 4, load: 0.7, classes: sahakornClasses, injectFault: crash},
		{name: "Sahakorn, 0.7, a poisoned request", engines: 4, load: 0.7, classes: sahakornClasses, injectFault: poison},
		{name: "Brandtaeppe, 0.7", engines: 4, load: 0.7, classes: brandtaeppeClasses},
		{name: "Brandtaeppe, 0.95", engines: 4, load: 0.95, classes: brandtaeppeClasses},
		{name: "Brandtaeppe evening, 0.95", engines: 4, load: 0.95, classes: evening(brandtaeppeClasses)},
		{name: "Brandtaeppe, 0.95, one at five times", engines: 4, load: 0.95, classes: brandtaeppeClasses, firstWorkspaceExceedsRate: true},
	}
}

// poison sends a call that crashes every engine that runs it. The call is retried
// until the pool refuses it.
func (fleet *policyFleet) poison() {
	fleet.programCount++
	program := liveClass().newProgram(fleet.random, fmt.Sprint("poison", fleet.programCount), "village-1")
	fleet.sequence++
	fleet.submit(&policyCall{id: uint64(fleet.sequence), program: program, promptTokens: 400, output: 50, sent: fleet.now, poison: true})
}

// meanWork returns the engine time in seconds of a program of mean size of the class,
// assuming that every prefix is cached.
func (class programClass) meanWork(settings engineSettings) float64 {
	mean := func(bounds [2]int) float64 { return float64(bounds[0]+bounds[1]) / 2 }
	turns := mean(class.turns)
	decode := turns * mean(class.output) * settings.tokenInterval(settings.window) / float64(settings.window)
	prefill := (mean(class.history) + turns*mean(class.input)) * settings.prefillPerToken.Seconds()
	// Decoding continues at half speed during a prefill.
	return decode + prefill/2
}

// measure simulates the scenario under a policy. It derives the rates at which programs
// arrive from the load and the mean work of a program.
func (scenario policyScenario) measure(policy schedulingPolicy, seed uint64) policyResult {
	fleet := newPolicyFleet(policy, scenario.engines, benchEngine, seed)
	fleet.arrivalsEnd = fleet.now.Add(policyWarmup + policyMeasurement)
	meanWork, totalShare := 0.0, 0.0
	for _, class := range scenario.classes {
		meanWork += class.share * class.meanWork(benchEngine)
		totalShare += class.share
	}
	totalRate := scenario.load * float64(scenario.engines) / (meanWork / totalShare)
	for _, class := range scenario.classes {
		for index, name := range class.workspaces {
			workspaceRate := totalRate * class.share / totalShare / float64(len(class.workspaces))
			if scenario.firstWorkspaceExceedsRate && index == 0 && class.name == scenario.classes[0].name {
				callRate := workspaceRate * float64(class.turns[0]+class.turns[1]) / 2
				fleet.noisyAccount = workspace.NewAccount(fleet.now, callRate*rateToMeanLoad, callRate*rateToMeanLoad*2)
				fleet.noisyWorkspace = name
				workspaceRate *= 5
			}
			random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(class.name+name)))
			fleet.scheduleArrivals(random, class, name, workspaceRate)
		}
	}
	if scenario.injectFault != nil {
		scenario.injectFault(fleet)
	}
	fleet.run(fleet.now.Add(policyWarmup))
	fleet.measuring = true
	fleet.run(fleet.arrivalsEnd)
	worst := fleet.worstShare(scenario)
	fleet.run(fleet.arrivalsEnd.Add(policyDrain))
	return fleet.result(scenario, policy, worst)
}

// worstShare returns the lowest ratio, over all workspaces, of the tokens served
// during the measurement to the smaller of the demand and the fair share. The
// noisy workspace is left out, because its excess need not be served.
func (fleet *policyFleet) worstShare(scenario policyScenario) float64 {
	totalServed := 0.0
	for _, tokens := range fleet.served {
		totalServed += tokens
	}
	fairShare := totalServed / float64(max(1, len(fleet.offered)))
	worst := 1.0
	for name, offered := range fleet.offered {
		if name != fleet.noisyWorkspace {
			worst = min(worst, fleet.served[name]/min(offered, fairShare))
		}
	}
	return worst
}

func (fleet *policyFleet) result(scenario policyScenario, policy schedulingPolicy, worst float64) policyResult {
	result := policyResult{
		Scenario: scenario.name, Policy: policy.name, ByClass: make(map[string]float64), WorstShare: worst,
		Refused: fleet.refused, WrongfulRefusals: fleet.wrongfulRefusals, CompletedTwice: fleet.completedTwice, LostCalls: fleet.lostCalls(),
		FirstTokenP95: float64(fleet.firstToken.ValueAtQuantile(95)) / 1000,
		WastedShare:   float64(fleet.wasted) / float64(max(1, fleet.promptTokens)),
	}
	for class, histogram := range fleet.latency {
		result.ByClass[class] = float64(histogram.ValueAtQuantile(95)) / 1000
	}
	if all, ok := fleet.latency[allClasses]; ok {
		result.Programs = all.TotalCount()
		result.P50 = float64(all.ValueAtQuantile(50)) / 1000
		result.P95 = float64(all.ValueAtQuantile(95)) / 1000
		result.P99 = float64(all.ValueAtQuantile(99)) / 1000
	}
	return result
}

// lostCalls returns the number of calls that never completed. Calls of the noisy
// workspace are left out, because some are still in flight at the end of the run.
func (fleet *policyFleet) lostCalls() int {
	lost := 0
	for _, call := range fleet.calls {
		if call.program.workspace != fleet.noisyWorkspace {
			lost++
		}
	}
	return lost
}

// Execute measures every policy in every scenario, writes the report, and returns
// an error for missed goals that are not known.
func (command *policiesCommand) Execute([]string) error {
	var results []policyResult
	for _, scenario := range policyScenarios() {
		for _, policy := range schedulingPolicies() {
			results = append(results, scenario.measure(policy, command.Seed))
		}
	}
	command.console.printPolicies(results)
	if err := writeJSON(command.Output, "policies.json", results); err != nil {
		return err
	}
	if err := writeFile(command.Output, "policies.svg", plotPolicies(results)); err != nil {
		return err
	}
	missedGoals := missedPolicyGoals(results)
	for _, goal := range missedGoals {
		fmt.Fprintln(command.console.stdout, goal)
	}
	return unexpectedMisses(missedGoals, command.Known)
}

func (console *console) printPolicies(results []policyResult) {
	rows := [][]string{}
	for _, result := range results {
		classes := []string{}
		for _, class := range []string{classLive, classSecretary, classOrder, classCaretaker} {
			if value, ok := result.ByClass[class]; ok {
				classes = append(classes, fmt.Sprintf("%s %.1f", class, value))
			}
		}
		rows = append(rows, []string{
			result.Scenario, result.Policy, fmt.Sprint(result.Programs),
			fmt.Sprintf("%.1f/%.1f/%.1f", result.P50, result.P95, result.P99), strings.Join(classes, " "),
			fmt.Sprintf("%.2f", result.FirstTokenP95), fmt.Sprintf("%.1f%%", result.WastedShare*100), fmt.Sprintf("%.2f", result.WorstShare),
			fmt.Sprintf("%d/%d", result.WrongfulRefusals, result.Refused), fmt.Sprintf("%d/%d", result.CompletedTwice, result.LostCalls),
		})
	}
	console.printTable([]string{"SCENARIO", "POLICY", "PROGRAMS", "P50/P95/P99 S", "P95 BY CLASS S", "FIRST P95", "WASTED", "WORST", "WRONG/REF", "DBL/LOST"}, rows)
}
