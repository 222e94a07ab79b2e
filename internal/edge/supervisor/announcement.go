package supervisor

import "github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"

// Announcement describes an endpoint that runs its tasks under a lease, as the
// endpoint announces itself.
type Announcement struct {
	Boot     Boot                `json:"boot"`
	Service  string              `json:"service"`
	Slots    int                 `json:"slots"`
	Labels   []string            `json:"labels"`
	Capacity messenger.Resources `json:"capacity"`
	// Departing is true if the endpoint is leaving and accepts no new tasks.
	Departing bool `json:"departing"`
}
