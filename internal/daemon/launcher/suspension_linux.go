package launcher

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspended returns for how long the host has been suspended since it was
// started. Go's clock leaves these times out.
func suspended() time.Duration {
	return reading(unix.CLOCK_BOOTTIME) - reading(unix.CLOCK_MONOTONIC)
}

// reading returns a clock, or 0 where the kernel does not have it; the difference
// of two clocks that are both unknown is no suspension.
func reading(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
