package quota

import "math"

// allowanceShare is the part of the tolerance that an account without history grants.
const allowanceShare = 0.3

// history restricts an account whose predecessor is unknown. The predecessor may have
// granted the whole limit just before the change. Until these grants have left the
// window, the account grants an allowance, and as much as hosts have reported as admitted
// before the change once that has left the window. The zero value restricts nothing.
type history struct {
	until     int64 // slot from which nothing of the predecessor is left in the window; 0 if the history is complete
	slots     int64 // of the window
	credits   []float64
	credited  float64 // sum of all credits, also of those that are not due
	due       float64 // sum of the credits up to the present
	allowance float64
	used      float64 // since the change
}

// newHistory returns the restriction of an account whose predecessor may have granted
// quota up to a slot.
func newHistory(since, slots int64, allowance float64) history {
	return history{until: since + slots, slots: slots, credits: make([]float64, slots+1), allowance: allowance}
}

func (history *history) incompleteAt(slot int64) bool { return slot < history.until }

func (history *history) index(slot int64) int64 { return slot % int64(len(history.credits)) }

// advance makes the credits of the next slot due.
func (history *history) advance(current int64) {
	if history.until == 0 {
		return
	}
	if current >= history.until {
		history.clear()
		return
	}
	index := history.index(current)
	history.due += history.credits[index]
	history.credits[index] = 0
}

// clear removes the restriction.
func (history *history) clear() { history.until, history.credits = 0, nil }

// available returns the quota that may be granted whatever the predecessor has granted.
func (history *history) available() float64 {
	if history.until == 0 {
		return math.Inf(1)
	}
	return history.allowance + history.due - history.used
}

// credit adds requests that have run in a slot before the change. Together they are at
// most what the predecessor may have granted.
func (history *history) credit(slot int64, count, limit float64) {
	count = min(count, limit-history.credited)
	if count <= 0 {
		return
	}
	history.credited += count
	history.credits[history.index(slot+history.slots)] += count
}

// creditedBy returns the credits that become due after the present slot, up to another.
func (history *history) creditedBy(current, slot int64) float64 {
	total := 0.0
	for due := current + 1; due <= min(slot, current+history.slots); due++ {
		total += history.credits[history.index(due)]
	}
	return total
}
