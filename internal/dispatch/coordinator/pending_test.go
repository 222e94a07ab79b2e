package coordinator

import (
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/scripter"
)

// Guards against a count of a queue's pending jobs that includes started or ended jobs.
func TestPendingJobsOfAQueue(t *testing.T) {
	d := newScriptRunner(t)
	d.ready(scripter.Step{Named: map[string]string{"agents": "a1:sousse:1"}})
	submit := func(call CallID, id string) {
		s := messenger.Submission{Key: keyNamed(id), Queue: "q", Volatile: true, Tasks: []messenger.TaskSpec{{}}}
		d.handle(Submitted{Call: call, Submission: s})
	}
	pending := func(want int) {
		t.Helper()
		if got := d.state.View().PendingByQueue["q"]; got != want {
			t.Errorf("%d jobs are pending, want %d", got, want)
		}
	}
	submit(1, "j")
	pending(0)
	submit(2, "k")
	submit(3, "l")
	pending(2)
	d.handle(CallerGone{Call: 3})
	pending(1)
	d.receive("a1", messenger.Finished{Task: taskNamed("j/0"), Outcome: messenger.TaskOutcome{State: messenger.TaskSucceeded}})
	pending(0)
}
