package outbound

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// silenceLimit is how long a host with requests in flight may hear nothing from any
// target before it checks whether it still reaches targets. Targets begin nearly all
// responses within it.
const silenceLimit = 250 * time.Millisecond

// reachability tracks whether this host reaches targets. It is safe for concurrent
// use.
type reachability struct {
	clock clockwork.Clock

	mutex        sync.Mutex
	inFlight     int // requests on connections of this host
	waitingSince time.Time
	heardAt      time.Time       // last bytes from any target, or connection to one
	failed       map[string]bool // IDs of targets that could not be connected to since one could
	lost         bool
	lostSince    time.Time
}

func newReachability(clock clockwork.Clock) *reachability {
	return &reachability{clock: clock, failed: make(map[string]bool)}
}

// begin records that a request waits for a target.
func (reachability *reachability) begin() {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	if reachability.inFlight == 0 {
		reachability.waitingSince = reachability.clock.Now()
	}
	reachability.inFlight++
}

// end records that a request no longer waits.
func (reachability *reachability) end() {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	reachability.inFlight--
}

// heard records bytes from a target.
func (reachability *reachability) heard() {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	reachability.heardAt = reachability.clock.Now()
}

// connected records a new connection to a target.
func (reachability *reachability) connected() {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	reachability.heardAt = reachability.clock.Now()
	clear(reachability.failed)
}

// connectFailed records that a target could not be connected to.
func (reachability *reachability) connectFailed(id string) {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	reachability.failed[id] = true
}

// mostlyFailing reports whether several targets in a row could not be connected to.
// A single one is more likely down than the host is cut off.
func (reachability *reachability) mostlyFailing() bool {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	return len(reachability.failed) > 1
}

// suspect reports whether the host may have lost all targets, or has and may reach
// them again. A check must follow.
func (reachability *reachability) suspect() bool {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	if reachability.lost || len(reachability.failed) > 0 {
		return true
	}
	since := reachability.waitingSince
	if reachability.heardAt.After(since) {
		since = reachability.heardAt
	}
	return reachability.inFlight > 0 && reachability.clock.Since(since) >= silenceLimit
}

// decide records the result of a check. It returns how long the targets were lost,
// if they are reached again, and whether the state has changed.
func (reachability *reachability) decide(lost bool) (time.Duration, bool) {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	if reachability.lost == lost {
		return 0, false
	}
	reachability.lost = lost
	if lost {
		reachability.lostSince = reachability.clock.Now()
		return 0, true
	}
	return reachability.clock.Since(reachability.lostSince), true
}

// isLost reports whether the last check has reached no target.
func (reachability *reachability) isLost() bool {
	reachability.mutex.Lock()
	defer reachability.mutex.Unlock()
	return reachability.lost
}
