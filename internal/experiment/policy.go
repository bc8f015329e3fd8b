package experiment

import (
	"math"
	"time"

	"github.com/godwitspread/godwitspread/internal/overload"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
)

// DefaultPolicyName is the name of the policy that hosts use.
const DefaultPolicyName = "ours"

// FixedThresholdName is the name of the policy that refuses new programs by the requests
// in flight alone, as hosts do for services without engines.
const FixedThresholdName = "begin up to 1.5 times the slots"

// RateLimitPolicies returns the default policy and alternatives that differ in how
// they keep a workspace within its rate limit.
func RateLimitPolicies() []Policy {
	lowCommit, highCommit, longDelay := quota.DefaultPolicy, quota.DefaultPolicy, quota.DefaultPolicy
	lowCommit.CommitRatio = 0.7
	highCommit.CommitRatio = 1.7
	longDelay.MaxDelay = 1200 * time.Millisecond
	placementPolicy := placement.DefaultPolicy(nil)
	return []Policy{
		{DefaultPolicyName, accountAdmission(quota.DefaultPolicy), placementPolicy, overload.New},
		{"promising less", accountAdmission(lowCommit), placementPolicy, nil},
		{"promising more", accountAdmission(highCommit), placementPolicy, nil},
		{"waiting longer", accountAdmission(longDelay), placementPolicy, nil},
		{"each request by itself", bucketAdmission, placementPolicy, nil},
	}
}

// PlacementPolicies returns the default policy and alternatives that differ in how
// they choose a target.
func PlacementPolicies() []Policy {
	admission := accountAdmission(quota.DefaultPolicy)
	withSampleSize := func(sampleSize int) placement.Policy {
		return placement.Policy{SampleSize: sampleSize, OverloadThreshold: placement.DefaultOverloadThreshold}
	}
	return []Policy{
		{DefaultPolicyName, admission, placement.DefaultPolicy(nil), overload.New},
		{"compare four targets", admission, withSampleSize(4), nil},
		{"compare all targets", admission, withSampleSize(math.MaxInt), nil},
		{"any target", admission, withSampleSize(1), nil},
	}
}

// OverloadPolicies returns the default policy and alternatives that differ in the
// load from which they refuse new programs.
func OverloadPolicies() []Policy {
	admission := accountAdmission(quota.DefaultPolicy)
	withThreshold := func(threshold float64) placement.Policy {
		return placement.Policy{SampleSize: placement.DefaultSampleSize, OverloadThreshold: threshold}
	}
	return []Policy{
		{DefaultPolicyName, admission, placement.DefaultPolicy(nil), overload.New},
		{FixedThresholdName, admission, placement.DefaultPolicy(nil), nil},
		{"begin every program", admission, withThreshold(math.Inf(1)), nil},
		{"begin up to the slots", admission, withThreshold(1), nil},
		{"begin up to twice the slots", admission, withThreshold(2), nil},
	}
}

// StartPolicies returns the default policy and the one that refuses new programs by the
// requests in flight alone.
func StartPolicies() []Policy { return OverloadPolicies()[:2] }

// accountAdmission returns a constructor of an Admission that uses quota accounts, as
// hosts do. Each workspace has a single account that covers all hosts.
func accountAdmission(policy quota.Policy) func(limit func(time.Time) quota.Limit) Admission {
	return func(limit func(time.Time) quota.Limit) Admission {
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

// bucketAdmission returns an Admission with one token bucket for each workspace. It
// ignores the programs that the requests belong to.
func bucketAdmission(limit func(time.Time) quota.Limit) Admission {
	type tokenBucket struct {
		tokens  float64
		updated time.Time
	}
	buckets := make(map[string]*tokenBucket)
	return func(request quota.AdmissionRequest, now time.Time) quota.AdmissionResponse {
		rateLimit := limit(now)
		if rateLimit.Rate <= 0 {
			return quota.AdmissionResponse{Admitted: true}
		}
		bucket, ok := buckets[request.Workspace]
		if !ok {
			bucket = &tokenBucket{tokens: rateLimit.Burst, updated: now}
			buckets[request.Workspace] = bucket
		}
		bucket.tokens = math.Min(rateLimit.Burst, bucket.tokens+rateLimit.Rate*now.Sub(bucket.updated).Seconds())
		bucket.updated = now
		if bucket.tokens < 1 {
			return quota.AdmissionResponse{RetryAfter: time.Duration((1 - bucket.tokens) / rateLimit.Rate * float64(time.Second))}
		}
		bucket.tokens--
		return quota.AdmissionResponse{Admitted: true}
	}
}
