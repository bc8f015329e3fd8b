package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// TestPolicies replays each load: the policy of hosts is worth more than the
// simplest rivals, and no window takes more than is tolerated.
func TestPolicies(t *testing.T) {
	simple := map[string]bool{"each request by itself": true, "compare all targets": true, "any target": true, "begin every program": true}
	for _, pattern := range Patterns() {
		t.Run(pattern.Name, func(t *testing.T) {
			is := is.New(t)
			worth := make(map[string]float64)
			for _, policy := range pattern.Policies {
				if policy.Name != OursName && !simple[policy.Name] {
					continue
				}
				result := Run(pattern, policy, 1)
				t.Log(result.Row())
				is.True(result.Over <= 1)
				worth[policy.Name] = result.Worth
			}
			for _, rival := range worth {
				is.True(worth[OursName] >= rival)
			}
		})
	}
}

// TestRunsRepeat checks that a seed gives the same result again.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	pattern, policy := Patterns()[0], RatePolicies()[0]
	is.Equal(Run(pattern, policy, 3), Run(pattern, policy, 3))
}
