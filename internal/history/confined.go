package history

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/region"
)

// TopicOf returns the topic of the turns that a constraint confines. A listing of a
// partition contains the texts of neighbouring turns, so turns with different home regions
// have topics of their own, which only hosts in these regions list.
func TopicOf(constraint *region.Constraint) string {
	if constraint == nil {
		return Topic
	}
	return fmt.Sprintf("%s-%016x", Topic, xxhash.Sum64String(constraint.Key()))
}

// confinedMemory is how long the topics of constraints are read and swept after the
// configuration has ceased to name them: longer than turns are kept and the time between
// sweeps together.
const confinedMemory = 10 * time.Minute

// confinements are the constraints whose topics may have turns. It is safe for concurrent
// use.
type confinements struct {
	mutex sync.Mutex
	known map[string]confinement // by key of the constraint
}

type confinement struct {
	constraint *region.Constraint
	droppedAt  time.Time // zero while the configuration names it
}

// SetConfined sets the constraints that the configuration names.
func (histories *Histories) SetConfined(constraints []*region.Constraint) {
	now, named := histories.clock.Now(), make(map[string]confinement)
	for _, constraint := range constraints {
		named[constraint.Key()] = confinement{constraint: constraint}
	}
	confined := &histories.confined
	confined.mutex.Lock()
	defer confined.mutex.Unlock()
	for key, earlier := range confined.known {
		if _, kept := named[key]; kept {
			continue
		}
		if earlier.droppedAt.IsZero() {
			earlier.droppedAt = now
		}
		named[key] = earlier
	}
	confined.known = named
}

// Confined returns the constraints whose topics may have turns, ordered by key.
func (histories *Histories) Confined() []*region.Constraint {
	confined := &histories.confined
	confined.mutex.Lock()
	defer confined.mutex.Unlock()
	var constraints []*region.Constraint
	for key, known := range confined.known {
		if !known.droppedAt.IsZero() && histories.clock.Since(known.droppedAt) > confinedMemory {
			delete(confined.known, key)
			continue
		}
		constraints = append(constraints, known.constraint)
	}
	slices.SortFunc(constraints, func(left, right *region.Constraint) int {
		if left.Key() < right.Key() {
			return -1
		}
		return 1
	})
	return constraints
}

// topics returns the topics that may have a turn which a request with a constraint
// continues: its own first, then those of turns that were stored before the home regions
// were set or changed. This host is in the home regions of all of them.
func (histories *Histories) topics(constraint *region.Constraint) []string {
	topics := []string{TopicOf(constraint)}
	for _, other := range append([]*region.Constraint{nil}, histories.Confined()...) {
		if topic := TopicOf(other); other.IsHome() && !slices.Contains(topics, topic) {
			topics = append(topics, topic)
		}
	}
	return topics
}

// loadSegment reads the segment of a chain that contains a turn into the cache, and adds
// its turns to the loaded ones. A host outside the home regions of the context's constraint
// gets them from a host there, because it would read neighbouring turns as well.
func (histories *Histories) loadSegment(ctx context.Context, workspace, id string, loaded map[string]*Turn, reserve func(bytes int64) error) error {
	constraint := region.FromContext(ctx)
	if constraint.IsHome() {
		var err error
		for _, topic := range histories.topics(constraint) {
			if err = histories.load(ctx, topic, workspace, id, loaded, reserve); !errors.Is(err, ErrNoTurn) {
				return err
			}
		}
		return err
	}
	turns, err := histories.peers.FindStored(ctx, constraint, workspace, id)
	if err != nil {
		return err
	}
	now := histories.clock.Now()
	for index := range turns {
		turn := &turns[index]
		if err := reserve(int64(turn.size())); err != nil {
			return err
		}
		histories.cache.put(turn, now)
		loaded[turn.ID] = turn
	}
	if loaded[id] == nil {
		return ErrNoTurn
	}
	return nil
}

// StoredSegment returns the stored segment of a chain that contains a turn, for a host
// outside the home regions of the context's constraint. This host must be in them.
func (histories *Histories) StoredSegment(ctx context.Context, workspace, id string) ([]Turn, error) {
	if constraint := region.FromContext(ctx); constraint == nil || !constraint.IsHome() {
		return nil, fmt.Errorf("this host is not in the home regions %q", constraint.Key())
	}
	reserved, err := histories.memory.Reserve(memory.Admission, 0)
	if err != nil {
		return nil, err
	}
	defer reserved.Release()
	loaded := make(map[string]*Turn)
	if err := histories.loadSegment(ctx, workspace, id, loaded, reserved.Grow); err != nil {
		return nil, err
	}
	turns := make([]Turn, 0, len(loaded))
	for _, turn := range loaded {
		if turn.Workspace != workspace {
			return nil, ErrNoTurn
		}
		turns = append(turns, *turn)
	}
	return turns, nil
}
