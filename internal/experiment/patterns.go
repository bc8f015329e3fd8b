package experiment

import "time"

// meetingKinds returns the kinds of programs of an application that writes the
// minutes of live meetings. The rate is in programs a second over all kinds.
func meetingKinds(rate float64) []ProgramKind {
	return []ProgramKind{
		{Name: "summary", ProgramsPerSecond: 0.73 * rate, MeanTurns: 3, MeanThinkTime: 60 * time.Millisecond, SubAgentShare: 0.05, TimeLimitFactor: 1.2, TurnOverhead: 24 * time.Millisecond, Worth: 3, LateWorth: 0.3, EndlessShare: 0.03},
		{Name: "dialogue", Urgent: true, ProgramsPerSecond: 0.27 * rate, MeanTurns: 9, MeanThinkTime: 150 * time.Millisecond, SubAgentShare: 0.08, TimeLimitFactor: 1.4, TurnOverhead: 26 * time.Millisecond, Worth: 10, LateWorth: 1, EndlessShare: 0.01},
	}
}

// orderKinds returns the kinds of programs of an application that handles
// orders. The rate is in programs a second over all kinds.
func orderKinds(rate float64) []ProgramKind {
	return []ProgramKind{
		{Name: "advice", ProgramsPerSecond: 0.84 * rate, MeanTurns: 4, MeanThinkTime: 20 * time.Millisecond, SubAgentShare: 0.05, TimeLimitFactor: 1.3, TurnOverhead: 24 * time.Millisecond, Worth: 3, LateWorth: 0.9, EndlessShare: 0.01},
		{Name: "care", Urgent: true, ProgramsPerSecond: 0.16 * rate, MeanTurns: 11, MeanThinkTime: 60 * time.Millisecond, SubAgentShare: 0.25, TimeLimitFactor: 1.2, TurnOverhead: 26 * time.Millisecond, Worth: 10, LateWorth: 3, EndlessShare: 0.01},
	}
}

// constantLoad is a load factor that does not vary.
func constantLoad(time.Duration) float64 { return 1 }

// burstLoad returns a load factor that is above 1 during a burst.
func burstLoad(start, length time.Duration, factor float64) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed >= start && elapsed < start+length {
			return factor
		}
		return 1
	}
}

// loweredLimit returns a rate limit that changes at the given time. The burst
// equals the rate.
func loweredLimit(at time.Duration, before, after float64) func(time.Duration) (float64, float64) {
	return func(elapsed time.Duration) (float64, float64) {
		if elapsed < at {
			return before, before
		}
		return after, after
	}
}

// Patterns returns the load patterns with their policies.
func Patterns() []Pattern {
	small := Size{Hosts: 10, Engines: 9, Tools: 17}
	rateLimitPolicies := RateLimitPolicies()
	return []Pattern{
		{
			Name: "meetings, rate lowered", Size: small, Kinds: meetingKinds(3.6), Workspaces: []string{"temple"}, StartPeriod: 120 * time.Second,
			Load: burstLoad(20*time.Second, 6*time.Second, 1.6), Limit: loweredLimit(10*time.Second, 90, 42), Policies: rateLimitPolicies,
		},
		{
			Name: "orders, rate lowered", Size: small, Kinds: orderKinds(1.9), Workspaces: []string{"schools"}, StartPeriod: 120 * time.Second,
			Load: burstLoad(20*time.Second, 6*time.Second, 1.6), Limit: loweredLimit(10*time.Second, 90, 36), Policies: rateLimitPolicies,
		},
		{
			Name: "meetings, one workspace at seven times", Size: small, Kinds: meetingKinds(14), Workspaces: []string{"temple"}, StartPeriod: 60 * time.Second,
			Load: constantLoad, Limit: loweredLimit(0, 42, 42), Policies: rateLimitPolicies,
		},
		{
			Name: "orders, bursts within the rate", Size: small, Kinds: orderKinds(1.2), Workspaces: []string{"schools"}, StartPeriod: 120 * time.Second,
			Load: burstLoad(20*time.Second, 4*time.Second, 2), Limit: loweredLimit(0, 38, 38), Policies: rateLimitPolicies,
		},
		{
			Name: "meetings, burst over 10 hosts", Size: small, Kinds: meetingKinds(24), Workspaces: []string{"temple"}, StartPeriod: 20 * time.Second,
			Load: burstLoad(8*time.Second, 4*time.Second, 1.7), Policies: PlacementPolicies(),
		},
		{
			Name: "meetings, burst over 91 hosts", Size: Size{Hosts: 91, Engines: 36, Tools: 55}, Kinds: meetingKinds(91), Workspaces: []string{"temple"}, StartPeriod: 10 * time.Second,
			Load: burstLoad(4*time.Second, 3*time.Second, 1.7), Policies: PlacementPolicies(),
		},
		{
			Name: "meetings, 2.5 times the usual load", Size: small, Kinds: meetingKinds(24), Workspaces: []string{"temple"}, StartPeriod: 24 * time.Second,
			Load: burstLoad(8*time.Second, 6*time.Second, 2.5), Policies: OverloadPolicies(),
		},
		{
			Name: "meetings, four times the usual load", Size: small, Kinds: meetingKinds(24), Workspaces: []string{"temple"}, StartPeriod: 24 * time.Second,
			Load: burstLoad(8*time.Second, 6*time.Second, 4), Policies: OverloadPolicies(),
		},
		{
			Name: "orders, four times the usual load", Size: small, Kinds: orderKinds(17), Workspaces: []string{"schools"}, StartPeriod: 24 * time.Second,
			Load: burstLoad(8*time.Second, 6*time.Second, 4), Policies: OverloadPolicies(),
		},
		{
			Name: "orders, burst of two times over 68 hosts", Size: Size{Hosts: 68, Engines: 36, Tools: 55}, Kinds: orderKinds(70), Workspaces: []string{"schools"}, StartPeriod: 16 * time.Second,
			Load: burstLoad(6*time.Second, 4*time.Second, 2), Policies: StartPolicies(),
		},
		{
			Name: "meetings, one of three workspaces at seven times", Size: small, Kinds: meetingKinds(18), Workspaces: []string{"temple", "museum", "archive"}, StartPeriod: 24 * time.Second,
			Load: burstLoad(8*time.Second, 8*time.Second, 3), BusyWorkspace: 7, Policies: StartPolicies(),
		},
		{
			Name: "meetings, engines at 0.3 of their speed", Size: small, Kinds: meetingKinds(20), Workspaces: []string{"temple"}, StartPeriod: 24 * time.Second,
			Load: constantLoad, Speed: burstLoad(8*time.Second, 6*time.Second, 0.3), Policies: StartPolicies(),
		},
		{
			Name: "orders, 60 of 100 hosts lost", Size: Size{Hosts: 100, Engines: 36, Tools: 55}, Kinds: orderKinds(85), Workspaces: []string{"schools"}, StartPeriod: 16 * time.Second,
			Load: burstLoad(8*time.Second, 4*time.Second, 1.6), LostHosts: 60, LossAt: 8 * time.Second, Policies: StartPolicies(),
		},
		{
			Name: "meetings, 120 callers return at once", Size: small, Kinds: meetingKinds(24), Workspaces: []string{"temple"}, StartPeriod: 20 * time.Second,
			Load: burstLoad(8*time.Second, 250*time.Millisecond, 20), Policies: StartPolicies(),
		},
	}
}
