package quota

import "time"

const (
	slotDuration = 50 * time.Millisecond // resolution of the window
	maxAhead     = time.Second           // longest delay for which usage is recorded in advance
)

// window is a sliding window of slots that counts the usage of the most recent
// interval of the limit's length, and the quota granted for that interval. An
// account that is new, or that was isolated from other hosts, is granted less
// because the usage on other hosts is unknown to it. A lowered limit applies
// only to slots that begin after the change.
type window struct {
	origin   time.Time
	slots    int64     // number of slots that an interval of the limit's length overlaps
	current  int64     // slot of the present time
	uses     []float64 // by slot
	grants   []float64 // by slot
	shares   []float64 // by slot
	capacity float64   // requests per window under the present limit
	share    float64   // fraction of the limit that is granted at present
	used     float64   // sum of the uses in the interval and of those recorded in advance
	granted  float64   // sum of the grants in the interval
	shareSum float64   // sum of the shares in the interval
	// unknownBefore is the slot before which the uses of other accounts neither count nor
	// have a grant of this one.
	unknownBefore int64
	history       history // restricts the grants while earlier ones of other accounts are unknown
	bound         bound   // restricts the grants to what the backup knows of
}

func newWindow(length time.Duration, origin time.Time) *window {
	slots := int64(length/slotDuration) + 1
	size := slots + int64(maxAhead/slotDuration) + 1
	return &window{origin: origin, slots: slots, uses: make([]float64, size), grants: make([]float64, size), shares: make([]float64, size), bound: unbounded()}
}

func (window *window) index(slot int64) int { return int(slot % int64(len(window.uses))) }

// advance moves the window up to now. Slots that begin after the previous call
// are granted the share of the capacity.
func (window *window) advance(now time.Time, capacity, share float64) {
	slot := max(window.current, int64(now.Sub(window.origin)/slotDuration))
	if slot-window.current > int64(len(window.uses)) {
		clear(window.uses)
		clear(window.grants)
		clear(window.shares)
		window.used, window.granted, window.shareSum, window.current = 0, 0, 0, slot-window.slots
		window.history.clear()
	}
	if capacity > window.capacity {
		window.raise(capacity)
	}
	window.capacity, window.share = capacity, share
	for window.current < slot {
		window.current++
		window.history.advance(window.current)
		if expired := window.current - window.slots; expired >= 0 {
			leaving := window.index(expired)
			window.used -= window.uses[leaving]
			window.granted -= window.grants[leaving]
			window.shareSum -= window.shares[leaving]
			window.uses[leaving], window.grants[leaving], window.shares[leaving] = 0, 0, 0
		}
		entering := window.index(window.current)
		window.grants[entering], window.shares[entering] = window.slotGrant(share), share
		window.granted += window.grants[entering]
		window.shareSum += share
		window.bound.advance(window.grants[entering])
	}
}

// slotGrant returns the quota that one slot adds.
func (window *window) slotGrant(share float64) float64 {
	return window.capacity * share / float64(window.slots)
}

// raise applies a higher limit to all slots of the window.
func (window *window) raise(capacity float64) {
	window.capacity = capacity
	for slot := max(0, window.current-window.slots+1); slot <= window.current; slot++ {
		index := window.index(slot)
		raised := max(window.grants[index], window.slotGrant(window.shares[index]))
		window.granted += raised - window.grants[index]
		window.grants[index] = raised
	}
}

// incompleteAt reports whether grants of other accounts, which are not known, are in the
// window of a slot.
func (window *window) incompleteAt(slot int64) bool {
	return window.history.incompleteAt(slot) || window.unknownBefore > 0 && slot < window.unknownBefore+window.slots
}

// fullyGranted reports whether every slot of the window was granted the whole
// limit, and no grants of other accounts are unknown.
func (window *window) fullyGranted() bool {
	const rounding = 1e-6
	return window.shareSum >= float64(window.slots)-rounding && !window.incompleteAt(window.current)
}

// available returns the unused part of the grants and of an extra quota per
// window, which is scaled by the granted shares. Less is available while the history is
// incomplete, and while the backup has not acknowledged enough.
func (window *window) available(extra float64) float64 {
	available := min(window.granted+extra*window.shareSum/float64(window.slots)-window.used, window.history.available())
	if window.bound.binding() {
		return min(available, window.bound.remaining())
	}
	return available
}

// record counts usage that happens after a delay, and returns its slot.
func (window *window) record(count float64, delay time.Duration) int64 {
	slot := window.current + int64(min(delay, maxAhead)/slotDuration)
	window.uses[window.index(slot)] += count
	window.used += count
	window.history.used += count
	window.bound.record(slot, count)
	return slot
}

// remove removes one use from a slot. It returns false if the slot has left the window
// or has no use.
func (window *window) remove(slot int64) bool {
	if slot <= window.current-window.slots || slot > window.current+int64(maxAhead/slotDuration) || window.uses[window.index(slot)] < 1 {
		return false
	}
	window.uses[window.index(slot)]--
	window.used--
	window.history.used--
	window.bound.record(slot, -1)
	return true
}

// freedWithin returns the quota that becomes available within a period.
func (window *window) freedWithin(period time.Duration) float64 {
	total := 0.0
	for ahead := range min(int64(period/slotDuration), window.slots) {
		total += window.freedAt(ahead, 0)
	}
	if until := window.current + int64(period/slotDuration); window.history.incompleteAt(until) {
		total = min(total, window.history.creditedBy(window.current, until))
	}
	if window.bound.binding() {
		total = min(total, window.slotGrant(window.share)*float64(period/slotDuration))
	}
	return total
}

// waitFor returns the time until an amount becomes available, or the bound and
// false if it takes longer than the bound.
func (window *window) waitFor(amount, extra float64, bound time.Duration) (time.Duration, bool) {
	needed := amount + window.available(extra)
	granted := window.granted + extra*window.shareSum/float64(window.slots) - window.used
	for ahead := range min(int64(bound/slotDuration), window.slots) {
		granted += window.freedAt(ahead, extra)
		slot := window.current + 1 + ahead
		known := !window.history.incompleteAt(slot) || window.history.available()+window.history.creditedBy(window.current, slot) >= needed
		covered := !window.bound.binding() || window.bound.accruing && window.bound.remaining()+window.slotGrant(window.share)*float64(ahead+1) >= needed
		if granted >= needed && known && covered {
			return time.Duration(ahead+1) * slotDuration, true
		}
	}
	return bound, false
}

// freedAt returns the quota that becomes available when the slot current+1+ahead
// begins.
func (window *window) freedAt(ahead int64, extra float64) float64 {
	freed := window.slotGrant(window.share) + extra*window.share/float64(window.slots)
	if expired := window.current + 1 + ahead - window.slots; expired >= 0 {
		leaving := window.index(expired)
		freed += window.uses[leaving] - window.grants[leaving] - extra*window.shares[leaving]/float64(window.slots)
	}
	return freed
}
