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
	// logBufferBytes is the size of the buffer of unwritten lines: about one second of
	// log output at the highest load.
	logBufferBytes = 512 << 10
	// logFlushInterval is the interval between flushes. Fewer writes cost less processor
	// time, but a crash loses the lines of up to one interval.
	logFlushInterval = 100 * time.Millisecond
	// maxLogWriteBytes is the size up to which a write to a pipe is atomic (PIPE_BUF on
	// Linux). Log collectors that read at most this much at a time would cut longer
	// writes within a line.
	maxLogWriteBytes = 4096
)

// LogSink buffers log lines without ever blocking the writer: lines that don't fit into
// the buffer are dropped and counted. Output must be set before Run.
type LogSink struct {
	Output io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	// syncMu serializes Sync, so that lines are written in order.
	syncMu sync.Mutex
}

// Write implements zapcore.WriteSyncer. It expects one whole line.
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

// Sync implements zapcore.WriteSyncer. It writes the buffered lines to Output.
func (l *LogSink) Sync() error {
	l.syncMu.Lock()
	defer l.syncMu.Unlock()
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

// wholeLines returns the length of the whole lines at the start of text that fit into one
// write. If the first line does not fit, it returns the length of that line.
func wholeLines(text []byte) int {
	if len(text) <= maxLogWriteBytes {
		return len(text)
	}
	if end := bytes.LastIndexByte(text[:maxLogWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return end + 1
	}
	return len(text)
}

// Run flushes the buffer at regular intervals until ctx ends, and then once more.
func (l *LogSink) Run(ctx context.Context) error {
	ticker := time.NewTicker(logFlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return l.Sync()
		case <-ticker.C:
			// The log itself has failed, so the error cannot be logged. The next write may
			// succeed.
			_ = l.Sync()
		}
	}
}
