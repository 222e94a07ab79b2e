package server

import (
	"net/http"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// lifeCycleActive is the life-cycle state in which an entry accepts submissions.
const lifeCycleActive = "active"

// health is the response of /healthz and /readyz.
type health struct {
	Status string `json:"status"`
}

func (s *Server) healthz(w http.ResponseWriter, _ *request) error {
	s.writeJSON(w, http.StatusOK, health{Status: "ok"})
	return nil
}

func (s *Server) readyz(w http.ResponseWriter, _ *request) error {
	snapshot := s.Dispatcher.Snapshot()
	if s.stopping.Load() || snapshot == nil || snapshot.Tree == nil || snapshot.LifeCycle != lifeCycleActive {
		return newError(translator.CodeUnavailable, "the entry takes no submissions now")
	}
	s.writeJSON(w, http.StatusOK, health{Status: "ready"})
	return nil
}

func (s *Server) metrics(w http.ResponseWriter, r *request) error {
	s.Metrics.ServeHTTP(w, r.Request)
	return nil
}

func (s *Server) endpoints(w http.ResponseWriter, r *request) error {
	snapshot, err := s.snapshot()
	if err != nil {
		return err
	}
	body := translator.Endpoints{Endpoints: []coordinator.EndpointView{}}
	for _, view := range snapshot.Endpoints {
		if r.identity.mayAccess(view.Scope.Firm) {
			body.Endpoints = append(body.Endpoints, view)
		}
	}
	s.writeJSON(w, http.StatusOK, body)
	return nil
}

func (s *Server) status(w http.ResponseWriter, _ *request) error {
	snapshot, err := s.snapshot()
	if err != nil {
		return err
	}
	s.writeJSON(w, http.StatusOK, translator.Status{
		Incarnation:         snapshot.Incarnation,
		LifeCycle:           snapshot.LifeCycle,
		SettingsVersion:     snapshot.SettingsVersion,
		SettingsConfirmedAt: snapshot.SettingsConfirmedAt,
		LiveSubmissions:     snapshot.LiveSubmissions,
		WaitingTasks:        snapshot.WaitingTasks,
		SentTasks:           snapshot.SentTasks,
		Directory:           snapshot.Directory,
		Counters:            snapshot.Counters,
	})
	return nil
}

func (s *Server) snapshot() (*coordinator.Snapshot, error) {
	snapshot := s.Dispatcher.Snapshot()
	if snapshot == nil {
		return nil, newError(translator.CodeUnavailable, "the entry is starting")
	}
	return snapshot, nil
}
