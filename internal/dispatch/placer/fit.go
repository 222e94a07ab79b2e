package placer

import "github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"

// Fit tells whether a task with given labels can ever run.
type Fit int

// The answers of Index.Fit.
const (
	// FitNone: no endpoint of the service is known.
	FitNone Fit = iota
	// FitNever: endpoints are known, and none offers the labels.
	FitNever
	// FitBlocked: endpoints fit, and all of them are blocked at present.
	FitBlocked
	// FitOK: an endpoint fits and is not blocked. It may be busy or ejected.
	FitOK
)

// HasRoom tells whether an endpoint that offers the labels is thought to have room
// for a task of the size now.
func (x *Index) HasRoom(firm, service string, labels []string, size messenger.Resources) bool {
	p := x.pools[poolKey{firm, service}]
	if p == nil {
		return false
	}
	c := p.class(labels)
	if c == nil {
		return false
	}
	for _, m := range c.free {
		if m.takes(size) {
			return true
		}
	}
	return false
}

// Fit tells whether an endpoint of the service offers all the labels.
func (x *Index) Fit(firm, service string, labels []string) Fit {
	p := x.pools[poolKey{firm, service}]
	if p == nil {
		return FitNone
	}
	c := p.class(labels)
	switch {
	case c == nil:
		return FitNever
	case c.unblocked == 0:
		return FitBlocked
	}
	return FitOK
}
