package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
)

// maxCopies bounds the memory of a backup: about 4 kB each, where the largest fleet has 20.
const maxCopies = 2048

// accountCopy is what a backup knows of the account of another host.
type accountCopy struct {
	holder   string // address of the coordinator
	account  uint64
	limit    Limit
	merged   []uint64
	window   *window
	sequence uint64
	ahead    float64 // requests that the coordinator may have granted beside those of the window
	at       time.Time
}

// fence is the host that has taken an account over.
type fence struct {
	address string // "" if it is this host
	until   time.Time
}

// copies are the accounts for which this host is the backup.
type copies struct {
	byWorkspace map[string]*accountCopy
	fences      map[uint64]fence // by account
}

func newCopies() copies {
	return copies{byWorkspace: make(map[string]*accountCopy), fences: make(map[uint64]fence)}
}

// observe applies an announcement.
func (copies *copies) observe(holder string, message Announcement, now time.Time) Acknowledgement {
	response := Acknowledgement{Account: message.Account}
	known := copies.byWorkspace[message.Workspace]
	if fence, taken := copies.fences[message.Account]; taken && now.Before(fence.until) && fence.address != holder {
		response.Taken, response.Holder = true, fence.address
		return response
	}
	switch {
	case message.Release:
		if known != nil && known.account == message.Account {
			delete(copies.byWorkspace, message.Workspace)
		}
	case !message.Partial:
		if known == nil && len(copies.byWorkspace) >= maxCopies {
			response.Unknown = true
			return response
		}
		copies.byWorkspace[message.Workspace] = &accountCopy{
			holder: holder, account: message.Account, limit: message.State.Limit, merged: message.State.Merged,
			window: message.State.window(now), sequence: message.Sequence, ahead: message.Ahead, at: now,
		}
	case known == nil || known.account != message.Account || known.sequence+1 != message.Sequence || known.limit.Window != message.State.Limit.Window:
		response.Unknown = true
	default:
		known.update(holder, message, now)
	}
	return response
}

// replaces reports whether an announcement is of an account that does not contain the one
// of which this host has a copy.
func (copies *copies) replaces(message Announcement) bool {
	known, kept := copies.byWorkspace[message.Workspace]
	return kept && !message.Release && !message.Partial && known.account != message.Account && !slices.Contains(message.State.Merged, known.account)
}

// update applies a partial announcement.
func (copied *accountCopy) update(holder string, message Announcement, now time.Time) {
	state, window := message.State, copied.window
	copied.holder, copied.limit, copied.merged = holder, state.Limit, state.Merged
	copied.sequence, copied.ahead, copied.at = message.Sequence, message.Ahead, now
	window.origin = now.Add(-state.Elapsed)
	window.advance(now, state.Limit.capacity(), state.Share)
	slot := message.First
	for _, run := range state.Slots {
		for range run.Count {
			if slot > window.current-window.slots && slot <= window.last() {
				window.replace(slot, run)
			}
			slot++
		}
	}
	window.history.clear()
	if state.History != nil {
		window.restoreHistory(state.History)
	}
}

// replace sets the contents of a slot.
func (window *window) replace(slot int64, run SlotRun) {
	index := window.index(slot)
	window.used += run.Uses - window.uses[index]
	window.granted += run.Grant - window.grants[index]
	window.shareSum += run.Share - window.shares[index]
	window.uses[index], window.grants[index], window.shares[index] = run.Uses, run.Grant, run.Share
}

// succeed returns the account of the next coordinator. The previous one was last seen
// some time ago; it may have granted all that it had announced. What accrued from then until
// it noticed that it was cut off is granted up to the allowance, because it may have granted it.
func (copied *accountCopy) succeed(profiles *RouteProfiles, silence time.Duration, now time.Time) *Account {
	window := copied.window
	capacity, share := copied.limit.capacity(), window.share
	account := NewAccount(copied.limit, DefaultPolicy, profiles, now)
	window.advance(now.Add(-silence), capacity, share)
	before := window.current
	noticed := now.Add(-max(0, silence-lossTime))
	missed := float64(int64(noticed.Sub(window.origin)/slotDuration)-before) * window.slotGrant(share)
	reduced := share
	if allowance := copied.limit.allowance(); missed > allowance {
		reduced *= allowance / missed
	}
	window.advance(noticed, capacity, reduced)
	window.advance(now, capacity, share)
	account.copied[copied.account] = copiedAccount{slot: before, at: copied.at, unconfirmed: copied.ahead}
	window.record(copied.ahead, 0)
	account.window = window
	for _, id := range copied.merged {
		account.merged[id] = now
	}
	account.merged[copied.account] = now
	account.id = rand.Uint64()
	return account
}

// expire forgets copies of accounts that the coordinator has evicted. Until then, a copy of
// which nothing is in the window any more still shows that the coordinator has granted no
// more than a step since.
func (copies *copies) expire(now time.Time) {
	for workspace, copied := range copies.byWorkspace {
		if now.Sub(copied.at) > copied.limit.Window+accountIdleTimeout {
			delete(copies.byWorkspace, workspace)
		}
	}
	for account, fence := range copies.fences {
		if !now.Before(fence.until) {
			delete(copies.fences, account)
		}
	}
}

