package launcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes bounds the lines that wait to be written: about a second of
	// the busiest load.
	logBufferBytes = 512 << 10
	// logFlushEvery is the time between writes. Fewer writes cost less processor
	// time; a crash loses the lines of this time at most.
	logFlushEvery = 100 * time.Millisecond
	// logWriteBytes is the size up to which a write to a pipe is not split (PIPE_BUF
	// on Linux). Collectors that read less at a time cut longer writes within a line.
	logWriteBytes = 4096
)

// LogSink takes log lines without ever blocking: lines beyond its buffer are
// dropped and counted. Output is set before Run.
type LogSink struct {
	Output io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	// writing keeps the writes in order.
	writing sync.Mutex
}

// Write implements zapcore.WriteSyncer. It takes one line.
func (l *LogSink) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buffer)+len(line) > logBufferBytes {
		l.dropped++
		return len(line), nil
	}
	l.buffer = append(l.buffer, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it writes what waits.
func (l *LogSink) Sync() error {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	lines, dropped := l.buffer, l.dropped
	l.buffer, l.dropped = l.spare[:0], 0
	l.spare = nil
	l.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","ts":%q,"msg":"log lines dropped","count":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
	var err error
	for rest := lines; len(rest) > 0 && err == nil; {
		whole := wholeLines(rest)
		_, err = l.Output.Write(rest[:whole])
		rest = rest[whole:]
	}
	l.mu.Lock()
	l.spare = lines
	l.mu.Unlock()
	if err != nil {
		return fmt.Errorf("write log lines: %w", err)
	}
	return nil
}

// wholeLines returns the length of the lines at the start of text that fit into one
// write, and at least that of the first line.
func wholeLines(text []byte) int {
	if len(text) <= logWriteBytes {
		return len(text)
	}
	if end := bytes.LastIndexByte(text[:logWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return end + 1
	}
	return len(text)
}

// Run writes what waits until ctx ends, and then once more.
func (l *LogSink) Run(ctx context.Context) error {
	ticker := time.NewTicker(logFlushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return l.Sync()
		case <-ticker.C:
			// A failed write has nowhere to be reported to; the next may succeed.
			_ = l.Sync()
		}
	}
}
