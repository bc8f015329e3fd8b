package membership

import (
	"maps"
	"time"

	"github.com/godwitspread/godwitspread/internal/placement"
)

// updateEntries updates the list that this host gives to those that report to it. It
// leaves out what this host only knows from an aggregator that it has reported to
// itself: hosts that report to each other in turn would keep lost hosts alive.
func (view *View) updateEntries(now time.Time) {
	next := view.sequence + 1
	update := func(host string, state State, alive bool) {
		state.Version = 0
		known, ok := view.entries[host]
		switch {
		case !ok && !alive:
			return
		case !ok:
			known = &entry{}
			view.entries[host] = known
		case known.state == state && known.alive == alive:
			return
		}
		known.state, known.alive, known.changed = state, alive, next
		view.sequence = next
	}
	update(view.self.Host, view.self, true)
	for host, member := range view.members {
		if member.Protocol > 0 {
			update(host, member.State, member.confirmed(now))
		}
	}
	for host, known := range view.entries {
		if _, ok := view.members[host]; ok || host == view.self.Host {
			continue
		}
		if known.alive {
			update(host, known.state, false)
		}
	}
}

// summary returns what this host and those that report to it know.
func (view *View) summary(local Summary, now time.Time, except string) Summary {
	total := Summary{Load: maps.Clone(local.Load), Version: local.Version, Tokens: maps.Clone(local.Tokens), Speeds: maps.Clone(local.Speeds)}
	total.addCrashes(view.self.Host, local)
	for host, member := range view.members {
		if host != except && !member.reportedAt.IsZero() && now.Sub(member.reportedAt) <= reportTimeout {
			total.add(member.direct)
			total.addCrashes(host, member.direct)
		}
	}
	return total
}

// add adds what another summary says of targets, and its version.
func (summary *Summary) add(other Summary) {
	if summary.Load == nil && len(other.Load) > 0 {
		summary.Load = make(map[string]int, len(other.Load))
	}
	for target, count := range other.Load {
		summary.Load[target] += count
	}
	if summary.Tokens == nil && len(other.Tokens) > 0 {
		summary.Tokens = make(map[string]int, len(other.Tokens))
	}
	for target, tokens := range other.Tokens {
		summary.Tokens[target] += tokens
	}
	if summary.Speeds == nil && len(other.Speeds) > 0 {
		summary.Speeds = make(map[string]placement.SpeedSum, len(other.Speeds))
	}
	for target, sum := range other.Speeds {
		summary.Speeds[target] = summary.Speeds[target].Add(sum)
	}
	summary.Version = max(summary.Version, other.Version)
}

// addCrashes adds the crashes that a summary of one host or of several contains.
func (summary *Summary) addCrashes(host string, other Summary) {
	for reporter, counts := range other.CrashCounts {
		if reporter == "" {
			reporter = host
		}
		if summary.CrashCounts == nil {
			summary.CrashCounts = make(map[string]map[uint64]int)
		}
		summary.CrashCounts[reporter] = counts
	}
}

// Remote returns what the other hosts know.
func (view *View) Remote(now time.Time) Summary {
	var total Summary
	if !view.aggregating && now.Sub(view.upstreamAt) < relayedTimeout {
		total.add(view.upstreamSummary)
		total.addCrashes("", view.upstreamSummary)
	}
	for host, member := range view.members {
		if member.Protocol == 0 && member.alive {
			total.add(member.direct)
			total.addCrashes(host, member.direct)
		}
	}
	if view.aggregating {
		others := view.summary(Summary{}, now, view.self.Host)
		total.add(others)
		total.addCrashes("", others)
		view.addGroups(&total, now)
	}
	return total
}

// LoadAge returns the age of the load of the hosts of a data centre in Remote. A host that
// does not aggregate knows only when its aggregator last responded.
func (view *View) LoadAge(dataCentre string, now time.Time) time.Duration {
	if !view.aggregating {
		silent := now.Sub(view.upstreamAt)
		return max(silent, silent+Interval) // the sum overflows before the first response
	}
	age := time.Duration(0)
	for _, group := range view.groups {
		if silent := now.Sub(group.heardAt); silent <= relayedTimeout && group.includes(dataCentre) {
			age = max(age, silent)
		}
	}
	return age
}