// ObserveAnnouncements records what the coordinator at an address has announced.
func (limiter *Limiter) ObserveAnnouncements(holder string, messages []Announcement) []Acknowledgement {
	if !limiter.coordinators.CopiesEnabled() {
		return nil
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	responses := make([]Acknowledgement, 0, len(messages))
	for _, message := range messages {
		if !message.valid() {
			limiter.metrics.Count("malformed_quota_announcements")
			continue
		}
		var earlier *AccountState
		if limiter.copies.replaces(message) {
			earlier = limiter.takeCopy(message.Workspace, holder)
			earlier.Restored = true
		}
		response := limiter.copies.observe(holder, message, now)
		response.Earlier = earlier
		responses = append(responses, response)
	}
	return responses
}

// valid reports whether the announcement of another host can be used.
func (message *Announcement) valid() bool {
	if message.Release {
		return true
	}
	return message.State != nil && message.State.valid() && message.State.Account == message.Account && message.State.Workspace == message.Workspace &&
		isAmount(message.Ahead, message.State.Limit.capacity()+minStep) && message.First >= 0
}

// takeCopy returns the account that follows from this host's copy, for the host at an
// address, or for this one. The coordinator is told when it next announces something.
// The caller must hold the mutex.
func (limiter *Limiter) takeCopy(workspace, address string) *AccountState {
	copied, kept := limiter.copies.byWorkspace[workspace]
	if !kept {
		return nil
	}
	now := limiter.clock.Now()
	silence := min(limiter.coordinators.SilentFor(copied.holder), now.Sub(copied.at))
	account := copied.succeed(limiter.profiles, silence, now)
	delete(limiter.copies.byWorkspace, workspace)
	limiter.copies.fences[copied.account] = fence{address, now.Add(copied.limit.Window + accountIdleTimeout)}
	limiter.metrics.Count("quota_copies_taken")
	limiter.logger.WithFields(log.Fields{
		"workspace": workspace, "account": copied.account, "address": address, "age_ms": now.Sub(copied.at).Milliseconds(),
		"silent_ms": silence.Milliseconds(), "ahead": copied.ahead, "used": account.window.used,
	}).Info("quota account restored from its copy")
	return account.State(workspace, now)
}

// mergeCopy adds the copy of an account whose coordinator this host has replaced to the
// account that it keeps. Without that, the coordinator could go on granting when it returns.
// The caller must hold the mutex.
func (limiter *Limiter) mergeCopy(workspace string) {
	account, kept := limiter.accounts[workspace]
	copied, ok := limiter.copies.byWorkspace[workspace]
	if !kept || !ok {
		return
	}
	if _, self := limiter.coordinators.Coordinator(workspace); !self && limiter.coordinators.CanAdopt(copied.holder) {
		return
	}
	state := limiter.takeCopy(workspace, "")
	if state.Restored = true; !account.supersedes(state) {
		account.Merge(state, limiter.clock.Now())
	}
}

// orphans returns the workspaces whose coordinator this host has lost, by the address of
// the next one. The caller must hold the mutex.
func (limiter *Limiter) orphans() map[string][]string {
	orphans := make(map[string][]string)
	for workspace, copied := range limiter.copies.byWorkspace {
		limiter.mergeCopy(workspace)
		address, self := limiter.coordinators.Coordinator(workspace)
		if !self && address != copied.holder && !limiter.coordinators.CanAdopt(copied.holder) && limiter.coordinators.CanAdopt(address) {
			orphans[address] = append(orphans[address], workspace)
		}
	}
	return orphans
}

// passCopies sends accounts whose coordinator is lost to the next one.
func (limiter *Limiter) passCopies(orphans map[string][]string) {
	for address, workspaces := range orphans {
		for start := 0; start < len(workspaces); start += maxAdopted {
			limiter.passCopiesTo(address, workspaces[start:min(start+maxAdopted, len(workspaces))])
		}
	}
}

func (limiter *Limiter) passCopiesTo(address string, workspaces []string) {
	kept := make(map[string]*accountCopy)
	var states []*AccountState
	limiter.mutex.Lock()
	for _, workspace := range workspaces {
		if copied, ok := limiter.copies.byWorkspace[workspace]; ok {
			kept[workspace] = copied
			state := limiter.takeCopy(workspace, address)
			state.Restored = true
			states = append(states, state)
		}
	}
	limiter.mutex.Unlock()
	if len(states) == 0 {
		return
	}
	err := limiter.coordinators.HandOver(context.Background(), address, states)
	if err == nil {
		return
	}
	limiter.metrics.Count("quota_handovers_failed")
	limiter.logger.WithError(err).WithFields(log.Fields{"accounts": len(states), "address": address}).Warn("passing copies of quota accounts on failed")
	if !errors.Is(err, ErrNotSent) {
		return
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for workspace, copied := range kept {
		delete(limiter.copies.fences, copied.account)
		copied.ahead, copied.sequence = 0, 0 // recorded in the window; the next announcement must be complete
		limiter.copies.byWorkspace[workspace] = copied
	}
}

// hasCopy reports whether this host is the backup of a workspace.
func (limiter *Limiter) hasCopy(workspace string) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	_, kept := limiter.copies.byWorkspace[workspace]
	return kept
}
