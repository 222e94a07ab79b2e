package launcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/burdockrudder/burdockrudder/internal/edge/supervisor"
	"github.com/burdockrudder/burdockrudder/internal/storage/archiver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

const (
	// archivePatience bounds one call of the archive. A departure is confirmed within
	// the second that endpoints wait for it.
	archivePatience = 700 * time.Millisecond
	// archiveRetry is the wait before a call that has failed is repeated.
	archiveRetry = 500 * time.Millisecond
)

// endpointArchive recalls what an earlier life of the agent knew of its endpoint,
// and keeps what the endpoint announces.
type endpointArchive struct {
	archive *archiver.Archive
	control *agentControl
	logger  *zap.Logger
	// ready holds the newest announcement of an endpoint that takes tasks.
	ready chan supervisor.Announcement
}

func newEndpointArchive(table storer.Table, agent string, control *agentControl, logger *zap.Logger) *endpointArchive {
	return &endpointArchive{
		archive: &archiver.Archive{Table: table, Agent: agent},
		control: control,
		logger:  logger,
		ready:   make(chan supervisor.Announcement, 1),
	}
}

// Run recalls, and then keeps announcements until ctx ends.
func (e *endpointArchive) Run(ctx context.Context) error {
	retry := time.NewTimer(0)
	defer retry.Stop()
	var pending *supervisor.Announcement
	recalled := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case announcement := <-e.ready:
			// The endpoint has announced itself: nothing needs to be recalled.
			pending, recalled = &announcement, true
		case <-retry.C:
		}
		if !recalled {
			recalled = e.recall(ctx)
		}
		if pending != nil && e.keep(ctx, *pending) == nil {
			pending = nil
		}
		if !recalled || pending != nil {
			retry.Reset(archiveRetry)
		}
	}
}

func (e *endpointArchive) recall(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, archivePatience)
	defer cancel()
	announcement, found, err := e.archive.Load(ctx)
	if err != nil {
		e.logger.Warn("announcement not recalled", zap.Error(err))
		return false
	}
	if found {
		e.control.loop.post(agentEvent{recalled: &announcement})
	}
	return true
}

func (e *endpointArchive) keep(ctx context.Context, announcement supervisor.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, archivePatience)
	defer cancel()
	err := e.archive.Store(ctx, announcement)
	if err != nil {
		e.logger.Warn("announcement not kept", zap.String("endpoint", announcement.Boot.ID),
			zap.Bool("departing", announcement.Departing), zap.Error(err))
	}
	return err
}

// announced keeps an announcement. It waits for the row of a departure: until that
// is kept, a later life of this agent would take the endpoint for one that stays.
func (e *endpointArchive) announced(announcement supervisor.Announcement) error {
	e.forget()
	if announcement.Departing {
		return e.keep(context.Background(), announcement)
	}
	e.ready <- announcement
	return nil
}

// forget drops an announcement that waits to be kept.
func (e *endpointArchive) forget() {
	select {
	case <-e.ready:
	default:
	}
}
