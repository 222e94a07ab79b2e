package driver

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// The times of the store outage and of the load before, during and after it.
const (
	// loadFrom gives the entries time to become ready; until then they refuse jobs.
	loadFrom       = 3 * time.Second
	outageFrom     = 10 * time.Second
	outageUntil    = 70 * time.Second
	loadUntil      = 80 * time.Second
	submitInterval = 200 * time.Millisecond
	resubmitPause  = 500 * time.Millisecond
	// pollInterval is the interval at which a client polls for its answer.
	pollInterval = 20 * time.Millisecond
)

// outageClient submits one job, and repeats it after refusals until it has an outcome.
type outageClient struct {
	world      *World
	number     int
	submission messenger.Submission
	startedAt  time.Duration
	response   time.Duration
	refusals   int
	// answersRead is the number of World.Answers that this client has read.
	answersRead int
	outcome     *messenger.Outcome
}

func (c *outageClient) entry() string {
	return fmt.Sprintf("entry-%d", (c.number+c.refusals)%c.world.Entries+1)
}

// submit sends the job and polls for the answer. After a refusal it submits the job with
// the same id to the next entry.
func (c *outageClient) submit() {
	call := c.world.Submit(c.entry(), c.submission)
	c.pollAnswer(call, func(answer coordinator.Answer) {
		if a, ok := answer.(coordinator.OutcomeAnswer); ok {
			c.outcome, c.response = &a.Outcome, c.world.Elapsed()-c.startedAt
			return
		}
		c.refusals++
		c.world.At(c.world.Elapsed()+resubmitPause, c.submit)
	})
}

// submitTicket requests a ticket and then submits the job under the ticket's id.
func (c *outageClient) submitTicket() {
	call := c.world.Call(c.entry(), func(call coordinator.CallID) coordinator.Event {
		return coordinator.TicketsRequested{Call: call, Firm: firmName, Service: serviceName, Count: 1}
	})
	c.pollAnswer(call, func(answer coordinator.Answer) {
		if tickets, ok := answer.(coordinator.TicketsAnswer); ok {
			c.submission.Key.ID = tickets.IDs[0]
			c.submit()
		}
	})
}

func (c *outageClient) pollAnswer(call coordinator.CallID, then func(coordinator.Answer)) {
	for ; c.answersRead < len(c.world.Answers); c.answersRead++ {
		if answer := c.world.Answers[c.answersRead]; answer.Call == call {
			then(answer.Answer)
			return
		}
	}
	c.world.At(c.world.Elapsed()+pollInterval, func() { c.pollAnswer(call, then) })
}

// resubmit submits the job to another entry, usually while the first call is in progress.
// It does nothing if the client has not received its ticket yet.
func (c *outageClient) resubmit() {
	if c.submission.Key.ID != "" {
		c.world.Submit(fmt.Sprintf("entry-%d", (c.number+1)%c.world.Entries+1), c.submission)
	}
}

func startOutageClients(w *World, tickets bool) []*outageClient {
	random := rand.New(rand.NewPCG(w.Seed, 60))
	var clients []*outageClient
	for at := loadFrom; at < loadUntil; at += submitInterval {
		c := &outageClient{world: w, number: len(clients), startedAt: at}
		c.submission = testSubmission(fmt.Sprintf("job-%03d", c.number), 1+random.IntN(6), func() Payload {
			return Payload{RunTime: 50*time.Millisecond + time.Duration(random.Int64N(int64(950*time.Millisecond)))}
		})
		clients = append(clients, c)
		w.At(at, func() {
			if tickets {
				c.submission.Key.ID = ""
				c.submitTicket()
				return
			}
			c.submit()
		})
		if c.number%3 == 0 {
			w.At(at+resubmitPause, c.resubmit)
		}
	}
	return clients
}

// median returns the median response time of the clients that started at or after from
// and before until.
func median(clients []*outageClient, from, until time.Duration) time.Duration {
	var responses []time.Duration
	for _, c := range clients {
		if c.startedAt >= from && c.startedAt < until {
			responses = append(responses, c.response)
		}
	}
	slices.Sort(responses)
	return responses[len(responses)/2]
}

// Guards against a store outage of 60 s that stops work which does not need the store,
// loses jobs, starts tasks twice or leads to untrue refusals. Jobs with tickets must not
// be refused during the outage. Jobs with ids that the clients chose may be refused, and
// must complete once the store is available again.
func TestStoreOutageOfAMinute(t *testing.T) {
	for _, tickets := range []bool{true, false} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("tickets_%t/seed_%d", tickets, seed), func(t *testing.T) {
				t.Parallel()
				runOutage(t, tickets, seed)
			})
		}
	}
}

func runOutage(t *testing.T, tickets bool, seed uint64) {
	w := &World{Seed: seed, Entries: 3, Agents: 11, Slots: 8, Domains: domains, Tree: testTree()}
	w.Start()
	clients := startOutageClients(w, tickets)
	w.At(outageFrom, func() { w.SetStoreDown(true) })
	w.At(outageUntil, func() { w.SetStoreDown(false) })
	w.Run(2 * time.Minute)
	for _, violation := range w.Violations() {
		t.Error(violation)
	}
	for _, c := range clients {
		if c.outcome == nil || c.outcome.Status != messenger.OutcomeComplete {
			t.Errorf("job %d, first submitted at %s, ended with outcome %+v", c.number, c.startedAt, c.outcome)
		}
		if tickets && c.refusals > 0 {
			t.Errorf("job %d was refused %d times", c.number, c.refusals)
		}
	}
	t.Logf("median response before, during and after the outage: %s, %s, %s", median(clients, 0, outageFrom),
		median(clients, outageFrom, outageUntil), median(clients, outageUntil, loadUntil))
	t.Logf("median response at the start of the outage: %s; of its last jobs: %s", median(clients, outageFrom-time.Second, outageFrom+time.Second),
		median(clients, outageUntil-resubmitPause, outageUntil))
}
