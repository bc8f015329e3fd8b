package gateway

import (
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/platform"
)

// returnTime is how long a target whose entry is missing after an outage of
// the store has to renew it: entries are back about two seconds after the
// store.
const returnTime = 2200 * time.Millisecond

// targets keeps the board in step with the targets' entries.
type targets struct {
	clock    clockwork.Clock
	logger   log.Interface
	board    *placement.Board
	unwell   func() time.Time // when the store last failed
	missing  map[string]time.Time
	settling time.Duration
}

func newTargets(clock clockwork.Clock, logger log.Interface, board *placement.Board, unwell func() time.Time) *targets {
	return &targets{clock: clock, logger: logger, board: board, unwell: unwell, missing: make(map[string]time.Time), settling: returnTime}
}

// apply takes entries. It runs on the follower's goroutine.
func (targets *targets) apply(records []store.Record, whole bool) {
	present := make(map[string]bool)
	for _, record := range records {
		if record.Dropped() {
			targets.gone(record.Key)
			continue
		}
		present[record.Key] = true
		target, err := platform.DecodeTarget(record.Key, record.Value)
		if err != nil {
			targets.logger.WithError(err).Debug("entry of a target cannot be read")
			continue
		}
		delete(targets.missing, target.ID)
		if targets.board.Put(target) && target.Draining {
			targets.logger.WithFields(log.Fields{"target": target.ID, "service": target.Service}).Info("target is draining")
		}
	}
	if whole {
		for _, id := range targets.board.IDs() {
			if !present[id] {
				targets.gone(id)
			}
		}
	}
	targets.sweep()
}

func (targets *targets) gone(id string) {
	if _, waiting := targets.missing[id]; !waiting {
		targets.missing[id] = targets.clock.Now()
	}
}

// sweep removes missing targets: at once while the store is well, after a time
// to return otherwise.
func (targets *targets) sweep() {
	now := targets.clock.Now()
	for id, since := range targets.missing {
		unwell := targets.unwell()
		if !unwell.IsZero() && since.Sub(unwell) < targets.settling && now.Sub(since) < targets.settling {
			continue
		}
		delete(targets.missing, id)
		if targets.board.Remove(id) {
			targets.logger.WithField("target", id).Info("target is gone")
		}
	}
}
