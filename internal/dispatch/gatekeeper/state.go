package gatekeeper

import (
	"time"

	"github.com/looplab/fsm"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Limits of what an agent keeps in memory. They hold the process well below its
// limit of 64 MB.
const (
	// maxResultBytes bounds the results kept for re-established links and takeovers.
	maxResultBytes = 16 << 20
	// maxRecordsPerPart bounds the records in one Fenced message.
	maxRecordsPerPart = 256
	// fenceRetention is how long a fence is kept after its incarnation was fenced.
	// Starts older than StartFreshness are refused anyway, so a day is ample.
	fenceRetention = 24 * time.Hour
	// announcementLifetime is how long an endpoint's announcement is valid. Endpoints
	// renew it every second.
	announcementLifetime = 3500 * time.Millisecond
	// minRecordRetention exceeds the longest deadline, 5 min, plus the greatest age of
	// an accepted start (StartFreshness).
	minRecordRetention = 6 * time.Minute
	// reportHistorySize is the number of reports whose send times are kept, to date the
	// echoes of entries. At two reports a second they cover minRecordRetention.
	reportHistorySize = 1024
	// defaultLoadReportInterval limits reports of a changed load to 100 per second,
	// about 10 KB/s.
	defaultLoadReportInterval = 10 * time.Millisecond
)

// State is an agent's decision state. Its exported fields must be set before the
// first call of Handle. It is not safe for concurrent use.
type State struct {
	Name        string
	Incarnation messenger.Incarnation
	// ReportInterval is the time between periodic reports; 0 means 500 ms.
	ReportInterval time.Duration
	// LoadReportInterval, times the number of entries, is the minimum time between
	// two reports of a changed load to the same entry; 0 means 10 ms. This limits the
	// agent to 100 such reports per second.
	LoadReportInterval time.Duration
	// OwnerExpiry is the time after the last contact with an owner by which all its
	// tasks must have ended, even if this agent stalls or crashes; 0 sets no bound.
	OwnerExpiry time.Duration
	// VerifyAfter is the age of the confirmation of the settings after which the agent
	// verifies itself that its failure domain is in; 0 means never.
	VerifyAfter time.Duration

	now       time.Time
	effects   []Effect
	lifeCycle *fsm.FSM

	settings    messenger.AgentSettings
	confirmedAt time.Time
	directory   []messenger.EntryAddress
	// domainOut is the result of the last verification of the failure domain, which was
	// requested at verifySentAt.
	domainOut    bool
	verifySentAt time.Time

	endpoint    EndpointAnnounced
	announcedAt time.Time

	sequence   uint64
	sentAt     [reportHistorySize]time.Time
	reportedAt time.Time
	entries    map[messenger.Incarnation]*linkedEntry

	records   map[messenger.TaskKey]*record
	expiring  []expiry
	forgotten forgotten
	queue     []*record
	running   int
	// taken is the total size of the running tasks, waiting that of the queued ones.
	taken   messenger.Resources
	waiting messenger.Resources
	// live holds the runs of volatile tasks that have not ended.
	live map[runKey]*record
	// newestEcho holds, for each entry, the send time of the newest report that the entry
	// has echoed.
	newestEcho map[messenger.Incarnation]time.Time
	// latestLeaseEnd is the latest end of any lease that LeaseBound has allowed the
	// endpoint.
	latestLeaseEnd time.Time
	pace           pace
	results        []*record
	resultBytes    int

	// health is the judgement of the endpoint. probe is the task that tests it while it is
	// suspect, or nil.
	health health
	probe  *record

	fenced    map[messenger.Incarnation]*fence
	witnessed map[messenger.SubmissionKey]witness
}

// record is the agent's state of a task. It is kept after the task has ended, so
// that a late copy of a start does not run the task again.
type record struct {
	task       messenger.TaskKey
	attempt    int
	state      messenger.RecordState
	owner      messenger.Incarnation
	repeatable bool
	priority   messenger.Priority
	payload    []byte
	deadline   time.Time
	outcome    messenger.TaskOutcome
	runTime    time.Duration
	expected   time.Duration
	keepUntil  time.Time
	// past holds the other attempts of the task that never start from now on.
	past []pastAttempt
	// receivedAt is when the start of the current attempt arrived. startedAt is that time of
	// the last attempt that was started; zero if none was.
	receivedAt time.Time
	startedAt  time.Time
	// proven is true if the current attempt was tombstoned and has certainly not started
	// before.
	proven bool
	// stoppedByFence is true if the current attempt was tombstoned because its owner was
	// fenced, and is proven.
	stoppedByFence bool

	volatile bool
	size     messenger.Resources
	position messenger.Position
	// run is the number of this run of a volatile task at this agent.
	run int
	// aborted is true once an Abort was emitted for the run of a volatile task.
	aborted bool
	// predecessor is the earlier run of the same task that must end before this one
	// starts, or nil.
	predecessor *record
}

// runKey identifies one run of a volatile task.
type runKey struct {
	task messenger.TaskKey
	run  int
}

// linkedEntry is the state of the link to an entry.
type linkedEntry struct {
	// reportedLoad is the number of running and queued tasks that the entry assumes
	// for this agent. reportedLoadAt is when the load was last sent to the entry.
	reportedLoad   int
	reportedLoadAt time.Time
	// leftAt is when the agent began to leave the entry; zero if it does not leave it.
	leftAt time.Time
	// released is true once the link may be closed.
	released bool
}

type expiry struct {
	task messenger.TaskKey
	at   time.Time
}

// fence marks an entry that was replaced and names the entries that take over its
// submissions.
type fence struct {
	at time.Time
	// collectors are the entries that receive the results of the tasks of a
	// submission that were still running when the fence arrived.
	collectors map[messenger.SubmissionKey][]messenger.Incarnation
}

type witness struct {
	owner   messenger.Incarnation
	outcome messenger.Outcome
	at      time.Time
}

// Handle applies an event and returns the effects in the order in which they must
// be carried out.
func (s *State) Handle(now time.Time, event Event) []Effect {
	s.prepare()
	s.now = now
	s.effects = nil
	switch e := event.(type) {
	case Tick:
		s.tick()
	case EntryLinked:
		s.entryLinked(e.Entry)
	case EntryUnlinked:
		delete(s.entries, e.Entry)
	case LeaveEntries:
		s.leaveEntries(e.Entries)
	case Received:
		s.received(e.From, e.Message)
	case EndpointAnnounced:
		s.announced(e)
	case EndpointDeparting:
		if s.step(eventDepart) {
			s.refuseQueue(messenger.RefusedDraining)
			s.reportAll()
		}
	case DomainVerified:
		s.domainVerified(e)
	case Invoked:
		s.invoked(e)
	case DrainRequested:
		s.step(eventDrain)
		s.refuseQueue(messenger.RefusedDraining)
		s.reportAll()
		s.checkDrained()
	}
	s.reportLoad()
	return s.effects
}

func (s *State) prepare() {
	if s.lifeCycle != nil {
		return
	}
	s.lifeCycle = newLifeCycle()
	s.entries = make(map[messenger.Incarnation]*linkedEntry)
	s.records = make(map[messenger.TaskKey]*record)
	s.fenced = make(map[messenger.Incarnation]*fence)
	s.witnessed = make(map[messenger.SubmissionKey]witness)
	s.live = make(map[runKey]*record)
	s.newestEcho = make(map[messenger.Incarnation]time.Time)
	if s.ReportInterval == 0 {
		s.ReportInterval = 500 * time.Millisecond
	}
	if s.LoadReportInterval == 0 {
		s.LoadReportInterval = defaultLoadReportInterval
	}
}

func (s *State) emit(effect Effect) {
	s.effects = append(s.effects, effect)
}

func (s *State) send(to messenger.Incarnation, m messenger.Message) {
	s.emit(Send{To: to, Message: m})
}

func (s *State) tick() {
	if s.now.Sub(s.reportedAt) >= s.ReportInterval {
		s.reportAll()
	}
	if reason, blocked := s.blocked(); blocked {
		s.refuseQueue(reason)
	}
	s.verifyDomain()
	s.checkOwners()
	s.startQueued()
	s.offerProbe()
	s.releaseEntries()
	s.expire()
}

// loadFor returns the load as reported to an entry. An entry that the agent leaves must
// not send new tasks.
func (s *State) loadFor(entry messenger.Incarnation) messenger.EndpointLoad {
	load := s.load()
	load.Draining = load.Draining || s.isLeaving(entry)
	load.Probe = s.health.acceptsProbe(s.now, entry)
	return load
}

// load returns the endpoint's load. An endpoint whose announcement has expired is
// reported with no slots.
func (s *State) load() messenger.EndpointLoad {
	load := messenger.EndpointLoad{
		Service:  s.endpoint.Service,
		Labels:   s.endpoint.Labels,
		Slots:    s.endpoint.Slots,
		Running:  s.running,
		Queued:   len(s.queue),
		Slowness: s.pace.slowness,
		Runs:     s.pace.runs,
		Draining: !s.lifeCycle.Is(stateServing) || s.isVerifiedOut(),
		Capacity: s.endpoint.Capacity,
		Taken:    s.taken.Add(s.waiting),
		Suspect:  s.health.suspect,
	}
	if s.endpointLapsed() {
		load.Slots = 0
		load.Draining = load.Draining || !load.Capacity.IsZero()
	}
	return load
}

// shortLoad returns the load that an answer to an entry carries, and notes that the
// entry receives it. It omits the fields that rarely change.
func (s *State) shortLoad(to messenger.Incarnation) messenger.EndpointLoad {
	load := s.loadFor(to)
	if l := s.entries[to]; l != nil {
		l.reportedLoad, l.reportedLoadAt = load.Running+load.Queued, s.now
	}
	load.Service = ""
	load.Labels = nil
	load.Capacity = messenger.Resources{}
	return load
}

func (s *State) endpointLapsed() bool {
	return s.now.Sub(s.announcedAt) > announcementLifetime
}
