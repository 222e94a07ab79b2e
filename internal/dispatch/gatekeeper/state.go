package gatekeeper

import (
	"time"

	"github.com/looplab/fsm"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// Limits of what an agent keeps. They hold the process well under its 64 MB.
const (
	// maxResultBytes bounds the results kept for resumed links and takeovers.
	maxResultBytes = 16 << 20
	// maxRecordsPerPart bounds one Fenced message.
	maxRecordsPerPart = 256
	// fenceHorizon is how long a fenced incarnation is remembered. A start of a
	// fenced entry can be no older than StartFreshness, so a day is ample.
	fenceHorizon = 24 * time.Hour
	// announceLifetime is how long an endpoint's announcement holds; endpoints
	// renew it every second.
	announceLifetime = 3500 * time.Millisecond
	// minRecordHorizon exceeds the longest deadline, 5 min, plus the age that a
	// start can have when it arrives.
	minRecordHorizon = 6 * time.Minute
	// reportTimes is how many sent reports are remembered to date an echo.
	reportTimes = 64
	// defaultLoadReportInterval bounds reports of a changed load to 100 a second,
	// about 10 KB/s.
	defaultLoadReportInterval = 10 * time.Millisecond
)

// State is an agent's decision state. Its exported fields are set before the
// first Handle. It is used by one goroutine.
type State struct {
	Name        string
	Incarnation messenger.Incarnation
	// ReportInterval is the time between reports; 0 means 500 ms.
	ReportInterval time.Duration
	// LoadReportInterval, times the number of entries, is the least time between
	// reports of a changed load; 0 means 10 ms, which bounds them to 100 a second.
	LoadReportInterval time.Duration
	// OwnerHorizon is how long after an owner was last heard all that it has asked for
	// must have ended, whatever becomes of this agent; 0 sets no bound.
	OwnerHorizon time.Duration

	now       time.Time
	effects   []Effect
	lifeCycle *fsm.FSM

	settings    messenger.AgentSettings
	confirmedAt time.Time
	directory   []messenger.EntryAddress

	endpoint    EndpointAnnounced
	announcedAt time.Time

	sequence   uint64
	sentAt     [reportTimes]time.Time
	reportedAt time.Time
	entries    map[messenger.Incarnation]*listener

	records  map[messenger.TaskKey]*record
	expiring []expiry
	queue    []*record
	running  int
	// taken is the room of the running tasks, waiting that of the queued ones.
	taken   messenger.Resources
	waiting messenger.Resources
	// live holds the runs of volatile tasks that have not ended.
	live map[runKey]*record
	// echoed is when the youngest report was sent that each entry has echoed.
	echoed map[messenger.Incarnation]time.Time
	// promised is the latest time until which a lease of the endpoint may last.
	promised    time.Time
	pace        pace
	results     []*record
	resultBytes int

	fenced    map[messenger.Incarnation]*fence
	witnessed map[messenger.SubmissionKey]witness
}

// record is what the agent knows of a task. It outlives the task, so that no
// attempt of it starts again.
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
	// stoppedByFence is true of a tombstone of the present attempt that the fence
	// of its owner left.
	stoppedByFence bool

	volatile bool
	size     messenger.Resources
	position messenger.Position
	// run numbers the runs of a volatile task here.
	run int
	// aborted is true once the run of a volatile task was asked to end.
	aborted bool
	// behind is the run of the same task that must end before this one starts.
	behind *record
}

// runKey names one run of a volatile task.
type runKey struct {
	task messenger.TaskKey
	run  int
}

// listener is a linked entry.
type listener struct {
	// told is the load that the entry knows of, running and queued, and toldAt when it
	// was told.
	told   int
	toldAt time.Time
}

type expiry struct {
	task messenger.TaskKey
	at   time.Time
}

// fence marks a replaced entry and the entries that collect its results.
type fence struct {
	at time.Time
	// collectors are told of the tasks of a submission that still run.
	collectors map[messenger.SubmissionKey][]messenger.Incarnation
}

type witness struct {
	owner   messenger.Incarnation
	outcome messenger.Outcome
	at      time.Time
}

// Handle applies one event and returns the effects in the order in which they
// are to be carried out.
func (s *State) Handle(now time.Time, event Event) []Effect {
	s.prepare()
	s.now = now
	s.effects = nil
	switch e := event.(type) {
	case Tick:
		s.tick()
	case EntryLinked:
		s.entries[e.Entry] = &listener{}
		s.report(e.Entry)
	case EntryUnlinked:
		delete(s.entries, e.Entry)
	case Received:
		s.received(e.From, e.Message)
	case EndpointAnnounced:
		s.announced(e)
	case EndpointDeparting:
		if s.step(eventDepart) {
			s.returnQueue(messenger.RefusedDraining)
			s.reportAll()
		}
	case Invoked:
		s.invoked(e)
	case DrainRequested:
		s.step(eventDrain)
		s.returnQueue(messenger.RefusedDraining)
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
	s.entries = make(map[messenger.Incarnation]*listener)
	s.records = make(map[messenger.TaskKey]*record)
	s.fenced = make(map[messenger.Incarnation]*fence)
	s.witnessed = make(map[messenger.SubmissionKey]witness)
	s.live = make(map[runKey]*record)
	s.echoed = make(map[messenger.Incarnation]time.Time)
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
		s.returnQueue(reason)
	}
	s.checkOwners()
	s.startQueued()
	s.expire()
}

// load returns the endpoint's load as told to the entries. An endpoint that may
// start nothing has no slots.
func (s *State) load() messenger.EndpointLoad {
	load := messenger.EndpointLoad{
		Service:  s.endpoint.Service,
		Labels:   s.endpoint.Labels,
		Slots:    s.endpoint.Slots,
		Running:  s.running,
		Queued:   len(s.queue),
		Slowness: s.pace.slowness,
		Runs:     s.pace.runs,
		Draining: !s.lifeCycle.Is(stateServing),
		Capacity: s.endpoint.Capacity,
		Taken:    s.taken.Add(s.waiting),
	}
	if s.endpointLapsed() {
		load.Slots = 0
		load.Draining = load.Draining || !load.Capacity.IsZero()
	}
	return load
}

// shortLoad is the load as told to an entry with an answer. It omits what does
// not change from message to message.
func (s *State) shortLoad(to messenger.Incarnation) messenger.EndpointLoad {
	load := s.load()
	if l := s.entries[to]; l != nil {
		l.told, l.toldAt = load.Running+load.Queued, s.now
	}
	load.Service = ""
	load.Labels = nil
	load.Capacity = messenger.Resources{}
	return load
}

func (s *State) endpointLapsed() bool {
	return s.now.Sub(s.announcedAt) > announceLifetime
}
