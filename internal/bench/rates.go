package bench

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/godwitspread/godwitspread/internal/configuration"
)

type ratesCommand struct {
	console *console
	Output  string `long:"output" default:"out" description:"directory for the report"`
	Large   bool   `long:"large" description:"also measure the fleet size that is expected in two years"`
}

// rateScenario is a workload, and optionally a fault, under which the rate limits
// of workspaces are measured.
type rateScenario struct {
	name                      string
	large                     bool    // uses the fleet size that is expected in two years
	load                      float64 // offered load of the workspaces as a fraction of their rates
	pickHost                  func(fleet *rateFleet, traffic *workspaceTraffic) func(*rand.Rand) *entryHost
	firstWorkspaceExceedsRate bool // the first workspace sends five times its rate
	injectFault               func(fleet *rateFleet)
	maxWrongfulPerMille       float64 // maximum of wrongful refusals per thousand requests
}

// rateResult is the result of one policy in one scenario.
type rateResult struct {
	Scenario          string  `json:"scenario"`
	Policy            string  `json:"policy"`
	Sent              int     `json:"sent"`
	Refused           int     `json:"refused"`
	WrongfulRefusals  int     `json:"wrongful"`
	WrongfulPerMille  float64 `json:"wrongful_per_mille"`
	MaxExcess         float64 `json:"most_over_bound"`
	WaitMS            float64 `json:"mean_wait_ms"`
	BytesPerSecond    float64 `json:"bytes_per_host_second"`
	MessagesPerSecond float64 `json:"messages_per_host_second"`
}

// rateConfiguration returns a configuration with workspaces of different rates,
// which add up to the total.
func rateConfiguration(dataCentres, hosts, workspaces int, total float64) *configuration.Text {
	text := &configuration.Text{}
	for index := range dataCentres {
		hostCount := hosts / dataCentres
		if index < hosts%dataCentres {
			hostCount++
		}
		text.DataCentres = append(text.DataCentres, configuration.DataCentre{Name: fmt.Sprint("dc", index), Hosts: hostCount})
	}
	var sum float64
	weights := make([]float64, workspaces)
	for index := range weights {
		// Few workspaces are large: one in eight has the full weight, the others a
		// half to an eighth of it.
		weights[index] = 1 / float64(1+index%8)
		sum += weights[index]
	}
	for index, weight := range weights {
		rate := total * weight / sum
		text.Workspaces = append(text.Workspaces, configuration.Workspace{
			Name: fmt.Sprint("w", index), Rate: rate, Burst: max(4, 2*rate), Weight: 1,
		})
	}
	return text
}

// workspaceIndex returns the index that the name of a workspace contains.
func workspaceIndex(name string) int {
	index, err := strconv.Atoi(strings.TrimPrefix(name, "w"))
	if err != nil {
		panic(err) // names come from rateConfiguration
	}
	return index
}

func randomHost(fleet *rateFleet, _ *workspaceTraffic) func(*rand.Rand) *entryHost {
	return func(random *rand.Rand) *entryHost { return fleet.hosts[random.IntN(len(fleet.hosts))] }
}

func fixedHost(fleet *rateFleet, traffic *workspaceTraffic) func(*rand.Rand) *entryHost {
	return func(*rand.Rand) *entryHost { return fleet.hosts[traffic.index%len(fleet.hosts)] }
}

func fixedDataCentre(fleet *rateFleet, traffic *workspaceTraffic) func(*rand.Rand) *entryHost {
	entryHosts := fleet.byDataCentre[traffic.index%len(fleet.byDataCentre)]
	return func(random *rand.Rand) *entryHost { return entryHosts[random.IntN(len(entryHosts))] }
}

const (
	rateWarmup      = 5 * time.Second
	rateMeasurement = 40 * time.Second
	rateLargeWarmup = 25 * time.Second
)

func rateScenarios() []rateScenario {
	killOne := func(fleet *rateFleet) {
		fleet.schedule(rateWarmup+5*time.Second, func() { fleet.kill(fleet.hosts[1]) })
	}
	isolateOne := func(fleet *rateFleet) {
		fleet.schedule(rateWarmup+5*time.Second, func() { fleet.isolated[0] = true })
		fleet.schedule(rateWarmup+25*time.Second, func() { fleet.isolated[0] = false })
	}
	return []rateScenario{
		{name: "even", load: 0.8, pickHost: randomHost},
		{name: "all of a workspace at one host", load: 0.8, pickHost: fixedHost},
		{name: "all of a workspace in one data centre", load: 0.8, pickHost: fixedDataCentre},
		{name: "one workspace at five times its rate", load: 0.8, pickHost: randomHost, firstWorkspaceExceedsRate: true},
		{name: "a host dies", load: 0.7, pickHost: randomHost, injectFault: killOne, maxWrongfulPerMille: 1},
		{name: "a data centre is cut off", load: 0.7, pickHost: randomHost, injectFault: isolateOne, maxWrongfulPerMille: 1},
		{name: "370 hosts, even", large: true, load: 0.7, pickHost: randomHost},
		{name: "370 hosts, one data centre", large: true, load: 0.7, pickHost: fixedDataCentre},
	}
}

