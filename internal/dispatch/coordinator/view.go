package coordinator

// View returns an immutable snapshot for the traffic goroutines.
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
		view.Counters.Ejections = s.index.Ejections()
	}
	view.PendingByQueue = s.pendingByQueue()
	for _, c := range s.order {
		view.WaitingTasks += c.queue.Len()
	}
	for _, a := range s.sorted {
		view.SentTasks += len(a.sent)
		view.Endpoints = append(view.Endpoints, s.viewEndpoint(a))
	}
	return view
}

// pendingByQueue looks at the jobs with waiting tasks only.
func (s *State) pendingByQueue() map[string]int {
	var pending map[string]int
	for _, j := range s.jobs {
		if j.submission.Queue == "" || j.told || j.givenUp || j.mayHaveStarted() {
			continue
		}
		if pending == nil {
			pending = make(map[string]int)
		}
		pending[j.submission.Queue]++
	}
	return pending
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
		HeardAt:         a.heardAt,
	}
}
