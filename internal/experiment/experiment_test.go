package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// TestRatePolicies replays each load: the policy of hosts is worth more than
// admitting requests one by one, and no window takes more than is tolerated.
func TestRatePolicies(t *testing.T) {
	for _, pattern := range Patterns() {
		t.Run(pattern.Name, func(t *testing.T) {
			is := is.New(t)
			worth := make(map[string]float64)
			for _, policy := range pattern.Policies {
				result := Mean([]Result{Run(pattern, policy, 1), Run(pattern, policy, 2)})
				t.Log(result.Row())
				is.True(result.Over <= 1)
				worth[policy.Name] = result.Worth
			}
			is.True(worth[OursName] >= worth["each request by itself"])
		})
	}
}

// TestRunsRepeat checks that a seed gives the same result again.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	pattern, policy := Patterns()[0], RatePolicies()[0]
	is.Equal(Run(pattern, policy, 3), Run(pattern, policy, 3))
}
