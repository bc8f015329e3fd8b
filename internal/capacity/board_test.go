package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoard guards against a limit that outlives the target's statement or is
// lifted by an older one.
func TestBoard(t *testing.T) {
	is := is.New(t)
	board, start := NewBoard(), time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	is.True(!board.Observe("t", Announcement{ObservedAt: at(0)})) // a target without a limit
	is.True(board.Observe("t", Announcement{Limited: true, Rate: 4.5, ObservedAt: at(2)}))
	is.True(!board.Observe("t", Announcement{Limited: true, Rate: 4.5, ObservedAt: at(3)}))
	is.True(!board.Observe("t", Announcement{ObservedAt: at(1)})) // older
	rate, limited := board.Limit("t", 0)
	is.True(limited)
	is.Equal(rate, 4.5)
	is.True(board.Observe("t", Announcement{Limited: true, Rate: 2, ObservedAt: at(4)}))
	is.Equal(board.Limits()["t"].Rate, 2.0)
	is.True(board.Observe("t", Announcement{ObservedAt: at(5)}))
	is.True(!board.Observe("t", Announcement{Limited: true, Rate: 2, ObservedAt: at(4)}))
	_, limited = board.Limit("t", 0)
	is.True(!limited)
	is.Equal(len(board.Limits()), 0)
	board.Observe("t", Announcement{Limited: true, ObservedAt: at(6)})
	_, limited = board.Limit("t", 0)
	is.True(limited)
	board.Retain(func(string) bool { return false })
	_, limited = board.Limit("t", 0)
	is.True(!limited)
}

// TestRestartedTarget guards against a limit that outlives the process which named
// it: a target may start again under the same ID.
func TestRestartedTarget(t *testing.T) {
	is := is.New(t)
	board, now := NewBoard(), time.Unix(1000, 0)
	board.Observe("t", Announcement{Limited: true, Rate: 2, Boot: 1, ObservedAt: now})
	_, limited := board.Limit("t", 1)
	is.True(limited)
	_, limited = board.Limit("t", 2)
	is.True(!limited)
	is.True(board.Observe("t", Announcement{Limited: true, Rate: 2, Boot: 2, ObservedAt: now.Add(time.Second)}))
	_, limited = board.Limit("t", 2)
	is.True(limited)
}

// TestReports guards against a host that hears of a limit late or takes an old
// report for a new one.
func TestReports(t *testing.T) {
	is := is.New(t)
	here, there, now := NewBoard(), NewBoard(), time.Unix(1000, 0)
	later := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	here.Observe("t", Announcement{Limited: true, Rate: 2, Boot: 7, ObservedAt: now})
	reports := here.Reports(later(1))
	is.Equal(reports, map[string]Report{"t": {Limited: true, Rate: 2, Boot: 7, Age: time.Second}})
	is.True(there.Merge("t", reports["t"], later(1)))
	is.Equal(len(there.Reports(later(1))), 0) // left to the other host
	is.Equal(there.Reports(later(2)), map[string]Report{"t": {Limited: true, Rate: 2, Boot: 7, Age: 2 * time.Second}})
	rate, limited := there.Limit("t", 7)
	is.True(limited)
	is.Equal(rate, 2.0)
	there.Observe("t", Announcement{Boot: 7, ObservedAt: later(2)})
	is.True(!there.Merge("t", reports["t"], later(3).Add(-time.Second))) // observed before the limit was lifted
	is.True(here.Merge("t", there.Reports(later(3))["t"], later(3)))
	_, limited = here.Limit("t", 7)
	is.True(!limited)
	is.Equal(len(there.Reports(later(2).Add(liftedReportTime+time.Second))), 0)
	is.True(!there.Merge("t", Report{Limited: true, Rate: math.NaN()}, later(20)))
	is.True(!there.Merge("t", Report{Limited: true, Rate: -1}, later(20)))
	is.True(!there.Merge("t", Report{Limited: true, Rate: 1, Age: -time.Second}, later(20)))
}
