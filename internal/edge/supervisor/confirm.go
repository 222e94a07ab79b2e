package supervisor

import "slices"

const (
	// maxProbes bounds the probes in flight.
	maxProbes = 8
	// maxProbeAttempts is how often a boot is probed for one announcement.
	maxProbeAttempts = 2
)

// probe is a hold that is sent to an announced boot before the boot is believed.
type probe struct {
	boot    Boot
	attempt int
}

// announced handles an announcement. The runs of the followed boot are not affected until
// the endpoint has answered from the announced boot.
func (s *State) announced(boot Boot) {
	switch {
	case s.isFollowed(boot):
		s.Boot = boot
		s.emit(Confirmed{Boot: boot})
	case boot.Born < s.Boot.Born:
		s.emit(Unconfirmed{Boot: boot, Reason: "a later boot has answered"})
	case len(s.probes) >= maxProbes:
		s.emit(Unconfirmed{Boot: boot, Reason: "too many announced boots are being probed"})
	default:
		s.emit(LogMessage{Message: "another boot is announced; probing it", Reason: boot.ID})
		s.sendProbe(probe{boot: boot, attempt: 1})
	}
}

// isFollowed reports whether boot is the followed one. The followed boot has no ID until it
// is announced.
func (s *State) isFollowed(boot Boot) bool {
	unnamed := boot
	unnamed.ID = ""
	return s.Boot.Born != 0 && (boot == s.Boot || unnamed == s.Boot)
}

// sendProbe sends a hold that renews no lease and takes note of no end.
func (s *State) sendProbe(p probe) {
	s.calls++
	s.probes[s.calls] = p
	s.emit(CallHold{Call: s.calls, Hold: Hold{Boot: p.boot, Token: s.Token}})
}

func (s *State) probeAnswered(p probe, e HoldAnswered) {
	switch {
	case e.NoAnswer && p.attempt < maxProbeAttempts:
		s.sendProbe(probe{boot: p.boot, attempt: p.attempt + 1})
	case e.NoAnswer:
		s.emit(Unconfirmed{Boot: p.boot, Reason: "no answer at the announced address"})
	case e.Refusal != "":
		s.raiseToken(e.Refusal)
		s.emit(Unconfirmed{Boot: p.boot, Reason: "refused: " + string(e.Refusal)})
	case e.Lists.Born != p.boot.Born || p.boot.Born < s.Boot.Born:
		s.emit(Unconfirmed{Boot: p.boot, Reason: "another boot answers"})
	case p.boot.Address != s.Boot.Address && !s.isAbandoned():
		s.emit(Unconfirmed{Boot: p.boot, Reason: "the boot at another address has not lapsed"})
	default:
		s.follow(p.boot)
	}
}

// isAbandoned reports whether the followed address has not answered for so long that no
// run is left there.
func (s *State) isAbandoned() bool {
	lastContact := s.startedAt
	if s.answeredAt.After(lastContact) {
		lastContact = s.answeredAt
	}
	return s.Boot.Address == "" || s.lapsesAt.IsZero() && s.now.Sub(lastContact) > s.untilLapsed()
}

// follow adopts a boot that has answered.
func (s *State) follow(boot Boot) {
	if s.Boot.Born != 0 && boot.Born > s.Boot.Born {
		s.rebooted(boot.Born)
	}
	s.Boot = boot
	s.nextHold = s.now
	s.emit(Confirmed{Boot: boot})
}

// confirmProbes confirms the announced boots from which the followed endpoint has answered
// an ordinary hold, whose probe may have got no answer.
func (s *State) confirmProbes() {
	calls := make([]uint64, 0, len(s.probes))
	for call, p := range s.probes {
		if s.isFollowed(p.boot) {
			calls = append(calls, call)
		}
	}
	slices.Sort(calls)
	for _, call := range calls {
		s.Boot = s.probes[call].boot
		delete(s.probes, call)
		s.emit(Confirmed{Boot: s.Boot})
	}
}
