package supervisor

import (
	"testing"
	"time"
)

// Guards against applying an answer to a hold that arrives after a newer answer on
// another connection. The older answer still lists a run that has ended. Applying it
// would stop that run and prevent the renewal of the lease.
func TestOvertakenListIsIgnored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	s := &State{Token: 1, Boot: Boot{ID: "i1", Address: "endpoint"}}
	s.Handle(at(0), Tick{})
	s.Handle(at(1), HoldAnswered{Call: 1, Lists: Lists{Born: 1, Clock: time.Hour}})
	r := Run{Job: "j", Number: 1}
	s.Handle(at(2), Invoke{Run: r})
	s.Handle(at(3), StartAnswered{Run: r})
	// Poll twice. The first answer is delayed.
	first := polledHold(t, s.Handle(at(110), Tick{}))
	second := polledHold(t, s.Handle(at(220), Tick{}))
	s.Handle(at(222), HoldAnswered{Call: second, Lists: Lists{
		Born: 1, Clock: time.Hour + 221*time.Millisecond, Ended: []End{{Number: 1, Run: r, Kind: EndDone}},
	}})
	effects := s.Handle(at(223), HoldAnswered{Call: first, Lists: Lists{
		Born: 1, Clock: time.Hour + 111*time.Millisecond, Running: []Run{r},
	}})
	for _, effect := range effects {
		if stop, ok := effect.(CallStop); ok {
			t.Errorf("%v is stopped although it has ended", stop.Stop.Run)
		}
	}
	next := Run{Job: "k", Number: 1}
	for _, effect := range append(s.Handle(at(224), Invoke{Run: next}), s.Handle(at(330), Tick{})...) {
		if hold, ok := effect.(CallHold); ok && hold.Hold.Until == 0 {
			t.Error("the lease is not renewed")
		}
	}
	if want := time.Hour + 221*time.Millisecond; s.clock != want {
		t.Errorf("the endpoint's clock is assumed to read %v, want %v", s.clock, want)
	}
}

// polledHold returns the number of the hold in effects that does not wait for an end.
func polledHold(t *testing.T, effects []Effect) uint64 {
	t.Helper()
	for _, effect := range effects {
		if hold, ok := effect.(CallHold); ok && hold.Hold.Wait == 0 {
			return hold.Call
		}
	}
	t.Fatal("the endpoint is not polled")
	return 0
}
