package mesh

import "github.com/cespare/xxhash/v2"

// ReachableShare implements quota.Coordinators. It returns the share of the
// known hosts that this host reaches, including itself, and the share of a
// single host.
func (mesh *Mesh) ReachableShare() (reachable, single float64) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	live := 1
	for _, member := range mesh.members {
		if mesh.clock.Since(member.lastSeen) <= livenessTimeout {
			live++
		}
	}
	total := float64(len(mesh.members) + 1)
	return float64(live) / total, 1 / total
}

// Coordinator implements quota.Coordinators. It returns the coordinator of a key
// among the hosts of all data centres, and whether it is this host. The
// coordinator of a workspace keeps the quota account.
func (mesh *Mesh) Coordinator(key string) (address string, self bool) {
	coordinator, self := mesh.coordinatorOf(key, "")
	return coordinator.Address, self
}

// BudgetCoordinator implements budget.Coordinators. It returns the host of this
// data centre that counts a program's budget, and whether it is this host. The
// coordinator is local because most programs stay in one data centre and
// continue when a network partition isolates it.
func (mesh *Mesh) BudgetCoordinator(program string) (address string, self bool) {
	coordinator, self := mesh.coordinatorOf(program, mesh.self.DataCentre)
	return coordinator.Address, self
}

// coordinatorOf returns the reachable host with the highest rendezvous hashing
// weight for a key, and whether it is this host. An empty dataCentre selects
// among the hosts of all data centres.
func (mesh *Mesh) coordinatorOf(key, dataCentre string) (Member, bool) {
	other, found := mesh.highestMember(key, dataCentre)
	if dataCentre != "" && dataCentre != mesh.self.DataCentre {
		return other, false
	}
	if found && rendezvousWeight(other.Host, key) > rendezvousWeight(mesh.self.Host, key) {
		return other, false
	}
	return mesh.self, true
}

// highestMember returns the reachable other host with the highest rendezvous
// hashing weight for a key, and false if there is none.
func (mesh *Mesh) highestMember(key, dataCentre string) (Member, bool) {
	var best Member
	highest := uint64(0)
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	for _, member := range mesh.members {
		if dataCentre != "" && member.DataCentre != dataCentre || now.Sub(member.lastSeen) > livenessTimeout || member.status.Stopping {
			continue
		}
		if weight := rendezvousWeight(member.Host, key); weight > highest {
			best, highest = member.Member, weight
		}
	}
	return best, best.Host != ""
}

func rendezvousWeight(host, key string) uint64 {
	return xxhash.Sum64String(host + "\x00" + key)
}

// TargetCoordinator implements capacity.Coordinators. It returns the host that
// grants the permits of a target, and whether it is this host. A host that is
// leaving coordinates only if it reaches no other one.
func (mesh *Mesh) TargetCoordinator(target string) (address string, self bool) {
	if mesh.leaving.Load() {
		if other, found := mesh.highestMember(target, ""); found {
			return other.Address, false
		}
	}
	return mesh.Coordinator(target)
}
