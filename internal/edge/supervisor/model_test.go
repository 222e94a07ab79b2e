package supervisor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/emulator"
	"github.com/burdockrudder/burdockrudder/internal/proof/scheduler"
)

// model connects a State with an emulated endpoint on a virtual clock. Some answers are
// lost, some orders are carried out late, and the endpoint crashes. It follows the
// platform's protocol.
type model struct {
	t      *testing.T
	random *rand.Rand
	state  *State
	now    time.Time
	// schedule holds the future events of the simulation.
	schedule scheduler.Schedule

	born     int64
	endpoint emulator.Endpoint
	// runNames maps the endpoint's identifier of a run to the supervisor's.
	runNames map[emulator.Run]Run
	finished map[Run]bool
	// started are the runs that any boot has started, notRun those that were reported as
	// never started.
	started, notRun map[Run]bool
	open            map[Run]bool
	invoked         int
	// succeeded counts the runs that were reported as succeeded.
	succeeded int
	// confirmed counts the confirmed announcements.
	confirmed int
	downUntil time.Time
	// contacted is true once the agent has reached this boot with a token above
	// previousToken, the last token of the previous boot. A delayed hold for the previous
	// boot still carries a token up to previousToken (seed 263).
	contacted     bool
	previousToken uint64
}

func (m *model) after(d time.Duration, do func()) { m.schedule.Add(m.now.Add(d), do) }

// endpointRun returns the endpoint's identifier of a run.
func (m *model) endpointRun(r Run) emulator.Run {
	name := emulator.Run{Task: fmt.Sprint(r.Job, r.Position), Number: r.Number}
	m.runNames[name] = r
	return name
}

func (m *model) boot() {
	if m.runNames == nil {
		m.runNames = map[emulator.Run]Run{}
		m.endpoint = emulator.Endpoint{ClockStart: time.Hour, ClockPercent: 98}
	}
	m.born++
	m.contacted, m.previousToken = false, m.state.Token
	m.endpoint.OnRequest = func(token uint64) { m.contacted = m.contacted || token > m.previousToken }
	m.endpoint.Boot(m.now)
}

func (m *model) start(s Start) Refusal {
	run := m.endpointRun(s.Run)
	if refusal := m.endpoint.Start(m.now, run, s.Token, s.Until); refusal != "" {
		return refusalOf(refusal)
	}
	m.started[s.Run] = true
	if m.notRun[s.Run] {
		m.t.Fatalf("%v: %v started after it was reported as not run", m.now, s.Run)
	}
	if m.finished[s.Run] && m.contacted {
		m.t.Fatalf("%v: %v started after its end was reported", m.now, s.Run)
	}
	if m.finished[s.Run] {
		// An order for the previous boot is carried out by a boot that the agent has not
		// reached yet. The endpoint cannot refuse it, so the run must end soon.
		m.expectEnded(run)
	}
	born := m.born
	m.after(time.Duration(20+m.random.IntN(400))*time.Millisecond, func() {
		if m.born == born {
			m.endpoint.Finish(m.now, run, emulator.EndDone)
		}
	})
	return ""
}

func refusalOf(refusal emulator.Refusal) Refusal {
	switch refusal {
	case emulator.RefusedFence:
		return RefusedFence
	case emulator.RefusedOld:
		return RefusedOld
	case emulator.RefusedLate:
		return RefusedLate
	}
	return ""
}

// expectEnded checks that a run that was not ordered in this boot ends within 1 s, the
// duration of a lease.
func (m *model) expectEnded(run emulator.Run) {
	born, at := m.born, m.now
	m.after(time.Second, func() {
		m.endpoint.ExpireLease(m.now)
		if m.born == born && m.endpoint.IsRunning(run) && !m.now.Before(m.downUntil) {
			m.t.Fatalf("%v: %v was not ordered in this boot and has been running since %v", m.now, run, at)
		}
	})
}

func (m *model) stop(s Stop) Refusal {
	return refusalOf(m.endpoint.Stop(m.now, m.endpointRun(s.Run), s.Token))
}

