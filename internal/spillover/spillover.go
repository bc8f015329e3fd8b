// Package spillover decides what share of the requests of a service leaves a data centre,
// and to which other one. It performs no I/O.
package spillover

import "time"

// Pressures are requests in flight per slot. The gaps between them keep a share from
// following its own effect.
const (
	startPressure   = 0.9  // at home, for a share to start; at the destination, for it to end
	releasePressure = 0.7  // at home, below which a share falls
	raisePressure   = 0.75 // at the destination, up to which a share rises; the rest is for its own callers
	lowerPressure   = 0.82 // at the destination, above which a share falls
)

const (
	// MaxViewAge is the age up to which the load of another data centre is used.
	MaxViewAge = 2 * time.Second
	// maxHomeAge is the age up to which the load of the own data centre is used, and the
	// longest time between two decisions.
	maxHomeAge = time.Second
	// busyTime is how long a destination has to be full before its share ends: with few
	// slots, single reports of a load that is well below often say so.
	busyTime = 500 * time.Millisecond
	// holdTime is how long the own data centre has to be full before a share starts. All
	// who send to it must have seen that and stopped by then, which two data centres that
	// never send to each other depend on: they see it at most MaxViewAge late.
	holdTime = MaxViewAge + maxHomeAge + busyTime
	// calmTime is how long a destination must have had slots before a share starts. When
	// two data centres are relieved at the same moment, each would else see that of the
	// other one before its own, and send.
	calmTime = 2 * maxHomeAge
	// Shares change by a step in each interval, which is longer than the load takes to be
	// reported, so that the effect of a step is mostly seen before the next one.
	stepInterval = time.Second
	maxStep      = 0.2
	minStep      = 0.02
	lowerStep    = 0.1
	queueFactor  = 4   // turns that a request beyond the slots waits for, per slot, as in placement
	keptLoss     = 0.1 // of a turn: a share that has levelled both data centres gains nothing, but must not fall
	unknownTurn  = 300 * time.Millisecond
	maxSpeed     = 4.0 // targets differ by up to 2.4 times; other figures are errors
)

// Planner decides the shares of a host. It is not safe for concurrent use.
type Planner struct {
	price    Price
	random   func() float64
	services map[string]*state
}

// state is what the planner remembers of a service.
type state struct {
	decision  Decision
	fullSince time.Time            // when home began to be full without a break; zero if it is not
	calmSince map[string]time.Time // since when the usable data centres that are not full have been so without a break
	busySince map[string]time.Time // the same of those that are full
	decidedAt time.Time
	nextStep  time.Time // zero if the moment of the first step is not drawn yet
}

// NewPlanner returns a planner without shares. random returns numbers in [0, 1), by which
// hosts that see the same loads change their shares at different moments.
func NewPlanner(price Price, random func() float64) *Planner {
	return &Planner{price: price, random: random, services: make(map[string]*state)}
}

// Forget removes the services that are not in the set, so that the memory is bounded.
func (planner *Planner) Forget(current map[string]bool) {
	for service := range planner.services {
		if !current[service] {
			delete(planner.services, service)
		}
	}
}

// Decide returns which requests of a service leave, and reports whether that has changed.
// It must be called more often than every second.
func (planner *Planner) Decide(input Input, now time.Time) (Decision, bool) {
	state, ok := planner.services[input.Service]
	if !ok {
		state = newState(now)
		planner.services[input.Service] = state
	}
	before := state.decision
	state.observeHome(input.Home, now)
	state.observeOthers(input.Others, now)
	state.decision = planner.next(state, input, now)
	return state.decision, !before.equal(state.decision)
}

func newState(now time.Time) *state { return &state{decidedAt: now} }

// observeHome records since when the own data centre has been full.
func (state *state) observeHome(home Site, now time.Time) {
	if now.Sub(state.decidedAt) > maxHomeAge || home.Age > maxHomeAge || !home.full() {
		state.fullSince = time.Time{}
	} else if state.fullSince.IsZero() {
		state.fullSince = now
	}
}

// observeOthers records since when other data centres have been usable and full, or not.
func (state *state) observeOthers(sites []Site, now time.Time) {
	calmSince, busySince := make(map[string]time.Time, len(sites)), make(map[string]time.Time)
	for _, site := range sites {
		switch {
		case !site.usable():
		case site.full():
			busySince[site.DataCentre] = earlier(state.busySince, site.DataCentre, now)
		default:
			calmSince[site.DataCentre] = earlier(state.calmSince, site.DataCentre, now)
		}
	}
	state.calmSince, state.busySince = calmSince, busySince
}

