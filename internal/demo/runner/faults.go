package runner

import (
	"fmt"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
)

// Fault names a fault that a run injects.
type Fault string

// The faults.
const (
	FaultNone             Fault = "none"
	FaultEntryCrash       Fault = "entry_crash"
	FaultAgentCrash       Fault = "agent_crash"
	FaultStoreOutage      Fault = "store_outage"
	FaultStoreLostReply   Fault = "store_lost_reply"
	FaultSilentConnection Fault = "silent_connection"
	FaultMixed            Fault = "mixed"
)

// Faults lists all faults.
var Faults = []Fault{
	FaultNone, FaultEntryCrash, FaultAgentCrash, FaultStoreOutage, FaultStoreLostReply, FaultSilentConnection, FaultMixed,
}

// ParseFault returns the fault with a name.
func ParseFault(name string) (Fault, error) {
	for _, fault := range Faults {
		if string(fault) == name {
			return fault, nil
		}
	}
	return "", fmt.Errorf("unknown fault %q, want one of %q", name, Faults)
}

const (
	// lostReplyShare is the share of writes whose reply is lost.
	lostReplyShare = 0.2
	// outageLength is the duration of the store outage.
	outageLength = 5 * time.Second
	// silentAgents is how many agents have their link to the first entry muted.
	silentAgents = 3
)

// step is one action of a fault plan, with its time since the start of the load.
type step struct {
	at time.Duration
	do func(c *cluster)
}

// faultPlan returns the steps of a fault, spread over the arrivals, which last for
// span.
func faultPlan(fault Fault, span time.Duration) []step {
	crashEntry := func(c *cluster) { c.entries[0].isolation.cut() }
	crashAgent := func(c *cluster) { c.agents[len(c.agents)-1].isolation.cut() }
	outage := func(down bool) func(c *cluster) {
		return func(c *cluster) { c.keeper.SetFaults(tableserver.Faults{Down: down}) }
	}
	lose := func(c *cluster) { c.keeper.SetFaults(tableserver.Faults{LoseReplies: lostReplyShare}) }
	silence := func(c *cluster) { c.muteLinks(silentAgents) }
	part := func(percent int) time.Duration { return span * time.Duration(percent) / 100 }
	switch fault {
	case FaultEntryCrash:
		return []step{{part(30), crashEntry}}
	case FaultAgentCrash:
		return []step{{part(30), crashAgent}}
	case FaultStoreOutage:
		return []step{{part(30), outage(true)}, {part(30) + outageLength, outage(false)}}
	case FaultStoreLostReply:
		return []step{{0, lose}}
	case FaultSilentConnection:
		return []step{{part(20), silence}, {part(50), silence}}
	case FaultMixed:
		return []step{
			{part(10), silence},
			{part(20), outage(true)},
			{part(20) + outageLength/2, outage(false)},
			{part(55), lose},
			{part(60), crashAgent},
			{part(75), crashEntry},
		}
	case FaultNone:
	}
	return nil
}
