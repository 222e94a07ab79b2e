package coordinator

import (
	"context"

	"github.com/looplab/fsm"
)

// The states and events of an entry's life cycle.
const (
	entryStarting  = "starting"
	entryActive    = "active"
	entrySuspended = "suspended"
	entryDraining  = "draining"
	entryStopped   = "stopped"

	eventActivate = "activate"
	eventSuspend  = "suspend"
	eventDrain    = "drain"
	eventStop     = "stop"
)

func newEntryLifeCycle() *fsm.FSM {
	return fsm.NewFSM(entryStarting, fsm.Events{
		{Name: eventActivate, Src: []string{entryStarting, entrySuspended}, Dst: entryActive},
		{Name: eventSuspend, Src: []string{entryActive}, Dst: entrySuspended},
		{Name: eventDrain, Src: []string{entryStarting, entryActive, entrySuspended}, Dst: entryDraining},
		{Name: eventStop, Src: []string{entryStarting, entryActive, entrySuspended, entryDraining}, Dst: entryStopped},
	}, nil)
}

// The states and events of a job's life cycle.
const (
	jobAdmitting = "admitting"
	jobRunning   = "running"
	jobSettling  = "settling"
	jobSettled   = "settled"

	eventAdmit  = "admit"
	eventFinish = "finish"
	eventSettle = "settle"
)

func newJobLifeCycle() *fsm.FSM {
	return fsm.NewFSM(jobAdmitting, fsm.Events{
		{Name: eventAdmit, Src: []string{jobAdmitting}, Dst: jobRunning},
		{Name: eventFinish, Src: []string{jobRunning}, Dst: jobSettling},
		{Name: eventSettle, Src: []string{jobSettling}, Dst: jobSettled},
	}, nil)
}

// transition applies an event to a life cycle and reports whether the event was allowed
// in the current state.
func transition(machine *fsm.FSM, event string) bool {
	if !machine.Can(event) {
		return false
	}
	return machine.Event(context.Background(), event) == nil
}
