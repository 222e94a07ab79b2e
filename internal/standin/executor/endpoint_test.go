package executor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/invoker"
)

func invoke(t *testing.T, endpoint *Endpoint, payload string) (invoker.Result, error) {
	t.Helper()
	server := httptest.NewServer(endpoint.Handler())
	defer server.Close()
	client := &invoker.HTTP{BaseURL: server.URL}
	client.Prepare()
	defer client.Close()
	key := messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: "a"}
	return client.Invoke(t.Context(), invoker.Invocation{Task: messenger.TaskKey{Submission: key}, Payload: []byte(payload)})
}

// Guards against a stand-in that does not count double starts or slot violations,
// or that returns a wrong answer to a caller.
func TestEndpointAnswersAndCounts(t *testing.T) {
	endpoint := &Endpoint{Slots: 1, Labels: []string{"gpu"}}
	got, err := invoke(t, endpoint, `{"run_time_ms":1,"echo":42,"label":"gpu"}`)
	if err != nil || string(got.Body) != "{\"echo\":42}\n" {
		t.Errorf("success gave %+v, %v", got, err)
	}
	if got, err = invoke(t, endpoint, `{"fail":"broken"}`); err != nil || got.Reason != "broken" {
		t.Errorf("failure gave %+v, %v", got, err)
	}
	endpoint.Slots = 0
	if _, err = invoke(t, endpoint, `{}`); !errors.Is(err, invoker.ErrNotStarted) {
		t.Errorf("no slot gave %v", err)
	}
	want := Counters{Starts: 2, DoubleStarts: 1, Finished: 2, SlotViolations: 1, MostRunning: 1}
	if counters := endpoint.Counters(); counters != want {
		t.Errorf("got %+v, want %+v", counters, want)
	}
}

// Guards against an endpoint that does not announce itself to its agent, or that
// stops without announcing its departure.
func TestEndpointAnnouncesAndDeparts(t *testing.T) {
	announced, departed := make(chan int, 64), make(chan struct{}, 1)
	agent := httptest.NewServer((&invoker.Announcer{
		OnAnnounce: func(_ string, slots int, _ []string) { announced <- slots },
		OnDepart:   func() { departed <- struct{}{} },
	}).Handler())
	defer agent.Close()
	defer http.DefaultClient.CloseIdleConnections()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	endpoint := &Endpoint{Service: "dispatch", Slots: 8, Agent: agent.URL}
	var group errgroup.Group
	group.Go(func() error { return endpoint.Run(ctx, listener) })
	if slots := <-announced; slots != 8 {
		t.Errorf("announced %d slots", slots)
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-departed:
	default:
		t.Error("the endpoint stopped without announcing its departure to the agent")
	}
}

// Guards against a departure that the agent never receives because the first
// request failed and was not repeated.
func TestDepartureIsRepeated(t *testing.T) {
	requests, departed := 0, false
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests++
		if requests == 1 {
			panic(http.ErrAbortHandler)
		}
		departed = r.Method == http.MethodDelete
	}))
	defer agent.Close()
	defer http.DefaultClient.CloseIdleConnections()
	endpoint := &Endpoint{Service: "dispatch", Slots: 8, Agent: agent.URL}
	if err := endpoint.depart(t.Context()); err != nil || !departed {
		t.Errorf("departed %v after %d requests: %v", departed, requests, err)
	}
}
