package bench

import (
	"bytes"
	"fmt"
	"html"
)

// plotPolicies returns an SVG bar chart of the p95 program latency of each result.
func plotPolicies(results []policyResult) []byte {
	const (
		width     = 900
		barHeight = 14
		left      = 420
		scale     = 400
	)
	highest := 1.0
	for _, result := range results {
		highest = max(highest, result.P95)
	}
	var plot bytes.Buffer
	height := (len(results) + 2) * (barHeight + 4)
	fmt.Fprintf(&plot, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&plot, `<text x="8" y="14">program latency p95 in seconds</text>`+"\n")
	for index, result := range results {
		y := (index + 1) * (barHeight + 4)
		colour := "#9aa7b5"
		if result.Policy == policyFairPrefix {
			colour = "#2a6f97"
		}
		if result.Policy == policyOracle {
			colour = "#c9a227"
		}
		fmt.Fprintf(&plot, `<text x="8" y="%d">%s: %s</text>`, y+barHeight-3, html.EscapeString(result.Scenario), html.EscapeString(result.Policy))
		length := max(1, int(result.P95/highest*scale))
		fmt.Fprintf(&plot, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>`, left, y, length, barHeight, colour)
		fmt.Fprintf(&plot, `<text x="%d" y="%d">%.1f</text>`+"\n", left+length+4, y+barHeight-3, result.P95)
	}
	plot.WriteString("</svg>\n")
	return plot.Bytes()
}
