// Package placement chooses a target for a request from what this host knows
// of the targets' load. It does no input or output.
package placement

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Target is a process that runs requests.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int // requests that it runs at once
	Draining   bool
	Cold       time.Duration // how much longer it is slow after its start
	Born       int64
}

// Request is what placement knows of a request.
type Request struct {
	Service  string
	Affinity string // requests with the same value gain from the same target
	Tried    []string
}

// Board keeps the targets with their load.
type Board struct {
	dataCentre string
	policy     Policy

	mutex   sync.Mutex
	targets map[string]*seat
	groups  map[string][]*seat // by service
	homes   map[string]home    // last target by affinity
	scratch []*seat            // reused by candidates
	silent  map[string]bool    // data centres that are not heard
	missing map[string]bool    // targets whose entries are gone, but may return
}

type seat struct {
	target     Target
	own        int // requests of this host under way
	others     int // requests of other hosts under way, as last told
	failures   int // in a row
	avoidUntil time.Time
}

type home struct {
	id   string
	used time.Time
}

const (
	homeCapacity  = 20000                  // affinities remembered
	homeTime      = 60 * time.Second       // caches of targets rarely keep prompts for longer
	avoidInterval = 500 * time.Millisecond // pause after a failure, doubled with each further one
	avoidCeiling  = 8 * time.Second
)

// Policy is how a board decides.
type Policy struct {
	Sample  int           // targets that are compared for a request
	Crowded float64       // requests under way, as a part of the slots, from which no program is begun
	Draw    func(int) int // returns a random number below another
}

// Usual is the policy of hosts.
func Usual(draw func(int) int) Policy {
	return Policy{Sample: SampleSize, Crowded: CrowdedPart, Draw: draw}
}

// NewBoard returns a board for a host in a data centre.
func NewBoard(dataCentre string, policy Policy) *Board {
	return &Board{
		dataCentre: dataCentre, policy: policy, targets: make(map[string]*seat), groups: make(map[string][]*seat), homes: make(map[string]home),
	}
}

// Put adds a target or replaces what is known of it. It reports a change of
// state.
func (board *Board) Put(target Target) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if existing, ok := board.targets[target.ID]; ok {
		changed := existing.target != target
		moved := existing.target.Service != target.Service
		existing.target = target
		if moved {
			board.regroup()
		}
		return changed
	}
	board.targets[target.ID] = &seat{target: target}
	board.regroup()
	return true
}

// Remove forgets a target. Requests under way there go on.
func (board *Board) Remove(id string) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if _, ok := board.targets[id]; !ok {
		return false
	}
	delete(board.targets, id)
	board.regroup()
	return true
}

func (board *Board) regroup() {
	board.groups = make(map[string][]*seat)
	for _, seat := range board.targets {
		board.groups[seat.target.Service] = append(board.groups[seat.target.Service], seat)
	}
	for _, group := range board.groups {
		slices.SortFunc(group, func(left, right *seat) int { return strings.Compare(left.target.ID, right.target.ID) })
	}
}

// Len returns the number of targets.
func (board *Board) Len() int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return len(board.targets)
}

// Targets returns all targets.
func (board *Board) Targets() []Target {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	targets := make([]Target, 0, len(board.targets))
	for _, seat := range board.targets {
		targets = append(targets, seat.target)
	}
	return targets
}

func (board *Board) settle(affinity, id string, now time.Time) {
	if len(board.homes) >= homeCapacity {
		for key, home := range board.homes {
			if now.Sub(home.used) > homeTime {
				delete(board.homes, key)
			}
		}
		if len(board.homes) >= homeCapacity {
			clear(board.homes)
		}
	}
	board.homes[affinity] = home{id: id, used: now}
}

// Outcome is how a request ended at a target.
type Outcome uint8

// Outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
	Abandoned
)

// Done ends a request at a target.
func (board *Board) Done(id string, outcome Outcome, now time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	seat, ok := board.targets[id]
	if !ok {
		return
	}
	seat.own = max(0, seat.own-1)
	switch outcome {
	case Served:
		seat.failures = 0
		seat.avoidUntil = time.Time{}
	case Refused, Failed:
		seat.failures++
		pause := avoidInterval << min(seat.failures-1, 5)
		if outcome == Refused {
			pause = avoidInterval / 5
		}
		seat.avoidUntil = now.Add(min(pause, avoidCeiling))
	}
}

// SetOthers replaces what other hosts have under way, by target.
func (board *Board) SetOthers(load map[string]int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for id, seat := range board.targets {
		seat.others = load[id]
	}
}

// SetSilent replaces the data centres that are not heard; their targets are
// used last.
func (board *Board) SetSilent(dataCentres map[string]bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.silent = dataCentres
}

// SetMissing replaces the targets whose entries are gone but may return; they
// are used last.
func (board *Board) SetMissing(ids map[string]bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.missing = ids
}

// Own returns the requests of this host under way, by target.
func (board *Board) Own() map[string]int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	load := make(map[string]int)
	for id, seat := range board.targets {
		if seat.own > 0 {
			load[id] = seat.own
		}
	}
	return load
}

func contains(list []string, value string) bool {
	for _, each := range list {
		if each == value {
			return true
		}
	}
	return false
}
