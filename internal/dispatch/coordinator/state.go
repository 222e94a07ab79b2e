package coordinator

import (
	"math/rand/v2"
	"time"

	"github.com/looplab/fsm"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/limiter"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/placer"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// State is an entry's decision state. Its exported fields must be set before the
// first call of Handle. State is not safe for concurrent use.
type State struct {
	Config Config
	Random *rand.Rand

	now           time.Time
	handledAt     time.Time
	effects       []Effect
	lifeCycle     *fsm.FSM
	drainDeadline time.Time
	// admitUntil is the time until which a draining entry admits volatile submissions.
	admitUntil time.Time

	tree        *resolver.Tree
	version     uint64
	confirmedAt time.Time

	renewal      uint64
	renewSentAt  time.Time
	renewedAt    time.Time
	renewPending bool
	// leaseUnverified is true from a suspension until the entry row has been read
	// again, including while the entry drains.
	leaseUnverified bool
	directory       []EntryRow
	// addresses is the part of the directory that is sent to agents. Its version is
	// incremented on each change.
	addresses        []messenger.EntryAddress
	addressesVersion uint64
	observedRows     map[string]rowObservation

	agents             map[string]*agent
	sortedAgents       []*agent
	agentByIncarnation map[messenger.Incarnation]*agent
	peers              map[messenger.Incarnation]*peer
	// dropped holds the agents and peers that were dropped for their silence.
	dropped map[messenger.Incarnation]droppedProcess
	// answeredBy holds the entries that have answered this entry. They need this
	// entry's status to confirm their settings, even after they are cut off.
	answeredBy map[messenger.Incarnation]bool
	// unlistedPeers holds linked peers that the last directory read does not list yet.
	unlistedPeers map[messenger.Incarnation]bool
	// storeAnsweredAt is when the store last answered any request.
	storeAnsweredAt    time.Time
	peerStatusSequence uint64
	peerStatusSentAt   [peerStatusHistory]time.Time
	statusAt           time.Time
	// sentWaiting is the list of waiting tasks last sent to the peers, at sentWaitingAt.
	sentWaiting   waitingList
	sentWaitingAt time.Time
	// sentLowAt is when a change of waiting tasks of low priority was last sent.
	sentLowAt time.Time

	jobs      map[messenger.SubmissionKey]*job
	arrivals  uint64
	deadlines deadlineHeap
	settling  []*job
	// settlingStale is true if settling still holds jobs that have been settled.
	settlingStale    bool
	settled          []*job
	hedgeable        []*job
	overdueCheckedAt time.Time
	strain           strain
	storeDown        bool
	// pending counts, for each queue, the jobs of which no task has been sent.
	pending map[string]int
	lookups map[messenger.SubmissionKey][]lookup
	// usedAttempts holds the attempt numbers of the volatile jobs that have ended lately.
	usedAttempts map[messenger.SubmissionKey]usedAttempts

	index   *placer.Index
	classes map[classKey]*class
	// order lists the classes with waiting tasks; dispatch rotates it.
	order []*class
	teams *limiter.Teams
	// lateBacklogs holds the backlogs of late jobs, ordered by firm and service.
	// lateServices are the services for which late answers have a value.
	lateBacklogs []*lateBacklog
	lateServices map[serviceKey]bool
	budgets      map[serviceKey]*limiter.Budget
	tickets      map[serviceKey]*issuedTickets

	remotes   map[messenger.SubmissionKey]*remote
	takeovers map[messenger.Incarnation]*takeover
	calls     map[uint64]*forwardCall
	lastCall  uint64
	// callKeys maps each unanswered call of a caller to its submission.
	callKeys map[CallID]messenger.SubmissionKey

	counters Counters
}

// rowObservation records when a row's renewal was first read, by this entry's clock.
type rowObservation struct {
	incarnation messenger.Incarnation
	renewal     uint64
	at          time.Time
}

// Handle applies one event and returns its effects in the order in which the caller
// must execute them.
func (s *State) Handle(now time.Time, event Event) []Effect {
	s.prepare(now)
	s.now = now
	s.effects = nil
	s.checkStall()
	s.expireVolatile()
	s.apply(event)
	s.dispatch()
	s.broadcastWaiting()
	s.handledAt = now
	return s.effects
}

func (s *State) apply(event Event) {
	switch e := event.(type) {
	case Tick:
		s.tick()
	case Submitted:
		s.recordLag(e.ReceivedAt)
		s.callKeys[e.Call] = e.Submission.Key
		s.submit(waiter{call: e.Call, wait: true}, e.Submission)
	case Queried:
		s.callKeys[e.Call] = e.Key
		s.query(waiter{call: e.Call, wait: e.Wait}, e.Key)
	case CancelRequested:
		s.callKeys[e.Call] = e.Key
		s.cancelRequested(waiter{call: e.Call}, e)
	case TicketsRequested:
		s.issueTickets(e)
	case CallerGone:
		s.callerGone(e.Call)
	case IntentSettled:
		s.intentSettled(e)
	case OutcomeSettled:
		s.outcomeSettled(e)
	case AgentLinked:
		s.agentLinked(e.Hello)
	case PeerLinked:
		s.peerLinked(e)
	case Received:
		s.received(e.From, e.Message)
	case LeaseRenewed:
		s.leaseRenewed(e)
	case EntryFenced:
		s.entryFenced(e)
	case SettingsRead:
		s.settingsRead(e)
	case DrainRequested:
		s.drainRequested()
	}
}

func (s *State) prepare(now time.Time) {
	if s.lifeCycle != nil {
		return
	}
	s.lifeCycle = newEntryLifeCycle()
	s.handledAt = now
	s.observedRows = make(map[string]rowObservation)
	s.agents = make(map[string]*agent)
	s.agentByIncarnation = make(map[messenger.Incarnation]*agent)
	s.peers = make(map[messenger.Incarnation]*peer)
	s.dropped = make(map[messenger.Incarnation]droppedProcess)
	s.answeredBy = make(map[messenger.Incarnation]bool)
	s.unlistedPeers = make(map[messenger.Incarnation]bool)
	s.jobs = make(map[messenger.SubmissionKey]*job)
	s.pending = make(map[string]int)
	s.lookups = make(map[messenger.SubmissionKey][]lookup)
	s.usedAttempts = make(map[messenger.SubmissionKey]usedAttempts)
	s.index = placer.New()
	s.index.Policy.Spread = s.Config.PlacementSpread
	s.classes = make(map[classKey]*class)
	s.teams = limiter.NewTeams()
	s.budgets = make(map[serviceKey]*limiter.Budget)
	s.tickets = make(map[serviceKey]*issuedTickets)
	s.remotes = make(map[messenger.SubmissionKey]*remote)
	s.takeovers = make(map[messenger.Incarnation]*takeover)
	s.calls = make(map[uint64]*forwardCall)
	s.callKeys = make(map[CallID]messenger.SubmissionKey)
}

func (s *State) received(from messenger.Incarnation, m messenger.Message) {
	s.markAlive(from)
	switch m := m.(type) {
	case messenger.Report:
		s.report(from, m)
	case messenger.Refused:
		s.refused(from, m)
	case messenger.Finished:
		s.finished(from, m)
	case messenger.Cancelled:
		s.cancelled(from, m)
	case messenger.Fenced:
		s.fenced(from, m)
	case messenger.Witnessed:
		s.witnessed(from, m)
	case messenger.PeerStatus:
		s.peerStatus(from, m)
	case messenger.Forward:
		s.forwardReceived(from, m)
	case messenger.Forwarded:
		s.forwarded(m)
	default:
		// Entries ignore other messages; a process of another version may send them.
	}
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

func (s *State) send(to messenger.Incarnation, m messenger.Message) {
	s.emit(Send{To: to, Message: m})
}

// waiter is the recipient of an answer: a caller of this entry, or a peer that
// forwarded a call.
type waiter struct {
	call     CallID
	peer     messenger.Incarnation
	peerCall uint64
	wait     bool
}

// reply answers a waiter. A peer receives the answer as a Forwarded message.
func (s *State) reply(w waiter, answer Answer) {
	if w.peer == "" {
		delete(s.callKeys, w.call)
		s.emit(Reply{Call: w.call, Answer: answer})
		return
	}
	m := messenger.Forwarded{Call: w.peerCall}
	switch a := answer.(type) {
	case OutcomeAnswer:
		m.Outcome = &a.Outcome
	case RefusalAnswer:
		m.Refusal = &a.Refusal
	case CancelAnswer:
		m.Cancelled = a.Cancelled
	case TicketsAnswer:
		// Tickets are never forwarded.
	}
	s.send(w.peer, m)
}

func (s *State) replyRefusal(w waiter, key messenger.SubmissionKey, code messenger.RefusalCode, reason string) {
	s.counters.Refused++
	s.emit(Decision{Kind: DecisionRefuse, Submission: key, Reason: string(code) + ": " + reason})
	s.reply(w, RefusalAnswer{Refusal: messenger.Refusal{Code: code, Reason: reason}})
}
