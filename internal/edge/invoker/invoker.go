// Package invoker is the agent's HTTP client for its endpoint and the HTTP handler for the
// endpoint's announcements.
package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
)

// PathTasks is the endpoint's URL path for tasks.
const PathTasks = "/v1/tasks"

// The HTTP headers of an invocation and its answer. Ids are percent-encoded.
const (
	HeaderFirm       = "Burdockrudder-Firm"
	HeaderService    = "Burdockrudder-Service"
	HeaderSubmission = "Burdockrudder-Submission"
	HeaderTask       = "Burdockrudder-Task"
	HeaderAttempt    = "Burdockrudder-Attempt"
	HeaderNotStarted = "Burdockrudder-Not-Started"
)

const (
	// MaxConnections is the maximum number of connections to one endpoint.
	MaxConnections = 64
	// MaxPayloadBytes is the size limit of an invocation's body.
	MaxPayloadBytes = 256 << 10
	// MaxResultBytes is the size limit of an answer's body.
	MaxResultBytes = 256 << 10
)

var (
	// ErrNotStarted means that the endpoint did not start the task.
	ErrNotStarted = errors.New("task not started")
	// ErrMayHaveRun means that it is unknown whether the task ran.
	ErrMayHaveRun = errors.New("task may have run")
)

// Invocation is one attempt of a task.
type Invocation struct {
	Task    messenger.TaskKey
	Attempt int
	Payload []byte
}

// Result is the endpoint's answer about a task that ran.
type Result struct {
	Succeeded bool
	Body      []byte
	// Reason says why a task failed.
	Reason string
}

// Endpoint runs tasks. If there is no result, Invoke returns an error that wraps
// ErrNotStarted or ErrMayHaveRun.
type Endpoint interface {
	Invoke(ctx context.Context, invocation Invocation) (Result, error)
}

// Failure is the JSON body of an answer that reports a failed task or a rejected
// announcement.
type Failure struct {
	Error string `json:"error"`
}

// HTTP implements Endpoint over HTTP. Its fields must be set before Prepare is called.
type HTTP struct {
	BaseURL string
	// DialTimeout bounds the time to open a TCP connection.
	DialTimeout time.Duration
	// Dial opens connections. If it is nil, connections use TCP and DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	client *http.Client
}

var _ Endpoint = (*HTTP)(nil)

// Prepare creates the HTTP client. It must be called once, before Invoke.
func (h *HTTP) Prepare() {
	dial := h.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: h.DialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     MaxConnections,
		MaxIdleConnsPerHost: MaxConnections,
		// If the endpoint closes a connection while a task is being sent on it, it is
		// unknown whether the task ran. The agent therefore closes idle connections
		// before the endpoint does.
		IdleConnTimeout:    15 * time.Second,
		DisableCompression: true,
	}
	h.client = &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Close closes the idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Invoke implements Endpoint. It sends an invocation at most once.
func (h *HTTP) Invoke(ctx context.Context, invocation Invocation) (Result, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := h.request(httptrace.WithClientTrace(ctx, trace), invocation)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrNotStarted, err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		if !connected.Load() {
			return Result{}, fmt.Errorf("%w: %w", ErrNotStarted, err)
		}
		return Result{}, fmt.Errorf("%w: %w", ErrMayHaveRun, err)
	}
	// An error of Close is ignored: the answer was read before.
	defer func() { _ = response.Body.Close() }()
	return readResult(response)
}

func (h *HTTP) request(ctx context.Context, invocation Invocation) (*http.Request, error) {
	if len(invocation.Payload) > MaxPayloadBytes {
		return nil, fmt.Errorf("payload has %d bytes, the limit is %d", len(invocation.Payload), MaxPayloadBytes)
	}
	// The wrapper prevents net/http from setting GetBody. Without GetBody, net/http does
	// not send a POST request again on a new connection.
	body := struct{ io.Reader }{bytes.NewReader(invocation.Payload)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.BaseURL+PathTasks, body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.ContentLength = int64(len(invocation.Payload))
	key := invocation.Task.Submission
	request.Header.Set(HeaderFirm, url.PathEscape(key.Firm))
	request.Header.Set(HeaderService, url.PathEscape(key.Service))
	request.Header.Set(HeaderSubmission, url.PathEscape(key.ID))
	request.Header.Set(HeaderTask, strconv.Itoa(invocation.Task.Index))
	request.Header.Set(HeaderAttempt, strconv.Itoa(invocation.Attempt))
	return request, nil
}

func readResult(response *http.Response) (Result, error) {
	status := response.StatusCode
	if status == http.StatusServiceUnavailable && response.Header.Get(HeaderNotStarted) == "true" {
		return Result{}, fmt.Errorf("%w: endpoint answered %d", ErrNotStarted, status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResultBytes+1))
	switch {
	case err != nil:
		return Result{}, fmt.Errorf("%w: read answer: %w", ErrMayHaveRun, err)
	case len(body) > MaxResultBytes:
		return Result{Reason: fmt.Sprintf("result is over %d bytes", MaxResultBytes)}, nil
	case status == http.StatusOK:
		return Result{Succeeded: true, Body: body}, nil
	}
	var failure Failure
	reported := status == http.StatusInternalServerError || (status >= 400 && status < 500)
	if !reported || json.Unmarshal(body, &failure) != nil || failure.Error == "" {
		return Result{}, fmt.Errorf("%w: endpoint answered %d without a reason", ErrMayHaveRun, status)
	}
	return Result{Reason: failure.Error}, nil
}
