package daemon

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
)

const claimInterval = 200 * time.Millisecond

// claimSlots periodically requests the slots that this host should own, until the
// context ends.
func (daemon *Daemon) claimSlots(ctx context.Context) {
	ticker := daemon.clock.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if age, ok := daemon.owner.LedgerAge(); !ok || age > maxLedgerAge || !daemon.owner.CaughtUp() {
			continue
		}
		daemon.owner.SetAlive(daemon.aliveIncarnations())
		owners := daemon.owner.Owners()
		var slotOwners [ledger.SlotCount]host.Owner
		for slot, ownership := range owners {
			slotOwners[slot] = ownership.Owner
		}
		var slots []int
		var witnesses []string
		daemon.heartbeater.View(func(membership *host.Membership, now time.Time) {
			slots = membership.SlotsToClaim(now, slotOwners)
			witnesses = membership.Witnesses(now)
		})
		daemon.owner.ClaimSlots(slots, witnesses)
	}
}

// aliveIncarnations returns the incarnations of this host and of the other hosts
// that are alive.
func (daemon *Daemon) aliveIncarnations() []string {
	incarnations := []string{daemon.self.Incarnation}
	daemon.heartbeater.View(func(membership *host.Membership, now time.Time) {
		for _, member := range membership.All() {
			heartbeat := member.Heartbeat()
			if membership.Alive(now, heartbeat.Name, heartbeat.Incarnation) {
				incarnations = append(incarnations, heartbeat.Incarnation)
			}
		}
	})
	return incarnations
}

// refreshesConfiguration reports whether this host is the one in its data centre
// that writes the configuration to the log again before its records expire.
func (daemon *Daemon) refreshesConfiguration() bool {
	var names []string
	daemon.heartbeater.View(func(membership *host.Membership, now time.Time) {
		for _, heartbeat := range membership.Live(now, daemon.self.DataCentre) {
			names = append(names, heartbeat.Name)
		}
	})
	return len(names) > 0 && host.RankKey("refresh", "configuration", names)[0] == daemon.self.Name
}

// maxLedgerAge is the maximum age of the view of the ledger at which slots are claimed
// or handed over.
const maxLedgerAge = 5 * time.Second
