package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start of the
// site. It also keeps the violations that the checks find.
type record struct {
	mu         sync.Mutex
	file       *os.File
	startedAt  time.Time
	violations []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

func (r *record) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.startedAt).Seconds()) }

func (r *record) write(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, r.at(now), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.write("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

func (r *record) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.violations)
}
