package journaler

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

type sink struct {
	mu       sync.Mutex
	intents  []coordinator.IntentSettled
	outcomes []coordinator.OutcomeSettled
	times    map[messenger.SubmissionKey]time.Time
}

func (s *sink) emit(event coordinator.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e := event.(type) {
	case coordinator.IntentSettled:
		s.intents = append(s.intents, e)
		if s.times == nil {
			s.times = map[messenger.SubmissionKey]time.Time{}
		}
		s.times[e.Key] = time.Now()
	case coordinator.OutcomeSettled:
		s.outcomes = append(s.outcomes, e)
	}
}

func (s *sink) settled() []coordinator.IntentSettled {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.intents
}

// at returns when the intent of a submission was settled.
func (s *sink) at(key messenger.SubmissionKey) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times[key]
}

func (s *sink) recorded() []coordinator.OutcomeSettled {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes
}

func start(t *testing.T, keeper *tableserver.Table, writer messenger.Incarnation) (*Journal, *sink) {
	t.Helper()
	return startOn(t, keeper, writer)
}

func startOn(t *testing.T, table storer.Table, writer messenger.Incarnation) (*Journal, *sink) {
	t.Helper()
	journal := &Journal{Table: table, Writer: writer, WritesPerSecond: 300, Seed: 7}
	return journal, run(t, journal)
}

// run runs a journal until the end of the test.
func run(t *testing.T, journal *Journal) *sink {
	t.Helper()
	events := &sink{}
	journal.Emit = events.emit
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return journal.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return events
}

func newKeeper() *tableserver.Table {
	return &tableserver.Table{WriteLatency: 4 * time.Millisecond, ReadLatency: time.Millisecond, Seed: 7}
}

func keyOf(i int) messenger.SubmissionKey {
	return messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: fmt.Sprint(i)}
}

func intent(i int, owner messenger.Incarnation) coordinator.CommitIntent {
	return coordinator.CommitIntent{Row: coordinator.IntentRow{Key: keyOf(i), Owner: owner}}
}

func outcome(i int, reason string) coordinator.CommitOutcome {
	return coordinator.CommitOutcome{Outcome: messenger.Outcome{Key: keyOf(i), Status: messenger.OutcomeFailed, Reason: reason}}
}

// Guards against one transaction per row, which exceeds the write budget.
func TestRowsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		journal, events := start(t, keeper, "e1~1")
		for i := range 100 {
			journal.CommitIntent(intent(i, "e1~1"))
		}
		time.Sleep(time.Second)
		// Two may start while the rows arrive; all others wait for the third.
		if len(events.settled()) != 100 || keeper.Transactions() > writers+1 {
			t.Errorf("%d settled in %d transactions", len(events.settled()), keeper.Transactions())
		}
	})
}

// Guards against an own intent that is taken for another's after a lost reply.
func TestLostReplyKeepsOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		journal, events := start(t, keeper, "e1~1")
		keeper.SetFaults(tableserver.Faults{LoseReplies: 1})
		journal.CommitIntent(intent(1, "e1~1"))
		time.Sleep(100 * time.Millisecond)
		keeper.SetFaults(tableserver.Faults{})
		time.Sleep(3 * time.Second)
		if len(events.settled()) != 1 || events.settled()[0].Failed || events.settled()[0].Row.Owner != "e1~1" {
			t.Errorf("got %+v", events.settled())
		}
	})
}

// Guards against two owners of one submission, and against a loser that is not
// told the outcome.
func TestRacingJournalsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		first, firstEvents := start(t, keeper, "e1~1")
		second, secondEvents := start(t, keeper, "e2~1")
		first.CommitOutcome(outcome(1, "settled"))
		first.CommitIntent(intent(1, "e1~1"))
		second.CommitIntent(intent(1, "e2~1"))
		time.Sleep(time.Second)
		a, b := firstEvents.settled(), secondEvents.settled()
		if len(a) != 1 || len(b) != 1 || a[0].Row.Owner != b[0].Row.Owner {
			t.Fatalf("got %+v and %+v", a, b)
		}
		loser := a[0]
		if loser.Row.Owner == "e1~1" {
			loser = b[0]
		}
		if loser.Outcome == nil || loser.Outcome.Reason != "settled" {
			t.Errorf("loser was told %+v", loser)
		}
	})
}

