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

type eventRecorder struct {
	mu       sync.Mutex
	intents  []coordinator.IntentSettled
	outcomes []coordinator.OutcomeSettled
	times    map[messenger.SubmissionKey]time.Time
}

func (s *eventRecorder) emit(event coordinator.Event) {
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

func (s *eventRecorder) intentEvents() []coordinator.IntentSettled {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.intents
}

// intentSettledAt returns when the intent of a submission was settled.
func (s *eventRecorder) intentSettledAt(key messenger.SubmissionKey) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times[key]
}

func (s *eventRecorder) outcomeEvents() []coordinator.OutcomeSettled {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes
}

func start(t *testing.T, table *tableserver.Table, writer messenger.Incarnation) (*Journal, *eventRecorder) {
	t.Helper()
	return startOn(t, table, writer)
}

func startOn(t *testing.T, table storer.Table, writer messenger.Incarnation) (*Journal, *eventRecorder) {
	t.Helper()
	journal := &Journal{Table: table, Writer: writer, WritesPerSecond: 300, Seed: 7}
	return journal, run(t, journal)
}

// run runs a journal until the end of the test.
func run(t *testing.T, journal *Journal) *eventRecorder {
	t.Helper()
	events := &eventRecorder{}
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

func newTable() *tableserver.Table {
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

// Guards against one transaction per row, which would exceed the write limit of the table.
func TestRowsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		journal, events := start(t, table, "e1~1")
		for i := range 100 {
			journal.CommitIntent(intent(i, "e1~1"))
		}
		time.Sleep(time.Second)
		// Two transactions may start while rows still arrive; the other rows share the
		// third one.
		if len(events.intentEvents()) != 100 || table.Transactions() > writerCount+1 {
			t.Errorf("%d settled in %d transactions", len(events.intentEvents()), table.Transactions())
		}
	})
}

// Guards against a journal that takes its own intent row for another entry's because the
// reply to the write was lost.
func TestLostReplyKeepsOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		journal, events := start(t, table, "e1~1")
		table.SetFaults(tableserver.Faults{LoseReplies: 1})
		journal.CommitIntent(intent(1, "e1~1"))
		time.Sleep(100 * time.Millisecond)
		table.SetFaults(tableserver.Faults{})
		time.Sleep(3 * time.Second)
		if len(events.intentEvents()) != 1 || events.intentEvents()[0].Failed || events.intentEvents()[0].Row.Owner != "e1~1" {
			t.Errorf("got %+v", events.intentEvents())
		}
	})
}

// Guards against two owners of a submission that two entries admit at the same time, and
// against a losing entry that does not receive the outcome.
func TestRacingJournalsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		first, firstEvents := start(t, table, "e1~1")
		second, secondEvents := start(t, table, "e2~1")
		first.CommitOutcome(outcome(1, "settled"))
		first.CommitIntent(intent(1, "e1~1"))
		second.CommitIntent(intent(1, "e2~1"))
		time.Sleep(time.Second)
		a, b := firstEvents.intentEvents(), secondEvents.intentEvents()
		if len(a) != 1 || len(b) != 1 || a[0].Row.Owner != b[0].Row.Owner {
			t.Fatalf("got %+v and %+v", a, b)
		}
		loser := a[0]
		if loser.Row.Owner == "e1~1" {
			loser = b[0]
		}
		if loser.Outcome == nil || loser.Outcome.Reason != "settled" {
			t.Errorf("loser received %+v", loser)
		}
	})
}

// Guards against outcomes that are lost in an outage of the table, and intents that wait
// longer than RequestTimeout.
func TestOutageLosesNoOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		journal, events := start(t, table, "e1~1")
		table.SetFaults(tableserver.Faults{Down: true})
		for i := range 50 {
			journal.CommitIntent(intent(i, "e1~1"))
			journal.CommitOutcome(outcome(i, "first"))
		}
		time.Sleep(time.Minute)
		if len(events.intentEvents()) != 50 || !events.intentEvents()[0].Failed {
			t.Errorf("%d intents settled", len(events.intentEvents()))
		}
		failed := len(events.outcomeEvents())
		table.SetFaults(tableserver.Faults{})
		time.Sleep(5 * time.Second)
		settled := map[messenger.SubmissionKey]bool{}
		for _, e := range events.outcomeEvents()[failed:] {
			settled[e.Key] = !e.Failed
		}
		if failed == 0 || len(settled) != 50 {
			t.Errorf("%d failed attempts reported, %d settled", failed, len(settled))
		}
	})
}

