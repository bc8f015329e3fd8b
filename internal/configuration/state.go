package configuration

import (
	"bytes"
	"slices"

	"github.com/godwitspread/godwitspread/internal/key"
)

// Verdict is what the fold decided about a record.
type Verdict string

// Verdicts of the fold.
const (
	Accepted  Verdict = "accepted"
	Refreshed Verdict = "refreshed"
	Outdated  Verdict = "outdated" // made from a version that is not in force
	Faulty    Verdict = "faulty"   // the text has problems
	Final     Verdict = "final"    // the key was withdrawn before
	Repeated  Verdict = "repeated"
)

// State folds the configuration stream. Hosts that have read the same prefix
// hold the same state. It is not safe for concurrent use.
type State struct {
	version uint64
	author  string
	source  []byte
	text    *Text
	ring    *key.Ring
	next    int64
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{text: &Text{}, ring: key.NewRing()}
}

// Version returns the version in force, zero if there is none.
func (state *State) Version() uint64 { return state.version }

// Author returns who published the version in force.
func (state *State) Author() string { return state.author }

// Source returns the text in force as it was published.
func (state *State) Source() []byte { return state.source }

// Text returns the text in force. It must not be changed.
func (state *State) Text() *Text { return state.text }

// Ring returns the keys. It must not be changed.
func (state *State) Ring() *key.Ring { return state.ring }

// Next returns the offset after the last one applied.
func (state *State) Next() int64 { return state.next }

// Advance marks an offset as read, also if its append held no record.
func (state *State) Advance(offset int64) {
	state.next = max(state.next, offset+1)
}

// Apply folds one record. The version in force only grows: a refresh never
// reverts it, and a withdrawn key never comes back.
func (state *State) Apply(offset int64, record Record) Verdict {
	state.Advance(offset)
	switch {
	case record.Give != nil:
		return state.give(record.Give)
	case record.Withdraw != nil:
		if state.ring.Withdraw(record.Withdraw.Key) {
			return Accepted
		}
		return Repeated
	default:
		return state.change(record.Change)
	}
}

func (state *State) give(give *Give) Verdict {
	switch state.ring.Give(key.Key{ID: give.Key, Workspace: give.Workspace, Digest: give.Digest}) {
	case key.Given:
		return Accepted
	case key.Withdrawn:
		return Final
	default:
		return Repeated
	}
}

func (state *State) change(change *Change) Verdict {
	if change.Refresh && change.Version == state.version {
		return Refreshed
	}
	refresh := change.Refresh && change.Version > state.version
	next := change.Base == state.version && change.Version == state.version+1
	if !refresh && !next {
		return Outdated
	}
	text, err := Parse(change.Text)
	if err != nil {
		return Faulty
	}
	state.version = change.Version
	state.author = change.Author
	state.source = slices.Clone(change.Text)
	state.text = text
	return Accepted
}

// Snapshot is the whole state, for hosts that cannot read the log.
type Snapshot struct {
	Version   uint64    `msgpack:"version"`
	Author    string    `msgpack:"author"`
	Source    []byte    `msgpack:"source"`
	Keys      []key.Key `msgpack:"keys"`
	Withdrawn []string  `msgpack:"withdrawn"`
	Next      int64     `msgpack:"next"`
}

// Snapshot returns a copy of the state.
func (state *State) Snapshot() Snapshot {
	return Snapshot{
		Version: state.version, Author: state.author, Source: state.source,
		Keys: state.ring.Keys(), Withdrawn: state.ring.WithdrawnIDs(), Next: state.next,
	}
}

// Merge takes a snapshot of a longer prefix. It reports whether it was used.
// Withdrawals of a shorter prefix are kept as well.
func (state *State) Merge(snapshot Snapshot) bool {
	for _, id := range snapshot.Withdrawn {
		state.ring.Withdraw(id)
	}
	if snapshot.Next <= state.next || snapshot.Version < state.version {
		return false
	}
	if !bytes.Equal(snapshot.Source, state.source) {
		text, err := Parse(snapshot.Source)
		if err != nil && snapshot.Version != 0 {
			return false
		}
		if text != nil {
			state.text = text
		}
	}
	for _, given := range snapshot.Keys {
		state.ring.Give(given)
	}
	state.version = snapshot.Version
	state.author = snapshot.Author
	state.source = snapshot.Source
	state.next = snapshot.Next
	return true
}
