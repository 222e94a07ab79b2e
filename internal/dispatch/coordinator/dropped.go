package coordinator

import (
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// droppedRetention is how long a process that was dropped for its silence is remembered. A
// link without received data is closed sooner, and the next link introduces the process
// again.
const droppedRetention = time.Minute

// droppedProcess is an agent or a peer that was dropped for its silence. Its link may still
// be open: a short interruption, possibly of one direction only, does not close it.
type droppedProcess struct {
	hello messenger.Hello
	at    time.Time
}

// remember keeps the introduction of a dropped process, so that its next message can bring
// it back without a new link.
func (s *State) remember(hello messenger.Hello, reason string) {
	s.dropped[hello.Incarnation] = droppedProcess{hello: hello, at: s.now}
	s.emit(Decision{Kind: DecisionDrop, Endpoint: hello.Name, Reason: reason})
}

// takeBackAgent adds a dropped agent again that has sent a report. The tasks that it was
// asked to start before are in doubt since it was dropped, and remain so.
func (s *State) takeBackAgent(from messenger.Incarnation) *agent {
	d, dropped := s.dropped[from]
	if !dropped || d.hello.Role != messenger.RoleAgent || s.agents[d.hello.Name] != nil {
		return nil
	}
	s.tookBack(d)
	s.agentLinked(d.hello)
	return s.agentByIncarnation[from]
}

// takeBackPeer adds a dropped entry again that has sent a status.
func (s *State) takeBackPeer(from messenger.Incarnation) *peer {
	d, dropped := s.dropped[from]
	if !dropped || d.hello.Role != messenger.RoleEntry {
		return nil
	}
	s.tookBack(d)
	s.peerLinked(PeerLinked{Name: d.hello.Name, Incarnation: from})
	return s.peers[from]
}

func (s *State) tookBack(d droppedProcess) {
	delete(s.dropped, d.hello.Incarnation)
	s.emit(Decision{Kind: DecisionTakeBack, Endpoint: d.hello.Name, Reason: "a message arrived " + s.now.Sub(d.at).String() + " after it was dropped"})
}

func (s *State) forgetDropped() {
	for incarnation, d := range s.dropped {
		if s.now.Sub(d.at) > droppedRetention {
			delete(s.dropped, incarnation)
		}
	}
}
