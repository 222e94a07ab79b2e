//go:build unix

package guard

import (
	"math"
	"syscall"
)

// processDescriptors returns the limit of open descriptors of this process, or 0 if there
// is none.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
