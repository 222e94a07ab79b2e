package launcher

import (
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
	if len(lines) > 0 {
		_, err = l.Output.Write(lines)
	}
	l.mu.Lock()
	l.spare = lines
	l.mu.Unlock()
	if err != nil {
		return fmt.Errorf("write log lines: %w", err)
	}
	return nil
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
