package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// maxTicketAge is half of the time for which an entry accepts the tickets that it issued.
const maxTicketAge = 5 * time.Minute

// serviceName identifies the service that tickets are for.
type serviceName struct{ firm, service string }

// ticket is an unused submission id that an entry issued.
type ticket struct {
	id, server string
	receivedAt time.Time
}

// ticketStore stores the tickets of a client. Its zero value is ready for use.
type ticketStore struct {
	mu     sync.Mutex
	unused map[serviceName][]ticket
	// issuers maps the part of the id that names the entry's incarnation to its server.
	issuers map[string]string
	// unsent contains the tickets that NewID returned and that were not sent yet.
	unsent map[string]bool
}

// NewID returns an id for a new submission: a ticket if TicketBlock is set and an entry
// issues tickets, otherwise a random id.
func (c *Client) NewID(ctx context.Context, firm, service string) string {
	if c.TicketBlock <= 0 {
		return rand.Text()
	}
	name := serviceName{firm, service}
	if id, ok := c.tickets.take(name); ok {
		return id
	}
	var tickets translator.Tickets
	request := ticketsCall(firm, service, c.TicketBlock)
	server, err := c.do(ctx, c.Servers, request, &tickets)
	if err != nil {
		return rand.Text()
	}
	c.tickets.add(name, server, tickets.IDs)
	if id, ok := c.tickets.take(name); ok {
		return id
	}
	return rand.Text()
}

// take removes and returns an unused ticket that is younger than maxTicketAge.
func (s *ticketStore) take(name serviceName) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.unused[name]) > 0 {
		next := s.unused[name][0]
		s.unused[name] = s.unused[name][1:]
		if time.Since(next.receivedAt) < maxTicketAge {
			s.unsent[next.id] = true
			return next.id, true
		}
	}
	return "", false
}

func (s *ticketStore) add(name serviceName, server string, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unused == nil {
		s.unused = make(map[serviceName][]ticket)
		s.issuers = make(map[string]string)
		s.unsent = make(map[string]bool)
	}
	for _, id := range ids {
		s.unused[name] = append(s.unused[name], ticket{id: id, server: server, receivedAt: time.Now()})
		s.issuers[issuerOf(id)] = server
	}
}

// issuerOf returns the part of a ticket that names the incarnation of its issuer.
func issuerOf(id string) string {
	return id[:max(0, strings.LastIndexByte(id, '.'))]
}

// serversFor returns the servers to try for a submission. A ticket is sent to its issuer
// first, because another entry would have to forward it. On the first submission with a
// ticket, the issuer is the only server: if the issuer cannot be reached, it is certain
// that the ticket was not used.
func (s *ticketStore) serversFor(id string, servers []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	issuer, known := s.issuers[issuerOf(id)]
	if !known {
		return servers
	}
	if s.unsent[id] {
		delete(s.unsent, id)
		return []string{issuer}
	}
	rest := slices.DeleteFunc(slices.Clone(servers), func(server string) bool { return server == issuer })
	return append([]string{issuer}, rest...)
}

// dropTicketsOfIssuer removes all unused tickets of the server that issued id.
func (s *ticketStore) dropTicketsOfIssuer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	issuer, known := s.issuers[issuerOf(id)]
	if !known {
		return
	}
	for name, tickets := range s.unused {
		s.unused[name] = slices.DeleteFunc(tickets, func(t ticket) bool { return t.server == issuer })
	}
}

// provesNotRun reports whether err proves that the submission did not start and that no
// entry has a record of it. The proof holds only if this was the submission's first try.
func provesNotRun(err error) bool {
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return true
	}
	var unknown *UnknownError
	var fault *translator.Error
	return !errors.As(err, &unknown) && errors.As(err, &fault) && fault.Code == translator.CodeNotRun
}
