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

// Pattern: a busy endpoint that leaves one call in twenty unanswered
// (applied_late in the users' words). The room of a run that has ended is only free
// once its end is known, so late knowledge takes capacity away when it is needed.
const (
	lossyShare = 0.05
	// lossyInterval between the starts keeps ten runs of 100 ms on the way.
	lossyInterval = 10 * time.Millisecond
	lossyRunTime  = 100 * time.Millisecond
	// shortestRunTime is what a run of the shortest tasks takes. An end that is known
	// later than that has cost a whole run.
	shortestRunTime = 40 * time.Millisecond
)

// lossyEndpoint lists the ends of runs and loses the answers of some calls.
type lossyEndpoint struct {
	*model
	endedAt map[Run]time.Time
	late    []time.Duration
}

func (e *lossyEndpoint) handle(event Event) {
	for _, effect := range e.state.Handle(e.now, event) {
		switch f := effect.(type) {
		case CallStart:
			e.answer(50*time.Millisecond, func() Event {
				run := e.leased(f.Start.Run)
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
				e.late = append(e.late, e.now.Sub(e.endedAt[f.Run]))
			}
		}
	}
}

func (e *lossyEndpoint) finish(r Run, run emulator.Run) {
	if e.endpoint.Runs(run) {
		e.endedAt[r] = e.now
		e.endpoint.Finish(e.now, run, emulator.EndDone)
	}
}

// answer answers a call after a millisecond, or reports that there was none.
func (e *lossyEndpoint) answer(patience time.Duration, call func() Event, none Event) {
	if e.random.Float64() < lossyShare {
		e.after(patience, func() { e.handle(none) })
		return
	}
	e.after(time.Millisecond, func() { e.handle(call()) })
}

// hold answers with the first end, or when the wait is over.
func (e *lossyEndpoint) hold(f CallHold) {
	if e.random.Float64() < lossyShare {
		e.after(f.Hold.Wait+holdPatience, func() { e.handle(HoldAnswered{Call: f.Call, NoAnswer: true}) })
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

// Guards against room that stays taken because the answer that tells of an end is
// lost.
func TestEndsAreKnownSoonWhenAnswersAreLost(t *testing.T) {
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
		slices.Sort(e.late)
		if len(e.late) < 1000 {
			t.Fatalf("seed %d: only %d runs were done", seed, len(e.late))
		}
		if late := e.late[len(e.late)*95/100]; late > shortestRunTime {
			t.Errorf("seed %d: a twentieth of %d ends is known more than %v late, want %v", seed, len(e.late), late, shortestRunTime)
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
