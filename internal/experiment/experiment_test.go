package experiment

import (
	"testing"

	"github.com/matryer/is"
)

// TestPolicies guards against a default policy that earns less worth than the
// simplest alternatives under one of the load patterns, and against a rate window
// that admits more requests than the limit tolerates.
func TestPolicies(t *testing.T) {
	simple := map[string]bool{"each request by itself": true, "compare all targets": true, "any target": true, "begin every program": true}
	for _, pattern := range Patterns() {
		t.Run(pattern.Name, func(t *testing.T) {
			is := is.New(t)
			worth := make(map[string]float64)
			for _, policy := range pattern.Policies {
				if policy.Name != DefaultPolicyName && !simple[policy.Name] {
					continue
				}
				result := Run(pattern, policy, 1)
				t.Log(result.Row())
				is.True(result.MaxLimitRatio <= 1)
				worth[policy.Name] = result.WorthRatio
			}
			for _, other := range worth {
				is.True(worth[DefaultPolicyName] >= other)
			}
		})
	}
}

// TestRunsRepeat guards against runs that give different results for equal seeds.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	pattern, policy := Patterns()[0], RateLimitPolicies()[0]
	is.Equal(Run(pattern, policy, 3), Run(pattern, policy, 3))
}