// earlier returns the time that is recorded for a data centre, or else now.
func earlier(times map[string]time.Time, dataCentre string, now time.Time) time.Time {
	if at, known := times[dataCentre]; known {
		return at
	}
	return now
}

// next returns the next decision on a service.
func (planner *Planner) next(state *state, input Input, now time.Time) Decision {
	gap := now.Sub(state.decidedAt)
	state.decidedAt = now
	if input.Home.Closed || input.Home.Slots <= 0 {
		return Decision{Anywhere: true, Reason: NoLocalTarget}
	}
	if gap > maxHomeAge || input.Home.Age > maxHomeAge {
		return Decision{Reason: HomeUnknown}
	}
	kept := state.keep(input, now)
	if !kept.equal(state.decision) && len(kept.Shares) == 0 {
		state.nextStep = time.Time{} // the next share starts at a new random moment
		return kept
	}
	if now.Before(state.nextStep) {
		return kept
	}
	if lowered, reason := planner.toLower(kept, input); reason != "" {
		state.nextStep = now.Add(stepInterval)
		return kept.add(lowered, -lowerStep, reason)
	}
	return planner.raise(state, kept, input, now)
}

// keep returns the decision without the shares that end at once.
func (state *state) keep(input Input, now time.Time) Decision {
	kept := Decision{Reason: state.decision.Reason}
	for _, share := range state.decision.Shares {
		site, known := find(input.Others, share.DataCentre)
		busySince, busy := state.busySince[share.DataCentre]
		switch {
		case !known || !site.usable():
			kept.Reason = DestinationLost
		case busy && now.Sub(busySince) >= busyTime:
			kept.Reason = DestinationBusy
		default:
			kept.Shares = append(kept.Shares, share)
		}
	}
	return kept
}

// toLower returns the destination whose share falls, and why. The reason is empty if none
// does. Of several destinations it is the one with the least gain.
func (planner *Planner) toLower(decision Decision, input Input) (string, Reason) {
	destination, reason, least := "", Reason(""), time.Duration(0)
	for _, share := range decision.Shares {
		site, _ := find(input.Others, share.DataCentre)
		gain, cause := planner.gain(input, site), Reason("")
		switch {
		case input.Home.Pressure() < releasePressure:
			cause = HomeRelieved
		case site.Pressure() > lowerPressure:
			cause = DestinationBusy
		case float64(gain) < -keptLoss*input.turn():
			cause = NoGain
		}
		if cause != "" && (reason == "" || gain < least) {
			destination, reason, least = share.DataCentre, cause, gain
		}
	}
	return destination, reason
}

// raise returns a decision with one more step, if home has been full for long enough.
func (planner *Planner) raise(state *state, decision Decision, input Input, now time.Time) Decision {
	if state.fullSince.IsZero() || now.Sub(state.fullSince) < holdTime {
		if len(decision.Shares) == 0 {
			state.nextStep = time.Time{}
			decision.Reason = Calm
		}
		return decision
	}
	if state.nextStep.IsZero() {
		state.nextStep = now.Add(time.Duration(planner.random() * float64(stepInterval)))
		if now.Before(state.nextStep) {
			return decision
		}
	}
	destination, reason := planner.destination(state, input, now)
	if reason != HomeFull {
		decision.Reason = reason
		return decision
	}
	state.nextStep = now.Add(stepInterval)
	return decision.add(destination.DataCentre, destination.stepUp(input.Home), HomeFull)
}

// destination returns the data centre with headroom that is expected to finish a request
// first.
func (planner *Planner) destination(state *state, input Input, now time.Time) (Site, Reason) {
	var best Site
	reason := NoDestination
	for _, site := range input.Others {
		if !state.hasRoom(site, input.Home, now) {
			continue
		}
		if gain := planner.gain(input, site); gain <= 0 {
			if reason == NoDestination {
				reason = NoGain
			}
		} else if reason != HomeFull || gain > planner.gain(input, best) {
			best, reason = site, HomeFull
		}
	}
	return best, reason
}

// hasRoom reports whether the share of a destination may rise.
func (state *state) hasRoom(site, home Site, now time.Time) bool {
	if !site.usable() || site.full() || site.stepUp(home) < minStep {
		return false
	}
	if state.decision.Has(site.DataCentre) {
		return true
	}
	return now.Sub(state.calmSince[site.DataCentre]) >= calmTime
}

// gain returns by how much a request is expected to end sooner at a site than at home,
// less the price of its bytes.
func (planner *Planner) gain(input Input, site Site) time.Duration {
	there := site.expected(input.turn()) + 2*max(0, site.Latency) + planner.price.of(input.RequestBytes)
	return input.Home.expected(input.turn()) - there
}
