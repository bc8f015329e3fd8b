package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

// coldTimes returns for how long the targets of each service are cold after a start.
func coldTimes(table *route.Table) map[string]time.Duration {
	times := make(map[string]time.Duration)
	for name, service := range table.Services() {
		if service.Cold.Duration > 0 {
			times[name] = service.Cold.Duration
		}
	}
	return times
}

// coldRate returns the permits a second for a target, or 0 if it is not cold or its
// service has no bound.
func (gateway *Gateway) coldRate(target placement.Target) float64 {
	return gateway.coldRateBy(gateway.registry, target)
}

// coldRateBy is coldRate by the cold phases of a registry.
func (gateway *Gateway) coldRateBy(registry *placement.Registry, target placement.Target) float64 {
	table := gateway.configuration.Table()
	if table == nil {
		return 0
	}
	service := table.Service(target.Service)
	if service == nil || service.Cold.Rate <= 0 {
		return 0
	}
	if _, cold := registry.ColdUntil(target.ID, gateway.clock.Now()); !cold {
		return 0
	}
	return gateway.coldBounds().Rate(service.Cold.Rate)
}

// coldBounds returns the bounds of the settings. Settings that were not read from a file
// may have none.
func (gateway *Gateway) coldBounds() capacity.ColdBounds {
	bounds := gateway.bounds.Load()
	if bounds.ColdOverage <= 0 {
		return capacity.ColdBounds{Overage: platform.DefaultColdOverage, Slack: platform.DefaultColdSlack}
	}
	return capacity.ColdBounds{Overage: bounds.ColdOverage, Slack: bounds.ColdSlack}
}

// recordCold logs that a cold phase of a target has begun.
func (gateway *Gateway) recordCold(id string, remaining time.Duration, source string) {
	target, _ := gateway.registry.Target(id)
	gateway.metrics.Count("target_cold_phases")
	gateway.logger.WithFields(log.Fields{
		"target": id, "service": target.Service, "cold_ms": remaining.Milliseconds(), "per_second": gateway.coldRate(target), "source": source,
	}).Info("target is cold")
}

// observeCold records what an entry says about the cold phase of its target, and reports
// whether a phase has begun.
func (targetTracker *targetTracker) observeCold(target placement.Target, entry []byte) bool {
	// An entry without a readable number counts as the first one since the start.
	number, _, err := platform.TargetReport(entry)
	if err != nil {
		number = 0
	}
	return targetTracker.registry.ObserveColdEntry(target, number, targetTracker.clock.Now())
}

// ColdTarget is a target that is cold.
type ColdTarget struct {
	Target    string  `json:"target"`
	Remaining string  `json:"remaining"`
	PerSecond float64 `json:"per_second,omitempty"` // permits of all hosts together; 0 without a bound
}

// coldTargets returns the targets that are cold, ordered by ID.
func (gateway *Gateway) coldTargets() []ColdTarget {
	var targets []ColdTarget
	now := gateway.clock.Now()
	for _, target := range gateway.registry.Targets() {
		until, cold := gateway.registry.ColdUntil(target.ID, now)
		if !cold {
			continue
		}
		targets = append(targets, ColdTarget{
			Target: target.ID, Remaining: until.Sub(now).Round(time.Millisecond).String(), PerSecond: gateway.coldRate(target),
		})
	}
	slices.SortFunc(targets, func(left, right ColdTarget) int { return strings.Compare(left.Target, right.Target) })
	return targets
}
