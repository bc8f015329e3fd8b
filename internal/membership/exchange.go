package membership

import (
	"maps"
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
	return &aggregator.Member
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
// discovered just now, from which this host may not have heard yet.
func (view *View) candidates(now time.Time) []State {
	var candidates []State
	if !view.self.Stopping {
		candidates = append(candidates, view.self)
	}
	for _, member := range view.order() {
		introduced := member.heardAt.Before(member.discovered) && now.Sub(member.discovered) < introductionTime
		if member.Protocol > 0 && !member.Stopping && (member.alive || introduced) {
			candidates = append(candidates, member.State)
		}
	}
	return candidates
}

// aggregators returns the hosts that aggregate, by name: in each data centre one for
// each group, the hosts with the most processor time first.
func (view *View) aggregators(candidates []State) map[string]Member {
	size := groupSize(len(candidates))
	byDataCentre := make(map[string][]Member)
	for _, candidate := range candidates {
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

// Summary returns what this host and those that report to it know.
func (view *View) summary(local Summary, now time.Time, except string) Summary {
	total := Summary{Load: maps.Clone(local.Load), Version: local.Version}
	total.addCrashes(view.self.Host, local)
	for host, member := range view.members {
		if host != except && !member.reportedAt.IsZero() && now.Sub(member.reportedAt) <= reportTimeout {
			total.add(member.direct)
			total.addCrashes(host, member.direct)
		}
	}
	return total
}

// add adds the load and the version of another summary.
func (summary *Summary) add(other Summary) {
	if summary.Load == nil && len(other.Load) > 0 {
		summary.Load = make(map[string]int, len(other.Load))
	}
	for target, count := range other.Load {
		summary.Load[target] += count
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

// observeMember records that this host has heard from a member. It returns nil if a
// later incarnation is known.
func (view *View) observeMember(found Member, now time.Time) *member {
	view.Discover(found, now)
	known, ok := view.members[found.Host]
	if !ok || known.Incarnation != found.Incarnation {
		return nil
	}
	state := known.State
	state.Member = found
	return view.observe(state, now)
}

// NewDigest returns the digest of this host for another aggregator.
func (view *View) NewDigest(receiver string, local Summary, now time.Time) Digest {
	digest := Digest{Member: view.self.Member, Reporting: !view.aggregating, Sequence: view.groupSequence}
	known := view.groups[receiver]
	if known != nil {
		digest.Known = known.sequence
	}
	if view.aggregating {
		digest.Summary = view.summary(local, now, "")
	}
	if view.aggregating && (known == nil || known.known != view.groupSequence) {
		digest.Complete = true
		digest.Group = slices.Clone(view.group)
	}
	digest.PeersHash = view.peersHash()
	if known == nil || known.namePeers {
		for _, group := range view.groups {
			digest.Peers = append(digest.Peers, group.aggregator)
		}
	}
	if known == nil || known.introduce {
		for _, member := range view.alive {
			digest.Introduced = append(digest.Introduced, member.Member)
		}
	}
	return digest
}

// ApplyDigest applies the digest of another aggregator.
func (view *View) ApplyDigest(digest Digest, now time.Time) {
	if view.observeMember(digest.Member, now) == nil {
		return
	}
	host := digest.Member.Host
	known := view.groups[host]
	if known == nil || known.aggregator != digest.Member {
		known = &group{aggregator: digest.Member, introduce: true}
		view.groups[host] = known
	} else {
		known.introduce = false
	}
	known.heardAt, known.known, known.summary = now, digest.Known, digest.Summary
	switch {
	case digest.Reporting:
		delete(view.groups, host)
		known.members = nil
	case digest.Complete:
		view.removeFromGroup(known, digest, now)
		known.members, known.sequence = digest.Group, digest.Sequence
	case known.sequence != digest.Sequence:
		known.members, known.sequence = nil, 0
	}
	for _, state := range known.members {
		view.Discover(state.Member, now)
		member, ok := view.members[state.Host]
		if !ok || member.Incarnation != state.Incarnation {
			continue
		}
		if digest.Complete {
			view.replaceState(member, state)
		}
		if until := now.Add(relayedTimeout); state.Host != host && until.After(member.aliveUntil) {
			member.aliveUntil = until
			view.stale(!member.alive)
		}
	}
	for _, introduced := range digest.Introduced {
		view.Discover(introduced, now)
		if member, ok := view.members[introduced.Host]; ok && !member.alive {
			member.discovered = now // it may be chosen as an aggregator until it is heard from
		}
	}
	known.namePeers = !digest.Reporting && digest.PeersHash != view.peersHash()
	for _, peer := range digest.Peers {
		view.Discover(peer, now)
		if member, ok := view.members[peer.Host]; ok && member.Incarnation == peer.Incarnation {
			member.namedAt = now
		}
	}
	view.stale(digest.Complete)
}

// peersHash returns a hash of the aggregators that this host exchanges digests with,
// and of itself if it aggregates. Hosts whose hashes differ name them to each other.
func (view *View) peersHash() uint64 {
	hash := uint64(0)
	if view.aggregating {
		hash = Weight(view.self.Incarnation, "")
	}
	for _, group := range view.groups {
		hash ^= Weight(group.aggregator.Incarnation, "")
	}
	return hash
}

// removeFromGroup ends the life of the hosts that an aggregator no longer has in its
// group, unless they were heard from otherwise.
func (view *View) removeFromGroup(known *group, digest Digest, now time.Time) {
	remaining := make(map[string]bool, len(digest.Group))
	for _, state := range digest.Group {
		remaining[state.Host] = true
	}
	for _, state := range known.members {
		if member, ok := view.members[state.Host]; ok && !remaining[state.Host] && !view.inAnotherGroup(state, known) {
			member.aliveUntil = earlier(member.aliveUntil, later(now, member.heardAt.Add(reportTimeout)))
		}
	}
}

// inAnotherGroup reports whether a host is in the group of an aggregator other than
// one, or in the group of this host.
func (view *View) inAnotherGroup(state State, except *group) bool {
	same := func(other State) bool { return other.Member == state.Member }
	for _, group := range view.groups {
		if group != except && slices.ContainsFunc(group.members, same) {
			return true
		}
	}
	return slices.ContainsFunc(view.group, same)
}

// replaceState replaces the state of a member.
func (view *View) replaceState(member *member, state State) {
	if member.State != state {
		member.setState(state)
		view.generation++
	}
}

func earlier(left, right time.Time) time.Time {
	if left.Before(right) {
		return left
	}
	return right
}
