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
	// directoryReadInterval is the interval at which an agent without links reads the
	// directory from the table. A linked agent receives the directory from its entries.
	directoryReadInterval = 500 * time.Millisecond
	// directoryReadTimeout limits one read of the directory.
	directoryReadTimeout = time.Second
)

// directoryReader reads the entries from the table while the agent has no link.
type directoryReader struct {
	table   storer.Table
	control *agentControl
	logger  *zap.Logger
	// failing is true if the last read failed. Only the first of consecutive failures is
	// logged.
	failing bool
}

// Run reads the directory periodically while the agent has no link, first without delay,
// until ctx ends.
func (d *directoryReader) Run(ctx context.Context) error {
	ticker := time.NewTicker(directoryReadInterval)
	defer ticker.Stop()
	for {
		if len(d.control.targets.links()) == 0 {
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
	ctx, cancel := context.WithTimeout(ctx, directoryReadTimeout)
	defer cancel()
	rows, err := leaser.Directory(ctx, d.table)
	if err != nil {
		if !d.failing {
			d.logger.Warn("failed to read the directory of entries; retrying", zap.Error(err))
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
	d.logger.Info("directory of entries read", zap.Int("entries", len(entries)))
	if len(entries) > 0 {
		d.control.loop.post(agentEvent{entries: entries})
	}
}
