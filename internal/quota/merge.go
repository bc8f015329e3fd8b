package quota

import (
	"slices"
	"time"
)

// copiedAccount is an account whose copy this host or its predecessor has continued.
type copiedAccount struct {
	slot        int64     // present one of the account when the copy was made
	at          time.Time // when the copy was made
	unconfirmed float64   // requests that were recorded because the account may have granted them since
}

// Merge adds an account of the same workspace that another host has kept. It returns false
// if this one has it already, or their windows differ.
func (account *Account) Merge(state *AccountState, now time.Time) bool {
	copied, continued := account.copied[state.Account]
	if state.Account == account.id || !continued && !account.merged[state.Account].IsZero() || state.Limit.Window != account.limit.Window {
		return false
	}
	own, other := account.window, state.window(now)
	own.advance(now, account.limit.capacity(), own.share)
	if continued {
		// Only what the other account has granted since the copy was made is new.
		account.addRest(other, copied)
		delete(account.copied, state.Account)
		return true
	}
	majority := other.shareSum > float64(other.slots)/2
	if own.history.incompleteAt(own.current) && (majority || state.Restored) {
		// The other account is the one whose grants were unknown to this one.
		own.takeHistory(other)
	}
	full := own.slotGrant(1)
	own.bound.changed = 0
	for age := -int64(maxAhead / slotDuration); age < own.slots; age++ {
		from, to := other.current-age, own.current-age
		if from < 0 || to < 0 {
			continue
		}
		index, source := own.index(to), other.index(from)
		own.uses[index] += other.uses[source]
		own.used += other.uses[source]
		grant, share := min(full, own.grants[index]+other.grants[source]), min(1, own.shares[index]+other.shares[source])
		own.granted += grant - own.grants[index]
		own.shareSum += share - own.shares[index]
		own.grants[index], own.shares[index] = grant, share
	}
	account.merged[state.Account] = now
	account.addMerged(state, now)
	for _, address := range state.Backups {
		account.cover.addFormer(address)
	}
	return true
}

// addRest adds the uses that an account has recorded after its copy was made. Those that
// were recorded in advance count already.
func (account *Account) addRest(other *window, copied copiedAccount) {
	window := account.window
	added := 0.0
	for slot := max(copied.slot+1, other.first()); slot <= other.last(); slot++ {
		if to := window.current - (other.current - slot); to >= 0 && to > window.current-window.slots {
			count := other.uses[other.index(slot)]
			window.uses[window.index(to)] += count
			added += count
			window.bound.changed = min(window.bound.changed, to)
		}
	}
	window.used += added
	window.history.used += added
}

// addCopied adds requests that a host has reported for an account that was continued from a
// copy. Those before the copy are known, and some after it have been counted in advance.
func (account *Account) addCopied(use Reported, copied copiedAccount, now time.Time) {
	if !now.Add(-use.Age).After(copied.at) {
		return
	}
	confirmed := min(copied.unconfirmed, float64(use.Count))
	copied.unconfirmed -= confirmed
	account.copied[use.Account] = copied
	if use.Count -= int(confirmed); use.Count > 0 {
		account.window.addReported(use, account.limit.capacity()+account.limit.Reserve)
	}
}

// addFormer records that a host may have a copy.
func (cover *cover) addFormer(address string) {
	if address != cover.address && !slices.Contains(cover.former, address) {
		cover.former = append(cover.former, address)
	}
}

// continues reports whether a state was continued from a copy of an account.
func (state *AccountState) continues(account uint64) bool {
	return slices.ContainsFunc(state.Copied, func(copied CopiedState) bool { return copied.Account == account })
}

// supersedes reports whether a state was restored from a copy of this account, or of one that
// this account has continued: the copy is older.
func (account *Account) supersedes(state *AccountState) bool {
	return state.Restored && slices.ContainsFunc(state.Copied, func(copied CopiedState) bool {
		return copied.Account == account.id || !account.merged[copied.Account].IsZero()
	})
}
