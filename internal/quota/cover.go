package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	announceInterval = 250 * time.Millisecond // shortest time between two messages to a backup, unless a step is used up
	lossTime         = time.Second            // after which a host that is cut off has lost sight of all others
	failurePause     = time.Second            // for which a backup that did not respond is not chosen
	majority         = 0.5                    // share of the hosts above which an account keeps its burst when hosts are lost
)

// Announcement tells the backup of an account what its coordinator has granted, and what it
// may grant before the next announcement.
type Announcement struct {
	Workspace string `msgpack:"w"`
	Account   uint64 `msgpack:"a"`
	Sequence  uint64 `msgpack:"n,omitempty"`
	// State is the account without its programs. It has all slots of the window, or, if
	// Partial is set, those from First on that have changed since the previous sequence.
	State   *AccountState `msgpack:"s,omitempty"`
	Partial bool          `msgpack:"p,omitempty"`
	First   int64         `msgpack:"f,omitempty"`
	Ahead   float64       `msgpack:"g,omitempty"` // requests that may run beside those of the state
	Release bool          `msgpack:"r,omitempty"` // the backup forgets its copy
}

// Acknowledgement is the response of a backup to an announcement.
type Acknowledgement struct {
	Account uint64 `msgpack:"a"`
	Unknown bool   `msgpack:"u,omitempty"` // the backup needs the whole state
	// Taken reports that the account has passed to the host at the address of Holder, or to
	// the backup itself if that is empty.
	Taken  bool   `msgpack:"t,omitempty"`
	Holder string `msgpack:"h,omitempty"`
	// Earlier is the account of a lost coordinator, of which the backup had a copy.
	Earlier *AccountState `msgpack:"e,omitempty"`
}

// cover is the state of the copy that the backup of an account keeps.
type cover struct {
	address   string               // of the backup that keeps the copy, or ""
	former    []string             // earlier backups that may still have a copy
	failed    map[string]time.Time // backups that have not responded, until when they are passed over
	sequence  uint64               // of the last acknowledged announcement; 0 if the next one must be complete
	slot      int64                // present one as of the last acknowledged announcement
	checkedAt time.Time
	sending   chan struct{} // closed when the announcement in flight has ended
}

// avoided returns the backups that are passed over.
func (cover *cover) avoided(now time.Time) []string {
	maps.DeleteFunc(cover.failed, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Collect(maps.Keys(cover.failed))
}

// choose makes the host at an address the backup.
func (cover *cover) choose(address string) {
	if cover.address == address {
		return
	}
	if cover.address != "" && !slices.Contains(cover.former, cover.address) {
		cover.former = append(cover.former, cover.address)
	}
	cover.former = slices.DeleteFunc(cover.former, func(former string) bool { return former == address })
	cover.address, cover.sequence = address, 0
}

// fail records that the host at an address has not responded.
func (cover *cover) fail(address string, now time.Time) {
	if cover.failed == nil {
		cover.failed = make(map[string]time.Time)
	}
	cover.failed[address] = now.Add(failurePause)
	if address == cover.address {
		cover.sequence = 0
	}
}

// addresses returns all hosts that may have a copy.
func (cover *cover) addresses() []string {
	if cover.address == "" {
		return cover.former
	}
	return append(slices.Clone(cover.former), cover.address)
}

// announcement returns what the backup must know before the account grants another step.
func (account *Account) announcement(workspace string, now time.Time) Announcement {
	window := account.window
	state := account.State(workspace, now)
	state.Programs = nil
	message := Announcement{Workspace: workspace, Account: account.id, Sequence: account.cover.sequence + 1, State: state, Ahead: window.bound.step}
	if account.cover.sequence > 0 {
		message.Partial, message.First = true, max(window.first(), min(window.bound.changed, account.cover.slot))
		state.Slots = window.runsFrom(message.First)
	}
	window.bound.changed = math.MaxInt64
	return message
}

// announcementDue reports whether the backup should be told of the account now, so that
// requests need not wait for it.
func (account *Account) announcementDue(now time.Time) bool {
	bound := &account.window.bound
	active := account.window.used > 0 || now.Sub(account.updated) < account.limit.Window
	return active && (bound.accruing || bound.remaining() < bound.step/2 || now.Sub(account.cover.checkedAt) >= announceInterval)
}

// acknowledge applies the response to an announcement that was made when a number of
// requests had been recorded.
func (account *Account) acknowledge(message Announcement, recorded float64) {
	cover, bound := &account.cover, &account.window.bound
	cover.sequence, cover.slot = message.Sequence, int64(message.State.Elapsed/slotDuration)
	if bound.accruing = len(cover.former) > 0; !bound.accruing {
		bound.limit = recorded + message.Ahead
	}
}

// accrue makes the account grant at the sustained rate, without a burst, because no backup
// knows of its grants.
func (account *Account) accrue() { account.window.bound.accruing = true }

// observeShare restricts the account if this host has lost sight of most hosts.
func (account *Account) observeShare(share float64) {
	if previous := account.window.share; share <= majority && (previous > majority || share <= previous*majority) {
		account.isolate(share)
	}
}

// isolate restricts an account that has lost sight of most hosts: another host may have
// taken it over from its backup, and grants what is left of the limit. The account grants
// an allowance, and its share of the earlier requests once they have left the window.
func (account *Account) isolate(share float64) {
	window := account.window
	if window.history.incompleteAt(window.current) {
		return
	}
	limit := account.limit.capacity() + account.limit.Reserve
	window.history = newHistory(window.current+1, window.slots, share*account.limit.allowance())
	for slot := window.first(); slot <= window.current; slot++ {
		window.history.credit(slot, share*window.uses[window.index(slot)], limit)
	}
}
