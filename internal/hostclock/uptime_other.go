//go:build !linux

package hostclock

import "time"

// systemUptime returns false: only Linux has the clock that is used here.
func systemUptime() (time.Duration, bool) { return 0, false }
