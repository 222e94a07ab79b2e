package crowder

import (
	"fmt"
	"os"
	"strings"
)

// Usage is what a process uses, as Linux reports it.
type Usage struct {
	// PeakBytes is the highest resident memory since the start of the process (VmHWM),
	// ResidentBytes the current one (VmRSS).
	PeakBytes, ResidentBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// ReadUsage returns what a running process uses.
func ReadUsage(pid int) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	if u.PeakBytes, err = statusBytes(string(status), "VmHWM:"); err != nil {
		return u, err
	}
	if u.ResidentBytes, err = statusBytes(string(status), "VmRSS:"); err != nil {
		return u, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(descriptors)
	return u, err
}

// statusBytes returns the value of a line of /proc/PID/status, which is in kilobytes.
func statusBytes(status, name string) (int64, error) {
	_, rest, found := strings.Cut(status, "\n"+name)
	var kilobytes int64
	if !found {
		// A process that has ended and is not yet waited for has no memory.
		return 0, fmt.Errorf("the process has no %s", strings.TrimSuffix(name, ":"))
	}
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, fmt.Errorf("read %s: %w", name, err)
	}
	return kilobytes << 10, nil
}

// resetPeak makes VmHWM of a process count from now on.
func resetPeak(pid int) error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0)
}
