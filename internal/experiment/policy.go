package experiment

import (
	"math"
	"time"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
)

// OursName is the policy that hosts use.
const OursName = "ours"

// RatePolicies are ways to keep a workspace within its rate: ours, and rivals.
func RatePolicies() []Policy {
	cautious, generous, patient := quota.Usual, quota.Usual, quota.Usual
	cautious.Promise = 0.7
	generous.Promise = 1.7
	patient.Patience = 1200 * time.Millisecond
	return []Policy{
		{OursName, accountRates(quota.Usual), placement.SampleSize},
		{"promising less", accountRates(cautious), placement.SampleSize},
		{"promising more", accountRates(generous), placement.SampleSize},
		{"waiting longer", accountRates(patient), placement.SampleSize},
		{"each request by itself", bucketRates, placement.SampleSize},
	}
}

// ChoicePolicies are ways to choose among targets: ours, and rivals.
func ChoicePolicies() []Policy {
	return []Policy{
		{OursName, accountRates(quota.Usual), placement.SampleSize},
		{"compare four targets", accountRates(quota.Usual), 4},
		{"compare all targets", accountRates(quota.Usual), math.MaxInt},
		{"any target", accountRates(quota.Usual), 1},
	}
}

// accountRates keeps the accounts that hosts keep.
func accountRates(policy quota.Policy) func(limit func(time.Time) quota.Limit) Rates {
	return func(limit func(time.Time) quota.Limit) Rates {
		accounts := make(map[string]*quota.Account)
		habits := quota.NewHabits()
		return func(question quota.Question, now time.Time) quota.Answer {
			question.Limit = limit(now)
			if question.Limit.Rate <= 0 {
				return quota.Answer{Admitted: true}
			}
			account, ok := accounts[question.Workspace]
			if !ok {
				account = quota.NewAccount(question.Limit, policy, habits, now)
				accounts[question.Workspace] = account
			}
			return account.Serve(question, 1, now)
		}
	}
}

// bucketRates keeps a token bucket and admits each request for which there is
// a token.
func bucketRates(limit func(time.Time) quota.Limit) Rates {
	type bucket struct {
		tokens  float64
		updated time.Time
	}
	buckets := make(map[string]*bucket)
	return func(question quota.Question, now time.Time) quota.Answer {
		bound := limit(now)
		if bound.Rate <= 0 {
			return quota.Answer{Admitted: true}
		}
		one, ok := buckets[question.Workspace]
		if !ok {
			one = &bucket{tokens: bound.Burst, updated: now}
			buckets[question.Workspace] = one
		}
		one.tokens = math.Min(bound.Burst, one.tokens+bound.Rate*now.Sub(one.updated).Seconds())
		one.updated = now
		if one.tokens < 1 {
			return quota.Answer{Retry: time.Duration((1 - one.tokens) / bound.Rate * float64(time.Second))}
		}
		one.tokens--
		return quota.Answer{Admitted: true}
	}
}
