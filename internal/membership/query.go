package membership

import (
	"slices"
	"time"
)

// Alive returns the other hosts that are alive, those of this data centre first, by
// name.
func (view *View) Alive(now time.Time) []State {
	view.refreshIfOld(now)
	states := make([]State, len(view.alive))
	for index, member := range view.alive {
		states[index] = member.State
	}
	return states
}

// Known returns all other hosts that are remembered.
func (view *View) Known() []Member {
	members := make([]Member, 0, len(view.members))
	for _, member := range view.members {
		members = append(members, member.Member)
	}
	return members
}

// Lost returns the names of the remembered hosts that are not alive.
func (view *View) Lost(now time.Time) []string {
	view.refreshIfOld(now)
	lost := []string{}
	for _, member := range view.lost {
		lost = append(lost, member.Host)
	}
	slices.Sort(lost)
	return lost
}

// Recent returns the hosts that were discovered in the last seconds. Every host reads
// the entries of the store, but the newest may not have reached all hosts yet.
func (view *View) Recent(now time.Time) []Member {
	var recent []Member
	for _, member := range view.members {
		if now.Sub(member.discovered) < recentTime {
			recent = append(recent, member.Member)
		}
	}
	return recent
}

// Find returns a host by its name.
func (view *View) Find(host string) (Member, bool) {
	found, ok := view.members[host]
	if !ok {
		return Member{}, false
	}
	return found.Member, true
}

// SilentFor returns for how long another host has not been alive, as far as this host
// can know: it heard nobody before it started or while it stood still.
func (view *View) SilentFor(host string, now time.Time) time.Duration {
	view.refreshIfOld(now)
	since := view.runningSince
	if found, ok := view.members[host]; ok {
		if found.living {
			return 0
		}
		since = later(since, later(found.lastAlive, found.discovered))
	}
	if now.Sub(view.nextAt) > standstill {
		return 0
	}
	return now.Sub(since)
}

// LostDataCentres returns the data centres that have no living host but had one.
func (view *View) LostDataCentres(now time.Time) map[string]bool {
	view.refreshIfOld(now)
	lost := make(map[string]bool)
	for _, member := range view.lost {
		if !member.lastAlive.IsZero() {
			lost[member.DataCentre] = true
		}
	}
	delete(lost, view.self.DataCentre)
	for _, member := range view.alive {
		delete(lost, member.DataCentre)
	}
	return lost
}

// Counts returns the number of living and of all remembered hosts, with this one.
func (view *View) Counts(now time.Time) (alive, known int) {
	view.refreshIfOld(now)
	return len(view.alive) + 1, len(view.members) + 1
}

// Generation changes whenever other hosts are alive, or have other states, than before.
func (view *View) Generation(now time.Time) uint64 {
	view.refreshIfOld(now)
	return view.generation
}
