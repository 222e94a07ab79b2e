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
	// archiveTimeout limits one call of the archive. Endpoints wait one second for the
	// confirmation of a departure, which is given only after the departure is stored.
	archiveTimeout = 700 * time.Millisecond
	// archiveRetryDelay is the delay before a failed call is repeated.
	archiveRetryDelay = 500 * time.Millisecond
)

// endpointArchive stores the announcements of the endpoint in the table and loads the
// announcement stored by an earlier incarnation of the agent.
type endpointArchive struct {
	archive *archiver.Archive
	control *agentControl
	logger  *zap.Logger
	// incoming passes the newest announcement to Run. Departures are not sent through it.
	incoming chan supervisor.Announcement
}

func newEndpointArchive(table storer.Table, agent string, control *agentControl, logger *zap.Logger) *endpointArchive {
	return &endpointArchive{
		archive:  &archiver.Archive{Table: table, Agent: agent},
		control:  control,
		logger:   logger,
		incoming: make(chan supervisor.Announcement, 1),
	}
}

// Run loads the stored announcement, then stores new announcements until ctx ends.
func (e *endpointArchive) Run(ctx context.Context) error {
	retry := time.NewTimer(0)
	defer retry.Stop()
	var pending *supervisor.Announcement
	loaded := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case announcement := <-e.incoming:
			// The new announcement supersedes the stored one.
			pending, loaded = &announcement, true
		case <-retry.C:
		}
		if !loaded {
			loaded = e.load(ctx)
		}
		if pending != nil && e.write(ctx, *pending) == nil {
			pending = nil
		}
		if !loaded || pending != nil {
			retry.Reset(archiveRetryDelay)
		}
	}
}

func (e *endpointArchive) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	announcement, found, err := e.archive.Load(ctx)
	if err != nil {
		e.logger.Warn("failed to load the stored announcement; retrying", zap.Error(err))
		return false
	}
	if found {
		e.control.loop.post(agentEvent{stored: &announcement})
	}
	return true
}

func (e *endpointArchive) write(ctx context.Context, announcement supervisor.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	err := e.archive.Store(ctx, announcement)
	if err != nil {
		e.logger.Warn("failed to store the announcement", zap.String("endpoint", announcement.Boot.ID),
			zap.Bool("departing", announcement.Departing), zap.Error(err))
	}
	return err
}

// store passes an announcement to Run, which stores it later. A departure is stored before
// store returns: until then, a later incarnation of this agent would assume that the
// endpoint stays.
func (e *endpointArchive) store(announcement supervisor.Announcement) error {
	e.dropIncoming()
	if announcement.Departing {
		return e.write(context.Background(), announcement)
	}
	e.incoming <- announcement
	return nil
}

// dropIncoming drops the announcement that Run has not received yet, if any.
func (e *endpointArchive) dropIncoming() {
	select {
	case <-e.incoming:
	default:
	}
}
