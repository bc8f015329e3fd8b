package daemon

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
)

const claimInterval = 200 * time.Millisecond

// claim asks for the slots that this host should own.
func (daemon *Daemon) claim(ctx context.Context) {
	ticker := daemon.clock.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if age, ok := daemon.owner.LedgerAge(); !ok || age > ledgerFresh || !daemon.owner.CaughtUp() {
			continue
		}
		daemon.owner.SetAlive(daemon.aliveIncarnations())
		owners := daemon.owner.Owners()
		var list [ledger.SlotCount]host.Owner
		for slot, ownership := range owners {
			list[slot] = ownership.Owner
		}
		var wanted []int
		var witnesses []string
		daemon.beater.View(func(membership *host.Membership, now time.Time) {
			wanted = membership.Wanted(now, list)
			witnesses = membership.Witnesses(now)
		})
		daemon.owner.Want(wanted, witnesses)
	}
}

// aliveIncarnations returns the processes of the data centre that are heard.
func (daemon *Daemon) aliveIncarnations() []string {
	incarnations := []string{daemon.own.Incarnation}
	daemon.beater.View(func(membership *host.Membership, now time.Time) {
		for _, member := range membership.All() {
			heartbeat := member.Heartbeat()
			if membership.Alive(now, heartbeat.Name, heartbeat.Incarnation) {
				incarnations = append(incarnations, heartbeat.Incarnation)
			}
		}
	})
	return incarnations
}

// refreshes reports whether this host repeats the configuration for its data
// centre.
func (daemon *Daemon) refreshes() bool {
	var names []string
	daemon.beater.View(func(membership *host.Membership, now time.Time) {
		for _, heartbeat := range membership.Live(now, daemon.own.DataCentre) {
			names = append(names, heartbeat.Name)
		}
	})
	return len(names) > 0 && host.RankKey("refresh", "configuration", names)[0] == daemon.own.Name
}

// ledgerFresh is the age of the view of the ledger up to which slots are
// claimed.
const ledgerFresh = 5 * time.Second
