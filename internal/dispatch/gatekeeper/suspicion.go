package gatekeeper

import (
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// HealthChange is the kind of a HealthDecision.
type HealthChange string

// The kinds of a HealthDecision.
const (
	// HealthSuspect: too many submissions have failed at the endpoint.
	HealthSuspect HealthChange = "suspect"
	// HealthProbeOffered: an entry may place one task at the suspect endpoint.
	HealthProbeOffered HealthChange = "probe_offered"
	// HealthProbeSucceeded, HealthProbeFailed and HealthProbeUndecided are the results of a
	// probe.
	HealthProbeSucceeded HealthChange = "probe_succeeded"
	HealthProbeFailed    HealthChange = "probe_failed"
	HealthProbeUndecided HealthChange = "probe_undecided"
	// HealthTrusted: the endpoint is no longer suspect.
	HealthTrusted HealthChange = "trusted"
)

// HealthDecision is logged for each change of the judgement of the endpoint, and for each
// probe.
type HealthDecision struct {
	Change HealthChange `json:"change"`
	Reason string       `json:"reason"`
	// Failed are the submissions whose failures have made the endpoint suspect.
	Failed []messenger.SubmissionKey `json:"failed,omitempty"`
	// Entry is the entry that may place the probe, or that has placed it.
	Entry messenger.Incarnation `json:"entry,omitempty"`
	// Task is the probe.
	Task messenger.TaskKey `json:"task,omitzero"`
}

func (HealthDecision) effect() {}

// judge takes the end of a run into account. Only a failure that the endpoint reports is
// one: a run that its owner cancelled, or that ended with a lease or with a restart of the
// endpoint, shows nothing about the endpoint's work.
func (s *State) judge(r *record) {
	result := probeUndecided
	switch {
	case r.outcome.State == messenger.TaskSucceeded:
		result = probeSucceeded
	case r.outcome.State == messenger.TaskFailed && !r.aborted:
		result = probeFailed
	}
	if r == s.probe {
		s.probeEnded(result)
		return
	}
	if result == probeUndecided || !s.health.runEnded(s.now, r.task.Submission, result == probeFailed) {
		return
	}
	s.emit(HealthDecision{Change: HealthSuspect, Reason: r.outcome.Reason, Failed: s.health.failures()})
	s.refuseQueue(messenger.RefusedSuspect)
	s.reportAll()
}

func (s *State) probeEnded(result probeResult) {
	r := s.probe
	s.probe = nil
	change := map[probeResult]HealthChange{
		probeUndecided: HealthProbeUndecided, probeSucceeded: HealthProbeSucceeded, probeFailed: HealthProbeFailed,
	}[result]
	s.emit(HealthDecision{Change: change, Reason: r.outcome.Reason, Entry: r.owner, Task: r.task})
	if s.health.probeEnded(s.now, r.task.Submission, result) {
		s.trusted("probes have succeeded")
	}
}

// trusted reports the end of the suspect state to the entries at once.
func (s *State) trusted(reason string) {
	s.probe = nil
	s.emit(HealthDecision{Change: HealthTrusted, Reason: reason})
	s.reportAll()
}

// suspects reports whether a start has to be refused because the endpoint is suspect. A
// probe is not, nor a start by an entry that has too few other endpoints.
func (s *State) suspects(m messenger.Start) bool {
	return s.health.suspect && !m.DespiteSuspicion && !s.health.acceptsProbe(s.now, m.Owner)
}

// noteProbe makes an accepted task the probe if its owner has the open offer.
func (s *State) noteProbe(r *record) {
	if s.health.acceptsProbe(s.now, r.owner) {
		s.probe = r
		s.health.probeStarted()
	}
}

// offerProbe offers probes of a suspect endpoint to the entries in turn.
func (s *State) offerProbe() {
	if !s.health.suspect {
		return
	}
	if s.probe != nil && s.probe.state == messenger.RecordTombstoned {
		s.probeEnded(probeUndecided)
	}
	withdrawn, offered := s.health.offer(s.now, s.probingEntries())
	if withdrawn != "" && withdrawn != offered && s.entries[withdrawn] != nil {
		s.report(withdrawn)
	}
	if offered != "" {
		s.emit(HealthDecision{Change: HealthProbeOffered, Entry: offered})
		s.report(offered)
	}
}

// probingEntries returns the entries that may place a probe, in a fixed order. While no task
// may start, there are none.
func (s *State) probingEntries() []messenger.Incarnation {
	if _, blocked := s.blocked(); blocked {
		return nil
	}
	var entries []messenger.Incarnation
	for _, entry := range s.sortedEntries() {
		if !s.isLeaving(entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// configureHealth applies the settings to the judgement.
func (s *State) configureHealth() {
	if s.health.configure(s.settings.SuspectAfter) {
		s.trusted("suspect_after is 0")
	}
}

// endpointRestarted reports whether an announcement is the first one of another boot of the
// endpoint.
func (s *State) endpointRestarted(e EndpointAnnounced) bool {
	return e.Boot != 0 && s.endpoint.Boot != 0 && e.Boot != s.endpoint.Boot
}
