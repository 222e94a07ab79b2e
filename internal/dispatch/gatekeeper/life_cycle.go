package gatekeeper

import (
	"context"

	"github.com/looplab/fsm"
)

// States and events of an agent's life cycle. The agent serves after its endpoint has
// announced itself, until the endpoint departs or the agent drains.
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

// step applies an event to the life cycle and reports whether the event is valid in
// the current state. Otherwise the state does not change.
func (s *State) step(event string) bool {
	return s.lifeCycle.Can(event) && s.lifeCycle.Event(context.Background(), event) == nil
}

func (s *State) announced(e EndpointAnnounced) {
	restarted := s.endpointRestarted(e)
	s.endpoint = e
	s.announcedAt = s.now
	wasServing := s.lifeCycle.Is(stateServing)
	s.step(eventAnnounce)
	if restarted && s.health.reset() {
		s.trusted("the endpoint has restarted")
	}
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
