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
	cautious, generous, patient := quota.DefaultPolicy, quota.DefaultPolicy, quota.DefaultPolicy
	cautious.CommitRatio = 0.7
	generous.CommitRatio = 1.7
	patient.MaxDelay = 1200 * time.Millisecond
	placementPolicy := placement.DefaultPolicy(nil)
	return []Policy{
		{OursName, accountRates(quota.DefaultPolicy), placementPolicy},
		{"promising less", accountRates(cautious), placementPolicy},
		{"promising more", accountRates(generous), placementPolicy},
		{"waiting longer", accountRates(patient), placementPolicy},
		{"each request by itself", bucketRates, placementPolicy},
	}
}

// ChoicePolicies are ways to choose among targets: ours, and rivals.
func ChoicePolicies() []Policy {
	rates := accountRates(quota.DefaultPolicy)
	compare := func(count int) placement.Policy {
		return placement.Policy{SampleSize: count, OverloadThreshold: placement.DefaultOverloadThreshold}
	}
	return []Policy{
		{OursName, rates, placement.DefaultPolicy(nil)},
		{"compare four targets", rates, compare(4)},
		{"compare all targets", rates, compare(math.MaxInt)},
		{"any target", rates, compare(1)},
	}
}

// OverloadPolicies are ways to turn programs away when the targets are full:
// ours, and rivals.
func OverloadPolicies() []Policy {
	rates := accountRates(quota.DefaultPolicy)
	from := func(threshold float64) placement.Policy {
		return placement.Policy{SampleSize: placement.DefaultSampleSize, OverloadThreshold: threshold}
	}
	return []Policy{
		{OursName, rates, placement.DefaultPolicy(nil)},
		{"begin every program", rates, from(math.Inf(1))},
		{"begin up to the slots", rates, from(1)},
		{"begin up to twice the slots", rates, from(2)},
	}
}

// accountRates keeps the accounts that hosts keep.
func accountRates(policy quota.Policy) func(limit func(time.Time) quota.Limit) Rates {
	return func(limit func(time.Time) quota.Limit) Rates {
		accounts := make(map[string]*quota.Account)
		profiles := quota.NewRouteProfiles()
		return func(request quota.AdmissionRequest, now time.Time) quota.AdmissionResponse {
			request.Limit = limit(now)
			if request.Limit.Rate <= 0 {
				return quota.AdmissionResponse{Admitted: true}
			}
			account, ok := accounts[request.Workspace]
			if !ok {
				account = quota.NewAccount(request.Limit, policy, profiles, now)
				accounts[request.Workspace] = account
			}
			return account.Serve(request, 1, now)
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
	return func(request quota.AdmissionRequest, now time.Time) quota.AdmissionResponse {
		bound := limit(now)
		if bound.Rate <= 0 {
			return quota.AdmissionResponse{Admitted: true}
		}
		one, ok := buckets[request.Workspace]
		if !ok {
			one = &bucket{tokens: bound.Burst, updated: now}
			buckets[request.Workspace] = one
		}
		one.tokens = math.Min(bound.Burst, one.tokens+bound.Rate*now.Sub(one.updated).Seconds())
		one.updated = now
		if one.tokens < 1 {
			return quota.AdmissionResponse{RetryAfter: time.Duration((1 - one.tokens) / bound.Rate * float64(time.Second))}
		}
		one.tokens--
		return quota.AdmissionResponse{Admitted: true}
	}
}
