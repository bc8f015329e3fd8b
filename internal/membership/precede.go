package membership

import "time"

// PrecedingSilence returns for how long no host that precedes this one for a key, by its
// rendezvous hashing weight, can have been alive. Incarnations that have released the key
// do not count, and neither does the present one of the host with the name except. This
// host knows nothing of the time before it started or stood still, unless none of the
// hosts has had an earlier incarnation then. Lost hosts with a lower weight count up to
// the moment at which all hosts had noticed this one.
func (view *View) PrecedingSilence(key, except string, released func(Member) bool, now time.Time) time.Duration {
	view.refreshIfOld(now)
	if now.Sub(view.nextAt) > standstill {
		return 0
	}
	latest := view.runningSince
	if view.allFirst(released) {
		latest = now.Add(-MemberTTL)
	}
	noticed := view.runningSince.Add(reportTimeout)
	own := Weight(view.self.Host, key)
	for _, member := range view.members {
		precedes := Weight(member.Host, key) >= own
		if member.replaced.Host != "" && precedes && !released(member.replaced) {
			latest = later(latest, member.replacedAt)
		}
		if member.Host == except || released(member.Member) {
			continue
		}
		alive := later(member.lastAlive, member.discovered)
		switch {
		case precedes && member.living:
			return 0
		case precedes:
			latest = later(latest, alive)
		case !member.living:
			latest = later(latest, earlier(alive, noticed))
		}
	}
	return now.Sub(latest)
}

// allFirst reports whether no host can have run before those that this host knows.
func (view *View) allFirst(released func(Member) bool) bool {
	if !view.self.First || !view.runningSince.Equal(view.startedAt) {
		return false
	}
	for _, member := range view.members {
		if !member.First && !released(member.Member) {
			return false
		}
	}
	return true
}

// LostWith returns the number of remembered hosts that are not alive and meet a condition.
func (view *View) LostWith(condition func(Member) bool, now time.Time) int {
	view.refreshIfOld(now)
	count := 0
	for _, member := range view.lost {
		if condition(member.Member) {
			count++
		}
	}
	return count
}
