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

// ContradictedBy reports whether another announcement can't be one of the same endpoint: the
// service of an endpoint does not change within a boot.
func (a Announcement) ContradictedBy(other Announcement) bool {
	return a.Boot == other.Boot && a.Service != "" && other.Service != "" && a.Service != other.Service
}
