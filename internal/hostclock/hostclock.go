// Package hostclock measures time on hosts whose wall clock may jump.
//
// Durations come from the monotonic clock, which every time.Time of a clock's Now carries.
// A time that has been converted to Unix time and back has lost it: the difference to
// another time then follows the wall clock. The monotonic clock stands still while the host
// is suspended, so leases and the age of views of the store use Uptime instead.
package hostclock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Tolerance is the largest difference that is expected between the wall clocks of two hosts:
// each may be off by ten seconds in either direction. Whoever compares a time that another
// host has written with its own wall clock must allow for it.
const Tolerance = 20 * time.Second

// UptimeClock is a clock that counts the time in which the host is suspended.
type UptimeClock interface {
	clockwork.Clock
	// Uptime returns the time since a fixed moment, including the time in which the host was
	// suspended. Jumps of the wall clock do not change it.
	Uptime() time.Duration
}

// New returns the clock of this host.
func New() clockwork.Clock { return systemClock{clockwork.NewRealClock()} }

// systemClock is the clock of this host.
type systemClock struct{ clockwork.Clock }

// Uptime implements UptimeClock.
func (systemClock) Uptime() time.Duration {
	if uptime, ok := systemUptime(); ok {
		return uptime
	}
	return time.Since(reference)
}

// reference is a moment with a reading of the monotonic clock.
var reference = time.Now()

// Uptime returns the time since a fixed moment on a clock. It counts the time in which the
// host was suspended if the clock does.
func Uptime(clock clockwork.Clock) time.Duration {
	if uptimeClock, ok := clock.(UptimeClock); ok {
		return uptimeClock.Uptime()
	}
	return clock.Now().Sub(reference)
}
