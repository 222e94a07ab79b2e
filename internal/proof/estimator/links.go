package estimator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/transport/authenticator"
	"github.com/burdockrudder/burdockrudder/internal/transport/linker"
)

const (
	// settleTime is the wait between the start of the links and a measurement. In
	// their first seconds, links probe for the largest packet size.
	settleTime  = 3 * time.Second
	idleTime    = 3 * time.Second
	busyTime    = 2 * time.Second
	linkTimeout = time.Minute
	// busyLinks is the number of links that carry messages in the measurement.
	busyLinks = 100
)

var linkCounts = []int{25, 50, 100, 200}

// messageRates are messages per second and link, each way.
var messageRates = []int{2, 5, 10, 25, 50}

// counter is a handler that counts links and messages.
type counter struct {
	linked   atomic.Int64
	received atomic.Int64
}

// Linked implements linker.Handler.
func (c *counter) Linked(messenger.Hello) { c.linked.Add(1) }

// Unlinked implements linker.Handler.
func (c *counter) Unlinked(messenger.Incarnation) { c.linked.Add(-1) }

// Received implements linker.Handler.
func (c *counter) Received(messenger.Incarnation, messenger.Message) { c.received.Add(1) }

// mesh is one entry and agents in this process, linked over loopback.
type mesh struct {
	entry   *linker.Transport
	agents  []*linker.Transport
	counter counter
	group   *errgroup.Group
	cancel  context.CancelFunc
}

// newMesh starts one entry and the given number of agents.
func newMesh(ctx context.Context, agents int) (*mesh, error) {
	authority, err := authenticator.NewAuthority("capacity", time.Hour)
	if err != nil {
		return nil, err
	}
	m := &mesh{}
	if m.entry, err = m.transport(authority, messenger.RoleEntry, 0); err != nil {
		return nil, err
	}
	m.entry.Listen = "127.0.0.1:0"
	for i := range agents {
		agent, err := m.transport(authority, messenger.RoleAgent, i)
		if err != nil {
			return nil, err
		}
		m.agents = append(m.agents, agent)
	}
	ctx, m.cancel = context.WithCancel(ctx)
	m.group, ctx = errgroup.WithContext(ctx)
	m.group.Go(func() error { return m.entry.Run(ctx) })
	target := messenger.EntryAddress{Name: m.entry.Hello.Name, Incarnation: m.entry.Hello.Incarnation, Address: m.entry.Address()}
	for _, a := range m.agents {
		a.SetTargets([]messenger.EntryAddress{target})
		m.group.Go(func() error { return a.Run(ctx) })
	}
	if err := m.awaitLinks(ctx); err != nil {
		return nil, errors.Join(err, m.close())
	}
	return m, nil
}

func (m *mesh) transport(authority *authenticator.Authority, role messenger.Role, i int) (*linker.Transport, error) {
	hello := messenger.Hello{Role: role, Name: fmt.Sprintf("%s-%04d", role, i), Incarnation: processName(string(role), i)}
	var config *tls.Config
	config, err := authority.Config(authenticator.Identity{Name: hello.Name, Role: string(role)}, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return nil, err
	}
	return &linker.Transport{Hello: hello, TLS: config, Handler: &m.counter}, nil
}

func (m *mesh) awaitLinks(ctx context.Context) error {
	deadline := time.Now().Add(linkTimeout)
	for m.counter.linked.Load() < int64(2*len(m.agents)) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("%d of %d link ends open after %v", m.counter.linked.Load(), 2*len(m.agents), linkTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func (m *mesh) close() error {
	m.cancel()
	return m.group.Wait()
}

// usage is CPU time in microseconds and UDP payload in bytes, per second.
type usage struct{ cpu, bytes float64 }

// observe returns the mean usage while work runs.
func (m *mesh) observe(work func() error) (usage, error) {
	startedAt, cpu, traffic := time.Now(), cpuTime(), m.entry.Traffic()
	if err := work(); err != nil {
		return usage{}, err
	}
	seconds := time.Since(startedAt).Seconds()
	after := m.entry.Traffic()
	if after.Links != traffic.Links {
		return usage{}, fmt.Errorf("%d links at the start and %d at the end", traffic.Links, after.Links)
	}
	return usage{
		cpu:   float64(cpuTime()-cpu) / float64(time.Microsecond) / seconds,
		bytes: float64(after.Bytes-traffic.Bytes) / seconds,
	}, nil
}

// exchange sends a Start to every agent and a Finished from every agent at the
// given rate. The sends are spread over the interval.
func (m *mesh) exchange(rate int) error {
	deadline := time.Now().Add(busyTime)
	start, finished := sizedKinds()[0].build(payloadBytes), sizedKinds()[1].build(payloadBytes)
	pause := time.Second / time.Duration(rate*len(m.agents))
	for next := time.Now(); next.Before(deadline); {
		for _, a := range m.agents {
			sent := m.entry.Send(a.Hello.Incarnation, start) && a.Send(m.entry.Hello.Incarnation, finished)
			if !sent {
				return errors.New("link did not accept a message: it is not open or its queue is full")
			}
			next = next.Add(pause)
			time.Sleep(time.Until(next))
		}
	}
	return nil
}

// links measures links over real QUIC connections on loopback. CPU times are the sum
// of both ends.
func (s *Slopes) links(ctx context.Context) error {
	var setup, idleCPU, idleBytes []Point
	for _, n := range linkCounts {
		before := cpuTime()
		m, err := newMesh(ctx, n)
		if err != nil {
			return err
		}
		setup = append(setup, Point{float64(n), float64(cpuTime()-before) / float64(time.Microsecond)})
		time.Sleep(settleTime)
		idle, err := m.observe(func() error { time.Sleep(idleTime); return nil })
		if err = errors.Join(err, m.close()); err != nil {
			return err
		}
		idleCPU = append(idleCPU, Point{float64(n), idle.cpu})
		idleBytes = append(idleBytes, Point{float64(n), idle.bytes})
	}
	for _, slope := range []Slope{
		{ID: "link.setup.cpu", What: "CPU of both ends to issue a certificate and open links", Unit: "µs", Per: "link", Points: setup},
		{ID: "link.idle.cpu", What: "CPU of both ends of idle links", Unit: "µs/s", Per: "link", Points: idleCPU},
		{ID: "link.idle.bytes", What: "UDP payload of idle links, both ways", Unit: "bytes/s", Per: "link", Points: idleBytes},
	} {
		if err := s.Add(slope); err != nil {
			return err
		}
	}
	return s.linkMessages(ctx)
}

func (s *Slopes) linkMessages(ctx context.Context) (err error) {
	m, err := newMesh(ctx, busyLinks)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, m.close()) }()
	time.Sleep(settleTime)
	var cpu, bytes []Point
	for _, rate := range messageRates {
		before := m.counter.received.Load()
		u, err := m.observe(func() error { return m.exchange(rate) })
		if err != nil {
			return err
		}
		perSecond := float64(m.counter.received.Load()-before) / busyTime.Seconds()
		cpu = append(cpu, Point{perSecond, u.cpu})
		bytes = append(bytes, Point{perSecond, u.bytes})
	}
	if err := s.Add(Slope{ID: "link.message.cpu", What: "CPU of both ends of 100 links with codec, starts and results of 256 B sent one by one",
		Unit: "µs/s", Per: "message/s", Points: cpu}); err != nil {
		return err
	}
	return s.Add(Slope{ID: "link.message.bytes", What: "UDP payload of the same, acknowledgements included", Unit: "bytes/s", Per: "message/s", Points: bytes})
}
