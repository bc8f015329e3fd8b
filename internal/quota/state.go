package quota

import (
	"maps"
	"math"
	"time"
)

const (
	maxStatePrograms = 128 // the newest
	maxStateAccounts = 64  // merged accounts in a state
	maxRuntime       = 100 * 365 * 24 * time.Hour
)

// AccountState is an account on its way to another host. Times are ages, because the
// clocks of hosts differ.
type AccountState struct {
	Workspace string         `msgpack:"w"`
	Account   uint64         `msgpack:"a"`
	Limit     Limit          `msgpack:"l"`
	Elapsed   time.Duration  `msgpack:"e"` // since the beginning of slot 0
	Share     float64        `msgpack:"s"` // of the present slot
	Slots     []SlotRun      `msgpack:"u"` // from the earliest slot of the window on
	History   *HistoryState  `msgpack:"h,omitempty"`
	Merged    []uint64       `msgpack:"m,omitempty"`
	Programs  []ProgramState `msgpack:"p,omitempty"`
	Copied    []CopiedState  `msgpack:"c,omitempty"`
	Backups   []string       `msgpack:"b,omitempty"` // addresses of the hosts that have a copy of the account
	Restored  bool           `msgpack:"r,omitempty"` // from a copy, after the coordinator was lost
}

// CopiedState is an account that this one has continued from a copy.
type CopiedState struct {
	Account     uint64        `msgpack:"a"`
	Slot        int64         `msgpack:"s"`
	Age         time.Duration `msgpack:"g"`
	Unconfirmed float64       `msgpack:"u,omitempty"`
}

// SlotRun are successive slots with the same contents.
type SlotRun struct {
	Count int     `msgpack:"n"`
	Uses  float64 `msgpack:"u,omitempty"`
	Grant float64 `msgpack:"g,omitempty"`
	Share float64 `msgpack:"s,omitempty"`
}

// HistoryState is the restriction of an account that does not know its predecessor.
type HistoryState struct {
	Until     int64     `msgpack:"t"`
	Credits   []float64 `msgpack:"c"` // of the slots after the present one
	Credited  float64   `msgpack:"d"`
	Available float64   `msgpack:"a"`
}

// ProgramState is an active program.
type ProgramState struct {
	ID       string        `msgpack:"i"`
	Route    string        `msgpack:"r"`
	Requests int           `msgpack:"n"`
	Rate     float64       `msgpack:"q"`
	Age      time.Duration `msgpack:"a"`
	Idle     time.Duration `msgpack:"d"`
	TimeLeft time.Duration `msgpack:"l,omitempty"`
}

// State returns the account for another host.
func (account *Account) State(workspace string, now time.Time) *AccountState {
	window := account.window
	window.advance(now, account.limit.capacity(), window.share)
	state := &AccountState{
		Workspace: workspace, Account: account.id, Limit: account.limit, Elapsed: now.Sub(window.origin),
		Share: window.share, Slots: window.runsFrom(window.first()), History: window.historyState(),
		Backups: account.cover.addresses(),
	}
	for id, copied := range account.copied {
		if len(state.Copied) < maxStateAccounts {
			state.Copied = append(state.Copied, CopiedState{Account: id, Slot: copied.slot, Age: now.Sub(copied.at), Unconfirmed: copied.unconfirmed})
		}
	}
	for id := range account.merged {
		if len(state.Merged) < maxStateAccounts {
			state.Merged = append(state.Merged, id)
		}
	}
	for _, program := range account.ordered[max(0, len(account.ordered)-maxStatePrograms):] {
		state.Programs = append(state.Programs, ProgramState{
			ID: program.id, Route: program.route, Requests: program.requests, Rate: program.rate,
			Age: now.Sub(program.started), Idle: now.Sub(program.lastRequest), TimeLeft: program.timeLeft,
		})
	}
	return state
}

// first returns the earliest slot of the window.
func (window *window) first() int64 { return max(0, window.current-window.slots+1) }

// last returns the latest slot for which usage may be recorded.
func (window *window) last() int64 { return window.current + int64(maxAhead/slotDuration) }

// runsFrom returns the contents of the slots from one on.
func (window *window) runsFrom(first int64) []SlotRun {
	var runs []SlotRun
	for slot := first; slot <= window.last(); slot++ {
		index := window.index(slot)
		run := SlotRun{1, window.uses[index], window.grants[index], window.shares[index]}
		if last := len(runs) - 1; last >= 0 && runs[last].Uses == run.Uses && runs[last].Grant == run.Grant && runs[last].Share == run.Share {
			runs[last].Count++
			continue
		}
		runs = append(runs, run)
	}
	return runs
}

func (window *window) historyState() *HistoryState {
	history := &window.history
	if !history.incompleteAt(window.current) {
		return nil
	}
	state := &HistoryState{Until: history.until, Credited: history.credited, Available: history.available()}
	for slot := window.current + 1; slot < history.until; slot++ {
		state.Credits = append(state.Credits, history.credits[history.index(slot)])
	}
	return state
}

