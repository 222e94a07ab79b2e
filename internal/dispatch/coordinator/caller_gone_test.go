package coordinator

import (
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

func (g *harness) replies() map[CallID]int {
	replies := make(map[CallID]int)
	for _, effect := range g.effects {
		if reply, ok := effect.(Reply); ok {
			replies[reply.Call]++
		}
	}
	return replies
}

// Guards against an answer to a caller that hung up, wherever its call waits,
// against other callers that lose theirs, and against calls that are remembered
// for ever.
func TestCallerGoneDropsOneCall(t *testing.T) {
	g := newHarness(t, 4)
	start := g.submit(1, "job")
	key := start.Message.(messenger.Start).Task.Submission
	g.handle(Queried{Call: 2, Key: key, Wait: true})
	remote := messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: "remote"}
	g.handle(PeerLinked{Name: "e2", Incarnation: "e2~1"})
	for call := CallID(3); call <= 5; call++ {
		g.handle(Queried{Call: call, Key: remote, Wait: true})
	}
	g.handle(CallerGone{Call: 1})
	g.handle(CallerGone{Call: 3})
	g.handle(IntentSettled{Key: remote, Row: &IntentRow{Key: remote, Owner: "e2~1"}})
	g.handle(CallerGone{Call: 4})
	g.handle(Received{From: "e2~1", Message: messenger.Forwarded{Call: 1, Outcome: &messenger.Outcome{Key: remote}}})
	g.finish(start)
	g.settle("job")
	g.handle(CallerGone{Call: 2})
	replies := g.replies()
	for call, want := range map[CallID]int{1: 0, 2: 1, 3: 0, 4: 0, 5: 1} {
		if replies[call] != want {
			t.Errorf("%d replies to call %d; want %d", replies[call], call, want)
		}
	}
	if len(g.state.callKeys) > 0 {
		t.Errorf("calls remembered at the end: %v", g.state.callKeys)
	}
}
