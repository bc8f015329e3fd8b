package configuration

import (
	"bytes"
	"slices"

	"github.com/godwitspread/godwitspread/internal/key"
)

// Verdict is the result of State.Apply.
type Verdict string

// Results of State.Apply.
const (
	Accepted         Verdict = "accepted"
	Refreshed        Verdict = "refreshed" // copy of the current version
	Outdated         Verdict = "outdated"  // based on a version that is not the current one
	Invalid          Verdict = "faulty"    // the text does not pass Parse
	AlreadyWithdrawn Verdict = "final"     // the key was withdrawn before, which is permanent
	Duplicate        Verdict = "repeated"  // the key was already given or withdrawn
)

// State is the result of applying the records of the configuration stream in order.
// Hosts that have applied the same prefix have the same state. It is not safe for
// concurrent use.
type State struct {
	version    uint64
	author     string
	source     []byte
	text       *Text
	ring       *key.Ring
	nextOffset int64
}

// NewState returns the state before the first record is applied.
func NewState() *State {
	return &State{text: &Text{}, ring: key.NewRing()}
}

// Version returns the current version, or zero if there is none.
func (state *State) Version() uint64 { return state.version }

// Author returns the author of the current version.
func (state *State) Author() string { return state.author }

// Source returns the current text in its YAML form.
func (state *State) Source() []byte { return state.source }

// Text returns the parsed form of the current text. The caller must not change it.
func (state *State) Text() *Text { return state.text }

// Ring returns the valid and the withdrawn keys. The caller must not change it.
func (state *State) Ring() *key.Ring { return state.ring }

// Next returns the offset of the next record to apply.
func (state *State) Next() int64 { return state.nextOffset }

// Advance marks an offset as read. It is called directly for an append that cannot
// be decoded.
func (state *State) Advance(offset int64) {
	state.nextOffset = max(state.nextOffset, offset+1)
}

// Apply applies one record. The current version only increases: a refresh never
// reverts it, and a withdrawn key never becomes valid again.
func (state *State) Apply(offset int64, record Record) Verdict {
	state.Advance(offset)
	switch {
	case record.Give != nil:
		return state.applyGive(record.Give)
	case record.Withdraw != nil:
		if state.ring.Withdraw(record.Withdraw.Key) {
			return Accepted
		}
		return Duplicate
	default:
		return state.applyChange(record.Change)
	}
}

func (state *State) applyGive(give *Give) Verdict {
	switch state.ring.Add(key.Key{ID: give.Key, Workspace: give.Workspace, Digest: give.Digest}) {
	case key.Added:
		return Accepted
	case key.Withdrawn:
		return AlreadyWithdrawn
	default:
		return Duplicate
	}
}

func (state *State) applyChange(change *Change) Verdict {
	if change.Refresh && change.Version == state.version {
		return Refreshed
	}
	newerRefresh := change.Refresh && change.Version > state.version
	successor := change.Base == state.version && change.Version == state.version+1
	if !newerRefresh && !successor {
		return Outdated
	}
	text, err := Parse(change.Text)
	if err != nil {
		return Invalid
	}
	state.version = change.Version
	state.author = change.Author
	state.source = slices.Clone(change.Text)
	state.text = text
	return Accepted
}

// Snapshot is a copy of the state that a host sends to peers that cannot read the
// log.
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
		Keys: state.ring.Keys(), Withdrawn: state.ring.WithdrawnIDs(), Next: state.nextOffset,
	}
}

// Merge replaces the state by a snapshot and reports whether it did. A snapshot that does
// not cover a longer prefix of the stream, has an older version or has an invalid text
// is rejected, but its withdrawals are added in any case.
func (state *State) Merge(snapshot Snapshot) bool {
	for _, id := range snapshot.Withdrawn {
		state.ring.Withdraw(id)
	}
	if snapshot.Next <= state.nextOffset || snapshot.Version < state.version {
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
	for _, validKey := range snapshot.Keys {
		state.ring.Add(validKey)
	}
	state.version = snapshot.Version
	state.author = snapshot.Author
	state.source = snapshot.Source
	state.nextOffset = snapshot.Next
	return true
}
