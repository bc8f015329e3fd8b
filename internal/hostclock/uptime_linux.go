package hostclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemUptime returns the reading of the clock that counts suspended time, and false if
// the system denies it.
func systemUptime() (time.Duration, bool) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, false
	}
	return time.Duration(reading.Nano()), true
}
