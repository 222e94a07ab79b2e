package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"net/url"

	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// SubmitJob submits a job and returns its outcome, or its id with the status
// in_progress if job.Wait is false. An absent id is drawn before the first try,
// so that every try names the same submission.
func (c *Client) SubmitJob(ctx context.Context, firm, service string, job translator.Job) (translator.Outcome, error) {
	drawID(&job.ID)
	return c.submit(ctx, servicePath(firm, service, "/jobs"), job.ID, job)
}

// SubmitRequest submits a request, as SubmitJob does a job.
func (c *Client) SubmitRequest(ctx context.Context, firm, service string, request translator.Request) (translator.Outcome, error) {
	drawID(&request.ID)
	return c.submit(ctx, servicePath(firm, service, "/requests"), request.ID, request)
}

func drawID(id *string) {
	if *id == "" {
		*id = rand.Text()
	}
}

func (c *Client) submit(ctx context.Context, path, id string, body any) (translator.Outcome, error) {
	var outcome translator.Outcome
	err := c.do(ctx, call{method: http.MethodPost, path: path, body: body}, &outcome)
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		unknown.ID = id
	}
	return outcome, err
}

// Job returns the outcome of a submission. With wait it waits until the
// submission is settled.
func (c *Client) Job(ctx context.Context, firm, service, id string, wait bool) (translator.Outcome, error) {
	path := jobPath(firm, service, id)
	if wait {
		path += "?wait=true"
	}
	var outcome translator.Outcome
	err := c.do(ctx, call{method: http.MethodGet, path: path}, &outcome)
	return outcome, err
}

func jobPath(firm, service, id string) string {
	return servicePath(firm, service, "/jobs/"+url.PathEscape(id))
}

// Cancel cancels one submission and returns how many were found.
func (c *Client) Cancel(ctx context.Context, firm, service, id string) (translator.Cancelled, error) {
	var cancelled translator.Cancelled
	err := c.do(ctx, call{method: http.MethodDelete, path: jobPath(firm, service, id)}, &cancelled)
	return cancelled, err
}

// CancelPrefix cancels all submissions whose id starts with prefix.
func (c *Client) CancelPrefix(ctx context.Context, firm, service, prefix string) (translator.Cancelled, error) {
	var cancelled translator.Cancelled
	path := servicePath(firm, service, "/cancel")
	err := c.do(ctx, call{method: http.MethodPost, path: path, body: translator.CancelPrefix{Prefix: prefix}}, &cancelled)
	return cancelled, err
}

// Tickets asks for a block of submission ids.
func (c *Client) Tickets(ctx context.Context, firm, service string, count int) (translator.Tickets, error) {
	var tickets translator.Tickets
	path := servicePath(firm, service, "/tickets")
	err := c.do(ctx, call{method: http.MethodPost, path: path, body: translator.TicketCount{Count: count}}, &tickets)
	return tickets, err
}
