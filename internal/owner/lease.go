package owner

import (
	"context"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

const (
	// renewAfter is the age of the ledger view from which witnesses are asked
	// to renew leases. It exceeds pollWait, because the view reaches that age
	// during every long poll that returns no records.
	renewAfter    = pollWait + 300*time.Millisecond
	renewInterval = 300 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	// MaxLogOutage is the longest outage of the log during which witnesses can
	// renew leases.
	MaxLogOutage = time.Hour
)

// HasLease reports whether this host can prove that no other host owns the slot:
// its ledger view is recent enough, or a majority of the witnesses has renewed
// its lease. The caller must have checked that the host owns the slot.
func (owner *Owner) HasLease(slot int) bool {
	if !owner.Owners()[slot].Fenced {
		return false
	}
	age, ok := owner.tail.Age()
	if !ok {
		return false
	}
	if age < workspace.OwnershipLease {
		return true
	}
	until := owner.renewedUntil[slot].Load() // 0 if no witness has renewed it
	if until == 0 {
		return false
	}
	return age < MaxLogOutage && int64(hostclock.Uptime(owner.clock)) < until
}

// renew asks the witnesses of the slots that this host owns to renew its leases
// while the log is unreachable.
func (owner *Owner) renew() {
	now := owner.clock.Now()
	if age, ok := owner.tail.Age(); !ok || age < renewAfter || now.Before(owner.renewAt) {
		return
	}
	owner.renewAt = now.Add(renewInterval)
	request := RenewRequest{Epochs: make(map[int]uint64)}
	var witnesses []string
	for number := range ledger.SlotCount {
		slot := owner.machine.LedgerState().Slot(number)
		if !owner.machine.Fenced(number) || len(slot.Witnesses()) == 0 || owner.replicas.Fenced(number, slot.Epoch()) {
			continue
		}
		request.Epochs[number] = slot.Epoch()
		for _, witness := range slot.Witnesses() {
			if !slices.Contains(witnesses, witness) {
				witnesses = append(witnesses, witness)
			}
		}
	}
	if len(request.Epochs) > 0 {
		go owner.renewWithWitnesses(hostclock.Uptime(owner.clock), witnesses, request)
	}
}

// renewWithWitnesses asks witnesses to renew leases at an uptime.
func (owner *Owner) renewWithWitnesses(sentAt time.Duration, witnesses []string, request RenewRequest) {
	ctx, cancel := context.WithTimeout(owner.ctx, renewTimeout)
	defer cancel()
	responses := owner.peers.Renew(ctx, witnesses, request)
	owner.loop.Post(func() {
		for number, epoch := range request.Epochs {
			slot := owner.machine.LedgerState().Slot(number)
			var agreed []string
			for _, response := range responses {
				if !slices.Contains(response.Refused, number) {
					agreed = append(agreed, response.Incarnation)
				}
			}
			if slot.Epoch() == epoch && slot.RenewedBy(agreed) {
				owner.extendLease(number, sentAt)
				owner.metrics.Count("lease_renewed_by_witnesses")
			}
		}
	})
}

// extendLease records that witnesses have renewed the lease on a slot that this host asked
// for at an uptime. The uptime counts the time in which the host is suspended, so that the
// lease ends while another host takes over.
func (owner *Owner) extendLease(slot int, askedAt time.Duration) {
	owner.renewedUntil[slot].Store(int64(askedAt + workspace.OwnershipLease))
}

// HandleRenew handles the request of another host to renew its leases.
func (owner *Owner) HandleRenew(request RenewRequest) RenewResponse {
	response := RenewResponse{Incarnation: owner.settings.Program.Incarnation}
	owner.loop.Do(func() {
		for number, epoch := range request.Epochs {
			if owner.replicas.Fenced(number, epoch) || owner.machine.LedgerState().Slot(number).Epoch() > epoch {
				response.Refused = append(response.Refused, number)
			}
		}
	})
	return response
}
