package placement

import (
	"math"
	"time"
)

const (
	prefillWeight     = 0.02                  // of the newest request in the moving averages: about the last 50 requests
	minPrefillSamples = 40                    // before the estimate is used
	maxFirstEventTime = 3 * time.Second       // later first events waited for something else
	maxPrefillPerTurn = 1. / 4000             // cost of a token: a prompt of 4,000 tokens that takes as long as a turn to read
	minSpread         = 100                   // tokens by which prompts must differ to tell their effect
	minTurnTime       = 10 * time.Millisecond // shorter turns are errors
	// maxPromptDeviation is the number of standard deviations up to which a prompt counts: callers
	// state the numbers, and a single absurd one would outweigh hundreds of others.
	maxPromptDeviation = 4
)

// prefillModel learns, by service, how long targets take to read a token of a prompt,
// relative to the duration of a turn, from the times to the first events of streams: it is
// the slope of their regression on the number of uncached tokens. Without enough samples,
// or if the slope is not positive, reading costs nothing.
type prefillModel struct {
	services map[string]*prefillEstimate
}

// prefillEstimate contains exponentially weighted moments.
type prefillEstimate struct {
	samples      int
	tokens       float64 // mean number of uncached tokens
	firstEvent   float64 // mean time to the first event, in seconds
	variance     float64 // of the tokens
	covariance   float64 // of the tokens and the time
	turn         float64 // mean duration of a turn, in seconds
	turnsCounted int
}

func newPrefillModel() *prefillModel {
	return &prefillModel{services: make(map[string]*prefillEstimate)}
}

func (model *prefillModel) estimate(service string) *prefillEstimate {
	estimate, ok := model.services[service]
	if !ok {
		estimate = &prefillEstimate{}
		model.services[service] = estimate
	}
	return estimate
}

// observeFirstEvent records the time to the first event of a stream whose prompt had a
// number of uncached tokens.
func (model *prefillModel) observeFirstEvent(service string, uncached int, elapsed time.Duration) {
	if elapsed <= 0 || elapsed > maxFirstEventTime {
		return
	}
	estimate := model.estimate(service)
	weight := max(prefillWeight, 1/float64(estimate.samples+1))
	estimate.samples++
	tokens, seconds := float64(uncached)-estimate.tokens, elapsed.Seconds()-estimate.firstEvent
	estimate.firstEvent += weight * seconds
	if limit := maxPromptDeviation * max(minSpread, math.Sqrt(estimate.variance)); estimate.samples > minPrefillSamples && math.Abs(tokens) > limit {
		scale := limit / math.Abs(tokens) // of both, which keeps their ratio
		tokens, seconds = scale*tokens, scale*seconds
	}
	estimate.tokens += weight * tokens
	estimate.variance = (1 - weight) * (estimate.variance + weight*tokens*tokens)
	estimate.covariance = (1 - weight) * (estimate.covariance + weight*tokens*seconds)
}

// observeTurn records the duration of a turn that was served.
func (model *prefillModel) observeTurn(service string, elapsed time.Duration) {
	if elapsed < minTurnTime {
		return
	}
	estimate := model.estimate(service)
	weight := max(prefillWeight, 1/float64(estimate.turnsCounted+1))
	estimate.turnsCounted++
	estimate.turn += weight * (elapsed.Seconds() - estimate.turn)
}

// costPerToken returns the time to read a token of a prompt, relative to that of a turn.
func (model *prefillModel) costPerToken(service string) float64 {
	estimate, ok := model.services[service]
	if !ok || estimate.samples < minPrefillSamples || estimate.turnsCounted < minPrefillSamples || estimate.variance < minSpread*minSpread || estimate.covariance <= 0 {
		return 0
	}
	return min(maxPrefillPerTurn, estimate.covariance/estimate.variance/estimate.turn)
}

// ObserveFirstEvent records the time between sending a request and the first event of its
// stream. uncached is the result of RecordPrompt.
func (registry *Registry) ObserveFirstEvent(service string, uncached int, elapsed time.Duration) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.prefill.observeFirstEvent(service, uncached, elapsed)
}

// ObserveTurn records the duration of a turn that was served.
func (registry *Registry) ObserveTurn(service string, elapsed time.Duration) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.prefill.observeTurn(service, elapsed)
}

// PrefillCost returns the time that the targets of a service take to read a token of a
// prompt, as a fraction of the duration of a turn, or 0 if it is not known.
func (registry *Registry) PrefillCost(service string) float64 {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.prefill.costPerToken(service)
}

// MaxPrefillCost returns the highest PrefillCost of all services.
func (registry *Registry) MaxPrefillCost() float64 {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	highest := 0.0
	for service := range registry.prefill.services {
		highest = max(highest, registry.prefill.costPerToken(service))
	}
	return highest
}
