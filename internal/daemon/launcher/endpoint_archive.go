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
	// archivePatience limits one call of the archive. Endpoints wait one second for the
	// confirmation of a departure, which is given only after the departure is stored.
	archivePatience = 700 * time.Millisecond
	// archiveRetry is the delay before a failed call is repeated.
	archiveRetry = 500 * time.Millisecond
)

// endpointArchive stores the announcements of the endpoint in the table and loads the
// announcement stored by an earlier incarnation of the agent.
type endpointArchive struct {
	archive *archiver.Archive
	control *agentControl
	logger  *zap.Logger
	// ready passes the newest announcement to Run. Departures are not sent through it.
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

// Run loads the stored announcement, then stores new announcements until ctx ends.
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
			// The new announcement supersedes the stored one.
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
		e.logger.Warn("failed to load the stored announcement; retrying", zap.Error(err))
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
	err := e.archive.Keep(ctx, announcement)
	if err != nil {
		e.logger.Warn("failed to store the announcement", zap.String("endpoint", announcement.Boot.ID),
			zap.Bool("departing", announcement.Departing), zap.Error(err))
	}
	return err
}

// announced stores an announcement. It returns before a regular announcement is stored,
// but only after a departure is stored: until then, a later incarnation of this agent
// would assume that the endpoint stays.
func (e *endpointArchive) announced(announcement supervisor.Announcement) error {
	e.forget()
	if announcement.Departing {
		return e.keep(context.Background(), announcement)
	}
	e.ready <- announcement
	return nil
}

// forget drops the announcement that Run has not received yet, if any.
func (e *endpointArchive) forget() {
	select {
	case <-e.ready:
	default:
	}
}
