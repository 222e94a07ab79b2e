package gatekeeper

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	// suspectWindow is the number of submissions whose latest end is kept. At least half of
	// them must have failed for an endpoint that fails only a part of its tasks to be
	// suspect.
	suspectWindow = 16
	// probeInterval is the time between two offers of a probe. An offer that is not used is
	// open for this time. The time before an offer doubles after each failed probe, up to
	// maxProbeInterval.
	probeInterval    = time.Second
	maxProbeInterval = time.Minute
	// probesToTrust is the number of consecutive probes, of distinct submissions, that must
	// succeed before the endpoint is trusted again.
	probesToTrust = 2
)

// health judges the endpoint by the ends of its runs. An end is counted once for each
// submission, because a job that fails on every endpoint may have many tasks. Its memory is
// bounded, and its cost per end of a run is constant. The zero value is switched off.
type health struct {
	// suspectAfter is the number of distinct submissions that must fail in a row; 0 means
	// that the endpoint is always trusted.
	suspectAfter int
	suspect      bool
	// streak holds the distinct submissions that have failed since the last success.
	streak []messenger.SubmissionKey
	// window holds the latest end of each of the last submissions. The oldest of them is at
	// next once the window is full.
	window []submissionEnd
	next   int
	probes probes
}

type submissionEnd struct {
	submission messenger.SubmissionKey
	failed     bool
}

// probes is the state of the probes of a suspect endpoint.
type probes struct {
	// interval is the time before the next offer.
	interval time.Duration
	// dueAt is when the next offer may be made.
	dueAt time.Time
	// holder is the entry with the open offer, or empty. The offer was made at offeredAt.
	holder    messenger.Incarnation
	offeredAt time.Time
	// lastHolder is the entry that had the last offer.
	lastHolder messenger.Incarnation
	// inProgress is true from the acceptance of a probe until its end.
	inProgress bool
	// succeeded is the number of consecutive succeeded probes of distinct submissions.
	succeeded     int
	lastSucceeded messenger.SubmissionKey
}

type probeResult int

const (
	// probeUndecided: the run was refused, cancelled or interrupted, which shows nothing
	// about the endpoint.
	probeUndecided probeResult = iota
	probeSucceeded
	probeFailed
)

// configure sets the number of failures and reports whether this ends the suspect state.
func (h *health) configure(suspectAfter int) bool {
	// The window bounds the memory of the streak.
	h.suspectAfter = min(max(suspectAfter, 0), suspectWindow)
	return h.suspectAfter == 0 && h.reset()
}

// reset forgets all ends and reports whether the endpoint was suspect. The turns of the
// entries go on where they were.
func (h *health) reset() bool {
	was := h.suspect
	*h = health{suspectAfter: h.suspectAfter, probes: probes{lastHolder: h.probes.lastHolder}}
	return was
}

// runEnded counts the end of a run that is no probe. It reports whether the endpoint
// becomes suspect by it.
func (h *health) runEnded(now time.Time, submission messenger.SubmissionKey, failed bool) bool {
	if h.suspectAfter == 0 || h.suspect {
		return false
	}
	h.remember(submissionEnd{submission: submission, failed: failed})
	if !failed {
		h.streak = h.streak[:0]
		return false
	}
	if !slices.Contains(h.streak, submission) {
		h.streak = append(h.streak, submission)
	}
	if len(h.streak) < h.suspectAfter && 2*len(h.failures()) < suspectWindow {
		return false
	}
	h.suspect = true
	h.probes = probes{interval: probeInterval, dueAt: now.Add(probeInterval), lastHolder: h.probes.lastHolder}
	return true
}

// remember adds an end to the window, or replaces an earlier end of the same submission.
func (h *health) remember(end submissionEnd) {
	for i := range h.window {
		if h.window[i].submission == end.submission {
			h.window[i].failed = end.failed
			return
		}
	}
	if len(h.window) < suspectWindow {
		h.window = append(h.window, end)
		return
	}
	h.window[h.next] = end
	h.next = (h.next + 1) % suspectWindow
}

// failures returns the submissions of the window whose latest end is a failure.
func (h *health) failures() []messenger.SubmissionKey {
	var failed []messenger.SubmissionKey
	for _, end := range h.window {
		if end.failed {
			failed = append(failed, end.submission)
		}
	}
	return failed
}

// offer withdraws an offer that has expired or whose holder is not one of the entries, and
// makes the next one if it is due. The entries must be sorted. The results are empty if no
// offer was withdrawn or made.
func (h *health) offer(now time.Time, entries []messenger.Incarnation) (withdrawn, offered messenger.Incarnation) {
	p := &h.probes
	if !h.suspect {
		return "", ""
	}
	if p.holder != "" {
		if now.Sub(p.offeredAt) < probeInterval && slices.Contains(entries, p.holder) {
			return "", ""
		}
		withdrawn, p.holder, p.dueAt = p.holder, "", now
	}
	if p.inProgress || now.Before(p.dueAt) || len(entries) == 0 {
		return withdrawn, ""
	}
	p.holder, p.offeredAt = entryAfter(entries, p.lastHolder), now
	p.lastHolder = p.holder
	return withdrawn, p.holder
}

// entryAfter returns the entry that follows the given one in the sorted list, which starts
// again at its end.
func entryAfter(entries []messenger.Incarnation, last messenger.Incarnation) messenger.Incarnation {
	at, found := slices.BinarySearch(entries, last)
	if found {
		at++
	}
	return entries[at%len(entries)]
}

// acceptsProbe reports whether a start of the entry is the probe that it was offered.
func (h *health) acceptsProbe(now time.Time, entry messenger.Incarnation) bool {
	p := &h.probes
	return h.suspect && p.holder == entry && p.holder != "" && now.Sub(p.offeredAt) < probeInterval
}

// probeStarted uses up the open offer.
func (h *health) probeStarted() {
	h.probes.holder = ""
	h.probes.inProgress = true
}

// probeEnded counts the result of a probe. It reports whether the endpoint is trusted again.
func (h *health) probeEnded(now time.Time, submission messenger.SubmissionKey, result probeResult) bool {
	p := &h.probes
	p.inProgress = false
	switch result {
	case probeUndecided:
		p.dueAt = now.Add(p.interval)
	case probeFailed:
		p.succeeded = 0
		p.interval = min(2*p.interval, maxProbeInterval)
		p.dueAt = now.Add(p.interval)
	case probeSucceeded:
		p.interval = probeInterval
		p.dueAt = p.offeredAt.Add(probeInterval)
		if p.succeeded == 0 || p.lastSucceeded != submission {
			p.succeeded++
			p.lastSucceeded = submission
		}
		if p.succeeded >= probesToTrust {
			return h.reset()
		}
	}
	return false
}