// Guards against outcomes that are lost in an outage, and intents that wait for
// longer than their patience.
func TestOutageLosesNoOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		journal, events := start(t, keeper, "e1~1")
		keeper.SetFaults(tableserver.Faults{Down: true})
		for i := range 50 {
			journal.CommitIntent(intent(i, "e1~1"))
			journal.CommitOutcome(outcome(i, "first"))
		}
		time.Sleep(time.Minute)
		if len(events.settled()) != 50 || !events.settled()[0].Failed {
			t.Errorf("%d intents settled", len(events.settled()))
		}
		failed := len(events.recorded())
		keeper.SetFaults(tableserver.Faults{})
		time.Sleep(5 * time.Second)
		settled := map[messenger.SubmissionKey]bool{}
		for _, e := range events.recorded()[failed:] {
			settled[e.Key] = !e.Failed
		}
		if failed == 0 || len(settled) != 50 {
			t.Errorf("%d failed tries, %d settled", failed, len(settled))
		}
	})
}

// Guards against a row that the table refuses and that is tried for ever, and
// against rows that are lost because they share its transaction.
func TestRefusedRowIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal, events := start(t, newKeeper(), "e1~1")
		tooLarge := outcome(0, "large")
		tooLarge.Outcome.Tasks = []messenger.TaskOutcome{{Result: make([]byte, storer.MaxValueBytes)}}
		journal.CommitOutcome(tooLarge)
		for i := 1; i < 5; i++ {
			journal.CommitOutcome(outcome(i, "small"))
		}
		time.Sleep(time.Minute)
		refused := 0
		for _, e := range events.recorded() {
			switch {
			case e.Refused != "" && e.Key == keyOf(0):
				refused++
			case e.Outcome == nil:
				t.Errorf("got %+v", e)
			}
		}
		if refused != 1 || len(events.recorded()) != 5 {
			t.Errorf("refused %d times, %d events", refused, len(events.recorded()))
		}
	})
}

// Guards against an outcome that is tried for ever because the row in force cannot
// be read, as after a change of its format.
func TestUnreadableRowsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		for _, key := range []string{OutcomeKey(keyOf(1)), IntentKey(keyOf(1))} {
			if _, err := keeper.Write(t.Context(), []storer.Put{{Key: key, Value: []byte("?"), Token: "x"}}, false); err != nil {
				t.Fatal(err)
			}
		}
		journal, events := start(t, keeper, "e1~1")
		journal.CommitOutcome(outcome(1, "first"))
		journal.CommitIntent(intent(1, "e1~1"))
		journal.ReadIntent(coordinator.ReadIntent{Key: keyOf(1)})
		time.Sleep(time.Minute)
		if n := events.recorded(); len(n) != 1 || n[0].Refused == "" {
			t.Errorf("got outcomes %+v", n)
		}
		if n := events.settled(); len(n) != 2 || n[0].Refused == "" || n[1].Refused == "" {
			t.Errorf("got intents %+v", n)
		}
	})
}

// Guards against submissions that are refused because one bad row shares their
// transaction, and against transactions over the table's limit of 16 MiB.
func TestBadRowsDelayNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		journal, events := start(t, keeper, "e1~1")
		bad := intent(0, "e1~1")
		bad.Row.Key.ID = strings.Repeat("x", storer.MaxKeyBytes)
		journal.CommitIntent(bad)
		for i := 1; i < 400; i++ {
			journal.CommitIntent(intent(i, "e1~1"))
		}
		for i := range 8 {
			large := outcome(i, "large")
			large.Outcome.Tasks = []messenger.TaskOutcome{{Result: make([]byte, 3<<20)}}
			journal.CommitOutcome(large)
		}
		time.Sleep(time.Minute)
		failed := 0
		for _, e := range events.settled() {
			if e.Failed {
				failed++
			}
		}
		t.Logf("%d of %d failed, %d transactions", failed, len(events.settled()), keeper.Transactions())
		if failed != 1 || len(events.settled()) != 400 || len(events.recorded()) != 8 {
			t.Errorf("%d of %d intents failed, %d outcomes", failed, len(events.settled()), len(events.recorded()))
		}
	})
}

// Guards against a second outcome that replaces the first.
func TestFirstOutcomeStaysInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper()
		journal, events := start(t, keeper, "e1~1")
		journal.CommitOutcome(outcome(1, "first"))
		time.Sleep(time.Second)
		journal.CommitOutcome(outcome(1, "second"))
		journal.ReadIntent(coordinator.ReadIntent{Key: keyOf(1)})
		time.Sleep(time.Second)
		if len(events.recorded()) != 2 || events.recorded()[1].Outcome.Reason != "first" {
			t.Errorf("got %+v", events.recorded())
		}
		if len(events.settled()) != 1 || events.settled()[0].Row != nil || events.settled()[0].Outcome == nil {
			t.Errorf("read gave %+v", events.settled())
		}
	})
}