// includes reports whether a host of a data centre reports to the aggregator.
func (group *group) includes(dataCentre string) bool {
	for _, state := range group.members {
		if state.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

func (view *View) addGroups(total *Summary, now time.Time) {
	for aggregator, group := range view.groups {
		if now.Sub(group.heardAt) <= relayedTimeout {
			total.add(group.summary)
			total.addCrashes(aggregator, group.summary)
		}
	}
}

// NewReport returns the report of this host.
func (view *View) NewReport(local Summary) Report {
	report := Report{State: view.self, Summary: local}
	if !view.resync {
		report.Source, report.Sequence = view.upstream, view.upstreamSequence
	}
	return report
}

// ServeReport records the report of a host and returns the response.
func (view *View) ServeReport(report Report, local Summary, now time.Time) ReportResponse {
	member := view.observe(report.State, now)
	response := ReportResponse{Member: view.self.Member}
	if member == nil {
		return response // of an earlier incarnation
	}
	gap := now.Sub(member.reportedAt)
	member.direct, member.reportedAt, member.aliveUntil = report.Summary, now, now.Add(reportTimeout)
	if !view.aggregating {
		// The first report makes this host an aggregator. It knows the others from
		// the one that it has reported to.
		view.aggregating = true
		view.Refresh(now)
		view.updateEntries(now)
	}
	response.Sequence = view.sequence
	response.Complete = report.Source != view.self.Incarnation || report.Sequence > view.sequence || gap > longestReportGap
	for host, entry := range view.entries {
		if entry.alive && host != report.State.Host {
			response.Count++
		}
		switch {
		case host == report.State.Host || !response.Complete && entry.changed <= report.Sequence:
		case entry.alive:
			response.Alive = append(response.Alive, entry.state)
		case !response.Complete:
			response.Lost = append(response.Lost, host)
		}
	}
	response.Summary = view.summary(local, now, report.State.Host)
	view.addGroups(&response.Summary, now)
	delete(response.Summary.CrashCounts, report.State.Host)
	return response
}

// ApplyReport applies the response to a report.
func (view *View) ApplyReport(response ReportResponse, now time.Time) {
	if response.Sequence == 0 || !response.Complete && response.Member.Incarnation != view.upstream {
		return
	}
	if aggregator := view.observeMember(response.Member, now); aggregator == nil {
		return
	}
	if response.Complete {
		view.changeUpstream()
	}
	for _, state := range response.Alive {
		if member, ok := view.members[state.Host]; ok && member.Incarnation != state.Incarnation {
			// The aggregator has replaced the incarnation that it vouched for. If this view
			// keeps that one for now, the lists differ and this host gets the complete one.
			member.vouched = false
		}
		view.Discover(state.Member, now)
		if member, ok := view.members[state.Host]; ok && member.Incarnation == state.Incarnation {
			view.replaceState(member, state)
			member.vouched = true
		}
	}
	for _, host := range response.Lost {
		if member, ok := view.members[host]; ok {
			member.vouched, member.lingers = false, time.Time{}
			member.aliveUntil = earlier(member.aliveUntil, member.heardAt.Add(AliveTimeout))
		}
	}
	listed := 0
	for _, member := range view.members {
		if member.vouched {
			listed++
		}
	}
	view.resync = listed != response.Count
	view.stale(len(response.Alive)+len(response.Lost) > 0 || now.Sub(view.upstreamAt) > AliveTimeout)
	view.upstream, view.upstreamSequence, view.upstreamAt, view.upstreamSummary = response.Member.Incarnation, response.Sequence, now, response.Summary
}

// changeUpstream prepares for the list of another aggregator. The hosts that the
// previous one has listed live on for a while, because the new one may not have heard
// from all of them yet.
func (view *View) changeUpstream() {
	for _, member := range view.members {
		if member.vouched {
			member.vouched = false
			member.lingers = view.upstreamAt.Add(handoverTimeout)
		}
	}
}
