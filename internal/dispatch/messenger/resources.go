package messenger

// Resources are the resources that a task needs or that an endpoint offers.
type Resources struct {
	// MilliCPU is the CPU share in thousandths of a core.
	MilliCPU int `json:"milli_cpu,omitempty"`
	MemoryMB int `json:"memory_mb,omitempty"`
	GPU      int `json:"gpu,omitempty"`
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		MilliCPU: r.MilliCPU + other.MilliCPU,
		MemoryMB: r.MemoryMB + other.MemoryMB,
		GPU:      r.GPU + other.GPU,
	}
}

// Sub returns r minus other. Amounts may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCPU: r.MilliCPU - other.MilliCPU,
		MemoryMB: r.MemoryMB - other.MemoryMB,
		GPU:      r.GPU - other.GPU,
	}
}

// ClampNegative returns r with negative amounts replaced by zero.
func (r Resources) ClampNegative() Resources {
	return Resources{MilliCPU: max(0, r.MilliCPU), MemoryMB: max(0, r.MemoryMB), GPU: max(0, r.GPU)}
}

// FitsInto reports whether each amount of r is at most that of free.
func (r Resources) FitsInto(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPU <= free.GPU
}

// IsZero reports whether all amounts are zero.
func (r Resources) IsZero() bool { return r == Resources{} }
