package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/godwitspread/godwitspread/internal/explain"
)

// printReport writes a report as tables or as JSON.
func (client *client) printReport(report *explain.Report) error {
	if client.options.Output == "json" {
		encoder := json.NewEncoder(client.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	writer := tabwriter.NewWriter(client.stdout, 0, 0, 2, ' ', 0)
	line := func(cells ...string) { fmt.Fprintln(writer, strings.Join(cells, "\t")) }
	store := "store reached"
	if !report.StoreReached {
		store = "store lost"
	}
	line("HOST", report.DataCentre+"/"+report.Host, store)
	for _, input := range report.Inputs {
		line("INPUT", input.Name, formatAge(input.AgeMillis))
	}
	line("REQUEST", report.Request.Method+" "+report.Request.HostName+report.Request.Path, fmt.Sprintf("%d bytes, %d prompt and %d output tokens, %d tokens in %d parts", report.Request.BodyBytes, report.Request.PromptTokens, report.Request.MaxTokens, report.Request.PrefixTokens, report.Request.PrefixParts))
	if route := report.Route; route != nil {
		line("ROUTE", route.Name, route.HostName+route.Prefix+describeRoute(*route))
	}
	line("KEY", cmp.Or(report.Key, "not checked"), report.Workspace)
	if quota := report.Quota; quota != nil {
		line("QUOTA", quotaDecision(*quota), quotaDetails(*quota))
	}
	if report.Rejection != nil {
		line("REJECTED", formatRejection(*report.Rejection), report.Rejection.Cause)
	}
	for _, service := range report.Services {
		if err := writer.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(client.stdout)
		line("SERVICE", service.Name, fmt.Sprintf("%.0f%% of the route's requests", 100*service.Weight))
		printDecisions(service, line)
		if err := writer.Flush(); err != nil {
			return err
		}
		printTargets(service, line)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, note := range report.Notes {
		fmt.Fprintln(client.stdout, "\nNOTE", note)
	}
	return nil
}

func describeRoute(route explain.Route) string {
	text := ""
	if route.Streaming {
		text += ", streaming"
	}
	if route.Urgent {
		text += ", urgent"
	}
	if len(route.HomeRegions) > 0 {
		text += ", confined to " + strings.Join(route.HomeRegions, ", ")
	}
	return text
}

func quotaDecision(quota explain.Quota) string {
	switch {
	case !quota.Known:
		return "unknown"
	case !quota.Admitted:
		return "rejected"
	case quota.Delay > 0:
		return "admitted after " + formatAge(quota.Delay)
	}
	return "admitted"
}

func quotaDetails(quota explain.Quota) string {
	keeper := "this host"
	if quota.Coordinator != "" {
		keeper = quota.Coordinator
	}
	if quota.Fallback {
		keeper = "this host alone, " + keeper + " does not respond"
	}
	details := fmt.Sprintf("%.1f of %.1f used, %.1f available, %.1f needed by %d programs; limit %g a second and a burst of %g; account of %s", quota.Used, quota.Granted, quota.Available, quota.Committed, quota.Programs, quota.Rate, quota.Burst, keeper)
	if quota.Known && !quota.Exists {
		details += ", which the request would create"
	}
	if quota.Reason != "" {
		details += " (" + quota.Reason + ")"
	}
	return details
}

func formatRejection(rejection explain.Rejection) string {
	text := fmt.Sprintf("%d %s", rejection.Status, rejection.Reason)
	switch {
	case rejection.RetryAfter == 0:
		text += ", no Retry-After"
	case rejection.MaxRetryAfter > rejection.RetryAfter:
		text += fmt.Sprintf(", Retry-After %.3f to %.3f s", float64(rejection.RetryAfter)/1000, float64(rejection.MaxRetryAfter)/1000)
	default:
		text += fmt.Sprintf(", Retry-After %.3f s", float64(rejection.RetryAfter)/1000)
	}
	if rejection.Share < 1 {
		text += fmt.Sprintf(", in %.0f%% of the draws", 100*rejection.Share)
	}
	return text
}

// printDecisions writes the decisions on a service that come before the choice of a target.
func printDecisions(service explain.Service, line func(...string)) {
	if start := service.Start; start != nil {
		verdict := "admitted"
		if !start.Admitted {
			verdict = "only programs that have started"
		}
		line("ADMISSION", verdict, fmt.Sprintf("%d in flight on %d slots, %d targets at their limits, %.2f starts a second, %.2f left", start.InFlight, start.Slots, start.Paused, start.Rate, start.Tokens))
	}
	if budget := service.Budget; budget != nil {
		ledger := "ledger not read"
		if budget.LedgerRead {
			ledger = "ledger read " + formatAge(budget.LedgerAge) + " ago"
		}
		if budget.Reason != "" {
			ledger += ", " + budget.Reason
		}
		line("BUDGET", budget.Verdict, fmt.Sprintf("%d tokens claimed, %d of %d taken, decided by %s, %s", budget.Tokens, budget.Allocated, budget.Budget, cmp.Or(budget.Coordinator, "this host"), ledger))
	}
	if spillover := service.Spillover; spillover != nil {
		shares := "none leave"
		if spillover.Anywhere {
			shares = "all leave for any data centre"
		}
		for index, name := range slices.Sorted(maps.Keys(spillover.Shares)) {
			if index == 0 {
				shares = "leave:"
			}
			shares += fmt.Sprintf(" %.0f%% to %s", 100*spillover.Shares[name], name)
		}
		line("SPILLOVER", spillover.Reason, shares)
	}
	for _, rejection := range service.Rejections {
		line("REJECTED", formatRejection(rejection), rejection.Cause)
	}
	if service.Draws > 0 {
		line("TARGETS", "SHARE is that of "+strconv.Itoa(service.Draws)+" random draws", "a request draws its own")
	}
}

// printTargets writes the targets of a service with their costs.
func printTargets(service explain.Service, line func(...string)) {
	if len(service.Targets) == 0 {
		return
	}
	line("TARGET", "DATA CENTRE", "SHARE", "COST", "LOAD", "QUEUE", "WAY", "COLD", "PREFILL", "AFFINITY", "SPEED", "MEMORY", "IN FLIGHT", "TOKENS", "CACHED", "LOAD AGE", "STATE")
	for _, target := range service.Targets {
		cost, share := target.Cost, "-"
		if service.Draws > 0 && target.Excluded == "" {
			share = fmt.Sprintf("%.1f%%", 100*target.Share)
		}
		cells := []string{target.ID, target.DataCentre, share}
		for _, part := range []float64{cost.Total, cost.Load, cost.Queue, cost.Way, cost.Cold, cost.Prefill, cost.Affinity, cost.Speed, cost.Memory} {
			cells = append(cells, fmt.Sprintf("%.3f", part))
		}
		cells = append(cells, fmt.Sprintf("%d/%d", target.InFlight, target.Slots), strconv.Itoa(target.Tokens), strconv.Itoa(target.CachedTokens), formatAge(target.LoadAge), targetState(target))
		line(cells...)
	}
}

// targetState lists what sets a target apart from others.
func targetState(target explain.Target) string {
	var states []string
	add := func(applies bool, format string, values ...any) {
		if applies {
			states = append(states, fmt.Sprintf(format, values...))
		}
	}
	add(target.Excluded != "", "excluded: %s", target.Excluded)
	add(target.Paused > 0, "paused for %s", formatAge(target.Paused))
	add(target.Backoff > 0, "backoff for %s", formatAge(target.Backoff))
	add(target.Cold > 0, "cold for %s", formatAge(target.Cold))
	add(target.ColdRate > 0, "at most %.2f/s while cold", target.ColdRate)
	add(target.Limit > 0 || target.LimitAge >= 0, "limit %g/s, said %s ago", target.Limit, formatAge(target.LimitAge))
	add(target.FigureAge >= 0, "speed said %s ago", formatAge(target.FigureAge))
	add(target.Returning, "returns from an evacuation")
	add(target.Affine, "last target of the session")
	add(target.Permit != "", "permit %s", target.Permit)
	return cmp.Or(strings.Join(states, ", "), "-")
}
