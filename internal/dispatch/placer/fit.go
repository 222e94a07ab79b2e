package placer

// Fit is whether a task with given labels can run.
type Fit int

// The answers of Index.Fit.
const (
	// FitNone: no endpoint of the service is known.
	FitNone Fit = iota
	// FitNever: no known endpoint of the service has the labels.
	FitNever
	// FitBlocked: endpoints have the labels, but all of them are blocked at present.
	FitBlocked
	// FitOK: an endpoint has the labels and is not blocked. It may be busy or ejected.
	FitOK
)

// SlotMilliCPU is the CPU share, in thousandths of a core, that a slot and a task
// without a size count for.
const SlotMilliCPU = 1000

// FreeMilliCPU returns the CPU share, in thousandths of a core, that is free at the
// endpoints with the labels, according to the known load. Suspect endpoints that may get a
// probe are left out.
func (x *Index) FreeMilliCPU(firm, service string, labels []string) int {
	p := x.pools[poolKey{firm, service}]
	if p == nil {
		return 0
	}
	c := p.class(labels)
	if c == nil {
		return 0
	}
	free := 0
	for _, m := range c.free {
		if m.suspect && m.phase == phaseProbing {
			// The offer is for one task.
			continue
		}
		if m.Capacity.IsZero() {
			free += SlotMilliCPU * (m.Slots - m.used())
			continue
		}
		free += m.freeResources().MilliCPU
	}
	return free
}

// Fit reports whether a task with the labels can run at an endpoint of the service.
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
