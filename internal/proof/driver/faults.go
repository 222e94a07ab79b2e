package driver

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Submit sends a submission to an entry and returns the id of the call.
func (w *World) Submit(entry string, submission messenger.Submission) coordinator.CallID {
	return w.Call(entry, func(call coordinator.CallID) coordinator.Event {
		return coordinator.Submitted{Call: call, Submission: submission}
	})
}

// Call sends the event of a caller's request to an entry and returns the id of the call.
func (w *World) Call(entry string, make func(coordinator.CallID) coordinator.Event) coordinator.CallID {
	w.lastCall++
	event := make(w.lastCall)
	w.Calls = append(w.Calls, CallerCall{Call: w.lastCall, Entry: entry, Event: event, At: w.Elapsed()})
	node := w.entries[entry]
	w.after(linkDelay, func() { node.handle(event) })
	return w.lastCall
}

// Answer returns the answer to a call and whether the call has been answered.
func (w *World) Answer(call coordinator.CallID) (coordinator.Answer, bool) {
	for _, a := range w.Answers {
		if a.Call == call {
			return a.Answer, true
		}
	}
	return nil, false
}

// CrashEntry ends an entry without a graceful stop.
func (w *World) CrashEntry(name string) {
	w.entries[name].crashed = true
}

// JoinEntry starts an additional entry. Its name must not have been used in the run.
func (w *World) JoinEntry(name string) {
	w.startEntry(name)
}

// RestartEntry crashes an entry and starts a new incarnation of it.
func (w *World) RestartEntry(name string) {
	w.CrashEntry(name)
	w.startEntry(name)
}

// PauseEntry freezes an entry for the given time. Events that arrive during the pause
// are handled at its end.
func (w *World) PauseEntry(name string, length time.Duration) {
	node := w.entries[name]
	node.pausedUntil = w.now.Add(length)
}

// DrainEntry starts the graceful stop of an entry.
func (w *World) DrainEntry(name string) {
	w.entries[name].handle(coordinator.DrainRequested{})
}

// EntryExited reports whether an entry has exited, after a drain or because it was
// fenced or replaced.
func (w *World) EntryExited(name string) bool {
	return w.entries[name].exited
}

// EntryView returns a snapshot of an entry's state.
func (w *World) EntryView(name string) *coordinator.Snapshot {
	return w.entries[name].state.View()
}

// CrashAgent ends an agent. The endpoint continues to run its tasks.
func (w *World) CrashAgent(name string) {
	w.agents[name].crashed = true
}

// RestartAgent crashes an agent and starts a new incarnation of it.
func (w *World) RestartAgent(name string) {
	old := w.agents[name]
	old.crashed = true
	w.startAgent(name, old.domain)
}

// DrainAgent starts the graceful stop of an agent.
func (w *World) DrainAgent(name string) {
	w.agents[name].handle(gatekeeper.DrainRequested{})
}

// SetEndpointFailing sets whether an agent's endpoint fails all tasks that it starts.
func (w *World) SetEndpointFailing(agent string, failing bool) {
	w.agents[agent].endpointFailing = failing
}

// CutLink drops all messages between two processes until RestoreLink.
func (w *World) CutLink(a, b string) {
	w.cutLinks[linkKey(a, b)] = true
}

// RestoreLink ends the cut and the silence between two processes and links them again.
func (w *World) RestoreLink(a, b string) {
	delete(w.cutLinks, linkKey(a, b))
	delete(w.silencedLinks, [2]string{a, b})
	delete(w.silencedLinks, [2]string{b, a})
	w.linkAll()
}

// SetStoreDown makes the table unavailable, or available again.
func (w *World) SetStoreDown(down bool) {
	w.table.down = down
}

// SetStoreDownFor makes the table unavailable, or available again, to one entry.
func (w *World) SetStoreDownFor(entry string, down bool) {
	w.table.downForEntry[entry] = down
}

// SilenceLink drops all messages from one process to another until RestoreLink. Messages
// in the other direction are delivered.
func (w *World) SilenceLink(from, to string) {
	w.silencedLinks[[2]string{from, to}] = true
}

// Isolate cuts the links between the named processes and all others until
// RestoreAllLinks. The named processes stay linked with each other.
func (w *World) Isolate(names ...string) {
	for _, name := range names {
		for _, other := range w.processes() {
			if !slices.Contains(names, other) {
				w.cutLinks[linkKey(name, other)] = true
			}
		}
	}
}

// RestoreAllLinks ends all cuts and silences and links the processes again.
func (w *World) RestoreAllLinks() {
	clear(w.cutLinks)
	clear(w.silencedLinks)
	w.linkAll()
}

func (w *World) processes() []string {
	return append(sortedNames(w.entries), sortedNames(w.agents)...)
}

// CrashDomain crashes all agents of a failure domain.
func (w *World) CrashDomain(domain string) {
	for _, agent := range w.sortedAgents() {
		if agent.domain == domain {
			agent.crashed = true
		}
	}
}

// ChangeSettings commits a settings change through an entry. The change is recorded as
// accepted when the entry applies it.
func (w *World) ChangeSettings(entry string, change func(resolver.Tree) resolver.Tree) {
	w.ChangeSettingsFrom(entry, w.table.version, change)
}

// ChangeSettingsFrom commits a settings change through an entry if the table still has
// the expected version, and records a conflict otherwise.
func (w *World) ChangeSettingsFrom(entry string, expected uint64, change func(resolver.Tree) resolver.Tree) {
	node := w.entries[entry]
	attempt := len(w.Changes)
	w.Changes = append(w.Changes, Change{Entry: entry, Expected: expected, From: w.Elapsed()})
	w.after(writeLatency, func() {
		if !w.table.reachable(entry) || node.stopped() || node.state.View().AcceptRefusal != "" {
			return
		}
		conflict := w.table.version != expected
		if !conflict {
			w.table.tree = change(w.table.tree)
			w.table.version++
		}
		tree, version := w.table.tree, w.table.version
		w.after(linkDelay, func() { w.settleChange(node, attempt, conflict, version, &tree) })
	})
}

func (w *World) settleChange(node *entryNode, attempt int, conflict bool, version uint64, tree *resolver.Tree) {
	if node.stopped() || node.pausedUntil.After(w.now) {
		return
	}
	w.Changes[attempt].To = w.Elapsed()
	if conflict {
		w.Changes[attempt].Conflict = true
		return
	}
	node.handle(coordinator.SettingsRead{SentAt: w.now, Version: version, Tree: tree})
	w.Changes[attempt].Accepted = true
	w.Accepted = append(w.Accepted, AcceptedChange{Version: version, At: w.Elapsed()})
}

func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
