package quota

import "time"

const (
	slotTime  = 50 * time.Millisecond // uses within it count as one moment
	aheadTime = time.Second           // for which uses can be noted in advance
)

// window counts what has been used over the last span of a limit, and what was
// granted for it. An account that has just begun, or that was cut off from
// other hosts, is granted less, since it does not know what others have used.
// A lowered limit holds for the time from then on.
type window struct {
	origin   time.Time
	slots    int64     // that a span of the limit's length touches
	current  int64     // slot of now
	uses     []float64 // by slot
	grants   []float64 // by slot
	portions []float64 // by slot
	most     float64   // in force now
	portion  float64   // in force now
	used     float64   // in the span and noted in advance
	granted  float64   // for the span
	shared   float64   // sum of the portions of the span
}

func newWindow(span time.Duration, origin time.Time) *window {
	slots := int64(span/slotTime) + 1
	size := slots + int64(aheadTime/slotTime) + 1
	return &window{origin: origin, slots: slots, uses: make([]float64, size), grants: make([]float64, size), portions: make([]float64, size)}
}

func (window *window) at(slot int64) int { return int(slot % int64(len(window.uses))) }

// advance moves the span up to now. From now on, a portion of the most that a
// span allows is granted.
func (window *window) advance(now time.Time, most, portion float64) {
	slot := max(window.current, int64(now.Sub(window.origin)/slotTime))
	if slot-window.current > int64(len(window.uses)) {
		clear(window.uses)
		clear(window.grants)
		clear(window.portions)
		window.used, window.granted, window.shared, window.current = 0, 0, 0, slot-window.slots
	}
	if most > window.most {
		window.raise(most)
	}
	window.most, window.portion = most, portion
	for window.current < slot {
		window.current++
		if left := window.current - window.slots; left >= 0 {
			leaving := window.at(left)
			window.used -= window.uses[leaving]
			window.granted -= window.grants[leaving]
			window.shared -= window.portions[leaving]
			window.uses[leaving], window.grants[leaving], window.portions[leaving] = 0, 0, 0
		}
		entering := window.at(window.current)
		window.grants[entering], window.portions[entering] = window.grant(portion), portion
		window.granted += window.grants[entering]
		window.shared += portion
	}
}

// grant is what a slot adds.
func (window *window) grant(portion float64) float64 {
	return window.most * portion / float64(window.slots)
}

// raise grants a higher limit for the whole span.
func (window *window) raise(most float64) {
	window.most = most
	for slot := max(0, window.current-window.slots+1); slot <= window.current; slot++ {
		index := window.at(slot)
		raised := max(window.grants[index], window.grant(window.portions[index]))
		window.granted += raised - window.grants[index]
		window.grants[index] = raised
	}
}

// whole reports whether all of the limit has been granted for the whole span.
func (window *window) whole() bool {
	const rounding = 1e-6
	return window.shared >= float64(window.slots)-rounding
}

// free returns what is left of the grants, and of an amount beyond them.
func (window *window) free(extra float64) float64 {
	return window.granted + extra*window.shared/float64(window.slots) - window.used
}

// use notes uses after a delay.
func (window *window) use(count float64, delay time.Duration) {
	window.uses[window.at(window.current+int64(min(delay, aheadTime)/slotTime))] += count
	window.used += count
}

// freed returns what becomes free within a time.
func (window *window) freed(within time.Duration) float64 {
	total := 0.0
	for ahead := range min(int64(within/slotTime), window.slots) {
		total += window.gain(ahead, 0)
	}
	return total
}

// wait returns the time until an amount becomes free, if that is within a
// bound.
func (window *window) wait(amount, extra float64, bound time.Duration) (time.Duration, bool) {
	for ahead := range min(int64(bound/slotTime), window.slots) {
		if amount -= window.gain(ahead, extra); amount <= 0 {
			return time.Duration(ahead+1) * slotTime, true
		}
	}
	return bound, false
}

// gain returns what becomes free when a slot ahead begins.
func (window *window) gain(ahead int64, extra float64) float64 {
	gained := window.grant(window.portion) + extra*window.portion/float64(window.slots)
	if left := window.current + 1 + ahead - window.slots; left >= 0 {
		leaving := window.at(left)
		gained += window.uses[leaving] - window.grants[leaving] - extra*window.portions[leaving]/float64(window.slots)
	}
	return gained
}
