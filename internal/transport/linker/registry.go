package linker

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// peer is an incarnation to which there is a link.
type peer struct {
	// mu serialises the handler calls for this incarnation. It ensures that no
	// message of a replaced link is delivered after the next Linked call.
	mu sync.Mutex
	// current is the link that delivers messages. Send reads it without mu, so
	// that a handler may send from within a call.
	current atomic.Pointer[link]
	// unlinked is closed, under mu, when the last link has ended.
	unlinked chan struct{}
	// removed is set, under mu, when the peer was removed from the registry.
	removed bool
}

// registry holds the linked peers and calls the handler.
type registry struct {
	handler Handler
	metrics *metrics

	mu    sync.RWMutex
	peers map[messenger.Incarnation]*peer
}

func (r *registry) find(incarnation messenger.Incarnation) *peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.peers[incarnation]
}

func (r *registry) findOrAdd(incarnation messenger.Incarnation) *peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[incarnation]
	if !ok {
		p = &peer{unlinked: make(chan struct{})}
		r.peers[incarnation] = p
		r.metrics.links.Update(float64(len(r.peers)))
	}
	return p
}

// remove deletes a peer from the registry. The caller must hold p.mu.
func (r *registry) remove(incarnation messenger.Incarnation, p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.removed = true
	delete(r.peers, incarnation)
	close(p.unlinked)
	r.metrics.links.Update(float64(len(r.peers)))
}

// attach makes l the current link of its peer and closes the previous one.
func (r *registry) attach(l *link) error {
	for {
		p := r.findOrAdd(l.peer.Incarnation)
		attached, err := r.attachTo(p, l)
		if attached || err != nil {
			return err
		}
	}
}

// attachTo makes l the current link of p. It returns false and no error if p was
// removed before its lock was acquired.
func (r *registry) attachTo(p *peer, l *link) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		return false, nil
	}
	old := p.current.Load()
	if old != nil && (old.peer.Name != l.peer.Name || old.peer.Role != l.peer.Role) {
		return false, fmt.Errorf("incarnation %q belongs to %s %q", l.peer.Incarnation, old.peer.Role, old.peer.Name)
	}
	l.owner = p
	p.current.Store(l)
	r.metrics.linked.Inc(1)
	if old != nil {
		r.metrics.replaced.Inc(1)
		old.fail(errReplaced)
		close(old.superseded)
	}
	r.handler.Linked(l.peer)
	return true, nil
}

// detach removes the peer of l and calls Unlinked, unless another link has replaced l.
func (r *registry) detach(l *link) {
	p := l.owner
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current.Load() != l {
		return
	}
	p.current.Store(nil)
	r.remove(l.peer.Incarnation, p)
	r.metrics.unlinked.Inc(1)
	r.handler.Unlinked(l.peer.Incarnation)
}

// deliver passes a message to the handler unless its link was replaced.
func (r *registry) deliver(l *link, m messenger.Message) {
	p := l.owner
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current.Load() != l {
		return
	}
	r.handler.Received(l.peer.Incarnation, m)
}
