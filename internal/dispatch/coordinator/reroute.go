package coordinator

import "github.com/burdockrudder/burdockrudder/internal/dispatch/placer"

// maxReroutes bounds how often a task is placed elsewhere before it waits in the queue of
// a full endpoint. Each further placement costs two messages, and an entry whose knowledge
// of the loads is that old is likely to be wrong again.
const maxReroutes = 2

// mayReroute reports whether a start should be refused if the endpoint is full. Entries
// learn with a delay what the others have started, so that a task often finds its endpoint
// full while others have room. Placing it again takes a round trip; waiting takes until a
// running task ends.
func (t *task) mayReroute(attempt int, choice placer.Choice) bool {
	needed := t.job.settings.RerouteChoices
	return needed > 0 && choice.Considered >= needed && attempt-t.job.firstAttempt < maxReroutes
}
