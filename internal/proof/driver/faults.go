package driver

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Submit sends a submission to an entry and returns its call.
func (w *World) Submit(entry string, submission messenger.Submission) coordinator.CallID {
	return w.Call(entry, func(call coordinator.CallID) coordinator.Event {
		return coordinator.Submitted{Call: call, Submission: submission}
	})
}

// Call sends a caller's event to an entry.
func (w *World) Call(entry string, make func(coordinator.CallID) coordinator.Event) coordinator.CallID {
	w.lastCall++
	event := make(w.lastCall)
	w.Calls = append(w.Calls, CallerCall{Call: w.lastCall, Entry: entry, Event: event, At: w.Elapsed()})
	node := w.entries[entry]
	w.after(linkDelay, func() { node.handle(event) })
	return w.lastCall
}

// Answer returns the answer to a call, if there is one yet.
func (w *World) Answer(call coordinator.CallID) (coordinator.Answer, bool) {
	for _, a := range w.Answers {
		if a.Call == call {
			return a.Answer, true
		}
	}
	return nil, false
}

// CrashEntry ends an entry without a word.
func (w *World) CrashEntry(name string) {
	w.entries[name].dead = true
}

// RestartEntry starts a new incarnation of an entry.
func (w *World) RestartEntry(name string) {
	w.CrashEntry(name)
	w.startEntry(name)
}

// PauseEntry freezes an entry; what arrives meanwhile is handled afterwards.
func (w *World) PauseEntry(name string, length time.Duration) {
	node := w.entries[name]
	node.pausedUntil = w.now.Add(length)
}

// DrainEntry starts the graceful stop of an entry.
func (w *World) DrainEntry(name string) {
	w.entries[name].handle(coordinator.DrainRequested{})
}

// EntryExited tells whether an entry has ended, by a drain or as replaced.
func (w *World) EntryExited(name string) bool {
	return w.entries[name].exited
}

// EntryView returns an entry's snapshot.
func (w *World) EntryView(name string) *coordinator.Snapshot {
	return w.entries[name].state.View()
}

// CrashAgent ends an agent; its endpoint goes on with what it runs.
func (w *World) CrashAgent(name string) {
	w.agents[name].dead = true
}

// RestartAgent starts a new incarnation of an agent.
func (w *World) RestartAgent(name string) {
	old := w.agents[name]
	old.dead = true
	w.startAgent(name, old.domain)
}

// DrainAgent starts the graceful stop of an agent.
func (w *World) DrainAgent(name string) {
	w.agents[name].handle(gatekeeper.DrainRequested{})
}

// BreakEndpoint makes an endpoint fail everything that it starts, or mends it.
func (w *World) BreakEndpoint(agent string, broken bool) {
	w.agents[agent].broken = broken
}

// Cut drops all messages between two processes until Mend.
func (w *World) Cut(a, b string) {
	w.cuts[pair(a, b)] = true
}

// Mend ends a cut; the processes link again.
func (w *World) Mend(a, b string) {
	delete(w.cuts, pair(a, b))
	w.linkAll()
}

// StoreDown makes the table unavailable, or available again.
func (w *World) StoreDown(down bool) {
	w.table.down = down
}

// StoreDownFor makes the table unavailable to one entry only.
func (w *World) StoreDownFor(entry string, down bool) {
	w.table.downFor[entry] = down
}

// Change commits settings through an entry. The change counts as accepted once
// the entry has it in force.
func (w *World) Change(entry string, change func(resolver.Tree) resolver.Tree) {
	node := w.entries[entry]
	w.after(writeLatency, func() {
		if !w.table.reachable(entry) || node.stopped() {
			return
		}
		tree := change(w.table.tree)
		w.table.tree = tree
		w.table.version++
		version := w.table.version
		w.after(linkDelay, func() {
			if node.stopped() {
				return
			}
			node.handle(coordinator.SettingsRead{SentAt: w.now, Version: version, Tree: &tree})
			w.Accepted = append(w.Accepted, AcceptedChange{Version: version, At: w.Elapsed()})
		})
	})
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
