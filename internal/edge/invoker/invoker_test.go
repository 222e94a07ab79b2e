package invoker

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

func invoke(t *testing.T, handler http.HandlerFunc) (Result, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	endpoint := &HTTP{BaseURL: server.URL}
	endpoint.Prepare()
	defer endpoint.Close()
	return endpoint.Invoke(t.Context(), Invocation{Payload: []byte("p")})
}

// Guards against answers with a wrong result: ErrNotStarted without proof that the task
// did not start, or ErrMayHaveRun for a failure that the endpoint reported.
func TestAnswersAreMapped(t *testing.T) {
	for _, scenario := range []struct {
		name       string
		status     int
		body       string
		notStarted string
		succeeded  bool
		reason     string
		err        error
	}{
		{"success", 200, "r", "", true, "", nil},
		{"failure", 500, `{"error":"broken"}`, "", false, "broken", nil},
		{"unprocessable", 422, `{"error":"bad"}`, "", false, "bad", nil},
		{"not started", 503, "", "true", false, "", ErrNotStarted},
		{"503 without proof", 503, `{"error":"x"}`, "", false, "", ErrMayHaveRun},
		{"500 without reason", 500, "", "", false, "", ErrMayHaveRun},
		{"redirect", 307, "", "", false, "", ErrMayHaveRun},
		{"oversized", 200, strings.Repeat("x", MaxResultBytes+1), "", false, "result is over 262144 bytes", nil},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			got, err := invoke(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderNotStarted, scenario.notStarted)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(scenario.status)
				_, _ = io.WriteString(w, scenario.body)
			})
			if !errors.Is(err, scenario.err) || got.Succeeded != scenario.succeeded || got.Reason != scenario.reason {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

// Guards against a task that is started twice because its reply was lost. That may happen
// on a new connection and on a reused one, where net/http sends requests again that it
// considers idempotent.
func TestInvocationIsNotRepeatedAfterLostReply(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	endpoint := &HTTP{BaseURL: server.URL}
	endpoint.Prepare()
	defer endpoint.Close()
	for attempt, want := range []error{nil, ErrMayHaveRun, ErrMayHaveRun} {
		_, err := endpoint.Invoke(t.Context(), Invocation{Attempt: attempt, Payload: []byte("p")})
		if !errors.Is(err, want) {
			t.Errorf("attempt %d gave %v", attempt, err)
		}
	}
	if calls.Load() != 3 {
		t.Errorf("%d calls for 3 invocations", calls.Load())
	}
}

// Guards against ErrMayHaveRun for a task that was never sent because the connection was
// refused.
func TestRefusedConnectionIsNotStarted(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	endpoint := &HTTP{BaseURL: server.URL}
	endpoint.Prepare()
	if _, err := endpoint.Invoke(t.Context(), Invocation{}); !errors.Is(err, ErrNotStarted) {
		t.Errorf("got %v", err)
	}
}

// Guards against valid announcements that are lost and invalid ones that are accepted.
func TestAnnouncements(t *testing.T) {
	slots, departed := 0, false
	handler := (&Announcer{
		OnAnnounce: func(_ string, n int, _ []string) { slots = n },
		OnDepart:   func() { departed = true },
	}).Handler()
	for _, scenario := range []struct {
		method, body string
		status       int
	}{
		{"POST", `{"service":"dispatch","slots":8}`, 204},
		{"POST", `{"service":"dispatch"}`, 400},
		{"POST", `{`, 400},
		{"DELETE", ``, 204},
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(scenario.method, PathAnnounce, strings.NewReader(scenario.body)))
		if recorder.Code != scenario.status {
			t.Errorf("%s %s gave %d", scenario.method, scenario.body, recorder.Code)
		}
	}
	if slots != 8 || !departed {
		t.Errorf("slots %d, departed %v", slots, departed)
	}
}
