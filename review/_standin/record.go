package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, with the time since the start.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%9.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
