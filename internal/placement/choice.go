package placement

import (
	"time"
)

// Weights of the cost of a target. A full target costs a whole waiting turn.
const (
	awayCost   = 0.15 // another data centre: about half a millisecond each way against turns of some hundred
	homeGain   = 0.6  // a kept prompt spares its prefill
	queueCost  = 4.0  // each request beyond the slots waits for another to end
	coldFactor = 0.5
)

// SampleSize is how many targets are compared for a request. Hosts know each
// other's load a quarter of a second late: if all compared all targets, all
// would send to the same one meanwhile.
const SampleSize = 2

// Choose returns the target with the lowest cost of a few drawn at random, or
// the one of the request's affinity, and counts the request as under way there.
// The caller must call Done with the id.
func (board *Board) Choose(request Request, now time.Time) (Target, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	preferred := board.homes[request.Affinity].id
	if request.Affinity == "" {
		preferred = ""
	}
	var best *seat
	lowest := 0.0
	for index, seat := range board.candidates(request, now) {
		if index >= board.policy.Sample && seat.target.ID != preferred {
			continue
		}
		cost := seat.cost(board.dataCentre)
		if seat.target.ID == preferred {
			cost -= homeGain
		}
		if best == nil || cost < lowest {
			best, lowest = seat, cost
		}
	}
	if best == nil {
		return Target{}, false
	}
	best.own++
	if request.Affinity != "" {
		board.settle(request.Affinity, best.target.ID, now)
	}
	return best.target, true
}

// Requests under way at the targets of a service, as a part of their slots, from
// which no program is begun. Of those that the experiment tool compares, these
// are worth most.
const (
	CrowdedPart   = 1.5
	CrowdedUrgent = 1.95
)

// Crowd is the load of a service's targets.
type Crowd struct{ Load, Slots int }

// Crowded reports whether the targets of a service have no room for a new
// program, and their load: those under way would end too late.
func (board *Board) Crowded(service string, urgent bool) (Crowd, bool) {
	limit := board.policy.Crowded
	if urgent {
		limit *= CrowdedUrgent / CrowdedPart
	}
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var crowd Crowd
	for _, seat := range board.groups[service] {
		if !seat.target.Draining && !board.missing[seat.target.ID] {
			crowd.Load += seat.own + seat.others
			crowd.Slots += max(1, seat.target.Slots)
		}
	}
	return crowd, crowd.Slots > 0 && float64(crowd.Load) >= limit*float64(crowd.Slots)
}

// candidates returns the targets that may run a request, the first of them
// drawn at random: the sound ones, or else those in doubt.
func (board *Board) candidates(request Request, now time.Time) []*seat {
	board.scratch = board.scratch[:0]
	sound := 0
	for _, seat := range board.groups[request.Service] {
		if seat.target.Draining || contains(request.Tried, seat.target.ID) {
			continue
		}
		board.scratch = append(board.scratch, seat)
		if !board.doubtful(seat, now) {
			last := len(board.scratch) - 1
			board.scratch[sound], board.scratch[last] = board.scratch[last], board.scratch[sound]
			sound++
		}
	}
	drawn := board.scratch[:sound]
	if sound == 0 {
		drawn = board.scratch
	}
	for index := range min(board.policy.Sample, len(drawn)) {
		other := index + board.policy.Draw(len(drawn)-index)
		drawn[index], drawn[other] = drawn[other], drawn[index]
	}
	return drawn
}

// doubtful reports whether a target is used only if no other is left.
func (board *Board) doubtful(seat *seat, now time.Time) bool {
	return now.Before(seat.avoidUntil) || board.silent[seat.target.DataCentre] || board.missing[seat.target.ID]
}

func (seat *seat) cost(dataCentre string) float64 {
	load := float64(seat.own + seat.others)
	slots := float64(max(1, seat.target.Slots))
	cost := (load + 1) / slots
	if load >= slots {
		cost += queueCost * (load - slots + 1) / slots
	}
	if seat.target.DataCentre != dataCentre {
		cost += awayCost
	}
	if seat.target.Cold > 0 {
		cost *= 1 + coldFactor
	}
	return cost
}
