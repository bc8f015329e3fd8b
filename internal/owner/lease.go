package owner

import (
	"context"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

const (
	// renewAfter is the age of the view of the ledger from which witnesses are
	// asked to back the ownership.
	renewAfter    = pollWait + 300*time.Millisecond
	renewInterval = 300 * time.Millisecond
	renewTimeout  = 500 * time.Millisecond
	// OfflineLimit bounds the time without the log in which witnesses are
	// enough.
	OfflineLimit = time.Hour
)

// Proven reports whether this host can prove now that no other host holds the
// slot: it has read the ledger to its end a short while ago, or witnesses back
// it. The caller has to know that the host owns the slot.
func (owner *Owner) Proven(slot int) bool {
	if !owner.Owners()[slot].Fenced {
		return false
	}
	age, ok := owner.tail.Age()
	if !ok {
		return false
	}
	if age < workspace.HoldLease {
		return true
	}
	until := owner.renewed[slot].Load()
	return age < OfflineLimit && owner.clock.Now().UnixNano() < until
}

// renew asks the witnesses of the own slots while the log is away.
func (owner *Owner) renew() {
	now := owner.clock.Now()
	if age, ok := owner.tail.Age(); !ok || age < renewAfter || now.Before(owner.renewAt) {
		return
	}
	owner.renewAt = now.Add(renewInterval)
	request := RenewRequest{Epochs: make(map[int]uint64)}
	var witnesses []string
	for number := range ledger.SlotCount {
		slot := owner.machine.Book().Slot(number)
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
		go owner.renewWith(now, witnesses, request)
	}
}

func (owner *Owner) renewWith(asked time.Time, witnesses []string, request RenewRequest) {
	ctx, cancel := context.WithTimeout(owner.ctx, renewTimeout)
	defer cancel()
	answers := owner.peers.Renew(ctx, witnesses, request)
	owner.loop.Post(func() {
		for number, epoch := range request.Epochs {
			slot := owner.machine.Book().Slot(number)
			var agreed []string
			for _, answer := range answers {
				if !slices.Contains(answer.Refused, number) {
					agreed = append(agreed, answer.Incarnation)
				}
			}
			if slot.Epoch() == epoch && slot.RenewedBy(agreed) {
				owner.renewed[number].Store(asked.Add(workspace.HoldLease).UnixNano())
				owner.metrics.Count("lease_renewed_by_witnesses")
			}
		}
	})
}

// Witness answers a request to back the ownership of slots.
func (owner *Owner) Witness(request RenewRequest) RenewAnswer {
	answer := RenewAnswer{Incarnation: owner.settings.Program.Incarnation}
	owner.loop.Do(func() {
		for number, epoch := range request.Epochs {
			if owner.replicas.Fenced(number, epoch) || owner.machine.Book().Slot(number).Epoch() > epoch {
				answer.Refused = append(answer.Refused, number)
			}
		}
	})
	return answer
}
