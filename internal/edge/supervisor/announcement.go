package supervisor

import "github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"

// Announcement is what an endpoint that holds its tasks under a lease says about
// itself.
type Announcement struct {
	Boot     Boot                `json:"boot"`
	Service  string              `json:"service"`
	Slots    int                 `json:"slots"`
	Labels   []string            `json:"labels"`
	Capacity messenger.Resources `json:"capacity"`
	// Departing is true if the endpoint leaves and takes nothing new.
	Departing bool `json:"departing"`
}
