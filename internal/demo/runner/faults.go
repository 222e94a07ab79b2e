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
	// outageDuration is the duration of the store outage.
	outageDuration = 5 * time.Second
	// mutedAgents is how many agents have their link to the first entry muted.
	mutedAgents = 3
)

// faultStep is one action of a fault plan, with its time since the start of the load.
type faultStep struct {
	at  time.Duration
	run func(c *cluster)
}

// faultPlan returns the steps of a fault, spread over the arrivals, which last for
// span.
func faultPlan(fault Fault, span time.Duration) []faultStep {
	crashEntry := func(c *cluster) { c.entries[0].isolation.crash() }
	crashAgent := func(c *cluster) { c.agents[len(c.agents)-1].isolation.crash() }
	outage := func(down bool) func(c *cluster) {
		return func(c *cluster) { c.table.SetFaults(tableserver.Faults{Down: down}) }
	}
	loseReplies := func(c *cluster) { c.table.SetFaults(tableserver.Faults{LoseReplies: lostReplyShare}) }
	muteLinks := func(c *cluster) { c.muteLinks(mutedAgents) }
	percentOfSpan := func(percent int) time.Duration { return span * time.Duration(percent) / 100 }
	switch fault {
	case FaultEntryCrash:
		return []faultStep{{percentOfSpan(30), crashEntry}}
	case FaultAgentCrash:
		return []faultStep{{percentOfSpan(30), crashAgent}}
	case FaultStoreOutage:
		return []faultStep{{percentOfSpan(30), outage(true)}, {percentOfSpan(30) + outageDuration, outage(false)}}
	case FaultStoreLostReply:
		return []faultStep{{0, loseReplies}}
	case FaultSilentConnection:
		return []faultStep{{percentOfSpan(20), muteLinks}, {percentOfSpan(50), muteLinks}}
	case FaultMixed:
		return []faultStep{
			{percentOfSpan(10), muteLinks},
			{percentOfSpan(20), outage(true)},
			{percentOfSpan(20) + outageDuration/2, outage(false)},
			{percentOfSpan(55), loseReplies},
			{percentOfSpan(60), crashAgent},
			{percentOfSpan(75), crashEntry},
		}
	case FaultNone:
	}
	return nil
}
