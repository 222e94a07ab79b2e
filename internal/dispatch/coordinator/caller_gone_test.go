package coordinator

import (
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

func (h *harness) replies() map[CallID]int {
	replies := make(map[CallID]int)
	for _, effect := range h.effects {
		if reply, ok := effect.(Reply); ok {
			replies[reply.Call]++
		}
	}
	return replies
}

// Guards against an answer to a caller that has disconnected, against other callers of
// the same submission that get no answer, and against entries of callKeys that are never
// removed. The calls wait at a job, at a lookup and at a remote submission.
func TestCallerGoneDropsOneCall(t *testing.T) {
	h := newHarness(t, 4)
	start := h.submit(1, "job")
	key := start.Message.(messenger.Start).Task.Submission
	h.handle(Queried{Call: 2, Key: key, Wait: true})
	remote := messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: "remote"}
	h.handle(PeerLinked{Name: "e2", Incarnation: "e2~1"})
	for call := CallID(3); call <= 5; call++ {
		h.handle(Queried{Call: call, Key: remote, Wait: true})
	}
	h.handle(CallerGone{Call: 1})
	h.handle(CallerGone{Call: 3})
	h.handle(IntentSettled{Key: remote, Row: &IntentRow{Key: remote, Owner: "e2~1"}})
	h.handle(CallerGone{Call: 4})
	h.handle(Received{From: "e2~1", Message: messenger.Forwarded{Call: 1, Outcome: &messenger.Outcome{Key: remote}}})
	h.finish(start)
	h.settle("job")
	h.handle(CallerGone{Call: 2})
	replies := h.replies()
	for call, want := range map[CallID]int{1: 0, 2: 1, 3: 0, 4: 0, 5: 1} {
		if replies[call] != want {
			t.Errorf("%d replies to call %d; want %d", replies[call], call, want)
		}
	}
	if len(h.state.callKeys) > 0 {
		t.Errorf("callKeys still holds %v after all calls have ended", h.state.callKeys)
	}
}
