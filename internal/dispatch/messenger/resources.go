package messenger

// Resources are what a task takes of an endpoint, or what an endpoint has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int `json:"milli_cpu,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	GPU      int `json:"gpu,omitempty"`
}

// Add returns the sum of both.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		MilliCPU: r.MilliCPU + other.MilliCPU,
		MemoryMB: r.MemoryMB + other.MemoryMB,
		GPU:      r.GPU + other.GPU,
	}
}

// Sub returns the difference, which may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCPU: r.MilliCPU - other.MilliCPU,
		MemoryMB: r.MemoryMB - other.MemoryMB,
		GPU:      r.GPU - other.GPU,
	}
}

// Floor returns r with negative amounts raised to zero.
func (r Resources) Floor() Resources {
	return Resources{MilliCPU: max(0, r.MilliCPU), MemoryMB: max(0, r.MemoryMB), GPU: max(0, r.GPU)}
}

// Fits tells whether r fits into what is free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// IsZero tells whether nothing is stated.
func (r Resources) IsZero() bool { return r == Resources{} }
