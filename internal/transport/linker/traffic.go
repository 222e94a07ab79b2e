package linker

// Traffic counts the open links and the UDP payload that they have transferred.
type Traffic struct {
	Links   int
	Bytes   uint64
	Packets uint64
}

// Traffic returns the sum over both directions of all links that are open.
// Connections that have ended are not included.
func (t *Transport) Traffic() Traffic {
	t.setup()
	var sum Traffic
	for _, l := range t.registry.links() {
		w, ok := l.wire.(quicWire)
		if !ok {
			continue
		}
		stats := w.conn.ConnectionStats()
		sum.Links++
		sum.Bytes += stats.BytesSent + stats.BytesReceived
		sum.Packets += stats.PacketsSent + stats.PacketsReceived
	}
	return sum
}

func (r *registry) links() []*link {
	r.mu.RLock()
	defer r.mu.RUnlock()
	links := make([]*link, 0, len(r.peers))
	for _, p := range r.peers {
		if l := p.current.Load(); l != nil {
			links = append(links, l)
		}
	}
	return links
}