// measure simulates the scenario under a policy.
func (scenario rateScenario) measure(policy string) rateResult {
	text := rateConfiguration(3, 11, 8, 400)
	if scenario.large {
		text = rateConfiguration(9, 370, 7600, 10_000)
	}
	fleet := newRateFleet(text, policy, 20261204)
	for _, traffic := range fleet.workspaces {
		traffic.pickHost = scenario.pickHost(fleet, traffic)
		traffic.offeredRate = traffic.Rate * scenario.load
	}
	if scenario.firstWorkspaceExceedsRate {
		fleet.workspaces[0].offeredRate = fleet.workspaces[0].Rate * 5
	}
	if scenario.injectFault != nil {
		scenario.injectFault(fleet)
	}
	warmup, duration := rateWarmup, rateMeasurement
	if scenario.large {
		// The smallest workspaces need this time to accrue their burst.
		warmup, duration = rateLargeWarmup, rateMeasurement/4
	}
	fleet.schedule(warmup, fleet.resetCounters)
	fleet.run(warmup + duration)
	return fleet.result(scenario, policy, duration)
}

// resetCounters discards the counts of the warm-up.
func (fleet *rateFleet) resetCounters() {
	for _, traffic := range fleet.workspaces {
		traffic.sent, traffic.admitted, traffic.refused, traffic.wrongfulRefusals, traffic.waited = 0, 0, 0, 0, 0
	}
	for _, entryHost := range fleet.hosts {
		entryHost.bytes, entryHost.messages = 0, 0
	}
}

func (fleet *rateFleet) result(scenario rateScenario, policy string, duration time.Duration) rateResult {
	result := rateResult{Scenario: scenario.name, Policy: policy}
	var admitted int
	var waited time.Duration
	for index, traffic := range fleet.workspaces {
		result.MaxExcess = max(result.MaxExcess, traffic.maxExcess)
		if scenario.firstWorkspaceExceedsRate && index == 0 {
			continue
		}
		result.Sent += traffic.sent
		result.Refused += traffic.refused
		result.WrongfulRefusals += traffic.wrongfulRefusals
		admitted += traffic.admitted
		waited += traffic.waited
	}
	for _, entryHost := range fleet.hosts {
		result.BytesPerSecond += float64(entryHost.bytes)
		result.MessagesPerSecond += float64(entryHost.messages)
	}
	hostSeconds := float64(len(fleet.hosts)) * duration.Seconds()
	result.BytesPerSecond /= hostSeconds
	result.MessagesPerSecond /= hostSeconds
	result.WrongfulPerMille = 1000 * float64(result.WrongfulRefusals) / float64(max(1, result.Sent))
	result.WaitMS = waited.Seconds() * 1000 / float64(max(1, admitted))
	return result
}

// Execute measures every policy in every scenario, writes the report, and returns
// an error for missed goals.
func (command *ratesCommand) Execute([]string) error {
	var results []rateResult
	var missed []string
	for _, scenario := range rateScenarios() {
		if scenario.large && !command.Large {
			continue
		}
		for _, policy := range []string{ratePolicyTransfer, ratePolicyLocalBorrowing, ratePolicyEqualShares} {
			result := scenario.measure(policy)
			results = append(results, result)
			if policy == ratePolicyTransfer {
				missed = append(missed, scenario.missedGoals(result)...)
			}
		}
	}
	command.console.printRates(results)
	if err := writeJSON(command.Output, "rates.json", results); err != nil {
		return err
	}
	if len(missed) > 0 {
		return fmt.Errorf("targets missed:\n  %s", strings.Join(missed, "\n  "))
	}
	return nil
}

// roundingTolerance absorbs the rounding error of adding fractions of tokens.
const roundingTolerance = 1e-6

// missedGoals compares a result with the performance goals and describes those that
// it misses.
func (scenario rateScenario) missedGoals(result rateResult) []string {
	var missed []string
	if result.MaxExcess > roundingTolerance {
		missed = append(missed, fmt.Sprintf("%s: %.3f requests over rate*t + burst, target 0", scenario.name, result.MaxExcess))
	}
	if result.WrongfulPerMille > scenario.maxWrongfulPerMille {
		missed = append(missed, fmt.Sprintf("%s: %.2f wrongful refusals of a thousand, target %.0f", scenario.name, result.WrongfulPerMille, scenario.maxWrongfulPerMille))
	}
	if limit := 30_000.0; result.BytesPerSecond > limit {
		missed = append(missed, fmt.Sprintf("%s: %.0f bytes a second per host, target %.0f", scenario.name, result.BytesPerSecond, limit))
	}
	return missed
}

func (console *console) printRates(results []rateResult) {
	rows := [][]string{}
	for _, result := range results {
		rows = append(rows, []string{
			result.Scenario, result.Policy, strconv.Itoa(result.Sent), strconv.Itoa(result.WrongfulRefusals),
			fmt.Sprintf("%.2f", result.WrongfulPerMille), fmt.Sprintf("%.2f", result.MaxExcess), fmt.Sprintf("%.1f", result.WaitMS),
			fmt.Sprintf("%.0f", result.BytesPerSecond), fmt.Sprintf("%.1f", result.MessagesPerSecond),
		})
	}
	console.printTable([]string{"SCENARIO", "POLICY", "SENT", "WRONGFUL", "PER MILLE", "OVER BOUND", "WAIT MS", "BYTES/S", "MESSAGES/S"}, rows)
}