// valid reports whether the account of another host can be used.
func (state *AccountState) valid() bool {
	if !state.Limit.valid() || state.Account == 0 || state.Elapsed < 0 || state.Elapsed > maxRuntime || !isShare(state.Share) || len(state.Programs) > maxStatePrograms || len(state.Merged) > maxStateAccounts ||
		len(state.Copied) > maxStateAccounts || len(state.Backups) > maxStateAccounts {
		return false
	}
	window := newWindow(state.Limit.Window, time.Time{})
	window.current = int64(state.Elapsed / slotDuration)
	slots, limit := window.last()-window.first()+1, state.Limit.capacity()+state.Limit.Reserve
	for _, run := range state.Slots {
		if slots -= int64(run.Count); run.Count <= 0 || slots < 0 || !isAmount(run.Uses, math.MaxInt32) || !isAmount(run.Grant, math.MaxInt32) || !isShare(run.Share) {
			return false
		}
	}
	for _, program := range state.Programs {
		if program.Requests < 0 || !isAmount(program.Rate, math.MaxInt32) || program.Idle < 0 || program.Age < program.Idle || program.Age > maxRuntime {
			return false
		}
	}
	for _, copied := range state.Copied {
		if copied.Slot < 0 || copied.Age < 0 || copied.Age > maxRuntime || !isAmount(copied.Unconfirmed, math.MaxInt32) {
			return false
		}
	}
	return state.History == nil || state.History.valid(window, limit)
}

func (state *HistoryState) valid(window *window, limit float64) bool {
	if state.Until <= window.current || state.Until > window.current+window.slots+1 || int64(len(state.Credits)) != state.Until-window.current-1 {
		return false
	}
	for _, credit := range state.Credits {
		if !isAmount(credit, limit) {
			return false
		}
	}
	return isAmount(state.Credited, limit) && state.Available <= limit && state.Available >= -math.MaxInt32
}

func isShare(value float64) bool { return isAmount(value, 1) }

// isAmount is false for values that are not numbers.
func isAmount(value, limit float64) bool { return value >= 0 && value <= limit }

// window returns the window of a valid state.
func (state *AccountState) window(now time.Time) *window {
	window := newWindow(state.Limit.Window, now.Add(-state.Elapsed))
	window.current, window.capacity, window.share = int64(state.Elapsed/slotDuration), state.Limit.capacity(), state.Share
	slot := window.first()
	for _, run := range state.Slots {
		for range run.Count {
			index := window.index(slot)
			window.uses[index], window.grants[index], window.shares[index] = run.Uses, run.Grant, run.Share
			window.used += run.Uses
			window.granted += run.Grant
			window.shareSum += run.Share
			slot++
		}
	}
	if state.History != nil {
		window.restoreHistory(state.History)
	}
	return window
}

// restoreHistory applies the restriction of a state of the same present slot.
func (window *window) restoreHistory(state *HistoryState) {
	window.history = newHistory(state.Until-window.slots, window.slots, state.Available)
	window.history.credited = state.Credited
	for ahead, credit := range state.Credits {
		if due := window.current + 1 + int64(ahead); due < window.history.until {
			window.history.credits[window.history.index(due)] = credit
		}
	}
}

// NewAccountFromState returns the account of a valid state. It keeps its ID, so that
// refunds still find their uses.
func NewAccountFromState(state *AccountState, policy Policy, profiles *RouteProfiles, now time.Time) *Account {
	account := NewAccount(state.Limit, policy, profiles, now)
	account.id, account.window = state.Account, state.window(now)
	account.cover.former = state.Backups
	account.window.bound.changed = 0
	account.addMerged(state, now)
	return account
}

// takeHistory replaces the restriction by that of another account.
func (window *window) takeHistory(other *window) {
	used := window.history.used
	if !other.history.incompleteAt(other.current) {
		window.history.clear()
		return
	}
	state := other.historyState()
	window.history = newHistory(window.current+state.Until-other.current-window.slots, window.slots, state.Available)
	window.history.credited, window.history.used = state.Credited, used
	for ahead, credit := range state.Credits {
		window.history.credits[window.history.index(window.current+1+int64(ahead))] = credit
	}
}

// addMerged adds the accounts and the programs of a state.
func (account *Account) addMerged(state *AccountState, now time.Time) {
	removeOld(account.merged, now.Add(-2*account.limit.Window))
	for _, id := range state.Merged {
		account.merged[id] = now
	}
	maps.DeleteFunc(account.copied, func(_ uint64, copied copiedAccount) bool { return now.Sub(copied.at) > 2*account.limit.Window })
	for _, copied := range state.Copied {
		account.copied[copied.Account] = copiedAccount{slot: copied.Slot, at: now.Add(-copied.Age), unconfirmed: copied.Unconfirmed}
	}
	for _, other := range state.Programs {
		id := programKey(other.ID)
		if _, known := account.programs[id]; known {
			continue
		}
		added := &program{
			id: id, route: other.Route, requests: other.Requests, rate: other.Rate,
			started: now.Add(-other.Age), lastRequest: now.Add(-other.Idle), timeLeft: other.TimeLeft,
		}
		account.programs[id] = added
		account.ordered = append(account.ordered, added)
	}
	account.expirePrograms(now)
}
