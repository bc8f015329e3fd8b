package gateway

import (
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/metric"
)

const (
	wallClockInterval = time.Second // between two readings
	// minWallClockJump is the smallest jump that is reported. Time services slew smaller
	// differences away.
	minWallClockJump = 500 * time.Millisecond
)

// wallClockMonitor tells operators of jumps of the wall clock. Nothing else depends on it.
type wallClockMonitor struct {
	clock   clockwork.Clock
	logger  log.Interface
	metrics *metric.Metrics
	wall    time.Time     // last reading
	uptime  time.Duration // the same
}

func newWallClockMonitor(clock clockwork.Clock, logger log.Interface, metrics *metric.Metrics) *wallClockMonitor {
	return &wallClockMonitor{clock: clock, logger: logger, metrics: metrics, wall: clock.Now().Round(0), uptime: hostclock.Uptime(clock)}
}

// check reports a jump since the last reading.
func (wallClockMonitor *wallClockMonitor) check() {
	wall, uptime := wallClockMonitor.clock.Now().Round(0), hostclock.Uptime(wallClockMonitor.clock)
	jump := wall.Sub(wallClockMonitor.wall) - (uptime - wallClockMonitor.uptime)
	wallClockMonitor.wall, wallClockMonitor.uptime = wall, uptime
	if jump.Abs() < minWallClockJump {
		return
	}
	wallClockMonitor.metrics.Count("wall_clock_jumps")
	wallClockMonitor.logger.WithField("by_ms", jump.Milliseconds()).Warn("wall clock has jumped; only the times of log lines and of records in the store follow it")
}
