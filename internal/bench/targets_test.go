package bench

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// results returns figures of one scenario that meet every target.
func results() []policyResult {
	return []policyResult{
		{Scenario: "x, 0.95", Policy: kindOurs, P95: 10, Worst: 1, ByClass: map[string]float64{}},
		{Scenario: "x, 0.95", Policy: kindOracle, P95: 9, ByClass: map[string]float64{}},
		{Scenario: "x, 0.95", Policy: "first come, round robin", P95: 30, ByClass: map[string]float64{}},
	}
}

// TestPolicyTargets makes each target fail in turn.
func TestPolicyTargets(t *testing.T) {
	tests := []struct {
		name   string
		change func(result *policyResult)
		misses int
	}{
		{"all met", func(*policyResult) {}, 0},
		{"slower than half the rival", func(result *policyResult) { result.P95 = 16 }, 2},
		{"slower than the oracle allows", func(result *policyResult) { result.P95 = 12 }, 1},
		{"wasted cache", func(result *policyResult) { result.Wasted = 0.06 }, 1},
		{"unfair", func(result *policyResult) { result.Worst = 0.8 }, 1},
		{"wrongful refusal", func(result *policyResult) { result.Wrongful = 1 }, 1},
		{"lost call", func(result *policyResult) { result.Lost = 1 }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			changed := results()
			test.change(&changed[0])
			is.Equal(len(policyFaults(changed)), test.misses)
		})
	}
}

// TestKnownMisses checks that only a listed miss passes.
func TestKnownMisses(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "known.txt")
	is.NoErr(os.WriteFile(path, []byte("case: a in x\nseen: something\n"), 0o600))
	is.NoErr(unexpected([]fault{{id: "a in x"}}, path))
	is.True(unexpected([]fault{{id: "b in x"}}, path) != nil)
	is.True(unexpected([]fault{{id: "a in x"}}, path+".absent") != nil)
}

// TestRateTargets makes each target of the counting fail in turn.
func TestRateTargets(t *testing.T) {
	is := is.New(t)
	scenario := rateScenario{name: "x", perMille: 1}
	is.Equal(len(scenario.faults(rateResult{})), 0)
	is.Equal(len(scenario.faults(rateResult{Excess: 0.01})), 1)
	is.Equal(len(scenario.faults(rateResult{PerMille: 1.1})), 1)
	is.Equal(len(scenario.faults(rateResult{Bytes: 30_001})), 1)
}

// TestSameWorkload checks that two policies meet the same programs.
func TestSameWorkload(t *testing.T) {
	is := is.New(t)
	scenario := policyScenario{name: "x, 0.7", engines: 2, load: 0.7, classes: []programShape{liveClass()}}
	kinds := policyKinds()
	first, second := scenario.measure(kinds[0], 1), scenario.measure(kinds[0], 1)
	is.Equal(first, second) // the same figures on every run
	other := scenario.measure(kinds[1], 1)
	is.True(other.Programs-first.Programs < 5 && first.Programs-other.Programs < 5)
}
