package gateway

import (
	"time"

	"github.com/apex/log"
)

// slowTarget is the learned slowness from which a target counts as slow.
const slowTarget = 1.5

// TargetSpeed is what a host has learned of the speed of a target.
type TargetSpeed struct {
	Target    string  `json:"target"`
	Slowness  float64 `json:"slowness"`             // expected, without the latest figure; 1 is normal
	Announced float64 `json:"announced"`            // mean announced slowness
	Excess    float64 `json:"excess"`               // observed durations relative to the announced slowness
	Figure    float64 `json:"figure,omitempty"`     // latest announced slowness
	FigureAge string  `json:"figure_age,omitempty"` // time since a host has received it
}

// targetSpeeds returns the speeds of the targets whose services announce slowness.
func (gateway *Gateway) targetSpeeds() []TargetSpeed {
	var speeds []TargetSpeed
	for _, learned := range gateway.registry.LearnedSpeeds(gateway.clock.Now()) {
		speed := TargetSpeed{Target: learned.Target, Slowness: learned.Slowness, Announced: learned.Usual, Excess: learned.Excess, Figure: learned.Figure}
		if learned.Figure > 0 {
			speed.FigureAge = learned.FigureAge.Round(time.Millisecond).String()
		}
		speeds = append(speeds, speed)
	}
	return speeds
}

// recordTargetSpeeds logs the targets whose learned speed has changed notably, and counts
// the decisions about the memory of targets.
func (gateway *Gateway) recordTargetSpeeds() {
	now, slow := gateway.clock.Now(), 0
	for _, learned := range gateway.registry.LearnedSpeeds(now) {
		if learned.Slowness >= slowTarget {
			slow++
		}
	}
	gateway.metrics.SetGauge("targets_slow", float64(slow))
	for _, change := range gateway.registry.SpeedChanges(now) {
		gateway.metrics.Count("target_speeds_changed")
		gateway.logger.WithFields(log.Fields{
			"target": change.Target, "service": change.Service, "slowness": change.Slowness, "previous": change.Previous, "announced": change.Usual,
			"excess": change.Excess, "figure": change.Figure, "figure_age_ms": change.FigureAge.Milliseconds(),
		}).Info("learned speed of a target changed")
	}
	use := gateway.registry.TakeMemoryUse()
	gateway.metrics.Add("target_memory_avoided", use.Replaced)
	gateway.metrics.Add("target_memory_exceeded", use.Exceeded)
	if use.Exceeded > 0 {
		gateway.logger.WithFields(log.Fields{"requests": use.Exceeded, "interval_ms": evictInterval.Milliseconds()}).Warn("requests exceed the memory of their targets")
	}
}