// Guards against endless retries of a row that the table refuses, and against the loss of
// rows that share its transaction.
func TestRefusedRowIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal, events := start(t, newTable(), "e1~1")
		tooLarge := outcome(0, "large")
		tooLarge.Outcome.Tasks = []messenger.TaskOutcome{{Result: make([]byte, storer.MaxValueBytes)}}
		journal.CommitOutcome(tooLarge)
		for i := 1; i < 5; i++ {
			journal.CommitOutcome(outcome(i, "small"))
		}
		time.Sleep(time.Minute)
		refused := 0
		for _, e := range events.outcomeEvents() {
			switch {
			case e.Refused != "" && e.Key == keyOf(0):
				refused++
			case e.Outcome == nil:
				t.Errorf("got %+v", e)
			}
		}
		if refused != 1 || len(events.outcomeEvents()) != 5 {
			t.Errorf("refused %d times, %d events", refused, len(events.outcomeEvents()))
		}
	})
}

// Guards against endless retries of an outcome because the row in the table cannot be
// decoded, as after a change of its format.
func TestUnreadableRowsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		for _, key := range []string{OutcomeKey(keyOf(1)), IntentKey(keyOf(1))} {
			if _, err := table.Write(t.Context(), []storer.Put{{Key: key, Value: []byte("?"), Token: "x"}}, false); err != nil {
				t.Fatal(err)
			}
		}
		journal, events := start(t, table, "e1~1")
		journal.CommitOutcome(outcome(1, "first"))
		journal.CommitIntent(intent(1, "e1~1"))
		journal.ReadIntent(coordinator.ReadIntent{Key: keyOf(1)})
		time.Sleep(time.Minute)
		if n := events.outcomeEvents(); len(n) != 1 || n[0].Refused == "" {
			t.Errorf("got outcomes %+v", n)
		}
		if n := events.intentEvents(); len(n) != 2 || n[0].Refused == "" || n[1].Refused == "" {
			t.Errorf("got intents %+v", n)
		}
	})
}

// Guards against submissions that are refused because one bad row shares their
// transaction, and against transactions above the table's limit of 16 MiB.
func TestBadRowsDelayNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		journal, events := start(t, table, "e1~1")
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
		for _, e := range events.intentEvents() {
			if e.Failed {
				failed++
			}
		}
		t.Logf("%d of %d failed, %d transactions", failed, len(events.intentEvents()), table.Transactions())
		if failed != 1 || len(events.intentEvents()) != 400 || len(events.outcomeEvents()) != 8 {
			t.Errorf("%d of %d intents failed, %d outcomes", failed, len(events.intentEvents()), len(events.outcomeEvents()))
		}
	})
}

// Guards against a second outcome that replaces the first.
func TestFirstOutcomeStaysInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		journal, events := start(t, table, "e1~1")
		journal.CommitOutcome(outcome(1, "first"))
		time.Sleep(time.Second)
		journal.CommitOutcome(outcome(1, "second"))
		journal.ReadIntent(coordinator.ReadIntent{Key: keyOf(1)})
		time.Sleep(time.Second)
		if len(events.outcomeEvents()) != 2 || events.outcomeEvents()[1].Outcome.Reason != "first" {
			t.Errorf("got %+v", events.outcomeEvents())
		}
		if len(events.intentEvents()) != 1 || events.intentEvents()[0].Row != nil || events.intentEvents()[0].Outcome == nil {
			t.Errorf("read gave %+v", events.intentEvents())
		}
	})
}
