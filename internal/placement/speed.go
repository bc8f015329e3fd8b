package placement

import (
	"math"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/request"
)

const (
	// figureLifetime is the time constant of the weight of the latest figure. A speed that
	// changes every half second leaves a figure less than 0.14 of its weight at that age.
	figureLifetime   = 250 * time.Millisecond
	usualLifetime    = 10 * time.Second
	paceLifetime     = 30 * time.Second
	announcementTTL  = time.Minute            // after which a service whose targets announce no slowness is placed without it
	paceInterval     = 250 * time.Millisecond // between two calculations of the median pace of a service
	defaultDuration  = 500 * time.Millisecond // of a request, until the pace of its service is known
	usualPrior       = 4.0                    // observations of a normal target with which the usual figure begins, so that one odd figure has little effect
	pacePrior        = 4.0                    // durations vary more than figures
	minPaces         = 1.0                    // observations from which the pace of a target counts for the median
	minPacedTargets  = 3                      // with fewer targets, the median is that of the target itself
	promptTokenWork  = 1.0 / 64               // work of a prompt token, relative to a generated token; engines read prompts 50 to 200 times as fast
	changeFactor     = 1.5                    // change of the learned slowness that is reported
	maxFigure        = 4.0                    // slowness that a target can announce for itself, and its reciprocal
	maxExcess        = 4.0
	maxDeviation     = 2.5 // of the figure from its mean, since speeds change by up to 2.5 times
	maxPaceOutlier   = 4.0
	maxPaceFactor    = 1e9  // bound of what other hosts tell
	sampleDraws      = 4    // of a target for the sample, until one is accepted
	sampleUnits      = 1024 // resolution of the random decision whether to accept a draw
	minAccepted      = 0.5  // share of the draws of a normal target that are accepted
	minSlowness      = 1.0 / 3
	maxTotalSlowness = 6.0 // 2.4 times between targets and 2.5 times within one
)

// decayingMean is a mean of logarithms whose observations lose weight with age.
type decayingMean struct {
	value  float64
	weight float64 // number of observations, as of the time
	at     time.Time
}

func (mean decayingMean) weightAt(now time.Time, lifetime time.Duration) float64 {
	if mean.weight == 0 {
		return 0
	}
	return mean.weight * math.Exp(-max(0, now.Sub(mean.at)).Seconds()/lifetime.Seconds())
}

func (mean *decayingMean) add(value float64, now time.Time, lifetime time.Duration) {
	mean.weight = mean.weightAt(now, lifetime) + 1
	mean.value += (value - mean.value) / mean.weight
	mean.at = now
}

// targetSpeed is what this host knows of the speed of a target. Values are logarithms.
type targetSpeed struct {
	figure      float64 // latest slowness that the target has announced
	figureAt    time.Time
	usual, pace decayingMean // own observations: announced slowness; seconds per work, divided by the usual slowness
	// otherUsual and otherPace are those of the other hosts together.
	otherUsual, otherPace decayingMean
	reported              float64 // learned slowness at the last reported change
	unreadable            bool    // the target has announced figures that cannot be used
}

// combined returns the mean of the own and another host's observations and of a prior of
// value 0.
func combined(own, other decayingMean, prior float64, now time.Time, lifetime time.Duration) (value, weight float64) {
	ownWeight, otherWeight := own.weightAt(now, lifetime), other.weightAt(now, lifetime)
	weight = ownWeight + otherWeight
	if weight == 0 {
		return 0, 0
	}
	return (own.value*ownWeight + other.value*otherWeight) / (weight + prior), weight
}

// usualFigure returns the mean slowness that the target announces.
func (speed *targetSpeed) usualFigure(now time.Time) float64 {
	value, _ := combined(speed.usual, speed.otherUsual, usualPrior, now, usualLifetime)
	return value
}

// excess returns by how much the target takes longer than it announces, relative to the
// other targets of its service.
func (speed *targetSpeed) excess(service *serviceSpeed, now time.Time) float64 {
	if !service.paced {
		return 0
	}
	value, weight := combined(speed.pace, speed.otherPace, 0, now, paceLifetime)
	return clampLog((value-service.pace)*weight/(weight+pacePrior), maxExcess)
}

// slowness returns how long a request of the given duration at a normal target is expected
// to take at this one, relative to that duration.
func (speed *targetSpeed) slowness(service *serviceSpeed, duration time.Duration, now time.Time) float64 {
	usual := speed.usualFigure(now)
	deviation := 0.0
	if !speed.figureAt.IsZero() {
		deviation = clampLog(speed.figure-usual, maxDeviation) * figureWeight(now.Sub(speed.figureAt), duration)
	}
	return min(max(math.Exp(usual+speed.excess(service, now)+deviation), minSlowness), maxTotalSlowness)
}

// figureWeight returns the mean weight of a figure of an age over the duration of a request
// that begins now.
func figureWeight(age, duration time.Duration) float64 {
	spans := max(duration, time.Millisecond).Seconds() / figureLifetime.Seconds()
	return math.Exp(-max(0, age).Seconds()/figureLifetime.Seconds()) * (1 - math.Exp(-spans)) / spans
}

// clampLog bounds a logarithm to that of a factor and of its reciprocal.
func clampLog(value, factor float64) float64 {
	return min(max(value, -math.Log(factor)), math.Log(factor))
}

// serviceSpeed is what the targets of a service have in common.
type serviceSpeed struct {
	announcedAt time.Time // latest announcement of a slowness by one of the targets
	pace        float64   // median of the logarithm of seconds per work
	paced       bool      // the pace is known
	pacedAt     time.Time
	use         float64 // requests in flight per slot
}

