package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
	"github.com/burdockrudder/burdockrudder/internal/standin/executor"
)

const (
	// jobDeadline exceeds by far the run time of the longest task on the slowest
	// endpoint.
	jobDeadline = 25 * time.Second
	// resubmitDelay is the time after which a client submits a running job again.
	resubmitDelay = 300 * time.Millisecond
	// retryDelay is the wait between two attempts of a call.
	retryDelay = 500 * time.Millisecond
	// callTimeout limits the time in which a client repeats a call.
	callTimeout = 40 * time.Second
	// ticketBlock is how many tickets a client holds per entry.
	ticketBlock = 20
)

// delayedTransport delays requests and responses by the one-way delay between
// clients and entries.
type delayedTransport struct {
	delay time.Duration
	inner http.RoundTripper
}

// CloseIdleConnections closes the idle connections of the inner transport.
func (t delayedTransport) CloseIdleConnections() {
	if inner, ok := t.inner.(interface{ CloseIdleConnections() }); ok {
		inner.CloseIdleConnections()
	}
}

// RoundTrip delays the request and the response.
func (t delayedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(t.delay)
	response, err := t.inner.RoundTrip(request)
	time.Sleep(t.delay)
	return response, err
}

// result is the result of one job's submission.
type result struct {
	job      int
	id       string
	outcome  translator.Outcome
	answered bool
	refused  error
	response time.Duration
}

// clients submits the load and collects the results.
type clients struct {
	cluster   *cluster
	startedAt time.Time
	http      *http.Client
	// ticketClients are the clients that hold tickets and draw the ids of the jobs from
	// them, one per entry; empty without tickets.
	ticketClients []*caller.Client

	mu      sync.Mutex
	ids     map[int]string
	results []result
	// resubmitted holds the outcomes that resubmissions received, by job.
	resubmitted map[int][]translator.Outcome
}

func newClients(c *cluster, ids IDs) *clients {
	client := c.httpClient()
	client.Transport = delayedTransport{delay: c.deployment.ClientDelay, inner: client.Transport}
	all := &clients{
		cluster:     c,
		http:        client,
		ids:         make(map[int]string),
		resubmitted: make(map[int][]translator.Outcome),
	}
	if ids == IDsTickets {
		for i := range c.entries {
			ticketClient := all.client(i, callerSecret)
			ticketClient.TicketBlock = ticketBlock
			all.ticketClients = append(all.ticketClients, ticketClient)
		}
	}
	return all
}

// submitter returns the client for an attempt.
func (c *clients) submitter(number int) *caller.Client {
	if len(c.ticketClients) > 0 {
		return c.ticketClients[number%len(c.ticketClients)]
	}
	return c.client(number, callerSecret)
}

// newID draws a new id for a job, which must be certain not to have run under an
// earlier id.
func (c *clients) newID(ctx context.Context, number int, job plannedJob, client *caller.Client) string {
	id := job.id
	if len(c.ticketClients) > 0 {
		id = client.NewID(ctx, c.cluster.deployment.Firm, c.cluster.deployment.Service)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids[number] = id
	return id
}

func (c *clients) idOf(number int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[number]
}

// client returns a client that tries the entries in turn, starting with the given
// one.
func (c *clients) client(first int, key string) *caller.Client {
	client := &caller.Client{Key: key, HTTP: c.http}
	for i := range c.cluster.entries {
		entry := c.cluster.entries[(first+i)%len(c.cluster.entries)]
		client.Servers = append(client.Servers, entry.url)
	}
	return client
}

func jobBody(job plannedJob, id string) translator.Job {
	body := translator.Job{Options: translator.Options{
		ID: id, Deadline: resolver.Duration(jobDeadline),
	}}
	if job.high {
		body.Priority = "high"
	}
	for _, task := range job.tasks {
		body.Tasks = append(body.Tasks, translator.Task{
			Payload:         encodePayload(task),
			DeclaredRunTime: resolver.Duration(task.declared),
		})
	}
	return body
}

// submit sends a job and repeats it until the answer is final. Once the outcome of
// an attempt is unknown, all further attempts use the same id.
func (c *clients) submit(ctx context.Context, number int, job plannedJob) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := result{job: number, id: c.newID(ctx, number, job, c.submitter(number))}
	outcomeUnknown := false
	for attempt := 0; ; attempt++ {
		client := c.submitter(number + attempt)
		if attempt > 0 && !outcomeUnknown {
			r.id = c.newID(ctx, number, job, client)
		}
		outcome, err := client.SubmitJob(ctx, c.cluster.deployment.Firm, c.cluster.deployment.Service, jobBody(job, r.id))
		if err == nil {
			r.outcome, r.answered = outcome, true
			break
		}
		r.refused = err
		var unknown *caller.UnknownError
		outcomeUnknown = outcomeUnknown || errors.As(err, &unknown)
		if !mayRetry(err) || !sleep(ctx, retryDelay) {
			break
		}
	}
	r.response = time.Since(c.startedAt) - job.arrival
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// mayRetry reports whether another attempt may get the answer.
func mayRetry(err error) bool {
	var unknown *caller.UnknownError
	if errors.As(err, &unknown) {
		return true
	}
	var refused *translator.Error
	if !errors.As(err, &refused) {
		return true
	}
	switch refused.Code {
	case translator.Code(messenger.CodeNotRun), translator.Code(messenger.CodeOutcomeUnknown):
		return true
	default:
		return false
	}
}

// sleep waits for length and reports whether ctx lasted until then.
func sleep(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

// resubmit sends a running job again with the same id, to another entry.
func (c *clients) resubmit(ctx context.Context, number int, job plannedJob) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !sleep(ctx, resubmitDelay) {
		return
	}
	client := c.client(number+1, callerSecret)
	outcome, err := client.SubmitJob(ctx, c.cluster.deployment.Firm, c.cluster.deployment.Service, jobBody(job, c.idOf(number)))
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resubmitted[number] = append(c.resubmitted[number], outcome)
}

// wrongAnswers counts complete outcomes that lack a result or contain a result of
// another job, and resubmissions that received a different outcome.
func (c *clients) wrongAnswers(jobs []plannedJob) int {
	wrong := 0
	for _, r := range c.results {
		if !r.answered {
			continue
		}
		if r.outcome.Status == translator.StatusComplete && !hasAllResults(jobs[r.job], r) {
			wrong++
		}
		for _, outcome := range c.resubmitted[r.job] {
			if outcome.ID == r.id && !cmp.Equal(outcome, r.outcome) {
				wrong++
			}
		}
	}
	return wrong
}

func hasAllResults(job plannedJob, r result) bool {
	if r.outcome.ID != r.id || len(r.outcome.Tasks) != len(job.tasks) {
		return false
	}
	for i, task := range r.outcome.Tasks {
		if task.State != messenger.TaskSucceeded || !hasEcho(task.Result, job.tasks[i].echo) {
			return false
		}
	}
	return true
}

func encodePayload(task plannedTask) json.RawMessage {
	echo, err := json.Marshal(task.echo)
	if err != nil {
		panic(fmt.Sprintf("encode echo: %v", err))
	}
	text, err := json.Marshal(executor.Payload{RunTimeMS: float64(task.runTime.Milliseconds()), Echo: echo})
	if err != nil {
		panic(fmt.Sprintf("encode payload: %v", err))
	}
	return text
}

func hasEcho(body []byte, want string) bool {
	var got executor.Result
	var echo string
	if json.Unmarshal(body, &got) != nil || json.Unmarshal(got.Echo, &echo) != nil {
		return false
	}
	return echo == want
}
