package supervisor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/proof/emulator"
)

// The test simulates a busy endpoint that leaves one call in twenty unanswered
// (applied_late in the users' words). The capacity of a run is free only once the agent
// knows that the run has ended, so a delay there wastes capacity under load.
const (
	lossyShare = 0.05
	// lossyInterval is the time between starts. Ten runs of 100 ms are active at a time.
	lossyInterval = 10 * time.Millisecond
	lossyRunTime  = 100 * time.Millisecond
	// shortestRunTime is the run time of the shortest tasks. An end that is learned
	// later than that has cost the capacity of a whole run.
	shortestRunTime = 40 * time.Millisecond
)

// lossyEndpoint emulates an endpoint that leaves some calls unanswered, and measures how
// late the agent learns of the ends of runs.
type lossyEndpoint struct {
	*model
	endedAt      map[Run]time.Time
	noticeDelays []time.Duration
}

func (e *lossyEndpoint) handle(event Event) {
	for _, effect := range e.state.Handle(e.now, event) {
		switch f := effect.(type) {
		case CallStart:
			e.answer(50*time.Millisecond, func() Event {
				run := e.endpointRun(f.Start.Run)
				e.endpoint.Start(e.now, run, f.Start.Token, f.Start.Until)
				e.after(lossyRunTime, func() { e.finish(f.Start.Run, run) })
				return StartAnswered{Run: f.Start.Run}
			}, StartAnswered{Run: f.Start.Run, NoAnswer: true})
		case CallStop:
			e.answer(50*time.Millisecond, func() Event { return StopAnswered{Run: f.Stop.Run} },
				StopAnswered{Run: f.Stop.Run, NoAnswer: true})
		case CallHold:
			e.hold(f)
		case Wake:
			e.after(f.After, func() { e.handle(Tick{}) })
		case Ended:
			if f.Outcome.State == messenger.TaskSucceeded {
				e.noticeDelays = append(e.noticeDelays, e.now.Sub(e.endedAt[f.Run]))
			}
		}
	}
}

func (e *lossyEndpoint) finish(r Run, run emulator.Run) {
	if e.endpoint.IsRunning(run) {
		e.endedAt[r] = e.now
		e.endpoint.Finish(e.now, run, emulator.EndDone)
	}
}

// answer carries out a call and delivers the answer after 1 ms, or drops the call and
// delivers none after the timeout.
func (e *lossyEndpoint) answer(timeout time.Duration, call func() Event, none Event) {
	if e.random.Float64() < lossyShare {
		e.after(timeout, func() { e.handle(none) })
		return
	}
	e.after(time.Millisecond, func() { e.handle(call()) })
}

// hold answers a hold at the first new end or when its wait is over, or drops the hold.
func (e *lossyEndpoint) hold(f CallHold) {
	if e.random.Float64() < lossyShare {
		e.after(f.Hold.Wait+holdAnswerMargin, func() { e.handle(HoldAnswered{Call: f.Call, NoAnswer: true}) })
		return
	}
	until := e.now.Add(f.Hold.Wait)
	var poll func()
	poll = func() {
		if e.endpoint.LastEnd() == f.Hold.Observed && e.now.Before(until) {
			e.after(time.Millisecond, poll)
			return
		}
		lists, _ := e.model.hold(f.Hold)
		e.handle(HoldAnswered{Call: f.Call, Lists: lists})
	}
	e.after(time.Millisecond, poll)
}

// Guards against capacity that stays reserved because the answer that reports the end
// of a run is lost.
func TestEndsAreLearnedSoonWhenAnswersAreLost(t *testing.T) {
	for seed := range uint64(5) {
		e := &lossyEndpoint{
			model: &model{
				t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
				state: &State{Token: 1, Boot: Boot{ID: "i1", Address: "endpoint"}},
			},
			endedAt: map[Run]time.Time{},
		}
		e.boot()
		e.play(20 * time.Second)
		slices.Sort(e.noticeDelays)
		if len(e.noticeDelays) < 1000 {
			t.Fatalf("seed %d: only %d runs succeeded", seed, len(e.noticeDelays))
		}
		if late := e.noticeDelays[len(e.noticeDelays)*95/100]; late > shortestRunTime {
			t.Errorf("seed %d: 5%% of %d ends were learned more than %v late, want %v", seed, len(e.noticeDelays), late, shortestRunTime)
		}
	}
}

func (e *lossyEndpoint) play(span time.Duration) {
	end := e.now.Add(span)
	var tick, load func()
	tick = func() {
		e.handle(Tick{})
		e.after(100*time.Millisecond, tick)
	}
	load = func() {
		e.invoked++
		e.handle(Invoke{Run: Run{Job: fmt.Sprint("j", e.invoked), Number: 1}})
		e.after(lossyInterval, load)
	}
	e.after(0, tick)
	e.after(time.Second, load)
	e.advance(end)
}
