package experiment

import (
	"fmt"
	"slices"
)

// summary returns the outcome of the requests that were counted.
func (simulation *speedSimulation) summary() SpeedResult {
	result, ratios := simulation.result, simulation.ratios
	slices.Sort(ratios)
	within := func(bound float64) float64 {
		count, _ := slices.BinarySearch(ratios, bound)
		return float64(count) / float64(len(ratios))
	}
	sum := 0.0
	for _, ratio := range ratios {
		sum += ratio
	}
	result.Requests, result.Within13, result.Within16 = len(ratios), within(1.3), within(1.6)
	result.Mean, result.P95 = sum/float64(len(ratios)), ratios[len(ratios)*95/100]
	result.Overflows = float64(simulation.overflow) / float64(len(result.Choices))
	if simulation.scenario.FalseFigure > 0 {
		fair := float64(simulation.scenario.FalseFigure) / speedTargets
		result.FalseShare = float64(simulation.falsely) / float64(len(result.Choices)) / fair
	}
	return result
}

// Row returns the figures of a result as text.
func (result SpeedResult) Row() string {
	return fmt.Sprintf("%d requests, within 1.3: %.3f, within 1.6: %.3f, mean %.2f, p95 %.2f, false share %.2f, overflows %.4f",
		result.Requests, result.Within13, result.Within16, result.Mean, result.P95, result.FalseShare, result.Overflows)
}
