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

// Follower keeps a host's State up to date from the log, and from peers where
// the log cannot be reached.
type Follower struct {
	clock   clockwork.Clock
	metrics *metric.Metrics
	log     platform.Log
	tail    *platform.Tail

	mutex    sync.Mutex
	state    *State
	relayed  time.Time // clock time at which a peer's view was fresh
	watchers []func(text *Text, version uint64, ring *key.Ring)
	pulling  atomic.Bool
}

// pollWait is the long poll of the configuration stream.
const pollWait = 2 * time.Second

// NewFollower returns a follower without a configuration.
func NewFollower(clock clockwork.Clock, metrics *metric.Metrics, log platform.Log) *Follower {
	return &Follower{
		clock: clock, metrics: metrics, log: log, state: NewState(),
		tail: platform.NewTail(log, platform.ConfigurationStream, pollWait, clock),
	}
}

// Watch registers a function that is called after each change. It must be
// called before Run.
func (follower *Follower) Watch(watcher func(text *Text, version uint64, ring *key.Ring)) {
	follower.watchers = append(follower.watchers, watcher)
}

// Run follows the stream until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	follower.tail.Run(ctx, follower.read)
}

func (follower *Follower) read(page platform.Page, _ time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	changed := false
	for _, entry := range page.Entries {
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
		follower.notify()
	}
}

func (follower *Follower) notify() {
	for _, watcher := range follower.watchers {
		watcher(follower.state.Text(), follower.state.Version(), follower.state.Ring())
	}
}

// View runs a function on the state, which it must not keep or change.
func (follower *Follower) View(look func(state *State)) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	look(follower.state)
}

// Text returns the text in force.
func (follower *Follower) Text() *Text {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.Text()
}

// Age returns the age of the view: the time since the last read that reached
// the end of the stream, by this host or by a peer whose view it took over. It
// reports false if there has been none.
func (follower *Follower) Age() (time.Duration, bool) {
	age, ok := follower.tail.Age()
	follower.mutex.Lock()
	relayed := follower.relayed
	follower.mutex.Unlock()
	if relayed.IsZero() {
		return age, ok
	}
	since := follower.clock.Now().Sub(relayed)
	if !ok || since < age {
		return since, true
	}
	return age, ok
}

// staleAfter is the age of the own view from which peers are asked.
const staleAfter = pollWait + time.Second

// Heard compares the own view with that of a peer, as its heartbeat tells it.
// It reports whether the peer's state should be fetched. Asked is the time
// before the heartbeat was asked for.
func (follower *Follower) Heard(next int64, peerAge time.Duration, current bool, asked time.Time) bool {
	if !current {
		return false
	}
	age, ok := follower.tail.Age()
	if ok && age < staleAfter {
		return false
	}
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if next > follower.state.Next() {
		return true
	}
	// A view that is as long as the peer's is as fresh as the peer's.
	if fresh := asked.Add(-peerAge); next == follower.state.Next() && fresh.After(follower.relayed) {
		follower.relayed = fresh
	}
	return false
}

// Pull fetches a peer's state with the given function, unless a pull is under
// way already.
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
	follower.notify()
}

// Refresh repeats the text, the keys and the withdrawals before the log drops
// them, as long as this host is elected to. It runs until the context ends; two
// hosts that do it at once are harmless.
func (follower *Follower) Refresh(ctx context.Context, retention time.Duration, incarnation string, elected func() bool) {
	if retention <= 0 {
		return
	}
	for number := 1; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-follower.clock.After(retention / 3):
		}
		if !elected() {
			continue
		}
		for _, record := range follower.refreshRecords(incarnation, number) {
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

func (follower *Follower) refreshRecords(incarnation string, number int) []Record {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state.refreshRecords(incarnation, number)
}
