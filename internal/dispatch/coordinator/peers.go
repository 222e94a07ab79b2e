package coordinator

import (
	"slices"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// peerStatusHistory is the number of sent statuses whose send times are kept. An echoed
// sequence number is mapped back to its send time.
const peerStatusHistory = 64

// peer is an entry's view of another entry.
type peer struct {
	name          string
	incarnation   messenger.Incarnation
	lastMessageAt time.Time
	sequence      uint64
	version       uint64
	// confirmedAt is the send time of the status that the peer's last status echoes.
	confirmedAt time.Time
	// storeAge is the time since the store last answered the peer, as of the peer's
	// last status.
	storeAge time.Duration
	// waiting lists the tasks that wait at the peer, as of its last status.
	waiting waitingList
}

func (s *State) peerLinked(e PeerLinked) {
	p := s.peers[e.Incarnation]
	if p == nil {
		p = &peer{name: e.Name, incarnation: e.Incarnation}
		s.peers[e.Incarnation] = p
	}
	p.lastMessageAt = s.now
	s.sendPeerStatus(p)
	for _, r := range s.sortedRemotes() {
		if r.row.Owner == e.Incarnation && !r.takenOver {
			s.forward(r)
		}
	}
}

// reachable reports whether a message from an entry incarnation was received within
// SilentAfter.
func (s *State) reachable(owner messenger.Incarnation) bool {
	p := s.peers[owner]
	return p != nil && s.now.Sub(p.lastMessageAt) < s.Config.SilentAfter
}

func (s *State) sortedPeers() []*peer {
	peers := make([]*peer, 0, len(s.peers))
	for _, p := range s.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *peer) int {
		if a.incarnation < b.incarnation {
			return -1
		}
		return 1
	})
	return peers
}

func (s *State) statusToPeers() {
	s.peerStatusSequence++
	s.peerStatusSentAt[s.peerStatusSequence%peerStatusHistory] = s.now
	for _, p := range s.sortedPeers() {
		if s.now.Sub(p.lastMessageAt) > s.Config.GoneAfter {
			delete(s.peers, p.incarnation)
			hello := messenger.Hello{Role: messenger.RoleEntry, Name: p.name, Incarnation: p.incarnation}
			s.remember(hello, "the entry was silent for too long")
			continue
		}
		s.sendPeerStatus(p)
	}
}

func (s *State) sendPeerStatus(p *peer) {
	if s.peerStatusSequence == 0 {
		s.peerStatusSequence = 1
		s.peerStatusSentAt[1] = s.now
	}
	s.send(p.incarnation, messenger.PeerStatus{
		Sequence: s.peerStatusSequence, EchoSequence: p.sequence, SettingsVersion: s.version,
		StoreAge: s.now.Sub(s.storeAnsweredAt),
		Waiting:  s.listWaiting(),
	})
}

func (s *State) peerStatus(from messenger.Incarnation, m messenger.PeerStatus) {
	p := s.peers[from]
	if p == nil {
		p = s.takeBackPeer(from)
	}
	if p == nil {
		return
	}
	first := p.sequence == 0
	p.sequence = m.Sequence
	p.version = m.SettingsVersion
	p.storeAge = m.StoreAge
	if !s.listed(from) {
		s.unlistedPeers[from] = true
	}
	p.waiting = m.Waiting
	if m.EchoSequence > 0 && m.EchoSequence <= s.peerStatusSequence && s.peerStatusSequence-m.EchoSequence < peerStatusHistory {
		p.confirmedAt = s.peerStatusSentAt[m.EchoSequence%peerStatusHistory]
		s.answeredBy[from] = true
	}
	if first {
		// Answering at once lets both entries record each other one round trip after
		// the link is up, instead of after the next periodic statuses. An entry that
		// dies before it is recorded keeps the others from accepting settings changes.
		s.sendPeerStatus(p)
	}
}

// forwardCall is a call to a peer that has not been answered.
type forwardCall struct {
	key    messenger.SubmissionKey
	cancel *cancelCall
}

func (s *State) newCall(c forwardCall) uint64 {
	s.lastCall++
	s.calls[s.lastCall] = &c
	return s.lastCall
}

// forward passes a remote submission to its owner.
func (s *State) forward(r *remote) {
	delete(s.calls, r.call)
	r.call = s.newCall(forwardCall{key: r.row.Key})
	m := messenger.Forward{Call: r.call, Submission: messenger.Submission{Key: r.row.Key}}
	if r.submission != nil {
		m.Submission = *r.submission
	}
	s.counters.Forwards++
	s.emit(Decision{Kind: DecisionForward, Submission: r.row.Key, Endpoint: string(r.row.Owner), Reason: "the owner is reachable"})
	s.send(r.row.Owner, m)
}

// forwardReceived handles a call that a peer has forwarded like a call of a caller.
func (s *State) forwardReceived(from messenger.Incarnation, m messenger.Forward) {
	w := waiter{peer: from, peerCall: m.Call, wait: true}
	switch {
	case m.Cancel:
		s.cancelRequested(w, CancelRequested{Key: m.Submission.Key, Prefix: m.Prefix, Volatile: m.Submission.Volatile})
	case len(m.Submission.Tasks) > 0:
		s.submit(w, m.Submission)
	default:
		s.query(w, m.Submission.Key)
	}
}

// forwarded passes the owner's answer on to the waiters.
func (s *State) forwarded(m messenger.Forwarded) {
	call := s.calls[m.Call]
	if call == nil {
		return
	}
	delete(s.calls, m.Call)
	if call.cancel != nil {
		s.cancelAnswered(call.cancel, m.Cancelled)
		return
	}
	r := s.remotes[call.key]
	if r == nil || r.takenOver || r.call != m.Call {
		return
	}
	delete(s.remotes, call.key)
	for _, w := range r.waiters {
		switch {
		case m.Outcome != nil:
			s.replyOutcome(w, *m.Outcome, r.digest())
		case m.Refusal != nil:
			s.reply(w, RefusalAnswer{Refusal: *m.Refusal})
		}
	}
}
