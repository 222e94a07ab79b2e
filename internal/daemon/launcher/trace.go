package launcher

import (
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/recorder"
)

// traceFileMode makes traces inaccessible to other users, because a trace shows which
// caller submitted what.
const traceFileMode = 0o600

// traceFile records the events of the decision code if the settings name a file.
type traceFile struct {
	file     *os.File
	recorder *recorder.Recorder
}

func openTrace(c EntryConfig, incarnation messenger.Incarnation, address string, seed uint64) (*traceFile, error) {
	if c.TraceFile == "" {
		return &traceFile{}, nil
	}
	file, err := os.OpenFile(c.TraceFile, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, traceFileMode)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	t := &traceFile{file: file, recorder: &recorder.Recorder{Writer: file, MaxBytes: c.TraceMaxBytes}}
	header := recorder.Header{
		Role: messenger.RoleEntry, Name: c.Name, Incarnation: incarnation, Address: address, Seed: seed,
	}
	if err := t.recorder.Start(header); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return t, nil
}

// record writes an event. The first failure stops the recording; the entry keeps running.
func (t *traceFile) record(now time.Time, event coordinator.Event, logger *zap.Logger) {
	if t.recorder == nil {
		return
	}
	if err := t.recorder.Record(now, event); err != nil {
		logger.Warn("failed to record event; recording of the trace stopped", zap.Error(err))
		t.recorder = nil
	}
}

func (t *traceFile) close() {
	if t.file != nil {
		_ = t.file.Close()
	}
}
