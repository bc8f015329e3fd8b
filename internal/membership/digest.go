package membership

import (
	"slices"
	"time"
)

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
