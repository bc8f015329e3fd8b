package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	maxFigureReports   = 64          // in one message; which targets they concern differs from message to message
	maxSpeedSums       = 256         // in one message
	figureReportTime   = time.Second // after which a figure is not told: it has no weight by then
	maxReportAge       = 10 * time.Second
	maxReportedPercent = 10000
	// figureLag is the largest inaccuracy of an age: hosts that repeat each other's
	// reports must not make a figure appear newer.
	figureLag = 500 * time.Millisecond
	// Resolution of sums in messages, in which small integers are short.
	weightUnits = 10
	valueUnits  = 1000
)

// FigureReport tells another host the latest slowness that a target has announced. It
// contains an age, because the clocks of hosts differ.
type FigureReport struct {
	Percent int           `msgpack:"f"` // of normal
	Age     time.Duration `msgpack:"a,omitempty"`
}

// SpeedSum is what some hosts together have observed of the speed of a target. Sums of
// several hosts are added up. Weights are numbers of observations that have lost weight
// with age, in tenths, and values are weighted sums of logarithms, in thousandths.
type SpeedSum struct {
	Usual       int64 `msgpack:"u,omitempty"` // announced slowness
	UsualWeight int64 `msgpack:"n,omitempty"`
	Pace        int64 `msgpack:"p,omitempty"` // seconds per work at the usual slowness
	PaceWeight  int64 `msgpack:"w,omitempty"`
}

// Add returns the sum of two sums.
func (sum SpeedSum) Add(other SpeedSum) SpeedSum {
	return SpeedSum{
		Usual: sum.Usual + other.Usual, UsualWeight: sum.UsualWeight + other.UsualWeight,
		Pace: sum.Pace + other.Pace, PaceWeight: sum.PaceWeight + other.PaceWeight,
	}
}

// Figures returns the recent announcements of targets that this host tells other hosts,
// also those that it knows from others, by target ID.
func (registry *Registry) Figures(now time.Time) map[string]FigureReport {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var reports map[string]FigureReport
	for id, state := range registry.targets {
		age := max(0, now.Sub(state.speed.figureAt))
		if len(reports) >= maxFigureReports {
			break
		}
		if state.speed.figureAt.IsZero() || age >= figureReportTime {
			continue
		}
		if reports == nil {
			reports = make(map[string]FigureReport)
		}
		reports[id] = FigureReport{Percent: percent(state.speed.figure), Age: age}
	}
	return reports
}

