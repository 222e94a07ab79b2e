//go:build !linux

package launcher

import "time"

// suspended returns 0: the clocks of systems other than Linux advance during suspension.
func suspended() time.Duration { return 0 }