func (m *model) hold(h Hold) (Lists, Refusal) {
	if refusal := m.endpoint.Hold(m.now, h.Token, h.Until, h.Observed); refusal != "" {
		return Lists{}, refusalOf(refusal)
	}
	lists := Lists{Born: m.born, Clock: m.endpoint.Clock(m.now)}
	for _, run := range m.endpoint.Running() {
		lists.Running = append(lists.Running, m.runNames[run])
	}
	for _, end := range m.endpoint.UnobservedEnds() {
		lists.Ended = append(lists.Ended, End{Number: end.Number, Run: m.runNames[end.Run], Kind: EndKind(end.Kind)})
	}
	return lists, ""
}

// transmit simulates the connection. Most calls are carried out after 1 ms and answered,
// 5% are carried out 2 to 12 s late, and 5% lose their answer. The State receives none
// instead of the answer for late calls, lost answers and while the endpoint is down.
func (m *model) transmit(call func() Event, none Event) {
	born := m.born
	dead := m.now.Before(m.downUntil)
	switch x := m.random.Float64(); {
	case dead:
		m.after(5*time.Millisecond, func() { m.handle(none) })
	case x < 0.05:
		m.after(time.Duration(2000+m.random.IntN(10000))*time.Millisecond, func() {
			// The endpoint may have restarted meanwhile; the new boot may have the same ID.
			if !m.now.Before(m.downUntil) {
				call()
			}
		})
		m.after(150*time.Millisecond, func() { m.handle(none) })
	case x < 0.1:
		m.after(time.Millisecond, func() { call() })
		m.after(150*time.Millisecond, func() { m.handle(none) })
	default:
		m.after(time.Millisecond, func() {
			if m.now.Before(m.downUntil) || m.born != born {
				m.handle(none)
				return
			}
			answer := call()
			m.after(time.Duration(1+m.random.IntN(20))*time.Millisecond, func() { m.handle(answer) })
		})
	}
}

func (m *model) handle(event Event) {
	for _, effect := range m.state.Handle(m.now, event) {
		switch e := effect.(type) {
		case CallStart:
			m.transmit(func() Event { return StartAnswered{Run: e.Start.Run, Refusal: m.start(e.Start)} },
				StartAnswered{Run: e.Start.Run, NoAnswer: true})
		case CallStop:
			m.transmit(func() Event { return StopAnswered{Run: e.Stop.Run, Refusal: m.stop(e.Stop)} },
				StopAnswered{Run: e.Stop.Run, NoAnswer: true})
		case CallHold:
			if e.Hold.Boot.Address != endpointAddress {
				m.after(time.Millisecond, func() { m.handle(HoldAnswered{Call: e.Call, NoAnswer: true}) })
				continue
			}
			m.transmit(func() Event {
				if id := e.Hold.Boot.ID; id != "" && id != m.announcement().ID {
					return HoldAnswered{Call: e.Call, Refusal: RefusedBoot}
				}
				lists, refusal := m.hold(e.Hold)
				return HoldAnswered{Call: e.Call, Lists: lists, Refusal: refusal}
			}, HoldAnswered{Call: e.Call, NoAnswer: true})
		case Confirmed:
			if e.Boot != m.announcement() && m.born == e.Boot.Born {
				m.t.Fatalf("%v: %+v was confirmed, the endpoint is %+v", m.now, e.Boot, m.announcement())
			}
			m.confirmed++
		case Wake:
			m.after(e.After, func() { m.handle(Tick{}) })
		case Ended:
			m.end(e)
		}
	}
}

const endpointAddress = "endpoint"

// announcement returns the boot that the endpoint announces.
func (m *model) announcement() Boot { return Boot{ID: "i1", Address: endpointAddress, Born: m.born} }

