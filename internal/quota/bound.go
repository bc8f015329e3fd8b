package quota

import (
	"math"
	"time"
)

const (
	stepDuration = 250 * time.Millisecond // of accrual that one announcement covers
	minStep      = 5                      // requests; announcements of small workspaces would otherwise precede every second request
)

// bound limits what a window records to what its backup has acknowledged. The zero value
// admits nothing.
type bound struct {
	limit    float64 // of the requests recorded so far
	recorded float64
	step     float64 // that one announcement adds
	// accruing is set while no backup acknowledges announcements: the limit then grows with
	// the sustained rate, and at most one step is saved up.
	accruing bool
	changed  int64 // earliest slot that has changed since the last announcement
}

// unbounded is the bound of a window that has no backup.
func unbounded() bound { return bound{limit: math.Inf(1), changed: math.MaxInt64} }

// remaining returns the requests that may be recorded before the next announcement.
func (bound *bound) remaining() float64 { return bound.limit - bound.recorded }

// binding reports whether the bound restricts the next request.
func (bound *bound) binding() bool { return bound.accruing || bound.remaining() < 1 }

// advance adds what accrues in a slot.
func (bound *bound) advance(slotGrant float64) {
	if bound.accruing {
		bound.limit = min(bound.recorded+bound.step, bound.limit+slotGrant)
	}
}

// record counts requests that run in a slot; a refund has a negative count.
func (bound *bound) record(slot int64, count float64) {
	bound.recorded += count
	bound.changed = min(bound.changed, slot)
}

// close makes the window wait for an announcement once the requests of a limit are recorded.
func (bound *bound) close(capacity float64, length time.Duration, limit float64) {
	bound.step = max(minStep, capacity*stepDuration.Seconds()/length.Seconds())
	bound.limit = min(limit, bound.recorded+bound.step)
}
