package versioner

import (
	"fmt"
	"maps"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Domain identifies a failure domain of the tree.
type Domain struct {
	Firm          string `json:"firm"`
	Place         string `json:"place"`
	FailureDomain string `json:"failure_domain"`
}

// UnknownDomainError means that the tree does not declare the failure domain.
type UnknownDomainError struct {
	Domain Domain
}

// Error names the failure domain.
func (e *UnknownDomainError) Error() string {
	return fmt.Sprintf("unknown failure domain %s/%s/%s", e.Domain.Firm, e.Domain.Place, e.Domain.FailureDomain)
}

// StillOutError means that the place or the firm of a failure domain is out, so
// that the failure domain cannot be brought back alone.
type StillOutError struct {
	Domain Domain
}

// Error names the failure domain.
func (e *StillOutError) Error() string {
	return fmt.Sprintf("failure domain %s cannot come back: place %s or firm %s is out",
		e.Domain.FailureDomain, e.Domain.Place, e.Domain.Firm)
}

// TakeOut returns a tree in which no task may start in the failure domain. It
// removes state "in" from the services of the failure domain, which would override
// the domain's state. The given tree is not changed.
func TakeOut(tree resolver.Tree, at Domain) (resolver.Tree, error) {
	return edit(tree, at, func(domain resolver.FailureDomain) resolver.FailureDomain {
		out := messenger.DomainOut
		domain.Settings.State = &out
		domain.Services = maps.Clone(domain.Services)
		for name, service := range domain.Services {
			if hasState(service.Settings.State, messenger.DomainIn) {
				service.Settings.State = nil
				domain.Services[name] = service
			}
		}
		return domain
	})
}

// BringBack returns a tree in which the failure domain inherits its state.
// Services whose own state is "out" stay out. It fails with a StillOutError if
// the inherited state is out. The given tree is not changed.
func BringBack(tree resolver.Tree, at Domain) (resolver.Tree, error) {
	firm := tree.Firms[at.Firm]
	above := resolver.Defaults().Apply(firm.Settings).Apply(firm.Places[at.Place].Settings)
	if above.State == messenger.DomainOut {
		return resolver.Tree{}, &StillOutError{Domain: at}
	}
	return edit(tree, at, func(domain resolver.FailureDomain) resolver.FailureDomain {
		domain.Settings.State = nil
		return domain
	})
}

// edit returns a tree with a changed failure domain. It copies the maps on the path to
// the failure domain, because snapshots of the old tree are still in use.
func edit(tree resolver.Tree, at Domain, change func(resolver.FailureDomain) resolver.FailureDomain) (resolver.Tree, error) {
	firm := tree.Firms[at.Firm]
	place := firm.Places[at.Place]
	domain, ok := place.FailureDomains[at.FailureDomain]
	if !ok {
		return resolver.Tree{}, &UnknownDomainError{Domain: at}
	}
	place.FailureDomains = maps.Clone(place.FailureDomains)
	place.FailureDomains[at.FailureDomain] = change(domain)
	firm.Places = maps.Clone(firm.Places)
	firm.Places[at.Place] = place
	tree.Firms = maps.Clone(tree.Firms)
	tree.Firms[at.Firm] = firm
	return tree, nil
}

func hasState(state *messenger.DomainState, want messenger.DomainState) bool {
	return state != nil && *state == want
}
