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
	tool   *tool
	Output string `long:"output" default:"out" description:"folder for the report"`
	Large  bool   `long:"large" description:"measure the size of two years from now as well"`
}

// rateScenario is one measurement of how workspaces are counted.
type rateScenario struct {
	name     string
	large    bool
	load     float64 // offered load of the workspaces as a part of their rates
	pick     func(fleet *rateFleet, space *rateSpace) func(*rand.Rand) *rateHost
	excess   bool // the first workspace sends five times its rate
	disturb  func(fleet *rateFleet)
	perMille float64 // most wrongful refusals of a thousand
}

// rateResult is what a scenario measured.
type rateResult struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Sent     int     `json:"sent"`
	Refused  int     `json:"refused"`
	Wrongful int     `json:"wrongful"`
	PerMille float64 `json:"wrongful_per_mille"`
	Excess   float64 `json:"most_over_bound"`
	WaitMS   float64 `json:"mean_wait_ms"`
	Bytes    float64 `json:"bytes_per_host_second"`
	Messages float64 `json:"messages_per_host_second"`
}

// rateText returns a text with workspaces of different sizes.
func rateText(places, hosts, workspaces int, total float64) *configuration.Text {
	text := &configuration.Text{}
	for place := range places {
		members := hosts / places
		if place < hosts%places {
			members++
		}
		text.DataCentres = append(text.DataCentres, configuration.DataCentre{Name: fmt.Sprint("dc", place), Hosts: members})
	}
	var sum float64
	weights := make([]float64, workspaces)
	for index := range weights {
		// A few workspaces are large.
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

// spaceIndex returns the index in the name of a workspace.
func spaceIndex(name string) int {
	index, err := strconv.Atoi(strings.TrimPrefix(name, "w"))
	if err != nil {
		panic(err) // names come from rateText
	}
	return index
}

func anyHost(fleet *rateFleet, _ *rateSpace) func(*rand.Rand) *rateHost {
	return func(random *rand.Rand) *rateHost { return fleet.hosts[random.IntN(len(fleet.hosts))] }
}

func oneHost(fleet *rateFleet, space *rateSpace) func(*rand.Rand) *rateHost {
	return func(*rand.Rand) *rateHost { return fleet.hosts[space.index%len(fleet.hosts)] }
}

func onePlace(fleet *rateFleet, space *rateSpace) func(*rand.Rand) *rateHost {
	members := fleet.byPlace[space.index%len(fleet.byPlace)]
	return func(random *rand.Rand) *rateHost { return members[random.IntN(len(members))] }
}

const (
	rateWarmup  = 5 * time.Second
	rateMeasure = 40 * time.Second
	rateFill    = 25 * time.Second
)

func rateScenarios() []rateScenario {
	killOne := func(fleet *rateFleet) {
		fleet.after(rateWarmup+5*time.Second, func() { fleet.kill(fleet.hosts[1]) })
	}
	cutOne := func(fleet *rateFleet) {
		fleet.after(rateWarmup+5*time.Second, func() { fleet.cut[0] = true })
		fleet.after(rateWarmup+25*time.Second, func() { fleet.cut[0] = false })
	}
	return []rateScenario{
		{name: "even", load: 0.8, pick: anyHost},
		{name: "all of a workspace at one host", load: 0.8, pick: oneHost},
		{name: "all of a workspace in one data centre", load: 0.8, pick: onePlace},
		{name: "one workspace at five times its rate", load: 0.8, pick: anyHost, excess: true},
		{name: "a host dies", load: 0.7, pick: anyHost, disturb: killOne, perMille: 1},
		{name: "a data centre is cut off", load: 0.7, pick: anyHost, disturb: cutOne, perMille: 1},
		{name: "370 hosts, even", large: true, load: 0.7, pick: anyHost},
		{name: "370 hosts, one data centre", large: true, load: 0.7, pick: onePlace},
	}
}

// measure runs a scenario under a policy.
func (scenario rateScenario) measure(policy string) rateResult {
	text := rateText(3, 11, 8, 400)
	if scenario.large {
		text = rateText(9, 370, 7600, 10_000)
	}
	fleet := newRateFleet(text, policy, 20261204)
	for _, space := range fleet.spaces {
		space.pick = scenario.pick(fleet, space)
		space.offered = space.Rate * scenario.load
	}
	if scenario.excess {
		fleet.spaces[0].offered = fleet.spaces[0].Rate * 5
	}
	if scenario.disturb != nil {
		scenario.disturb(fleet)
	}
	warmup, duration := rateWarmup, rateMeasure
	if scenario.large {
		// The smallest workspaces take this long to fill their burst.
		warmup, duration = rateFill, rateMeasure/4
	}
	fleet.after(warmup, fleet.forget)
	fleet.run(warmup + duration)
	return fleet.result(scenario, policy, duration)
}

// forget drops the counts of the time before the measurement.
func (fleet *rateFleet) forget() {
	for _, space := range fleet.spaces {
		space.sent, space.admitted, space.refused, space.wrongful, space.waited = 0, 0, 0, 0, 0
	}
	for _, member := range fleet.hosts {
		member.bytes, member.messages = 0, 0
	}
}

func (fleet *rateFleet) result(scenario rateScenario, policy string, duration time.Duration) rateResult {
	result := rateResult{Scenario: scenario.name, Policy: policy}
	var admitted int
	var waited time.Duration
	for index, space := range fleet.spaces {
		result.Excess = max(result.Excess, space.worst)
		if scenario.excess && index == 0 {
			continue
		}
		result.Sent += space.sent
		result.Refused += space.refused
		result.Wrongful += space.wrongful
		admitted += space.admitted
		waited += space.waited
	}
	for _, member := range fleet.hosts {
		result.Bytes += float64(member.bytes)
		result.Messages += float64(member.messages)
	}
	hosts := float64(len(fleet.hosts)) * duration.Seconds()
	result.Bytes /= hosts
	result.Messages /= hosts
	result.PerMille = 1000 * float64(result.Wrongful) / float64(max(1, result.Sent))
	result.WaitMS = waited.Seconds() * 1000 / float64(max(1, admitted))
	return result
}

// Execute implements flags.Commander.
func (command *ratesCommand) Execute([]string) error {
	var results []rateResult
	var faults []string
	for _, scenario := range rateScenarios() {
		if scenario.large && !command.Large {
			continue
		}
		for _, policy := range []string{policyMoved, policyBorrow, policyEqual} {
			result := scenario.measure(policy)
			results = append(results, result)
			if policy == policyMoved {
				faults = append(faults, scenario.faults(result)...)
			}
		}
	}
	command.tool.printRates(results)
	if err := writeJSON(command.Output, "rates.json", results); err != nil {
		return err
	}
	if len(faults) > 0 {
		return fmt.Errorf("targets missed:\n  %s", strings.Join(faults, "\n  "))
	}
	return nil
}

// rounding forgives the error of adding up parts of tokens.
const rounding = 1e-6

// faults compares a result with the stated targets.
func (scenario rateScenario) faults(result rateResult) []string {
	var faults []string
	if result.Excess > rounding {
		faults = append(faults, fmt.Sprintf("%s: %.3f requests over rate*t + burst, target 0", scenario.name, result.Excess))
	}
	if result.PerMille > scenario.perMille {
		faults = append(faults, fmt.Sprintf("%s: %.2f wrongful refusals of a thousand, target %.0f", scenario.name, result.PerMille, scenario.perMille))
	}
	if limit := 30_000.0; result.Bytes > limit {
		faults = append(faults, fmt.Sprintf("%s: %.0f bytes a second per host, target %.0f", scenario.name, result.Bytes, limit))
	}
	return faults
}

func (tool *tool) printRates(results []rateResult) {
	rows := [][]string{}
	for _, result := range results {
		rows = append(rows, []string{
			result.Scenario, result.Policy, strconv.Itoa(result.Sent), strconv.Itoa(result.Wrongful),
			fmt.Sprintf("%.2f", result.PerMille), fmt.Sprintf("%.2f", result.Excess), fmt.Sprintf("%.1f", result.WaitMS),
			fmt.Sprintf("%.0f", result.Bytes), fmt.Sprintf("%.1f", result.Messages),
		})
	}
	tool.table([]string{"SCENARIO", "POLICY", "SENT", "WRONGFUL", "PER MILLE", "OVER BOUND", "WAIT MS", "BYTES/S", "MESSAGES/S"}, rows)
}