// announce sends the endpoint's announcement, or one of another writer, which claims a later
// boot, an ID or an address of its own.
func (m *model) announce() {
	boot := m.announcement()
	if m.random.IntN(3) == 0 {
		boot.Born += int64(1 + m.random.IntN(5))
		if m.random.IntN(2) == 0 {
			boot.ID = "i9"
		}
		if m.random.IntN(2) == 0 {
			boot.Address = "elsewhere"
		}
	} else if m.now.Before(m.downUntil) {
		return
	}
	m.handle(Announced{Boot: boot})
}

func (m *model) end(e Ended) {
	if !m.open[e.Run] {
		m.t.Fatalf("%v: %v ended twice", m.now, e.Run)
	}
	delete(m.open, e.Run)
	m.endpoint.ExpireLease(m.now)
	if m.endpoint.IsRunning(m.endpointRun(e.Run)) && !m.now.Before(m.downUntil) {
		m.t.Fatalf("%v: %v was reported as %s but is still running", m.now, e.Run, e.Outcome.State)
	}
	m.finished[e.Run] = true
	if e.Outcome.State == messenger.TaskNotRun {
		m.notRun[e.Run] = true
		if m.started[e.Run] {
			m.t.Fatalf("%v: %v was reported as not run, but it has started", m.now, e.Run)
		}
	}
	if e.Outcome.State == messenger.TaskSucceeded {
		m.succeeded++
	}
}

func (m *model) invokeNext() {
	m.invoked++
	r := Run{Job: fmt.Sprint("j", m.invoked), Number: 1}
	m.open[r] = true
	m.handle(Invoke{Run: r})
	if m.random.Float64() < 0.2 {
		m.after(time.Duration(m.random.IntN(300))*time.Millisecond, func() { m.handle(Abort{Run: r}) })
	}
}

// Guards against a run that is reported as ended while it still runs or may start later,
// that is reported twice or never, or that is reported as not run although a boot has
// started it or starts it later. The causes are late orders, lost
// answers, crashes of the endpoint and announcements of other writers.
func TestRunsEndOnceAndForGood(t *testing.T) {
	// The first seeds have failed in the past. For seed 263, see model.contacted.
	seeds := []uint64{263, 34, 51, 16}
	for seed := range uint64(60) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			m := &model{
				t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
				finished: map[Run]bool{}, open: map[Run]bool{}, started: map[Run]bool{}, notRun: map[Run]bool{},
				state: &State{Token: 1, Boot: Boot{Address: endpointAddress}},
			}
			m.boot()
			m.play(60 * time.Second)
			if len(m.open) > 0 {
				t.Errorf("%d of %d runs were never reported: %v", len(m.open), m.invoked, m.open)
			}
			// 20% of the runs are aborted, 5% of the orders are late, and the endpoint is
			// down 20% of the time.
			if m.confirmed < 100 {
				t.Errorf("only %d announcements were confirmed", m.confirmed)
			}
			if m.invoked < 100 || m.succeeded < m.invoked*2/5 {
				t.Errorf("only %d of %d runs succeeded", m.succeeded, m.invoked)
			}
		})
	}
}

func (m *model) play(span time.Duration) {
	end := m.now.Add(span)
	var tick func()
	tick = func() {
		m.handle(Tick{})
		m.after(100*time.Millisecond, tick)
	}
	var load func()
	load = func() {
		if m.now.Before(end.Add(-5 * time.Second)) {
			m.invokeNext()
			m.after(time.Duration(m.random.IntN(200))*time.Millisecond, load)
		}
	}
	var crash func()
	crash = func() {
		m.downUntil = m.now.Add(time.Duration(m.random.IntN(4000)) * time.Millisecond)
		m.boot()
		m.after(time.Duration(5+m.random.IntN(10))*time.Second, crash)
	}
	var announce func()
	announce = func() {
		m.announce()
		m.after(time.Duration(100+m.random.IntN(300))*time.Millisecond, announce)
	}
	m.after(0, tick)
	m.after(0, announce)
	m.after(time.Second, load)
	m.after(7*time.Second, crash)
	m.advance(end)
}

// advance runs the scheduled events that are due before end.
func (m *model) advance(end time.Time) {
	m.schedule.RunUntil(&m.now, end)
}
