package coordinator

import "maps"

// View returns a snapshot of the state for the goroutines that handle traffic.
func (s *State) View() *Snapshot {
	view := &Snapshot{
		Incarnation:         s.Config.Incarnation,
		SettingsVersion:     s.version,
		SettingsConfirmedAt: s.confirmation(),
		LeaseRenewedAt:      s.renewedAt,
		AcceptRefusal:       s.mayAccept(),
		Tree:                s.tree,
		Directory:           s.directory,
		LiveSubmissions:     len(s.jobs) - len(s.settled),
		Counters:            s.counters,
	}
	if s.lifeCycle != nil {
		view.LifeCycle = s.lifeCycle.Current()
		view.Strained = s.strain.strained
		view.Counters.Ejections = s.index.Ejections()
	}
	view.PendingByQueue = maps.Clone(s.pending)
	for _, c := range s.order {
		view.WaitingTasks += c.queue.Len()
	}
	for _, b := range s.lateBacklogs {
		for _, l := range b.jobs {
			view.LateTasks += len(l.waiting)
		}
	}
	view.WaitingTasks += view.LateTasks
	for _, a := range s.sortedAgents {
		view.SentTasks += len(a.sent)
		view.Endpoints = append(view.Endpoints, s.viewEndpoint(a))
	}
	return view
}

func (s *State) viewEndpoint(a *agent) EndpointView {
	return EndpointView{
		Name:            a.name,
		Incarnation:     a.incarnation,
		Scope:           a.scope,
		Load:            a.load,
		Outstanding:     len(a.sent),
		State:           s.index.State(a.name),
		SettingsVersion: a.settingsVersion,
		LastMessageAt:   a.lastMessageAt,
	}
}
