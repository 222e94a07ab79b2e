//go:build !linux

package launcher

import "time"

// suspended is unknown here; the clocks of other systems count suspensions.
func suspended() time.Duration { return 0 }
