package storer_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/standin/tableserver"
	"github.com/burdockrudder/burdockrudder/internal/storage/storer"
)

func newClient(t *testing.T, handler http.Handler) *storer.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &storer.Client{BaseURL: server.URL, HTTP: server.Client(), Timeout: 10 * time.Second}
}

// Guards against a client and a table service that disagree on the protocol.
func TestClientWritesReadsAndScans(t *testing.T) {
	client := newClient(t, (&tableserver.Table{}).Handler())
	puts := []storer.Put{
		{Key: "a/2", Value: []byte("two"), Token: "t2"},
		{Key: "a/1", Value: []byte("one"), Token: "t1"},
		{Key: "b/1", Value: []byte("other"), Token: "t3"},
	}
	if _, err := client.Write(t.Context(), puts, true); err != nil {
		t.Fatal(err)
	}
	want := []storer.Row{
		{Key: "a/1", Value: []byte("one"), Revision: 1, Token: "t1"},
		{Key: "a/2", Value: []byte("two"), Revision: 1, Token: "t2"},
	}
	scanned, err := client.Scan(t.Context(), "a/")
	if diff := cmp.Diff(want, scanned); err != nil || diff != "" {
		t.Error(err, diff)
	}
	read, err := client.Read(t.Context(), []string{"a/2", "missing", "a/1"})
	if diff := cmp.Diff(want, read); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// Guards against a writer that does not recognise its own row when it repeats a write after
// a lost reply.
func TestClientRetryAfterLostReplyKeepsToken(t *testing.T) {
	table := &tableserver.Table{}
	client := newClient(t, table.Handler())
	puts := []storer.Put{{Key: "k", Value: []byte("v"), Token: "mine"}}
	table.SetFaults(tableserver.Faults{LoseReplies: 1})
	if _, err := client.Write(t.Context(), puts, false); !errors.Is(err, storer.ErrUnavailable) {
		t.Fatalf("lost reply gave %v", err)
	}
	table.SetFaults(tableserver.Faults{})
	results, err := client.Write(t.Context(), puts, false)
	if err != nil || !results[0].Applied || results[0].Row.Revision != 1 {
		t.Errorf("retry gave %+v, %v", results, err)
	}
}

// Guards against a refusal that is reported as an outage, and an outage that is reported as
// a refusal.
func TestClientClassifiesStatus(t *testing.T) {
	for _, scenario := range []struct {
		name        string
		status      int
		body        string
		unavailable bool
	}{
		{"too many requests", 429, `{"error":"slow down"}`, true},
		{"internal error", 500, ``, true},
		{"unavailable", 503, ``, true},
		{"bad request", 400, `{"error":"bad key"}`, false},
		{"not found", 404, `nothing`, false},
		{"truncated reply", 200, `{"rows":[`, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(scenario.status)
				_, _ = w.Write([]byte(scenario.body))
			}))
			_, err := client.Read(t.Context(), []string{"k"})
			if err == nil || errors.Is(err, storer.ErrUnavailable) != scenario.unavailable {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against a caller that is blocked forever because the service does not answer.
func TestClientTimesOutAndReportsUnavailable(t *testing.T) {
	client := newClient(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a lost connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	client.Timeout = time.Millisecond
	for _, c := range []context.Context{t.Context(), ctx} {
		if _, err := client.Scan(c, "a"); !errors.Is(err, storer.ErrUnavailable) {
			t.Errorf("got %v", err)
		}
	}
}
