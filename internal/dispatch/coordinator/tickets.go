package coordinator

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

const (
	ticketPrefix = "t."
	// maxTicketsPerCall bounds the number of ids issued by one call.
	maxTicketsPerCall = 10_000
	numberBase        = 36
)

// issuedTickets records the ticket ids issued for one service.
type issuedTickets struct {
	next   uint64
	blocks []ticketBlock
	used   map[uint64]bool
}

type ticketBlock struct {
	from, to  uint64
	expiresAt time.Time
}

func ticketID(owner messenger.Incarnation, number uint64) string {
	return ticketPrefix + string(owner) + "." + strconv.FormatUint(number, numberBase)
}

// TicketOwner returns the incarnation that issued a ticket id. Only that incarnation may
// start the submission.
func TicketOwner(id string) (messenger.Incarnation, bool) {
	rest, ok := strings.CutPrefix(id, ticketPrefix)
	if !ok {
		return "", false
	}
	owner, number, ok := strings.Cut(rest, ".")
	if !ok || owner == "" {
		return "", false
	}
	if _, err := strconv.ParseUint(number, numberBase, 64); err != nil {
		return "", false
	}
	return messenger.Incarnation(owner), true
}

func ticketNumber(id string) uint64 {
	number, _ := strconv.ParseUint(id[strings.LastIndexByte(id, '.')+1:], numberBase, 64)
	return number
}

func (s *State) issuedTicketsOf(key serviceKey) *issuedTickets {
	b := s.tickets[key]
	if b == nil {
		b = &issuedTickets{used: make(map[uint64]bool)}
		s.tickets[key] = b
	}
	return b
}

// issueTickets issues a block of consecutive ids.
func (s *State) issueTickets(e TicketsRequested) {
	w := waiter{call: e.Call}
	key := messenger.SubmissionKey{Firm: e.Firm, Service: e.Service}
	if !s.lifeCycle.Is(entryActive) {
		s.replyRefusal(w, key, messenger.CodeNotRun, "this entry is "+s.lifeCycle.Current())
		return
	}
	if _, ok := s.tree.ResolveAdmission(e.Firm, e.Service); !ok {
		s.replyRefusal(w, key, messenger.CodeNotFound, "no such service")
		return
	}
	if e.Count < 1 || e.Count > maxTicketsPerCall {
		s.replyRefusal(w, key, messenger.CodeNeverRunnable, "the count must be from 1 to "+strconv.Itoa(maxTicketsPerCall))
		return
	}
	b := s.issuedTicketsOf(serviceKey{firm: e.Firm, service: e.Service})
	from := b.next
	b.next += uint64(e.Count)
	b.blocks = append(b.blocks, ticketBlock{from: from, to: b.next, expiresAt: s.now.Add(s.Config.TicketLifetime)})
	ids := make([]string, 0, e.Count)
	for n := from; n < b.next; n++ {
		ids = append(ids, ticketID(s.Config.Incarnation, n))
	}
	s.reply(w, TicketsAnswer{IDs: ids})
}

// submitTicket starts a submission whose id this incarnation issued, without first
// writing a row. If the ticket is used, expired or unknown, the caller is answered from
// the rows in the store.
func (s *State) submitTicket(w waiter, submission messenger.Submission, settings resolver.Resolved) {
	key := submission.Key
	b := s.issuedTicketsOf(serviceKey{firm: key.Firm, service: key.Service})
	number := ticketNumber(key.ID)
	if !b.valid(number, s.now) {
		s.refuseAfterRead(w, submission, messenger.CodeNotRun, "the ticket has expired or was not issued by this entry")
		return
	}
	if b.used[number] {
		s.refuseAfterRead(w, submission, messenger.CodeOutcomeUnknown, "the ticket was used; its outcome is no longer here")
		return
	}
	b.used[number] = true
	j := s.newJob(submission, settings)
	j.ticket = true
	j.waiters = append(j.waiters, w)
	s.startJob(j)
}

// valid reports whether a number belongs to an unexpired block. Blocks are sorted by
// number; the search is binary because clients that request tickets one by one create
// many blocks.
func (b *issuedTickets) valid(number uint64, now time.Time) bool {
	at := sort.Search(len(b.blocks), func(i int) bool { return number < b.blocks[i].to })
	return at < len(b.blocks) && number >= b.blocks[at].from && now.Before(b.blocks[at].expiresAt)
}

// submitForeignTicket forwards a ticket's submission to the incarnation that issued the
// ticket. If that incarnation is unreachable, the caller is answered from the rows in the
// store.
func (s *State) submitForeignTicket(w waiter, submission messenger.Submission, owner messenger.Incarnation) {
	if !s.reachable(owner) {
		s.refuseAfterRead(w, submission, messenger.CodeOutcomeUnknown, "the entry that issued the ticket cannot be reached")
		return
	}
	row := IntentRow{
		Key:      submission.Key,
		Owner:    owner,
		Digest:   submission.Digest,
		Tasks:    len(submission.Tasks),
		Deadline: submission.Deadline,
	}
	s.addRemote(row, &submission, []waiter{w})
}

// expireTickets removes expired blocks.
func (s *State) expireTickets() {
	for _, b := range s.tickets {
		for len(b.blocks) > 0 && !s.now.Before(b.blocks[0].expiresAt) {
			for n := b.blocks[0].from; n < b.blocks[0].to; n++ {
				delete(b.used, n)
			}
			b.blocks = b.blocks[1:]
		}
	}
}
