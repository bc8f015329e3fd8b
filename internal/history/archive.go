// Package history keeps answered turns, so that later ones continue them
// through any host, and makes them durable before their answers end.
package history

import (
	"errors"
	"sync"
	"time"
)

// ErrNoTurn reports a turn that does not exist in its workspace.
var ErrNoTurn = errors.New("no such turn in the workspace")

// Turn is an answered turn. Root is the first turn of its chain.
type Turn struct {
	ID        string        `msgpack:"i"`
	Previous  string        `msgpack:"p,omitempty"`
	Root      string        `msgpack:"r"`
	Workspace string        `msgpack:"w"`
	Input     []byte        `msgpack:"n,omitempty"`
	Output    []byte        `msgpack:"o,omitempty"`
	Kept      int64         `msgpack:"k"` // Unix milliseconds
	Retention time.Duration `msgpack:"t"`
	Pieces    int           `msgpack:"c,omitempty"` // records that hold the texts, if they do not fit into one
}

// size is what a turn takes in memory, in bytes.
func (turn *Turn) size() int { return len(turn.Input) + len(turn.Output) + turnOverhead }

// memoryMargin is how long turns stay in memory beyond their time: chains that
// go on need them, and the store is the slower way.
const memoryMargin = time.Minute

const turnOverhead = 256 // bytes of a turn beside its texts

// archive is the turns in memory, the oldest dropped first when they outgrow
// their bound or their time.
type archive struct {
	bound int

	mutex sync.Mutex
	turns map[string]*Turn
	order []*Turn
	bytes int
}

func newArchive(bound int) *archive {
	return &archive{bound: bound, turns: make(map[string]*Turn)}
}

func (archive *archive) put(turn *Turn, now time.Time) {
	archive.mutex.Lock()
	defer archive.mutex.Unlock()
	if _, known := archive.turns[turn.ID]; known {
		return
	}
	archive.turns[turn.ID] = turn
	archive.order = append(archive.order, turn)
	archive.bytes += turn.size()
	for len(archive.order) > 1 && (archive.bytes > archive.bound || now.After(archive.order[0].until().Add(memoryMargin))) {
		oldest := archive.order[0]
		archive.order[0] = nil
		archive.order = archive.order[1:]
		archive.bytes -= oldest.size()
		delete(archive.turns, oldest.ID)
	}
}

// until is when a turn need not be kept any longer for its own sake. Later
// turns keep the whole chain.
func (turn *Turn) until() time.Time { return time.UnixMilli(turn.Kept).Add(turn.Retention) }

func (archive *archive) get(id string) (*Turn, bool) {
	archive.mutex.Lock()
	defer archive.mutex.Unlock()
	turn, ok := archive.turns[id]
	return turn, ok
}

// chain returns the turns up to one, oldest first, and the id of the first one
// missing if there is any.
func (archive *archive) chain(id string) (turns []*Turn, missing string) {
	archive.mutex.Lock()
	defer archive.mutex.Unlock()
	for id != "" {
		turn, ok := archive.turns[id]
		if !ok {
			missing = id
			break
		}
		turns = append(turns, turn)
		id = turn.Previous
	}
	for left, right := 0, len(turns)-1; left < right; left, right = left+1, right-1 {
		turns[left], turns[right] = turns[right], turns[left]
	}
	return turns, missing
}
