package spillover

import (
	"slices"
	"time"
)

// Site is the load of the targets of a service in a data centre, as a host sees it.
type Site struct {
	DataCentre string
	InFlight   int
	Slots      int           // of usable targets; 0 if there are none
	Speed      float64       // of the targets, relative to others; 0 if not known
	Latency    time.Duration // one way, measured on connections
	Age        time.Duration // of the load
	Closed     bool          // evacuated or unreachable
}

// Pressure returns the requests in flight per slot.
func (site Site) Pressure() float64 { return float64(site.InFlight) / float64(max(1, site.Slots)) }

// usable reports whether the load of another data centre permits to send there at all.
func (site Site) usable() bool {
	return !site.Closed && site.Slots > 0 && site.Age <= MaxViewAge
}

// full reports whether a data centre needs its slots for its own callers.
func (site Site) full() bool { return site.Pressure() >= startPressure }

// expected returns the expected completion time of a further request.
func (site Site) expected(turn float64) time.Duration {
	pressure, speed := site.Pressure(), site.Speed
	if !(speed > 0 && speed <= maxSpeed) {
		speed = 1
	}
	return time.Duration(turn * (1 + pressure + queueFactor*max(0, pressure-1)) / speed)
}

// Input is what a host knows about a service.
type Input struct {
	Service      string
	Home         Site
	Others       []Site
	Turn         time.Duration // mean duration of a request at a target without load; 0 if not known
	RequestBytes int           // mean size of a request with its response
	SpeedAge     time.Duration // since the latest announcement that the speeds are learned from; 0 if they are not known
}

// turn returns the duration of a request at a target without load.
func (input Input) turn() float64 {
	if input.Turn <= 0 {
		return float64(unknownTurn)
	}
	return float64(input.Turn)
}

// Reason says why a share is what it is.
type Reason string

// Reasons of shares.
const (
	Calm            Reason = "calm"             // home is not full, or not for long enough
	NoLocalTarget   Reason = "no_local_target"  // home has no usable target
	HomeFull        Reason = "home_full"        // home is full, and the destination finishes requests sooner
	HomeRelieved    Reason = "home_relieved"    // falls because home is no longer full
	DestinationBusy Reason = "destination_busy" // falls or ends because the destination needs its slots
	NoGain          Reason = "no_gain"          // the destination does not finish requests sooner
	NoDestination   Reason = "no_destination"   // home is full, but no data centre has headroom
	DestinationLost Reason = "destination_lost" // ended because the destination is closed, unknown or its view too old
	Cached          Reason = "cached"           // of single requests: the destination caches the prompt, or no target at home is left
	HomeUnknown     Reason = "home_unknown"     // ended because the own load is too old
)

// Share is the part of a service's requests that leaves for a data centre.
type Share struct {
	DataCentre string
	Fraction   float64 // above 0, up to 1
}

// Decision says which requests of a service leave.
type Decision struct {
	Shares   []Share // at most one for each other data centre; in total at most 1
	Anywhere bool    // all leave, for any other data centre
	Reason   Reason
}

// Total returns the part of the requests that leaves.
func (decision Decision) Total() float64 {
	if decision.Anywhere {
		return 1
	}
	total := 0.0
	for _, share := range decision.Shares {
		total += share.Fraction
	}
	return total
}

// Destination returns the data centre that a request leaves for, by a random number in
// [0, 1). It returns an empty name if the request stays.
func (decision Decision) Destination(random float64) string {
	for _, share := range decision.Shares {
		if random < share.Fraction {
			return share.DataCentre
		}
		random -= share.Fraction
	}
	return ""
}

// Has reports whether a data centre has a share.
func (decision Decision) Has(dataCentre string) bool {
	for _, share := range decision.Shares {
		if share.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// equal reports whether the same requests leave, for whatever reason.
func (decision Decision) equal(other Decision) bool {
	return decision.Anywhere == other.Anywhere && slices.Equal(decision.Shares, other.Shares)
}

// stepUp returns by how much the share of a destination rises: at most half of what would
// fill it up to the pressure for its own callers, since other data centres may send too.
// A full data centre works on about as many requests in a turn as it has slots.
func (site Site) stepUp(home Site) float64 {
	return min(maxStep, (raisePressure-site.Pressure())/2*float64(site.Slots)/float64(home.Slots))
}

// add returns the decision with the share of a destination changed. Shares of less than
// minStep end, and the total does not exceed 1.
func (decision Decision) add(dataCentre string, change float64, reason Reason) Decision {
	change = min(change, 1-decision.Total())
	changed := Decision{Reason: reason}
	found := false
	for _, share := range decision.Shares {
		if share.DataCentre == dataCentre {
			share.Fraction += change
			found = true
		}
		if share.Fraction >= minStep {
			changed.Shares = append(changed.Shares, share)
		}
	}
	if !found && change >= minStep {
		changed.Shares = append(changed.Shares, Share{DataCentre: dataCentre, Fraction: change})
	}
	return changed
}

func find(sites []Site, dataCentre string) (Site, bool) {
	for _, site := range sites {
		if site.DataCentre == dataCentre {
			return site, true
		}
	}
	return Site{}, false
}
