package runner

import (
	"fmt"
	"time"
)

// Deployment is one of the two deployments of the design page.
type Deployment struct {
	Firm    string
	Place   string
	Service string
	Domains []string
	// ClientDelay is the one-way delay between clients and entries, DomainDelay that
	// between entries and agents.
	ClientDelay time.Duration
	DomainDelay time.Duration
	Endpoints   int
	Slots       int
	Connections int
	Entries     int
	// SlowestSpeed is the speed of the slowest endpoint; the fastest has 1.
	SlowestSpeed float64
}

const (
	demoEntries   = 3
	demoEndpoints = 11
	demoSlots     = 8
	// demoConnections is the limit of open connections of an endpoint.
	demoConnections  = 64
	demoSlowestSpeed = 0.25
)

// Deployments lists the names that FindDeployment accepts.
var Deployments = []string{"lamis", "apfm"}

// FindDeployment returns a deployment by the name of its firm.
func FindDeployment(name string) (Deployment, error) {
	d := Deployment{
		Firm:         name,
		DomainDelay:  500 * time.Microsecond,
		Endpoints:    demoEndpoints,
		Slots:        demoSlots,
		Connections:  demoConnections,
		Entries:      demoEntries,
		SlowestSpeed: demoSlowestSpeed,
	}
	switch name {
	case "lamis":
		d.Place = "sahel"
		d.Service = "dispatch"
		d.Domains = []string{"sousse", "monastir", "mahdia", "hammamet"}
		d.ClientDelay = 3 * time.Millisecond
	case "apfm":
		d.Place = "lisboa"
		d.Service = "forno"
		d.Domains = []string{"lisboa_norte", "lisboa_centro", "lisboa_sul"}
		d.ClientDelay = time.Millisecond
	default:
		return Deployment{}, fmt.Errorf("unknown deployment %q, want one of %q", name, Deployments)
	}
	return d, nil
}

// speed returns the speed of an endpoint, spread evenly from 1 to the slowest.
// The order is mixed so that each failure domain has fast and slow endpoints.
func (d Deployment) speed(endpoint int) float64 {
	const stride = 4
	position := endpoint * stride % d.Endpoints
	return 1 - (1-d.SlowestSpeed)*float64(position)/float64(d.Endpoints-1)
}

// domain returns the failure domain of an endpoint.
func (d Deployment) domain(endpoint int) string {
	return d.Domains[endpoint%len(d.Domains)]
}

// capacity returns the work, in run time on speed 1, that all slots can do per second.
func (d Deployment) capacity() float64 {
	sum := 0.0
	for i := range d.Endpoints {
		sum += float64(d.Slots) * d.speed(i)
	}
	return sum
}
