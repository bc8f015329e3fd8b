package quota

import "time"

// Limit is a workspace's rate over all hosts together: no span of the window's
// length takes more than the rate for that time and the burst.
type Limit struct {
	Rate   float64       `msgpack:"r"` // requests a second
	Burst  float64       `msgpack:"b"`
	Window time.Duration `msgpack:"w"`
	// Reserve is how many requests beyond the limit programs under way may take
	// in a window.
	Reserve float64 `msgpack:"s,omitempty"`
}

// Terms are how a deployment counts rates. Hosts together may exceed a limit by
// the overage and the slack.
type Terms struct {
	Window  time.Duration
	Overage float64 // part of a limit
	Slack   float64 // requests
}

// reserveShare is the part of the tolerance that programs under way may use;
// the rest covers accounts that move between hosts.
const reserveShare = 0.4

// Limit returns the limit of a workspace.
func (terms Terms) Limit(rate, burst float64) Limit {
	if terms.Window <= 0 {
		terms.Window = time.Second
	}
	return Limit{
		Rate: rate, Burst: burst, Window: terms.Window,
		Reserve: reserveShare * (terms.Overage*(rate*terms.Window.Seconds()+burst) + terms.Slack),
	}
}

// most returns how many requests the limit allows in a window.
func (limit Limit) most() float64 { return limit.Rate*limit.Window.Seconds() + limit.Burst }

// steady returns the requests a second that the limit allows for ever.
func (limit Limit) steady() float64 { return limit.most() / limit.Window.Seconds() }

// Policy is how an account admits programs.
type Policy struct {
	Horizon  time.Duration // for which programs under way must find what they need
	Promise  float64       // part of what is free within the horizon that may be promised
	Patience time.Duration // that a program under way waits; its aim leaves a little more
}

// Usual is the policy of hosts: of those that the experiment tool compares, the
// one with the highest worth over all its loads.
var Usual = Policy{Promise: 1.1, Horizon: time.Second, Patience: 400 * time.Millisecond}

// Question asks whether a request may run.
type Question struct {
	Workspace string        `msgpack:"w"`
	Limit     Limit         `msgpack:"l"`
	Program   string        `msgpack:"p,omitempty"`
	Route     string        `msgpack:"o,omitempty"`
	Urgent    bool          `msgpack:"g,omitempty"` // its route has the highest priority
	Returned  int           `msgpack:"b,omitempty"` // earlier requests of the workspace that have not run
	Left      time.Duration `msgpack:"e,omitempty"` // until the program should be done
}

// Answer is the account's answer.
type Answer struct {
	Admitted bool          `msgpack:"a,omitempty"`
	Delay    time.Duration `msgpack:"d,omitempty"` // until it may run
	Retry    time.Duration `msgpack:"t,omitempty"`
	// Elsewhere tells that the host asked does not keep the account.
	Elsewhere bool `msgpack:"e,omitempty"`
}
