package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// Follower keeps a host's State up to date from the log, and from peers while the
// log is unreachable.
type Follower struct {
	clock   clockwork.Clock
	metrics *metric.Metrics
	log     platform.Log
	tail    *platform.Tail

	mutex       sync.Mutex
	state       *State
	peerFreshAt time.Time // latest time at which a peer confirmed that the state is current
	watchers    []func(text *Text, version uint64, ring *key.Ring)
	pulling     atomic.Bool
}

// pollTimeout is the duration of one long poll of the configuration stream.
const pollTimeout = 2 * time.Second

// NewFollower returns a follower with an empty state.
func NewFollower(clock clockwork.Clock, metrics *metric.Metrics, log platform.Log) *Follower {
	return &Follower{
		clock: clock, metrics: metrics, log: log, state: NewState(),
		tail: platform.NewTail(log, platform.ConfigurationStream, pollTimeout, clock),
	}
}

// Watch registers a function that is called after each change of the state. Watch
// must be called before Run.
func (follower *Follower) Watch(watcher func(text *Text, version uint64, ring *key.Ring)) {
	follower.watchers = append(follower.watchers, watcher)
}

// Run reads the stream until the context is cancelled.
func (follower *Follower) Run(ctx context.Context) {
	follower.tail.Run(ctx, follower.applyPage)
}

// applyPage applies the entries of a page. It skips entries that cannot be decoded.
func (follower *Follower) applyPage(page platform.Page, _ time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	changed := false
	for _, entry := range page.Entries {
		// A snapshot from a peer may have covered this entry already.
		if entry.Offset < follower.state.Next() {
			continue
		}
		record, err := Decode(entry.Data)
		if err != nil {
			follower.metrics.Count("configuration_records_skipped")
			follower.state.Advance(entry.Offset)
			continue
		}
		verdict := follower.state.Apply(entry.Offset, record)
		follower.metrics.Count("configuration_" + string(verdict))
		changed = changed || verdict == Accepted
	}
	if changed {
		follower.notifyWatchers()
	}
}

func (follower *Follower) notifyWatchers() {
	for _, watcher := range follower.watchers {
		watcher(follower.state.Text(), follower.state.Version(), follower.state.Ring())
	}
}

// View calls a function with the state, which the function must not change or
// retain.
func (follower *Follower) View(inspect func(state *State)) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	inspect(follower.state)
}

// Text returns the parsed form of the current text.
func (follower *Follower) Text() *Text {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.Text()
}

// Age returns the time since the state was last known to be current, either because
// this host read up to the end of the stream or because a peer that did so has the
// same state. It returns false if that has never been the case.
func (follower *Follower) Age() (time.Duration, bool) {
	age, ok := follower.tail.Age()
	follower.mutex.Lock()
	peerFreshAt := follower.peerFreshAt
	follower.mutex.Unlock()
	if peerFreshAt.IsZero() {
		return age, ok
	}
	peerAge := follower.clock.Now().Sub(peerFreshAt)
	if !ok || peerAge < age {
		return peerAge, true
	}
	return age, ok
}

// peerPullAge is the time without a read up to the end of the stream after which the
// state is fetched from peers. It exceeds the long poll, because a read of an idle
// stream lasts that long.
const peerPullAge = pollTimeout + time.Second

// ObservePeer compares the local state with the state that a peer described in a
// heartbeat, and reports whether the peer's state should be fetched. peerNext, peerAge
// and peerAgeKnown are the results of the peer's State.Next and Follower.Age.
// requestedAt is a time before the heartbeat was requested, so that the time in transit
// counts towards the peer's age.
func (follower *Follower) ObservePeer(peerNext int64, peerAge time.Duration, peerAgeKnown bool, requestedAt time.Time) bool {
	if !peerAgeKnown {
		return false
	}
	age, ok := follower.tail.Age()
	if ok && age < peerPullAge {
		return false
	}
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if peerNext > follower.state.Next() {
		return true
	}
	// If both have applied the same prefix, the local state is as current as the
	// peer's.
	if freshAt := requestedAt.Add(-peerAge); peerNext == follower.state.Next() && freshAt.After(follower.peerFreshAt) {
		follower.peerFreshAt = freshAt
	}
	return false
}

// Pull fetches a peer's state with the given function and merges it. It does nothing
// if another pull is in progress.
func (follower *Follower) Pull(fetch func() (Snapshot, error)) {
	if !follower.pulling.CompareAndSwap(false, true) {
		return
	}
	defer follower.pulling.Store(false)
	snapshot, err := fetch()
	if err != nil {
		follower.metrics.Count("configuration_pull_failed")
		return
	}
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.state.Merge(snapshot) {
		follower.metrics.Count("configuration_relayed")
	}
	// The watchers are notified in any case, because Merge adds the withdrawals even of a
	// snapshot that it rejects.
	follower.notifyWatchers()
}

// Refresh appends the current text, the keys and the withdrawals again three times per
// retention period, before the log deletes them, if this host is elected at that time.
// It runs until the context is cancelled, and returns at once if the log has no
// retention limit. Two hosts that refresh at the same time cause no harm, because the
// repeated records change nothing.
func (follower *Follower) Refresh(ctx context.Context, retention time.Duration, incarnation string, elected func() bool) {
	if retention <= 0 {
		return
	}
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-follower.clock.After(retention / 3):
		}
		if !elected() {
			continue
		}
		for _, record := range follower.refreshRecords(incarnation, round) {
			data, err := record.Encode()
			if err != nil {
				continue
			}
			if _, err := follower.log.Append(ctx, platform.ConfigurationStream, data); err != nil {
				follower.metrics.Count("configuration_refresh_failed")
			}
		}
	}
}

func (follower *Follower) refreshRecords(incarnation string, round int) []Record {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.refreshRecords(incarnation, round)
}