// announces reports whether a target of the service has announced a slowness recently. It
// is false for a nil service.
func (service *serviceSpeed) announces(now time.Time) bool {
	return service != nil && now.Sub(service.announcedAt) < announcementTTL
}

// duration returns the expected duration of a request at a normal target.
func (service *serviceSpeed) duration(request Request) time.Duration {
	if !service.paced {
		return defaultDuration
	}
	seconds := math.Exp(service.pace) * work(request.PromptTokens, request.MaxTokens)
	return time.Duration(min(max(seconds, 0.001), 60) * float64(time.Second))
}

// work returns the work of a request, in generated tokens. Requests without tokens count
// as equal.
func work(promptTokens, generatedTokens int) float64 {
	return max(1, float64(promptTokens)*promptTokenWork+float64(generatedTokens))
}

// updatePace calculates the median pace of the targets of a service, unless that was done
// just now. The caller must hold the mutex.
func (registry *Registry) updatePace(name string, service *serviceSpeed, now time.Time) {
	if now.Sub(service.pacedAt) < paceInterval {
		return
	}
	var paces []float64
	inFlight, slots := 0, 0
	for _, state := range registry.byService[name] {
		inFlight += state.localInFlight + state.remoteInFlight
		slots += max(1, state.target.Slots)
		if pace, weight := combined(state.speed.pace, state.speed.otherPace, 0, now, paceLifetime); weight >= minPaces {
			paces = append(paces, pace)
		}
	}
	service.use = float64(inFlight) / float64(max(1, slots))
	service.pacedAt, service.paced = now, len(paces) >= minPacedTargets
	if service.paced {
		slices.Sort(paces)
		service.pace = paces[len(paces)/2]
	}
}

// speedCost returns how much longer a request takes at a target than at a normal one, with
// the time that it waits there. It is 0 if no target of the service announces a slowness.
// The caller must hold the mutex.
func (registry *Registry) speedCost(cost Cost, state *targetState, request Request, now time.Time) float64 {
	service := registry.serviceSpeeds[state.target.Service]
	if !service.announces(now) {
		return 0
	}
	registry.updatePace(state.target.Service, service, now)
	return (state.speed.slowness(service, service.duration(request), now) - 1) * (1 + cost.Load + cost.Queue)
}

// learned returns the logarithm of the slowness of a target, without the deviation of its
// latest figure.
func (speed *targetSpeed) learned(service *serviceSpeed, now time.Time) float64 {
	return speed.usualFigure(now) + speed.excess(service, now)
}

// drawSample returns the index of a random target among those from an index on. A target
// that is slower than normal is drawn less often, by the learned slowness: that changes
// slowly, so that hosts with old views do not all draw the same targets. The preference
// ends as the slots fill: fast targets would be overloaded by hosts with views 2 s old. The
// caller must hold the mutex.
func (registry *Registry) drawSample(eligible []*targetState, from int, name string, now time.Time) int {
	drawn := from + registry.policy.RandomInt(len(eligible)-from)
	service := registry.serviceSpeeds[name]
	if !service.announces(now) {
		return drawn
	}
	registry.updatePace(name, service, now)
	for range sampleDraws - 1 {
		accepted := math.Exp(-eligible[drawn].speed.learned(service, now)*max(0, 1-service.use)) * minAccepted
		if float64(registry.policy.RandomInt(sampleUnits)) < accepted*sampleUnits {
			break
		}
		drawn = from + registry.policy.RandomInt(len(eligible)-from)
	}
	return drawn
}

// markAnnounced records that a target of a service has announced a slowness. The caller
// must hold the mutex.
func (registry *Registry) markAnnounced(name string, at time.Time) {
	service, known := registry.serviceSpeeds[name]
	if !known {
		service = &serviceSpeed{}
		registry.serviceSpeeds[name] = service
	}
	if at.After(service.announcedAt) {
		service.announcedAt = at
	}
}

// ObserveLoad records the load that a target has announced in a response. Only its slowness
// is used: the counts include requests of this host as of an unknown moment.
func (registry *Registry) ObserveLoad(id string, load request.Load, now time.Time) {
	if !(load.Slowness > 0) || math.IsInf(load.Slowness, 0) {
		return
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	state, ok := registry.targets[id]
	if !ok {
		return
	}
	speed, figure := &state.speed, clampLog(math.Log(load.Slowness), maxFigure)
	speed.figure, speed.figureAt = figure, now
	speed.usual.add(figure, now, usualLifetime)
	registry.markAnnounced(state.target.Service, now)
}

// MarkUnreadableLoad records that a target has announced a load that cannot be used. It
// reports whether that is news.
func (registry *Registry) MarkUnreadableLoad(id string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	state, ok := registry.targets[id]
	if !ok || state.speed.unreadable {
		return false
	}
	state.speed.unreadable = true
	return true
}

// ObserveDuration records how long a target has taken for a request that was served in
// full, before Done ends it. A request that may have waited for a slot is not counted.
func (registry *Registry) ObserveDuration(id string, promptTokens, generatedTokens int, duration time.Duration, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	state, ok := registry.targets[id]
	if !ok || duration <= 0 || state.localInFlight+state.remoteInFlight > max(1, state.target.Slots) || !registry.serviceSpeeds[state.target.Service].announces(now) {
		return
	}
	speed := &state.speed
	pace := math.Log(duration.Seconds()/work(promptTokens, generatedTokens)) - speed.usualFigure(now)
	if known, weight := combined(speed.pace, speed.otherPace, 0, now, paceLifetime); weight >= pacePrior {
		pace = known + clampLog(pace-known, maxPaceOutlier)
	}
	speed.pace.add(pace, now, paceLifetime)
}
