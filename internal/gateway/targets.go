package gateway

import (
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/platform"
)

// returnTime is how long targets have to renew entries that lapsed during an
// outage of the store: they are back about two seconds after it.
const returnTime = 2200 * time.Millisecond

// targets keeps the board in step with the targets' entries.
type targets struct {
	clock   clockwork.Clock
	logger  log.Interface
	board   *placement.Board
	well    func() (time.Time, bool) // since when the store has answered
	missing map[string]bool
}

func newTargets(clock clockwork.Clock, logger log.Interface, board *placement.Board, well func() (time.Time, bool)) *targets {
	return &targets{clock: clock, logger: logger, board: board, well: well, missing: make(map[string]bool)}
}

// apply takes entries. It runs on the follower's goroutine.
func (targets *targets) apply(records []store.Record, whole bool) {
	present := make(map[string]bool)
	for _, record := range records {
		if record.Dropped() {
			targets.missing[record.Key] = true
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
		for _, target := range targets.board.Targets() {
			if !present[target.ID] {
				targets.missing[target.ID] = true
			}
		}
	}
	targets.sweep()
}

// sweep removes missing targets once the store has been well for long enough
// that a live one would have renewed its entry.
func (targets *targets) sweep() {
	defer func() { targets.board.SetMissing(maps.Clone(targets.missing)) }()
	since, well := targets.well()
	if !well || targets.clock.Since(since) < returnTime {
		return
	}
	for id := range targets.missing {
		delete(targets.missing, id)
		if targets.board.Remove(id) {
			targets.logger.WithField("target", id).Info("target is gone")
		}
	}
}
