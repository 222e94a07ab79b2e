// Package caller is the Go client of the HTTP API.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// maxResponseBytes is the size limit of a response. It has room for 210 results of 256 KiB
// with their JSON framing.
const maxResponseBytes = 64 << 20

// Client calls the HTTP API of a list of entries. It is safe for concurrent use.
type Client struct {
	// Servers are the base URLs of the entries, such as https://entry-1:8443. After a
	// connection error or a 503, a call tries the next one.
	Servers []string
	// Key is the API key. It is sent as a bearer token.
	Key string
	// HTTP is the client that sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
	// TicketBlock is the number of tickets per request to an entry. Submissions without
	// an id use these tickets as ids. Zero means random ids, which need a write to the
	// table service.
	TicketBlock int

	tickets ticketStore
}

// UnknownError means that a call may or may not have taken effect. It is safe to repeat a
// submission with the same id.
type UnknownError struct {
	// ID is the id of the submission, empty for other calls.
	ID  string
	Err error
}

// Error returns a message with the id and the last error.
func (e *UnknownError) Error() string {
	if e.ID == "" {
		return "outcome unknown: " + e.Err.Error()
	}
	return "outcome of " + e.ID + " unknown: " + e.Err.Error()
}

// Unwrap returns the last error.
func (e *UnknownError) Unwrap() error { return e.Err }

// call is one API call.
type call struct {
	method string
	path   string
	header http.Header
	body   any
	// raw replaces body.
	raw []byte
	// atMostOnce means that the call must not be sent again after an entry may have
	// received it.
	atMostOnce bool
}

// reply is a response with a status below 400.
type reply struct {
	status int
	body   []byte
}

// do sends the call to one entry after another until one of them answers, and returns that
// entry's server. If an earlier try may have taken effect, a later entry that refuses its
// own try does not prove the contrary, so do returns an UnknownError.
func (c *Client) do(ctx context.Context, servers []string, request call, target any) (server string, err error) {
	body, err := request.encode()
	if err != nil {
		return "", err
	}
	if len(servers) == 0 {
		return "", errors.New("no server is configured")
	}
	arrived := false
	for _, server := range servers {
		got, tryErr := c.send(ctx, server, request, body)
		if tryErr == nil {
			return server, decodeReply(got, target)
		}
		err = moreInformative(err, tryErr)
		arrived = arrived || mayHaveTakenEffect(err)
		if ctx.Err() != nil || !shouldTryNext(err) || (arrived && request.atMostOnce) {
			break
		}
	}
	if request.method == http.MethodGet {
		return "", err
	}
	if arrived && (mayHaveTakenEffect(err) || concernsOnlyThisTry(err)) {
		return "", &UnknownError{Err: err}
	}
	return "", err
}

// call sends a call to the configured servers.
func (c *Client) call(ctx context.Context, request call, target any) error {
	_, err := c.do(ctx, c.Servers, request, target)
	return err
}

// moreInformative returns the error to report after a failed try. It keeps the error of an
// earlier try if the latest one did not reach an entry.
func moreInformative(earlier, latest error) error {
	var notSent *notSentError
	if earlier != nil && errors.As(latest, &notSent) {
		return earlier
	}
	return latest
}

func (r call) encode() ([]byte, error) {
	if r.raw != nil || r.body == nil {
		return r.raw, nil
	}
	body, err := json.Marshal(r.body)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	return body, nil
}

func decodeReply(got reply, target any) error {
	if err := json.Unmarshal(got.body, target); err != nil {
		return &UnknownError{Err: fmt.Errorf("decode response: %w", err)}
	}
	return nil
}

func (c *Client) send(ctx context.Context, server string, request call, body []byte) (reply, error) {
	target := strings.TrimSuffix(server, "/") + request.path
	req, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(body))
	if err != nil {
		return reply{}, &notSentError{fmt.Errorf("build request: %w", err)}
	}
	for name, values := range request.header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.client().Do(req)
	if err != nil {
		return reply{}, classify(err)
	}
	defer response.Body.Close()
	return read(response)
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func read(response *http.Response) (reply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return reply{}, fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return reply{response.StatusCode, body}, nil
	}
	fault := &translator.Error{}
	if err := json.Unmarshal(body, fault); err != nil || fault.Code == "" {
		return reply{}, &intermediaryError{response.StatusCode}
	}
	return reply{}, fault
}

// notSentError is an error that occurred before the request could reach an entry.
type notSentError struct{ err error }

// Error returns the text of the cause.
func (e *notSentError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.err }

// intermediaryError is an error response that was not written by an entry, but for example
// by a load balancer. The request may or may not have reached an entry.
type intermediaryError struct{ status int }

// Error returns a message with the HTTP status.
func (e *intermediaryError) Error() string {
	return fmt.Sprintf("status %d without an error body", e.status)
}

func classify(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &notSentError{err}
	}
	return err
}

// mayHaveTakenEffect reports whether a call that failed with err may have taken effect.
func mayHaveTakenEffect(err error) bool {
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return false
	}
	var fault *translator.Error
	if !errors.As(err, &fault) {
		return true
	}
	switch fault.Code {
	case translator.CodeOutcomeUnknown, translator.CodeNoAnswer, translator.CodeUnavailable, translator.CodeInternal:
		return true
	default:
		return false
	}
}

// shouldTryNext reports whether the call should be sent to the next entry. That is so after
// connection errors, after a 503 of an entry and after a 5xx of a load balancer.
func shouldTryNext(err error) bool {
	var fault *translator.Error
	if errors.As(err, &fault) {
		return fault.Code.Status() == http.StatusServiceUnavailable
	}
	var intermediary *intermediaryError
	if errors.As(err, &intermediary) {
		return intermediary.status >= http.StatusInternalServerError
	}
	return true
}

// concernsOnlyThisTry reports whether err concerns only the try that it ended, so that the
// effect of earlier tries remains unknown.
func concernsOnlyThisTry(err error) bool {
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return true
	}
	var fault *translator.Error
	if !errors.As(err, &fault) {
		return true
	}
	switch fault.Code {
	case translator.CodeNotRun, translator.CodeQuota, translator.CodeOverloaded, translator.CodeNeverRunnable:
		return true
	default:
		return false
	}
}

func servicePath(firm, service, rest string) string {
	return "/v1/firms/" + url.PathEscape(firm) + "/services/" + url.PathEscape(service) + rest
}
