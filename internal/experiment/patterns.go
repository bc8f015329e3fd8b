package experiment

import "time"

// meetings are the programs of live minutes, orders those of an order desk.
func meetings(perSecond float64) []Kind {
	return []Kind{
		{Name: "summary", PerSecond: 0.73 * perSecond, Turns: 3, Think: 60 * time.Millisecond, Fan: 0.05, AimFactor: 1.2, Way: 24 * time.Millisecond, Worth: 3, LateWorth: 0.3, Endless: 0.03},
		{Name: "dialogue", Urgent: true, PerSecond: 0.27 * perSecond, Turns: 9, Think: 150 * time.Millisecond, Fan: 0.08, AimFactor: 1.4, Way: 26 * time.Millisecond, Worth: 10, LateWorth: 1, Endless: 0.01},
	}
}

func orders(perSecond float64) []Kind {
	return []Kind{
		{Name: "advice", PerSecond: 0.84 * perSecond, Turns: 4, Think: 20 * time.Millisecond, Fan: 0.05, AimFactor: 1.3, Way: 24 * time.Millisecond, Worth: 3, LateWorth: 0.9, Endless: 0.01},
		{Name: "care", Urgent: true, PerSecond: 0.16 * perSecond, Turns: 11, Think: 60 * time.Millisecond, Fan: 0.25, AimFactor: 1.2, Way: 26 * time.Millisecond, Worth: 10, LateWorth: 3, Endless: 0.01},
	}
}

func steady(time.Duration) float64 { return 1 }

// burst returns a load that rises by a factor for a time.
func burst(from, length time.Duration, factor float64) func(time.Duration) float64 {
	return func(passed time.Duration) float64 {
		if passed >= from && passed < from+length {
			return factor
		}
		return 1
	}
}

// lowered returns a limit that drops.
func lowered(at time.Duration, before, after float64) func(time.Duration) (float64, float64) {
	return func(passed time.Duration) (float64, float64) {
		if passed < at {
			return before, before
		}
		return after, after
	}
}

// Patterns are the loads that are replayed.
func Patterns() []Pattern {
	small := Size{Hosts: 10, Engines: 9, Tools: 17}
	rates := RatePolicies()
	return []Pattern{
		{
			Name: "meetings, rate lowered", Size: small, Kinds: meetings(3.6), Workspaces: []string{"temple"}, Length: 120 * time.Second,
			Load: burst(20*time.Second, 6*time.Second, 1.6), Limit: lowered(10*time.Second, 90, 42), Policies: rates,
		},
		{
			Name: "orders, rate lowered", Size: small, Kinds: orders(1.9), Workspaces: []string{"schools"}, Length: 120 * time.Second,
			Load: burst(20*time.Second, 6*time.Second, 1.6), Limit: lowered(10*time.Second, 90, 36), Policies: rates,
		},
		{
			Name: "meetings, one workspace at seven times", Size: small, Kinds: meetings(14), Workspaces: []string{"temple"}, Length: 60 * time.Second,
			Load: steady, Limit: lowered(0, 42, 42), Policies: rates,
		},
		{
			Name: "orders, bursts within the rate", Size: small, Kinds: orders(1.2), Workspaces: []string{"schools"}, Length: 120 * time.Second,
			Load: burst(20*time.Second, 4*time.Second, 2), Limit: lowered(0, 38, 38), Policies: rates,
		},
		{
			Name: "meetings, burst over 10 hosts", Size: small, Kinds: meetings(24), Workspaces: []string{"temple"}, Length: 20 * time.Second,
			Load: burst(8*time.Second, 4*time.Second, 1.7), Policies: ChoicePolicies(),
		},
		{
			Name: "meetings, burst over 91 hosts", Size: Size{Hosts: 91, Engines: 36, Tools: 55}, Kinds: meetings(91), Workspaces: []string{"temple"}, Length: 10 * time.Second,
			Load: burst(4*time.Second, 3*time.Second, 1.7), Policies: ChoicePolicies(),
		},
		{
			Name: "meetings, 2.5 times the usual load", Size: small, Kinds: meetings(24), Workspaces: []string{"temple"}, Length: 24 * time.Second,
			Load: burst(8*time.Second, 6*time.Second, 2.5), Policies: OverloadPolicies(),
		},
		{
			Name: "meetings, four times the usual load", Size: small, Kinds: meetings(24), Workspaces: []string{"temple"}, Length: 24 * time.Second,
			Load: burst(8*time.Second, 6*time.Second, 4), Policies: OverloadPolicies(),
		},
		{
			Name: "orders, four times the usual load", Size: small, Kinds: orders(17), Workspaces: []string{"schools"}, Length: 24 * time.Second,
			Load: burst(8*time.Second, 6*time.Second, 4), Policies: OverloadPolicies(),
		},
	}
}
