package coordinator

import "github.com/burdockrudder/burdockrudder/internal/dispatch/placer"

// noteSuspicion emits a decision if the agent's judgement of its endpoint has changed. It
// must be called after the index has the present load.
func (s *State) noteSuspicion(a *agent, was bool) {
	if a.load.Suspect == was {
		return
	}
	d := Decision{Kind: DecisionTrusted, Endpoint: a.name, Reason: "the agent trusts the endpoint"}
	if a.load.Suspect {
		d.Kind, d.Reason = DecisionSuspect, "the agent reports failures; the endpoint is out of use"
		if s.usedDespiteSuspicion(a) {
			d.Reason = "the agent reports failures; the endpoint stays in use for want of others"
		}
	}
	s.emit(d)
}

// usedDespiteSuspicion reports whether tasks are placed at a suspect endpoint because too
// many others of its service or failure domain are out of use.
func (s *State) usedDespiteSuspicion(a *agent) bool {
	return s.index.Suspicion(a.name) == placer.SuspicionInUse
}
