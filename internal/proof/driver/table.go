package driver

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// fakeTable fakes the platform's table. Together with the methods of World in this file
// it also replaces the client code that retries failed requests.
type fakeTable struct {
	down         bool
	downForEntry map[string]bool
	intents      map[messenger.SubmissionKey]coordinator.IntentRow
	outcomes     map[messenger.SubmissionKey]messenger.Outcome
	entries      map[string]coordinator.EntryRow
	version      uint64
	tree         resolver.Tree
}

func newFakeTable(tree resolver.Tree) fakeTable {
	return fakeTable{
		downForEntry: make(map[string]bool),
		intents:      make(map[messenger.SubmissionKey]coordinator.IntentRow),
		outcomes:     make(map[messenger.SubmissionKey]messenger.Outcome),
		entries:      make(map[string]coordinator.EntryRow),
		version:      1,
		tree:         tree,
	}
}

func (t *fakeTable) reachable(entry string) bool {
	return !t.down && !t.downForEntry[entry]
}

// replyLost reports whether the reply to a write that took effect is lost, which is
// decided at random.
func (w *World) replyLost() bool {
	return w.random.Float64() < w.LostReplyShare
}

// reply delivers an answer of the table after a random delay of up to MaxStoreDelay. The
// answer contains the table's state at the time of the request, and answers may arrive
// in another order than the requests.
func (w *World) reply(do func()) {
	if w.MaxStoreDelay == 0 {
		do()
		return
	}
	w.scheduleAt(w.now.Add(time.Duration(w.random.Int64N(int64(w.MaxStoreDelay)))), do)
}

func (w *World) commitIntent(n *entryNode, row coordinator.IntentRow, deadline time.Time) {
	w.after(writeLatency, func() {
		if w.table.reachable(n.name) {
			if _, ok := w.table.intents[row.Key]; !ok {
				w.table.intents[row.Key] = row
			}
			if !w.replyLost() {
				settled := w.table.intentSettled(row.Key)
				w.reply(func() { n.handle(settled) })
				return
			}
		}
		w.retryOrFail(n, row.Key, deadline, func() { w.commitIntent(n, row, deadline) })
	})
}

func (w *World) readIntent(n *entryNode, key messenger.SubmissionKey, deadline time.Time) {
	w.after(readLatency, func() {
		if w.table.reachable(n.name) {
			settled := w.table.intentSettled(key)
			w.reply(func() { n.handle(settled) })
			return
		}
		w.retryOrFail(n, key, deadline, func() { w.readIntent(n, key, deadline) })
	})
}

func (w *World) retryOrFail(n *entryNode, key messenger.SubmissionKey, deadline time.Time, retry func()) {
	if n.stopped() {
		return
	}
	if !w.now.Before(deadline) {
		n.handle(coordinator.IntentSettled{Key: key, Failed: true})
		return
	}
	w.after(storeRetryInterval, retry)
}

func (t *fakeTable) intentSettled(key messenger.SubmissionKey) coordinator.IntentSettled {
	settled := coordinator.IntentSettled{Key: key}
	if row, ok := t.intents[key]; ok {
		settled.Row = &row
	}
	if outcome, ok := t.outcomes[key]; ok {
		settled.Outcome = &outcome
	}
	return settled
}

func (w *World) commitOutcome(n *entryNode, outcome messenger.Outcome) {
	w.after(writeLatency, func() {
		if n.stopped() {
			return
		}
		if w.table.reachable(n.name) {
			if _, ok := w.table.outcomes[outcome.Key]; !ok {
				w.table.outcomes[outcome.Key] = outcome
			}
			if !w.replyLost() {
				row := w.table.outcomes[outcome.Key]
				w.reply(func() { n.handle(coordinator.OutcomeSettled{Key: outcome.Key, Outcome: &row}) })
				return
			}
		}
		n.handle(coordinator.OutcomeSettled{Key: outcome.Key, Failed: true})
		w.after(storeRetryInterval, func() { w.commitOutcome(n, outcome) })
	})
}

func (w *World) renewLease(n *entryNode, renewal uint64) {
	w.after(writeLatency, func() {
		if !w.table.reachable(n.name) || w.replyLost() {
			w.after(storeRetryInterval, func() { n.handle(coordinator.LeaseRenewed{Renewal: renewal, Failed: true}) })
			return
		}
		if !w.renewRow(n, renewal) {
			n.handle(coordinator.LeaseRenewed{Renewal: renewal, Fenced: true})
			return
		}
		directory := w.directory()
		w.reply(func() { n.handle(coordinator.LeaseRenewed{Renewal: renewal, Directory: directory}) })
	})
}

// renewRow writes the entry's row. It returns false if the row was fenced or belongs to a
// newer incarnation.
func (w *World) renewRow(n *entryNode, renewal uint64) bool {
	row, ok := w.table.entries[n.name]
	if ok && row.Incarnation == n.incarnation && row.Fenced {
		return false
	}
	if ok && row.Incarnation != n.incarnation && w.entries[n.name] != n {
		return false
	}
	w.table.entries[n.name] = coordinator.EntryRow{
		Name: n.name, Incarnation: n.incarnation, Address: n.name, Renewal: renewal,
	}
	return true
}

func (w *World) directory() []coordinator.EntryRow {
	var rows []coordinator.EntryRow
	for _, name := range sortedNames(w.table.entries) {
		rows = append(rows, w.table.entries[name])
	}
	return rows
}

func (w *World) fenceEntry(n *entryNode, row coordinator.EntryRow) {
	w.after(writeLatency, func() {
		if !w.table.reachable(n.name) {
			n.handle(coordinator.EntryFenced{Owner: row.Incarnation, Failed: true})
			return
		}
		current := w.table.entries[row.Name]
		if current.Incarnation == row.Incarnation && current.Renewal != row.Renewal {
			n.handle(coordinator.EntryFenced{Owner: row.Incarnation, Alive: true})
			return
		}
		if current.Incarnation == row.Incarnation {
			current.Fenced = true
			w.table.entries[row.Name] = current
		}
		w.reply(func() { n.handle(coordinator.EntryFenced{Owner: row.Incarnation}) })
	})
}

// releaseLease marks the row of a gracefully stopped entry as released and fenced.
func (w *World) releaseLease(n *entryNode) {
	w.after(writeLatency, func() {
		row := w.table.entries[n.name]
		if w.table.reachable(n.name) && row.Incarnation == n.incarnation {
			row.Fenced, row.Released = true, true
			w.table.entries[n.name] = row
		}
	})
}
