package crowder

import "runtime"

// allocationRuns is the number of runs of which AllocatedBytes takes the smallest result.
const allocationRuns = 3

// AllocatedBytes returns the bytes that f allocates. The runtime counts for the whole
// process; the smallest of several runs leaves out what other goroutines allocate.
func AllocatedBytes(f func()) uint64 {
	smallest := ^uint64(0)
	var before, after runtime.MemStats
	for range allocationRuns {
		runtime.ReadMemStats(&before)
		f()
		runtime.ReadMemStats(&after)
		smallest = min(smallest, after.TotalAlloc-before.TotalAlloc)
	}
	return smallest
}
