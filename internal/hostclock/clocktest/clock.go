// Package clocktest contains a clock for tests whose wall clock can jump while its monotonic
// clock goes on.
package clocktest

import (
	"sync"
	"time"
	"unsafe"

	"github.com/jonboulle/clockwork"
)

// Clock is a fake clock whose times carry a reading of the monotonic clock, like those of
// time.Now. Its timers follow the monotonic clock. The values of their channels carry no
// such reading and must not be used.
type Clock struct {
	*clockwork.FakeClock
	started time.Time // on the fake clock
	base    time.Time // with a reading of the monotonic clock

	mutex     sync.Mutex
	ahead     time.Duration // of the wall clock, relative to the monotonic one
	suspended time.Duration
}

// New returns a clock that shows the present time.
func New() *Clock {
	base := time.Now()
	fake := clockwork.NewFakeClockAt(base.Round(0))
	return &Clock{FakeClock: fake, started: fake.Now(), base: base}
}

// Jump sets the wall clock forward, or back if the duration is negative. The duration must
// be in whole seconds.
func (clock *Clock) Jump(duration time.Duration) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.ahead += duration
}

// Suspend lets time pass in which the monotonic clock stands still, in whole seconds.
func (clock *Clock) Suspend(duration time.Duration) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.ahead += duration
	clock.suspended += duration
}

// Now implements clockwork.Clock.
func (clock *Clock) Now() time.Time {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return setAhead(clock.base.Add(clock.FakeClock.Now().Sub(clock.started)), clock.ahead)
}

// Since implements clockwork.Clock.
func (clock *Clock) Since(start time.Time) time.Duration { return clock.Now().Sub(start) }

// Until implements clockwork.Clock.
func (clock *Clock) Until(end time.Time) time.Duration { return end.Sub(clock.Now()) }

// Uptime implements hostclock.UptimeClock.
func (clock *Clock) Uptime() time.Duration {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.FakeClock.Now().Sub(clock.started) + clock.suspended
}

// wallSecondShift is the position of the seconds in the first word of a time.Time with a
// reading of the monotonic clock. The nanoseconds are below.
const wallSecondShift = 30

// setAhead shifts the wall clock's part of a time. The time package has no function for
// this, so it relies on the layout of time.Time and panics if that has changed.
func setAhead(at time.Time, ahead time.Duration) time.Time {
	shifted := at
	layout := (*struct {
		wall     uint64
		ext      int64
		location *time.Location
	})(unsafe.Pointer(&shifted))
	layout.wall += uint64(ahead/time.Second) << wallSecondShift
	if shifted.Sub(at) != 0 || shifted.Round(0).Sub(at.Round(0)) != ahead {
		panic("clocktest: a jump of the wall clock must be in whole seconds, or the layout of time.Time has changed")
	}
	return shifted
}
