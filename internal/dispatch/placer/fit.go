package placer

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

// SlotMilliCPU is what a slot, and a task without a stated size, counts for.
const SlotMilliCPU = 1000

// FreeMilliCPU is the room that the endpoints with the labels are thought to have
// now, in thousandths of a core.
func (x *Index) FreeMilliCPU(firm, service string, labels []string) int {
	p := x.pools[poolKey{firm, service}]
	if p == nil {
		return 0
	}
	c := p.class(labels)
	if c == nil {
		return 0
	}
	room := 0
	for _, m := range c.free {
		if m.Capacity.IsZero() {
			room += SlotMilliCPU * (m.Slots - m.used())
			continue
		}
		room += m.room().MilliCPU
	}
	return room
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
