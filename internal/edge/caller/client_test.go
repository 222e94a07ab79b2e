package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

const (
	complete = `{"id":"a","status":"complete"}`
	notRun   = `{"code":"not_run","reason":"draining"}`
	unknown  = `{"code":"outcome_unknown","reason":"store down"}`
	conflict = `{"code":"id_conflict","reason":"other body"}`
	// cut makes a server close the connection after it has read the request.
	cut = "cut"
	// down makes a server refuse connections.
	down = "down"
)

// bodyRecorder stores the request bodies that any of the servers received.
type bodyRecorder struct {
	mu     sync.Mutex
	bodies []string
}

func (r *bodyRecorder) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodies = append(r.bodies, body)
}

func (r *bodyRecorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.bodies)
}

func serve(t *testing.T, arrived *bodyRecorder, status int, answer string) string {
	t.Helper()
	if answer == down {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		return "http://" + listener.Addr().String()
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		arrived.add(string(body))
		if answer == cut {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		if _, err := io.WriteString(w, answer); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a failover that stops before every entry was tried, continues after a
// final answer, or reports not_run for a submission that an earlier try may have started.
func TestFailover(t *testing.T) {
	type entry struct {
		status int
		answer string
	}
	scenarios := []struct {
		name    string
		entries []entry
		calls   int
		code    translator.Code
		unknown bool
	}{
		{"first answers", []entry{{200, complete}, {200, complete}}, 1, "", false},
		{"first is down", []entry{{0, down}, {200, complete}}, 1, "", false},
		{"first drains", []entry{{503, notRun}, {200, complete}}, 2, "", false},
		{"connection cut", []entry{{0, cut}, {200, complete}}, 2, "", false},
		{"balancer's error page", []entry{{502, "<html>"}, {200, complete}}, 2, "", false},
		{"conflict is final", []entry{{409, conflict}, {200, complete}}, 1, translator.CodeIDConflict, false},
		{"all drain", []entry{{503, notRun}, {503, notRun}}, 2, translator.CodeNotRun, false},
		{"drains, then down", []entry{{503, notRun}, {0, down}}, 1, translator.CodeNotRun, false},
		{"cut, then not run", []entry{{0, cut}, {503, notRun}}, 2, translator.CodeNotRun, true},
		{"cut, then down", []entry{{0, cut}, {0, down}}, 1, "", true},
		{"unknown, then not run", []entry{{503, unknown}, {503, notRun}}, 2, translator.CodeNotRun, true},
		{"all down", []entry{{0, down}, {0, down}}, 0, "", false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			arrived := &bodyRecorder{}
			client := &Client{Key: "k"}
			for _, e := range s.entries {
				client.Servers = append(client.Servers, serve(t, arrived, e.status, e.answer))
			}
			_, err := client.SubmitJob(context.Background(), "lamis", "dispatch", translator.Job{})
			bodies := arrived.all()
			var fault *translator.Error
			if errors.As(err, &fault) != (s.code != "") || (fault != nil && fault.Code != s.code) {
				t.Errorf("got error %v, want code %q", err, s.code)
			}
			var unknown *UnknownError
			if errors.As(err, &unknown) != s.unknown {
				t.Errorf("got error %v, want unknown outcome: %v", err, s.unknown)
			}
			if unknown != nil && (unknown.ID == "" || !strings.Contains(bodies[0], unknown.ID)) {
				t.Errorf("the error names id %q, sent %s", unknown.ID, bodies[0])
			}
			if len(bodies) != s.calls {
				t.Errorf("got %d calls, want %d", len(bodies), s.calls)
			}
			for _, body := range bodies {
				if body != bodies[0] {
					t.Errorf("the tries have different bodies, so they are different submissions: %q", bodies)
				}
			}
		})
	}
}

// Guards against a settings change that is sent twice and then reports a version conflict
// with its own first try.
func TestSetSettingsIsNotSentTwice(t *testing.T) {
	arrived := &bodyRecorder{}
	client := &Client{Servers: []string{
		serve(t, arrived, 0, cut), serve(t, arrived, 409, conflict),
	}}
	_, err := client.SetSettings(context.Background(), 1, []byte("{}"), "reason")
	var unknown *UnknownError
	if !errors.As(err, &unknown) || len(arrived.all()) != 1 {
		t.Errorf("got %v after %d calls, want an UnknownError after 1", err, len(arrived.all()))
	}
}
