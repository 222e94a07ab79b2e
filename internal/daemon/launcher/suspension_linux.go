package launcher

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns how long the host has been suspended since it was booted. Go's
// monotonic clock does not advance during suspension.
func suspended() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

// readClock returns the time of a clock, or 0 if the kernel does not support the clock. If
// neither clock is supported, suspended therefore returns 0.
func readClock(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
