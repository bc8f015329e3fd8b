package overload

import (
	"math"
	"time"
)

// averages are exponentially decayed sums over the turns of a service on this host.
type averages struct {
	recent  float64 // starts whose turns have mostly not ended yet
	starts  float64
	work    float64 // engine time of all turns, in seconds
	left    float64 // time left at the starts that have a deadline, in seconds
	limited float64 // starts that have a deadline
	updated time.Time
}

// decay returns the factor by which a sum decays over a time.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / constant.Seconds())
}

func (averages *averages) advance(now time.Time) {
	if !averages.updated.IsZero() {
		elapsed := now.Sub(averages.updated)
		ended := averages.recent * (1 - decay(elapsed, averages.timeLeft()/2))
		averages.recent -= ended
		averages.starts += ended
		factor := decay(elapsed, memory)
		averages.starts *= factor
		averages.work *= factor
		averages.left *= factor
		averages.limited *= factor
	}
	averages.updated = now
}

func (averages *averages) start(timeLeft time.Duration, now time.Time) {
	averages.advance(now)
	averages.recent++
	if timeLeft > 0 {
		averages.left += min(timeLeft, maxAhead).Seconds()
		averages.limited++
	}
}

// withdraw removes a start that did not happen.
func (averages *averages) withdraw(timeLeft time.Duration, now time.Time) {
	averages.advance(now)
	averages.recent = max(0, averages.recent-1)
	if timeLeft > 0 {
		averages.left = max(0, averages.left-min(timeLeft, maxAhead).Seconds())
		averages.limited = max(0, averages.limited-1)
	}
}

func (averages *averages) done(work time.Duration, now time.Time) {
	averages.advance(now)
	averages.work += work.Seconds()
}

// workPerStart returns the mean engine time that follows from a start, and whether it
// is known.
func (averages *averages) workPerStart(now time.Time) (time.Duration, bool) {
	averages.advance(now)
	if averages.starts < minStarts || averages.work <= 0 {
		return 0, false
	}
	return time.Duration(averages.work / averages.starts * float64(time.Second)), true
}

// timeLeft returns the mean time to the deadline at a start, within bounds.
func (averages *averages) timeLeft() time.Duration {
	if averages.limited < negligibleUsage {
		return defaultTimeLeft
	}
	return min(max(minAhead, time.Duration(averages.left/averages.limited*float64(time.Second))), maxAhead)
}
