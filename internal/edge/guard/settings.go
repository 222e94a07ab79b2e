package guard

import (
	"runtime/debug"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const (
	// connectionBytes is the estimate for a connection: net/http's read and write buffers
	// of 4 KiB each, a goroutine's stack of 4 to 8 KiB, and a request with few fields.
	connectionBytes = 16 << 10
	// tlsConnectionBytes adds the buffers and the state of a TLS connection, whose records
	// are up to 16 KiB long in each direction.
	tlsConnectionBytes = 56 << 10
	// fileDescriptors is the number of descriptors that are not for callers: files, links,
	// calls of the store, and the reserved listeners.
	fileDescriptors = 200
	// connectionShare is the share of the budget that connections may take if their
	// maximum is derived from it. The rest is for headers and bodies.
	connectionShare = 0.5
	// runtimeShare is the largest share of the machine's memory for the heap and the stacks. The
	// rest is for the program's file and for what the collector has not yet returned.
	runtimeShare = 0.75
	// programBytes is the resident part of the program's file, which the runtime's limit does
	// not include.
	programBytes = 24 << 20
	// collectionBytes is what is allocated beyond the limit while a collection runs.
	collectionBytes = 12 << 20
)

// Settings is the section "guard" of a settings file.
type Settings struct {
	// MemoryBytes is the memory of the machine. With 0 it is unknown: there is no byte
	// budget, and the runtime's memory limit is left as it is.
	MemoryBytes int64 `json:"memory_bytes"`
	// RequestShare is the share of MemoryBytes for the requests of callers.
	RequestShare float64 `json:"request_share"`
	// ReserveShare is the share of the budget that callers cannot use.
	ReserveShare float64 `json:"reserve_share"`
	// MaxDescriptors is the machine's limit of open descriptors; 0 means the limit of the
	// process.
	MaxDescriptors int `json:"max_descriptors"`
	// MaxConnections bounds the connections of callers; 0 derives it from MaxDescriptors
	// and MemoryBytes.
	MaxConnections int `json:"max_connections"`
	// MaxReservedConnections bounds the connections of each reserved listener.
	MaxReservedConnections int `json:"max_reserved_connections"`
	MaxHeaderBytes         int `json:"max_header_bytes"`
	MaxHeaderFields        int `json:"max_header_fields"`
	// MaxBodyValues bounds the values and names of a JSON body, MaxBodyDepth its nesting.
	MaxBodyValues int `json:"max_body_values"`
	MaxBodyDepth  int `json:"max_body_depth"`
	// MinRate is the rate in bytes per second below which the connection of a sender of a
	// body, or of a reader of an answer, is closed.
	MinRate int `json:"min_rate"`
	// RateGrace is the time over which the rate is averaged.
	RateGrace resolver.Duration `json:"rate_grace"`
	// MaxHandshakes bounds the unfinished handshakes of links.
	MaxHandshakes int `json:"max_handshakes"`
}

// Defaults returns the settings for what a settings file leaves out.
func Defaults() Settings {
	return Settings{
		RequestShare:           0.3,
		ReserveShare:           0.125,
		MaxReservedConnections: 128,
		MaxHeaderBytes:         16 << 10,
		// The shortest field takes 4 bytes, so that a header of the legal size has no more.
		// The budget bounds the memory of many such headers.
		MaxHeaderFields: 4 << 10,
		// A job of 210 steps with all their fields, each of which comes after all earlier
		// ones, has 27,500 values and names.
		MaxBodyValues: 32 << 10,
		MaxBodyDepth:  64,
		MinRate:       1024,
		// The platform allows a header to take 3 s, so a shorter pause is legal.
		RateGrace: resolver.Duration(5 * time.Second),
		// The links of an entry of a large deployment may all be set up at once.
		MaxHandshakes: 128,
	}
}

// Check reports every invalid value.
func (s *Settings) Check(report func(path, message string)) {
	if s.MemoryBytes < 0 || (s.MemoryBytes > 0 && s.MemoryBytes < minMemoryBytes) {
		report("memory_bytes", "must be 0, for unknown, or at least 50331648")
	}
	if s.RequestShare <= 0 || s.RequestShare > maxRequestShare {
		report("request_share", "must be above 0 and at most 0.5")
	}
	if s.ReserveShare < 0 || s.ReserveShare > maxReserveShare {
		report("reserve_share", "must be 0 to 0.5")
	}
	if s.MaxDescriptors != 0 && s.MaxDescriptors <= 2*fileDescriptors {
		report("max_descriptors", "must be 0, for the limit of the process, or above 400")
	}
	if s.MaxConnections < 0 {
		report("max_connections", "must not be negative")
	}
	for _, bound := range []struct {
		path       string
		value, min int
	}{
		{"max_reserved_connections", s.MaxReservedConnections, 1},
		{"max_header_bytes", s.MaxHeaderBytes, 1 << 10},
		{"max_header_fields", s.MaxHeaderFields, 1},
		{"max_body_values", s.MaxBodyValues, 1},
		{"max_body_depth", s.MaxBodyDepth, 1},
		{"min_rate", s.MinRate, 1},
		{"max_handshakes", s.MaxHandshakes, 1},
	} {
		if bound.value < bound.min {
			report(bound.path, "is too small")
		}
	}
	if s.RateGrace < minRateGrace {
		report("rate_grace", `must be at least "100ms"`)
	}
}

const (
	// minMemoryBytes is about twice what an idle process takes.
	minMemoryBytes  = 48 << 20
	maxRequestShare = 0.5
	maxReserveShare = 0.5
	minRateGrace    = resolver.Duration(100 * time.Millisecond)
)

// budget returns the bytes for requests and the part of them that callers cannot use. A
// limit of 0 means that there is none.
func (s *Settings) budget() (limit, reserve int64) {
	limit = int64(float64(s.MemoryBytes) * s.RequestShare)
	return limit, int64(float64(limit) * s.ReserveShare)
}

// maxConnections returns the maximum of connections of a listener, each of which costs that
// many bytes; 0 means none.
func (s *Settings) maxConnections(class Class, cost int64) int {
	if class == Reserved {
		return s.MaxReservedConnections
	}
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	descriptors := s.MaxDescriptors
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	most := max(0, descriptors-fileDescriptors)
	limit, _ := s.budget()
	if limit == 0 {
		return most
	}
	affordable := int(float64(limit) * connectionShare / float64(cost))
	if most == 0 {
		return affordable
	}
	return min(most, affordable)
}

// ApplyMemoryLimit sets the runtime's soft memory limit. It must stay below the memory of
// the machine, because the runtime exceeds a soft limit rather than fail.
func (s *Settings) ApplyMemoryLimit() {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.runtimeLimit())
	}
}

// runtimeLimit returns the memory for the heap and the stacks.
func (s *Settings) runtimeLimit() int64 {
	return min(int64(float64(s.MemoryBytes)*runtimeShare), s.MemoryBytes-programBytes-collectionBytes)
}
