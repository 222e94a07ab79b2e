package launcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/storage/leaser"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	// directoryEvery is the time between two looks of an agent without links. With
	// links, the entries themselves tell the directory.
	directoryEvery = 500 * time.Millisecond
	// directoryPatience bounds one read.
	directoryPatience = time.Second
)

// directoryReader finds the entries for an agent that is linked to none.
type directoryReader struct {
	table   storer.Table
	control *agentControl
	logger  *zap.Logger
	// failing is true while reads fail, so that only changes are logged.
	failing bool
}

// Run looks at once, and then whenever the agent has no link, until ctx ends.
func (d *directoryReader) Run(ctx context.Context) error {
	ticker := time.NewTicker(directoryEvery)
	defer ticker.Stop()
	for {
		if d.control.targets.links() == 0 {
			d.read(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *directoryReader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directoryPatience)
	defer cancel()
	rows, err := leaser.Directory(ctx, d.table)
	if err != nil {
		if !d.failing {
			d.logger.Warn("directory not read", zap.Error(err))
		}
		d.failing = true
		return
	}
	d.failing = false
	var entries []messenger.EntryAddress
	for _, row := range rows {
		if !row.Fenced {
			entries = append(entries, messenger.EntryAddress{Name: row.Name, Incarnation: row.Incarnation, Address: row.Address})
		}
	}
	d.logger.Info("directory read", zap.Int("entries", len(entries)))
	if len(entries) > 0 {
		d.control.loop.post(agentEvent{entries: entries})
	}
}