// MergeFigure records the announcement of a target that another host tells, unless it is
// invalid or a later one is known.
func (registry *Registry) MergeFigure(id string, report FigureReport, now time.Time) {
	if report.Percent <= 0 || report.Percent > maxReportedPercent || report.Age < 0 || report.Age > maxReportAge {
		return
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	state, ok := registry.targets[id]
	if !ok {
		return
	}
	speed, at := &state.speed, now.Add(-report.Age)
	repeated := percent(speed.figure) == report.Percent && at.Sub(speed.figureAt) < figureLag
	if at.After(speed.figureAt) && !repeated {
		speed.figure, speed.figureAt = clampLog(math.Log(float64(report.Percent)/100), maxFigure), at
	}
	registry.markAnnounced(state.target.Service, at)
}

func percent(logarithm float64) int { return int(math.Round(100 * math.Exp(logarithm))) }

// LocalSpeeds returns what this host has observed itself of the speed of targets whose
// service announces slowness, by target ID. If there are too many, all hosts tell of the
// same ones.
func (registry *Registry) LocalSpeeds(now time.Time) map[string]SpeedSum {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var sums map[string]SpeedSum
	for name, service := range registry.serviceSpeeds {
		if !service.announces(now) {
			continue
		}
		for _, state := range registry.byService[name] {
			sum := state.speed.sum(now)
			if len(sums) >= maxSpeedSums || sum == (SpeedSum{}) {
				continue
			}
			if sums == nil {
				sums = make(map[string]SpeedSum)
			}
			sums[state.target.ID] = sum
		}
	}
	return sums
}

func (speed *targetSpeed) sum(now time.Time) SpeedSum {
	var sum SpeedSum
	sum.Usual, sum.UsualWeight = speed.usual.units(now, usualLifetime)
	sum.Pace, sum.PaceWeight = speed.pace.units(now, paceLifetime)
	return sum
}

// units returns the weighted sum of the observations and their number, in the units of a
// SpeedSum.
func (mean decayingMean) units(now time.Time, lifetime time.Duration) (value, weight int64) {
	weight = int64(math.Round(mean.weightAt(now, lifetime) * weightUnits))
	return int64(math.Round(mean.value * float64(weight) / weightUnits * valueUnits)), weight
}

// SetRemoteSpeeds replaces what other hosts have observed of the speed of targets, by
// target ID.
func (registry *Registry) SetRemoteSpeeds(sums map[string]SpeedSum, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for id, state := range registry.targets {
		sum := sums[id]
		state.speed.otherUsual = meanOf(sum.Usual, sum.UsualWeight, now)
		state.speed.otherUsual.value = clampLog(state.speed.otherUsual.value, maxFigure)
		state.speed.otherPace = meanOf(sum.Pace, sum.PaceWeight, now)
	}
}

// meanOf returns the mean of a weighted sum and a weight in the units of a SpeedSum.
func meanOf(value, weight int64, now time.Time) decayingMean {
	if weight <= 0 {
		return decayingMean{}
	}
	observations := float64(weight) / weightUnits
	return decayingMean{value: clampLog(float64(value)/valueUnits/observations, maxPaceFactor), weight: observations, at: now}
}

// LearnedSpeed is what this host knows of the speed of a target, for operators.
type LearnedSpeed struct {
	Target, Service string
	Slowness        float64 // expected, without the deviation of the latest figure; 1 is normal
	Previous        float64 // at the last change that was reported
	Usual           float64 // mean announced slowness
	Excess          float64 // observed durations relative to the announced ones
	Figure          float64 // latest announced slowness; 0 if there is none
	FigureAge       time.Duration
}

// LearnedSpeeds returns the speeds of the targets whose service announces slowness, by
// target ID.
func (registry *Registry) LearnedSpeeds(now time.Time) []LearnedSpeed {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var speeds []LearnedSpeed
	for id, state := range registry.targets {
		service := registry.serviceSpeeds[state.target.Service]
		if !service.announces(now) {
			continue
		}
		registry.updatePace(state.target.Service, service, now)
		speed := &state.speed
		usual, excess := speed.usualFigure(now), speed.excess(service, now)
		learned := LearnedSpeed{
			Target: id, Service: state.target.Service, Usual: math.Exp(usual), Excess: math.Exp(excess), Previous: math.Exp(speed.reported),
			Slowness: min(max(math.Exp(usual+excess), minSlowness), maxTotalSlowness),
		}
		if !speed.figureAt.IsZero() {
			learned.Figure, learned.FigureAge = math.Exp(speed.figure), now.Sub(speed.figureAt)
		}
		speeds = append(speeds, learned)
	}
	slices.SortFunc(speeds, func(left, right LearnedSpeed) int { return strings.Compare(left.Target, right.Target) })
	return speeds
}

// SpeedChanges returns the targets whose learned slowness has changed notably since the
// last change that was returned.
func (registry *Registry) SpeedChanges(now time.Time) []LearnedSpeed {
	var changes []LearnedSpeed
	for _, learned := range registry.LearnedSpeeds(now) {
		if math.Abs(math.Log(learned.Slowness/learned.Previous)) >= math.Log(changeFactor) {
			changes = append(changes, learned)
		}
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, learned := range changes {
		if state, ok := registry.targets[learned.Target]; ok {
			state.speed.reported = math.Log(learned.Slowness)
		}
	}
	return changes
}
