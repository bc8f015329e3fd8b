package bench

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// passingResults returns results of one scenario that meet every goal.
func passingResults() []policyResult {
	return []policyResult{
		{Scenario: "x, 0.95", Policy: policyFairPrefix, P95: 10, WorstShare: 1, ByClass: map[string]float64{}},
		{Scenario: "x, 0.95", Policy: policyOracle, P95: 9, ByClass: map[string]float64{}},
		{Scenario: "x, 0.95", Policy: "first come, round robin", P95: 30, ByClass: map[string]float64{}},
	}
}

// TestPolicyGoals guards against a missed goal that goes unreported: each case
// worsens one figure of a passing result.
func TestPolicyGoals(t *testing.T) {
	tests := []struct {
		name   string
		change func(result *policyResult)
		misses int
	}{
		{"all goals met", func(*policyResult) {}, 0},
		{"p95 above half of the best baseline", func(result *policyResult) { result.P95 = 16 }, 2},
		{"p95 above the limit relative to the oracle", func(result *policyResult) { result.P95 = 12 }, 1},
		{"too many prompt tokens recomputed", func(result *policyResult) { result.WastedShare = 0.06 }, 1},
		{"worst share too low", func(result *policyResult) { result.WorstShare = 0.8 }, 1},
		{"a wrongful refusal", func(result *policyResult) { result.WrongfulRefusals = 1 }, 1},
		{"a lost call", func(result *policyResult) { result.LostCalls = 1 }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			modified := passingResults()
			test.change(&modified[0])
			is.Equal(len(missedPolicyGoals(modified)), test.misses)
		})
	}
}

// TestKnownMisses guards against a run that passes although it misses a goal that
// the file of known failures does not list.
func TestKnownMisses(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "known.txt")
	is.NoErr(os.WriteFile(path, []byte("case: a in x\nseen: something\n"), 0o600))
	is.NoErr(unexpectedMisses([]missedGoal{{id: "a in x"}}, path))
	is.True(unexpectedMisses([]missedGoal{{id: "b in x"}}, path) != nil)
	is.True(unexpectedMisses([]missedGoal{{id: "a in x"}}, path+".absent") != nil)
}

// TestRateGoals guards against a missed rate limit goal that goes unreported: each
// check after the first worsens one figure.
func TestRateGoals(t *testing.T) {
	is := is.New(t)
	scenario := rateScenario{name: "x", maxWrongfulPerMille: 1}
	is.Equal(len(scenario.missedGoals(rateResult{})), 0)
	is.Equal(len(scenario.missedGoals(rateResult{MaxExcess: 0.01})), 1)
	is.Equal(len(scenario.missedGoals(rateResult{WrongfulPerMille: 1.1})), 1)
	is.Equal(len(scenario.missedGoals(rateResult{BytesPerSecond: 30_001})), 1)
}

// TestSameWorkload guards against comparing policies under different workloads:
// the same seed has to give the same programs under every policy.
func TestSameWorkload(t *testing.T) {
	is := is.New(t)
	scenario := policyScenario{name: "x, 0.7", engines: 2, load: 0.7, classes: []programClass{liveClass()}}
	policies := schedulingPolicies()
	first, second := scenario.measure(policies[0], 1), scenario.measure(policies[0], 1)
	is.Equal(first, second) // the same seed gives the same result
	// The numbers of ended programs differ slightly, because the policy determines which
	// programs end within the measurement.
	other := scenario.measure(policies[1], 1)
	is.True(other.Programs-first.Programs < 5 && first.Programs-other.Programs < 5)
}
