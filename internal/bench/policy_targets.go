package bench

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
)

// Stated targets of the decisions.
const (
	maxOfRival     = 0.5  // of the best simple rival's program latency p95 at 0.95
	maxOfOracle    = 1.25 // of the oracle's
	maxLiveBeside  = 1.2  // of live calls' p95 without long conversations
	maxWasted      = 0.05 // of prompt tokens
	minWorstShare  = 0.9  // of the fair share
	maxFirstSecond = 0.4  // first token for 95 in 100 at 0.7
)

// fault is a target that was missed.
type fault struct {
	id   string
	text string
}

// String implements fmt.Stringer.
func (fault fault) String() string { return fmt.Sprintf("MISSED %s: %s", fault.id, fault.text) }

// casePrefix starts the lines of KNOWN-RED.txt that name a missed target.
const casePrefix = "case: "

// knownMisses reads the targets that are known to be missed. They are printed
// and do not fail the run; a target that is missed and not listed does.
func knownMisses(path string) (map[string]bool, error) {
	known := make(map[string]bool)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), casePrefix); ok {
			known[id] = true
		}
	}
	return known, nil
}

// unexpected returns an error for the faults that are not listed in a file.
func unexpected(faults []fault, path string) error {
	known, err := knownMisses(path)
	if err != nil {
		return err
	}
	var lines []string
	for _, fault := range faults {
		if !known[fault.id] {
			lines = append(lines, fault.String())
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return fmt.Errorf("targets missed:\n  %s", strings.Join(lines, "\n  "))
}

// policyFaults compares the results with the targets.
func policyFaults(results []policyResult) []fault {
	byScenario := make(map[string]map[string]policyResult)
	for _, result := range results {
		if byScenario[result.Scenario] == nil {
			byScenario[result.Scenario] = make(map[string]policyResult)
		}
		byScenario[result.Scenario][result.Policy] = result
	}
	names := make([]string, 0, len(byScenario))
	for name := range byScenario {
		names = append(names, name)
	}
	sort.Strings(names)
	var faults []fault
	for _, name := range names {
		faults = append(faults, scenarioFaults(name, byScenario[name])...)
	}
	beside := byScenario["Sahakorn, 0.95"][kindOurs].ByClass[classLive]
	alone := byScenario["Sahakorn, 0.95, live alone"][kindOurs].ByClass[classLive]
	if beside > alone*maxLiveBeside {
		faults = append(faults, fault{"live-beside-secretaries",
			fmt.Sprintf("live p95 %.2f s beside long conversations, %.2f s alone, target factor %.2f", beside, alone, maxLiveBeside)})
	}
	return faults
}

func scenarioFaults(name string, policies map[string]policyResult) []fault {
	ours := policies[kindOurs]
	var faults []fault
	miss := func(id, format string, args ...any) {
		faults = append(faults, fault{id + " in " + name, fmt.Sprintf(format, args...)})
	}
	if strings.HasSuffix(name, ", 0.95") {
		best := 0.0
		for policy, result := range policies {
			if policy != kindOurs && policy != kindOracle && (best == 0 || result.P95 < best) {
				best = result.P95
			}
		}
		if ours.P95 > best*maxOfRival {
			miss("p95-against-rival", "%.2f s, best simple rival %.2f s, target factor %.2f", ours.P95, best, maxOfRival)
		}
		if oracle := policies[kindOracle].P95; ours.P95 > oracle*maxOfOracle {
			miss("p95-against-oracle", "%.2f s, oracle %.2f s, target factor %.2f", ours.P95, oracle, maxOfOracle)
		}
	}
	if strings.HasSuffix(name, ", 0.7") && ours.First95 > maxFirstSecond {
		miss("first-token", "%.2f s for 95 in 100, target %.2f s", ours.First95, maxFirstSecond)
	}
	if ours.Wasted > maxWasted {
		miss("wasted-cache", "%.1f%% of prompt tokens, target %.0f%%", ours.Wasted*100, maxWasted*100)
	}
	if ours.Worst < minWorstShare {
		miss("worst-share", "%.2f of the fair share, target %.2f", ours.Worst, minWorstShare)
	}
	if ours.Wrongful > 0 {
		miss("wrongful-refusals", "%d, target 0", ours.Wrongful)
	}
	if ours.Doubled+ours.Lost > 0 {
		miss("doubled-or-lost", "%d doubled, %d lost, target 0", ours.Doubled, ours.Lost)
	}
	return faults
}
