package gatekeeper

import (
	"context"

	"github.com/looplab/fsm"
)

// The life cycle of an agent. It serves while its endpoint is announced.
const (
	stateWaiting   = "waiting"
	stateServing   = "serving"
	stateDeparting = "departing"
	stateDraining  = "draining"
	stateDrained   = "drained"

	eventAnnounce = "announce"
	eventDepart   = "depart"
	eventDrain    = "drain"
	eventFinish   = "finish"
)

func newLifeCycle() *fsm.FSM {
	return fsm.NewFSM(stateWaiting, fsm.Events{
		{Name: eventAnnounce, Src: []string{stateWaiting, stateDeparting}, Dst: stateServing},
		{Name: eventDepart, Src: []string{stateServing}, Dst: stateDeparting},
		{Name: eventDrain, Src: []string{stateWaiting, stateServing, stateDeparting}, Dst: stateDraining},
		{Name: eventFinish, Src: []string{stateDraining}, Dst: stateDrained},
	}, nil)
}

// step moves the life cycle; an event that does not apply in the present state
// changes nothing. It tells whether the event applied.
func (s *State) step(event string) bool {
	return s.lifeCycle.Can(event) && s.lifeCycle.Event(context.Background(), event) == nil
}

func (s *State) announced(e EndpointAnnounced) {
	s.endpoint = e
	s.announcedAt = s.now
	wasServing := s.lifeCycle.Is(stateServing)
	s.step(eventAnnounce)
	if !wasServing {
		s.reportAll()
	}
}

func (s *State) checkDrained() {
	if s.lifeCycle.Is(stateDraining) && s.running == 0 {
		s.step(eventFinish)
		s.emit(Drained{})
	}
}
