package experiment

import (
	"bytes"
	"fmt"
	"html"
	"maps"
	"slices"
	"strings"
	"time"
)

// Mean combines the results of one pattern and policy for several seeds. Ratios and
// percentiles are averaged, counts are added, and the maximum of MaxLimitRatio is used.
func Mean(results []Result) Result {
	mean := results[0]
	count := float64(len(results))
	mean.WorthRatio, mean.ServedRatio, mean.WorstWindowRatio = 0, 0, 0
	mean.OnTimeShare = make(map[string]float64)
	mean.OnTimeByWorkspace = make(map[string]float64)
	mean.Refusals = make(map[string]int)
	var p50, p95 time.Duration
	mean.OnTime, mean.Programs, mean.FailedMidway, mean.RefusedAtStart = 0, 0, 0, 0
	for _, result := range results {
		mean.WorthRatio += result.WorthRatio / count
		mean.ServedRatio += result.ServedRatio / count
		mean.WorstWindowRatio += result.WorstWindowRatio / count
		mean.MaxLimitRatio = max(mean.MaxLimitRatio, result.MaxLimitRatio)
		mean.Programs += result.Programs
		mean.OnTime += result.OnTime
		mean.FailedMidway += result.FailedMidway
		mean.RefusedAtStart += result.RefusedAtStart
		p50 += result.P50
		p95 += result.P95
		for kind, share := range result.OnTimeShare {
			mean.OnTimeShare[kind] += share / count
		}
		for workspace, share := range result.OnTimeByWorkspace {
			mean.OnTimeByWorkspace[workspace] += share / count
		}
		for reason, refusals := range result.Refusals {
			mean.Refusals[reason] += refusals
		}
	}
	mean.P50, mean.P95 = p50/time.Duration(len(results)), p95/time.Duration(len(results))
	return mean
}

// Header returns the column headings of Row.
func Header() []string {
	return []string{"pattern", "policy", "worth", "served", "worst 2 s", "ended in aim", "in aim", "p50 s", "p95 s", "refused", "stopped", "refusals"}
}

// Row returns the table cells of a result.
func (result Result) Row() []string {
	var kinds, reasons []string
	for _, kind := range slices.Sorted(maps.Keys(result.OnTimeShare)) {
		kinds = append(kinds, fmt.Sprintf("%s %.2f", kind, result.OnTimeShare[kind]))
	}
	for _, reason := range slices.Sorted(maps.Keys(result.Refusals)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, result.Refusals[reason]))
	}
	return []string{
		result.Pattern, result.Policy, fmt.Sprintf("%.3f", result.WorthRatio), fmt.Sprintf("%.3f", result.ServedRatio), fmt.Sprintf("%.2f", result.WorstWindowRatio),
		fmt.Sprint(result.OnTime), strings.Join(kinds, ", "), fmt.Sprintf("%.2f", result.P50.Seconds()), fmt.Sprintf("%.2f", result.P95.Seconds()),
		fmt.Sprintf("%d of %d", result.RefusedAtStart, result.Programs), fmt.Sprint(result.FailedMidway), strings.Join(reasons, ", "),
	}
}

// Plot returns an SVG bar chart of the worth of each result, with a line at the
// share of programs served.
func Plot(results []Result) []byte {
	const (
		width     = 960
		barHeight = 14
		left      = 440
		scale     = 420
	)
	var plot bytes.Buffer
	height := (len(results) + 2) * (barHeight + 4)
	fmt.Fprintf(&plot, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&plot, `<text x="8" y="14">worth of what was owed; line: part of programs served</text>`+"\n")
	for index, result := range results {
		y := (index + 1) * (barHeight + 4)
		colour := "#9aa7b5"
		if result.Policy == DefaultPolicyName {
			colour = "#2a6f97"
		}
		fmt.Fprintf(&plot, `<text x="8" y="%d">%s: %s</text>`, y+barHeight-3, html.EscapeString(result.Pattern), html.EscapeString(result.Policy))
		fmt.Fprintf(&plot, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>`, left, y, max(1, int(result.WorthRatio*scale)), barHeight, colour)
		served := left + int(result.ServedRatio*scale)
		fmt.Fprintf(&plot, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#c9a227" stroke-width="2"/>`, served, y, served, y+barHeight)
		fmt.Fprintf(&plot, `<text x="%d" y="%d">%.3f</text>`+"\n", left+scale+8, y+barHeight-3, result.WorthRatio)
	}
	plot.WriteString("</svg>\n")
	return plot.Bytes()
}
