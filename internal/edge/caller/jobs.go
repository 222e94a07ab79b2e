package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"net/url"

	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// SubmitJob submits a job and returns its outcome, or its id with the status in_progress
// if job.Wait is false. If job.ID is empty, an id is chosen before the first try, so that
// all tries concern the same submission. Another id is chosen only if it is certain that
// nothing ran under the first one.
func (c *Client) SubmitJob(ctx context.Context, firm, service string, job translator.Job) (translator.Outcome, error) {
	return c.submitNew(ctx, firm, service, job.ID, func(id string) call {
		job.ID = id
		return call{method: http.MethodPost, path: servicePath(firm, service, "/jobs"), body: job}
	})
}

// SubmitRequest submits a request in the same way as SubmitJob submits a job.
func (c *Client) SubmitRequest(ctx context.Context, firm, service string, request translator.Request) (translator.Outcome, error) {
	return c.submitNew(ctx, firm, service, request.ID, func(id string) call {
		request.ID = id
		return call{method: http.MethodPost, path: servicePath(firm, service, "/requests"), body: request}
	})
}

// submitNew submits under the given id, or under a new one.
func (c *Client) submitNew(ctx context.Context, firm, service, id string, build func(id string) call) (translator.Outcome, error) {
	if id != "" {
		return c.submit(ctx, id, build(id))
	}
	id = c.NewID(ctx, firm, service)
	outcome, err := c.submit(ctx, id, build(id))
	if err == nil || c.TicketBlock <= 0 || !provesNotRun(err) || ctx.Err() != nil {
		return outcome, err
	}
	// The entry that issued the ticket is unreachable or refused to run the submission,
	// for example because it drains. Every entry accepts a random id.
	id = rand.Text()
	return c.submit(ctx, id, build(id))
}

func (c *Client) submit(ctx context.Context, id string, request call) (translator.Outcome, error) {
	var outcome translator.Outcome
	_, err := c.do(ctx, c.tickets.serversFor(id, c.Servers), request, &outcome)
	if provesNotRun(err) {
		c.tickets.dropTicketsOfIssuer(id)
	}
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		unknown.ID = id
	}
	return outcome, err
}

// Job returns the outcome of a submission. If wait is true, it waits until the submission
// has its final outcome.
func (c *Client) Job(ctx context.Context, firm, service, id string, wait bool) (translator.Outcome, error) {
	path := jobPath(firm, service, id)
	if wait {
		path += "?wait=true"
	}
	var outcome translator.Outcome
	err := c.call(ctx, call{method: http.MethodGet, path: path}, &outcome)
	return outcome, err
}

func jobPath(firm, service, id string) string {
	return servicePath(firm, service, "/jobs/"+url.PathEscape(id))
}

// Cancel cancels one submission and returns the number of submissions that were found.
func (c *Client) Cancel(ctx context.Context, firm, service, id string) (translator.Cancelled, error) {
	var cancelled translator.Cancelled
	err := c.call(ctx, call{method: http.MethodDelete, path: jobPath(firm, service, id)}, &cancelled)
	return cancelled, err
}

// CancelPrefix cancels all submissions whose ids start with prefix.
func (c *Client) CancelPrefix(ctx context.Context, firm, service, prefix string) (translator.Cancelled, error) {
	var cancelled translator.Cancelled
	path := servicePath(firm, service, "/cancel")
	err := c.call(ctx, call{method: http.MethodPost, path: path, body: translator.CancelPrefix{Prefix: prefix}}, &cancelled)
	return cancelled, err
}

// Tickets requests count tickets, which are submission ids that the entry issues.
func (c *Client) Tickets(ctx context.Context, firm, service string, count int) (translator.Tickets, error) {
	var tickets translator.Tickets
	err := c.call(ctx, ticketsCall(firm, service, count), &tickets)
	return tickets, err
}

func ticketsCall(firm, service string, count int) call {
	path := servicePath(firm, service, "/tickets")
	return call{method: http.MethodPost, path: path, body: translator.TicketCount{Count: count}}
}
