package driver

import (
	"encoding/json"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/gatekeeper"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

const (
	firmName    = "lamis"
	placeName   = "sahel"
	serviceName = "dispatch"
)

// Payload is the JSON payload of a task for the fake endpoint. Echo is the result of the
// task.
type Payload struct {
	RunTime time.Duration `json:"run_time"`
	Fail    bool          `json:"fail,omitempty"`
	Echo    string        `json:"echo,omitempty"`
}

// agentNode runs the decision code of one incarnation of an agent and fakes its
// endpoint.
type agentNode struct {
	world       *World
	name        string
	domain      string
	incarnation messenger.Incarnation
	state       AgentDecider
	// lastStartAt is the time of the endpoint's last start of a task.
	lastStartAt     time.Time
	crashed         bool
	drained         bool
	endpointFailing bool
}

func (w *World) startAgent(name, domain string) {
	node := &agentNode{world: w, name: name, domain: domain, incarnation: w.newIncarnation(name)}
	node.state = &gatekeeper.State{Name: name, Incarnation: node.incarnation}
	if w.NewAgent != nil {
		node.state = w.NewAgent(name, node.state)
	}
	w.agents[name] = node
	w.processNames[node.incarnation] = name
	w.handlers[node.incarnation] = func(sender messenger.Incarnation, m messenger.Message) {
		node.handle(gatekeeper.Received{From: sender, Message: m})
	}
	w.tickAgent(node)
	w.announce(node)
	w.linkAll()
}

func (w *World) tickAgent(node *agentNode) {
	if node.crashed {
		return
	}
	node.handle(gatekeeper.Tick{})
	w.scheduleAt(w.now.Add(coordinator.TickInterval), func() { w.tickAgent(node) })
}

func (w *World) announce(node *agentNode) {
	if node.crashed {
		return
	}
	node.handle(gatekeeper.EndpointAnnounced{Service: serviceName, Slots: w.Slots})
	w.scheduleAt(w.now.Add(announceInterval), func() { w.announce(node) })
}

func (n *agentNode) hello() messenger.Hello {
	return messenger.Hello{
		Role: messenger.RoleAgent, Name: n.name, Incarnation: n.incarnation,
		Firm: firmName, Place: placeName, FailureDomain: n.domain,
	}
}

func (n *agentNode) handle(event gatekeeper.Event) {
	if n.crashed {
		return
	}
	for _, effect := range n.state.Handle(n.world.now, event) {
		n.execute(effect)
	}
}

func (n *agentNode) execute(effect gatekeeper.Effect) {
	w := n.world
	switch e := effect.(type) {
	case gatekeeper.Send:
		w.observeAgent(n, e.Message)
		w.deliver(n.name, n.incarnation, e.To, e.Message)
	case gatekeeper.Invoke:
		w.invoke(n, e)
	case gatekeeper.Drained:
		n.drained = true
	case gatekeeper.DirectoryChanged, gatekeeper.Decision, gatekeeper.HealthDecision:
	}
}

// invoke starts a task at the fake endpoint. The task continues if the agent crashes,
// but its result is then lost.
func (w *World) invoke(n *agentNode, e gatekeeper.Invoke) {
	w.Starts = append(w.Starts, EndpointStart{
		Task: e.Task, Attempt: e.Attempt, Agent: n.name, FailureDomain: n.domain, At: w.Elapsed(),
	})
	n.lastStartAt = w.now
	var payload Payload
	if err := json.Unmarshal(e.Payload, &payload); err != nil {
		panic(err)
	}
	outcome := messenger.TaskOutcome{State: messenger.TaskSucceeded, Result: []byte(payload.Echo)}
	if payload.Fail || n.endpointFailing {
		outcome = messenger.TaskOutcome{State: messenger.TaskFailed, Reason: "the endpoint failed the task"}
	}
	w.after(payload.RunTime, func() {
		n.handle(gatekeeper.Invoked{Task: e.Task, Attempt: e.Attempt, Outcome: outcome, RunTime: payload.RunTime})
	})
}
