package mesh

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/membership"
	"github.com/godwitspread/godwitspread/internal/region"
)

// handoverTime is the time within which all other hosts learn that this one is leaving:
// through two aggregators in a large fleet.
const handoverTime = 3 * membership.Interval

const (
	settleTime    = membership.Interval + 50*time.Millisecond // without a change, after which a host that has just started knows the others
	maxSettleTime = 1500 * time.Millisecond                   // after the start, when a host does not wait any more
	settlePoll    = 20 * time.Millisecond
)

// AwaitSettled waits until this host knows the others, or the context ends. A host that
// has just started takes itself for the coordinator of everything before.
func (mesh *Mesh) AwaitSettled(ctx context.Context) {
	for mesh.clock.Since(mesh.startedAt) < maxSettleTime && (!mesh.isListed() || mesh.SettledFor() < settleTime) {
		select {
		case <-mesh.clock.After(settlePoll):
		case <-ctx.Done():
			return
		}
	}
}

func (mesh *Mesh) isListed() bool {
	select {
	case <-mesh.listed:
		return true
	default:
		return false
	}
}

// ReachableShare implements quota.Coordinators. It returns the share of the
// known hosts that this host reaches, including itself, and the share of a
// single host. Hosts that have ended grant nothing and do not count.
func (mesh *Mesh) ReachableShare() (reachable, single float64) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	alive, known := mesh.view.Counts(mesh.clock.Now())
	known -= mesh.view.LostWith(mesh.hasEnded, mesh.clock.Now())
	return float64(alive) / float64(known), 1 / float64(known)
}

// hasEnded reports whether an incarnation has ended. The caller holds the mutex.
func (mesh *Mesh) hasEnded(member Member) bool { return mesh.ended[member.Host] == member.Incarnation }

// SettledFor implements capacity.Coordinators. It returns for how long the same hosts have
// been reachable.
func (mesh *Mesh) SettledFor() time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.update()
	return mesh.clock.Since(mesh.changedAt)
}

// Coordinator implements quota.Coordinators. It returns the coordinator of a key
// among the hosts of all data centres, and whether it is this host. The
// coordinator of a workspace keeps the quota account. A host that is leaving keeps none
// once the others have learned of it.
func (mesh *Mesh) Coordinator(key string) (address string, self bool) {
	if mesh.leftFor(handoverTime) {
		if other, found := mesh.highestMember(key, ""); found {
			return other.Address, false
		}
	}
	coordinator, self := mesh.coordinatorOf(key, "")
	return coordinator.Address, self
}

// CoordinatesWithin reports whether this host is the coordinator of a key among the hosts
// in the home regions of a constraint; among all hosts if the constraint is nil.
func (mesh *Mesh) CoordinatesWithin(constraint *region.Constraint, key string) bool {
	if constraint == nil {
		_, self := mesh.Coordinator(key)
		return self
	}
	if !constraint.IsHome() || mesh.leftFor(0) {
		return false
	}
	own := membership.Weight(mesh.self.Host, key)
	for _, state := range mesh.Reachable() {
		if !state.Stopping && constraint.AllowsTarget(state.DataCentre) && membership.Weight(state.Host, key) > own {
			return false
		}
	}
	return true
}

// BudgetCoordinator implements budget.Coordinators. It returns the host of this
// data centre that counts the budgets of a partition, and whether it is this host. The
// coordinator is local because most programs stay in one data centre and
// continue when a network partition isolates it.
func (mesh *Mesh) BudgetCoordinator(partition string) (address string, self bool) {
	coordinator, self := mesh.coordinatorOf(partition, mesh.self.DataCentre)
	return coordinator.Address, self
}

// leftFor reports whether this host has been leaving for a time.
func (mesh *Mesh) leftFor(duration time.Duration) bool {
	since := mesh.leavingSince.Load()
	return since != nil && mesh.clock.Since(*since) >= duration
}

// coordinatorOf returns the reachable host with the highest rendezvous hashing
// weight for a key, and whether it is this host. An empty dataCentre selects
// among the hosts of all data centres.
func (mesh *Mesh) coordinatorOf(key, dataCentre string) (Member, bool) {
	other, found := mesh.highestMember(key, dataCentre)
	if dataCentre != "" && dataCentre != mesh.self.DataCentre {
		return other, false
	}
	if found && membership.Weight(other.Host, key) > membership.Weight(mesh.self.Host, key) {
		return other, false
	}
	return mesh.self, true
}

// highestMember returns the reachable other host with the highest rendezvous
// hashing weight for a key, and false if there is none. It remembers the result until
// other hosts are reachable.
func (mesh *Mesh) highestMember(key, dataCentre string) (Member, bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.update()
	remembered := coordinatorKey{key, dataCentre}
	if known, ok := mesh.coordinators[remembered]; ok {
		return known, known.Host != ""
	}
	var best Member
	highest := uint64(0)
	for _, state := range mesh.reachable {
		if dataCentre != "" && state.DataCentre != dataCentre || state.Stopping {
			continue
		}
		if weight := membership.Weight(state.Host, key); weight > highest {
			best, highest = state.Member, weight
		}
	}
	if len(mesh.coordinators) >= maxCoordinated {
		clear(mesh.coordinators)
	}
	mesh.coordinators[remembered] = best
	return best, best.Host != ""
}

// TargetCoordinator implements capacity.Coordinators. It returns the host that
// grants the permits of a target, and whether it is this host. A host that is
// leaving coordinates only if it reaches no other one.
func (mesh *Mesh) TargetCoordinator(target string) (address string, self bool) {
	if mesh.leftFor(0) {
		if other, found := mesh.highestMember(target, ""); found {
			return other.Address, false
		}
	}
	return mesh.Coordinator(target)
}
