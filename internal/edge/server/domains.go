package server

import (
	"errors"
	"maps"
	"net/http"
	"slices"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// domainChangeAttempts is the maximum number of compare-and-set attempts of one
// take-out or bring-back. The edit does not depend on other settings changes, so it is
// retried after a version conflict instead of being refused.
const domainChangeAttempts = 8

func (s *Server) takeOut(w http.ResponseWriter, r *request) error {
	return s.changeDomain(w, r, messenger.DomainOut)
}

func (s *Server) bringBack(w http.ResponseWriter, r *request) error {
	return s.changeDomain(w, r, messenger.DomainIn)
}

func (s *Server) changeDomain(w http.ResponseWriter, r *request, state messenger.DomainState) error {
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	decoded, err := translator.DecodeDomainChange(body)
	if err != nil {
		return err
	}
	var version uint64
	for range domainChangeAttempts {
		version, err = s.tryDomainChange(r, state, decoded.Reason)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			break
		}
	}
	var fault *translator.Error
	if errors.As(err, &fault) {
		return err
	}
	if err != nil {
		return s.settingsError(err)
	}
	s.writeJSON(w, http.StatusOK, translator.DomainChanged{Version: version, State: state})
	return nil
}

// tryDomainChange makes one attempt to commit the state. It writes the state even if
// the tree already has it, because only an accepted change guarantees that the state is
// in force on every entry.
func (s *Server) tryDomainChange(r *request, state messenger.DomainState, reason string) (uint64, error) {
	head, err := s.Settings.Head(r.Context())
	if err != nil {
		return 0, err
	}
	scope := resolver.Scope{Firm: r.PathValue("firm"), Place: r.PathValue("place"), FailureDomain: r.PathValue("domain")}
	tree, ok := withDomainState(head.Tree, scope, state)
	if !ok {
		return 0, notFound()
	}
	change := SettingsChange{Expected: head.Version, Tree: tree, Author: r.identity.author(), Reason: reason}
	return s.Settings.Change(r.Context(), change)
}

// withDomainState returns a copy of the tree with the state set on the failure domain.
// It also removes the state override "in" from the domain's services, because after a
// take-out such an override would let tasks start. It reports false if the failure
// domain is not declared.
func withDomainState(tree resolver.Tree, scope resolver.Scope, state messenger.DomainState) (resolver.Tree, bool) {
	firm := tree.Firms[scope.Firm]
	place := firm.Places[scope.Place]
	domain, ok := place.FailureDomains[scope.FailureDomain]
	if !ok {
		return tree, false
	}
	domain.Settings.State = &state
	domain.Services = maps.Clone(domain.Services)
	for name, service := range domain.Services {
		if overridden := service.Settings.State; overridden != nil && *overridden == messenger.DomainIn {
			service.Settings.State = nil
			domain.Services[name] = service
		}
	}
	place.FailureDomains = maps.Clone(place.FailureDomains)
	place.FailureDomains[scope.FailureDomain] = domain
	firm.Places = maps.Clone(firm.Places)
	firm.Places[scope.Place] = place
	firms := maps.Clone(tree.Firms)
	firms[scope.Firm] = firm
	return resolver.Tree{Firms: firms}, true
}

func (s *Server) domains(w http.ResponseWriter, r *request) error {
	snapshot, err := s.snapshot()
	if err != nil {
		return err
	}
	firm := snapshot.Tree.Firms[r.PathValue("firm")]
	place, ok := firm.Places[r.PathValue("place")]
	if !ok {
		return notFound()
	}
	body := translator.Domains{Version: snapshot.SettingsVersion, Domains: []translator.Domain{}}
	for _, name := range slices.Sorted(maps.Keys(place.FailureDomains)) {
		settings := resolver.Defaults().Apply(firm.Settings).Apply(place.Settings).Apply(place.FailureDomains[name].Settings)
		scope := resolver.Scope{Firm: r.PathValue("firm"), Place: r.PathValue("place"), FailureDomain: name}
		body.Domains = append(body.Domains, translator.Domain{
			Name: name, State: settings.State, Endpoints: endpointsIn(snapshot, scope),
		})
	}
	s.writeJSON(w, http.StatusOK, body)
	return nil
}

func endpointsIn(snapshot *coordinator.Snapshot, domain resolver.Scope) []coordinator.EndpointView {
	views := []coordinator.EndpointView{}
	for _, view := range snapshot.Endpoints {
		scope := view.Scope
		scope.Service = ""
		if scope == domain {
			views = append(views, view)
		}
	}
	return views
}
