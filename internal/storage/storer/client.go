package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// DefaultTimeout limits the duration of a call when Client.Timeout is zero. It leaves time for
// several tries within the 2 s that an admission waits for the store.
const DefaultTimeout = 500 * time.Millisecond

// maxReplyBytes limits the size of a reply, which is read into memory. A scan of the
// directory and a read of 1,024 rows are both below it.
const maxReplyBytes = 64 << 20

// Client is a Table over HTTP. Its fields are set before the first call.
type Client struct {
	// BaseURL is the address of the table service, without a trailing slash.
	BaseURL string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout limits the duration of each call; zero means DefaultTimeout.
	Timeout time.Duration
}

var _ Table = (*Client)(nil)

// Read implements Table.
func (c *Client) Read(ctx context.Context, keys []string) ([]Row, error) {
	var reply RowsReply
	if err := c.call(ctx, PathRead, ReadRequest{Keys: keys}, &reply); err != nil {
		return nil, fmt.Errorf("read %d rows: %w", len(keys), err)
	}
	return reply.Rows, nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var reply RowsReply
	if err := c.call(ctx, PathScan, ScanRequest{Prefix: prefix}, &reply); err != nil {
		return nil, fmt.Errorf("scan %q: %w", prefix, err)
	}
	return reply.Rows, nil
}

// Write implements Table.
func (c *Client) Write(ctx context.Context, puts []Put, atomic bool) ([]PutResult, error) {
	var reply WriteReply
	request := WriteRequest{Puts: puts, Atomic: atomic}
	if err := c.call(ctx, PathWrite, request, &reply); err != nil {
		return nil, fmt.Errorf("write %d rows: %w", len(puts), err)
	}
	if len(reply.Results) != len(puts) {
		return nil, fmt.Errorf("write %d rows: %d results: %w", len(puts), len(reply.Results), ErrUnavailable)
	}
	return reply.Results, nil
}

func (c *Client) call(ctx context.Context, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient().Do(request)
	if err != nil {
		return unavailable(err)
	}
	// An error of Close does not affect a reply that was already read.
	defer func() { _ = response.Body.Close() }()
	answer, err := readReply(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return statusError(response.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, reply); err != nil {
		return unavailable(fmt.Errorf("decode reply: %w", err))
	}
	return nil
}

func readReply(body io.Reader) ([]byte, error) {
	answer, err := io.ReadAll(io.LimitReader(body, maxReplyBytes+1))
	if err != nil {
		return nil, unavailable(err)
	}
	if len(answer) > maxReplyBytes {
		return nil, fmt.Errorf("reply is over %d bytes", maxReplyBytes)
	}
	return answer, nil
}

func statusError(status int, answer []byte) error {
	err := fmt.Errorf("table service answered %d: %s", status, errorReason(answer))
	if status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		return unavailable(err)
	}
	return err
}

func errorReason(answer []byte) string {
	var reply ErrorReply
	if json.Unmarshal(answer, &reply) != nil || reply.Error == "" {
		return "no reason given"
	}
	return reply.Error
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}
