package membership

import (
	"slices"
	"strings"
	"time"
)

// Plan lists the calls that this host makes in an interval. It must call Done with
// the name of each host when the call has ended.
type Plan struct {
	Report   *Member  // gets a report
	Digests  []Member // get a digest
	Statuses []Member // speak protocol 0 and get the status of this host
}

// Next returns the calls that are due, and marks them as in flight.
func (view *View) Next(now time.Time) Plan {
	if now.Sub(view.nextAt) > standstill {
		view.runningSince = now
	}
	view.nextAt = now
	view.Refresh(now)
	view.updateGroup(now)
	candidates := view.candidates(now)
	aggregators := view.aggregators(candidates)
	_, elected := aggregators[view.self.Host]
	view.aggregating = elected || len(view.group) > 1
	var plan Plan
	if view.aggregating {
		plan.Digests = view.dueDigests(aggregators, now)
		view.updateEntries(now)
	} else {
		plan.Report = view.reportTo(aggregators, now)
	}
	for _, member := range view.order() {
		if member.Protocol == 0 && !member.exchanging && (member.Host > view.self.Host || now.Sub(member.heardAt) > 2*Interval) {
			member.exchanging = true
			plan.Statuses = append(plan.Statuses, member.Member)
		}
	}
	return plan
}

// Retry returns the host that gets the report instead of one that has not responded,
// and marks the call as in flight. It returns nil if there is none.
func (view *View) Retry(now time.Time) *Member {
	if view.aggregating {
		return nil
	}
	view.refreshIfOld(now)
	return view.reportTo(view.aggregators(view.candidates(now)), now)
}

func (view *View) reportTo(aggregators map[string]Member, now time.Time) *Member {
	aggregator, found := view.nextAggregator(aggregators, now)
	if !found {
		return nil
	}
	aggregator.exchanging = true
	member := aggregator.Member // the caller reads it without the lock of the view
	return &member
}

// Done records the end of a call to a host. A host that has not responded gets no
// reports for a while.
func (view *View) Done(host string, responded bool, now time.Time) {
	member, ok := view.members[host]
	if !ok {
		return
	}
	member.exchanging = false
	if !responded {
		member.failedUntil = now.Add(failurePause)
	}
}

// candidates returns the hosts that may aggregate: those that are alive, and those
// discovered just now, from which this host may not have heard yet. The next call reuses the
// slice.
func (view *View) candidates(now time.Time) []State {
	candidates := view.candidateStates[:0]
	if !view.self.Stopping {
		candidates = append(candidates, view.self)
	}
	for _, member := range view.order() {
		introduced := member.heardAt.Before(member.discovered) && now.Sub(member.discovered) < introductionTime
		if member.Protocol > 0 && !member.Stopping && (member.alive || introduced) {
			candidates = append(candidates, member.State)
		}
	}
	view.candidateStates = candidates
	return candidates
}

// aggregators returns the hosts that aggregate, by name: in each data centre one for
// each group, the hosts with the most processor time first. It remembers the result until the
// candidates change. The caller must not change the map.
func (view *View) aggregators(candidates []State) map[string]Member {
	unchanged := slices.EqualFunc(view.electors, candidates, func(member Member, candidate State) bool { return member == candidate.Member })
	if unchanged && view.elected != nil {
		return view.elected
	}
	size := groupSize(len(candidates))
	view.electors = view.electors[:0]
	byDataCentre := make(map[string][]Member)
	for _, candidate := range candidates {
		view.electors = append(view.electors, candidate.Member)
		byDataCentre[candidate.DataCentre] = append(byDataCentre[candidate.DataCentre], candidate.Member)
	}
	chosen := make(map[string]Member)
	for _, members := range byDataCentre {
		slices.SortFunc(members, func(left, right Member) int {
			if left.Capacity != right.Capacity {
				return right.Capacity - left.Capacity
			}
			return compareWeights(left.Host, right.Host, "aggregator")
		})
		for _, member := range members[:(len(members)+size-1)/size] {
			chosen[member.Host] = member
		}
	}
	view.elected = chosen
	return chosen
}

// compareWeights orders hosts by falling weight for a key.
func compareWeights(left, right, key string) int {
	leftWeight, rightWeight := Weight(left, key), Weight(right, key)
	switch {
	case leftWeight > rightWeight:
		return -1
	case leftWeight < rightWeight:
		return 1
	}
	return 0
}

// nextAggregator returns the host that gets the next report: the preferred one of the
// aggregators of this data centre that respond, else any other host, in turn.
func (view *View) nextAggregator(aggregators map[string]Member, now time.Time) (*member, bool) {
	var best *member
	rank := func(member *member) int {
		_, aggregates := aggregators[member.Host]
		switch {
		case member.DataCentre == view.self.DataCentre && aggregates:
			return 3
		case member.DataCentre == view.self.DataCentre && member.alive:
			return 2
		case member.alive || aggregates:
			return 1
		}
		return 0
	}
	for _, member := range view.members {
		if member.Protocol == 0 || member.exchanging || member.Stopping || now.Before(member.failedUntil) {
			continue
		}
		if best == nil || rank(member) > rank(best) || rank(member) == rank(best) && compareWeights(member.Host, best.Host, view.self.Host) < 0 {
			best = member
		}
	}
	return best, best != nil
}

// dueDigests returns the hosts that get a digest: the other aggregators, and one host
// that may be back. Of two aggregators, the one whose name sorts first makes the call,
// unless it is late.
func (view *View) dueDigests(aggregators map[string]Member, now time.Time) []Member {
	var due []Member
	call := func(member *member) {
		if !member.exchanging && member.Protocol > 0 {
			member.exchanging = true
			due = append(due, member.Member)
		}
	}
	for _, member := range view.order() {
		host := member.Host
		heard, exchanged := view.groups[host]
		if _, aggregates := aggregators[host]; !aggregates && !exchanged && now.Sub(member.namedAt) > AliveTimeout {
			continue
		}
		if host > view.self.Host || !exchanged || now.Sub(heard.heardAt) > 2*Interval {
			call(member)
		}
	}
	if count := len(view.lost); count > 0 {
		slices.SortFunc(view.lost, func(left, right *member) int { return compareWeights(left.Host, right.Host, view.self.Host) })
		view.probeAt++
		call(view.lost[view.probeAt%count])
	}
	return due
}

// updateGroup determines the hosts that report to this host.
func (view *View) updateGroup(now time.Time) {
	group := []State{view.self}
	for _, member := range view.members {
		if !member.reportedAt.IsZero() && now.Sub(member.reportedAt) <= reportTimeout {
			group = append(group, member.State)
		}
	}
	for index := range group {
		if len(group) > 1 {
			group[index].Version = 0
		}
	}
	slices.SortFunc(group, func(left, right State) int { return strings.Compare(left.Host, right.Host) })
	if !slices.Equal(group, view.group) {
		view.group = group
		view.groupSequence++
	}
}
