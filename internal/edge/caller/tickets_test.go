package caller_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

// fakeEntry issues two tickets per request and completes every job, unless refuse is set.
type fakeEntry struct {
	*httptest.Server
	refuse         *translator.Error
	submitted      []string
	ticketRequests int
}

func newFakeEntry(t *testing.T, incarnation string) *fakeEntry {
	t.Helper()
	e := &fakeEntry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/tickets") {
			e.ticketRequests++
			prefix := "t." + incarnation + "." + strings.Repeat("1", e.ticketRequests)
			_ = json.NewEncoder(w).Encode(translator.Tickets{IDs: []string{prefix + "a", prefix + "b"}})
			return
		}
		var job translator.Job
		_ = json.NewDecoder(r.Body).Decode(&job)
		e.submitted = append(e.submitted, job.ID)
		if e.refuse != nil {
			w.WriteHeader(e.refuse.Code.Status())
			_ = json.NewEncoder(w).Encode(e.refuse)
			return
		}
		_ = json.NewEncoder(w).Encode(translator.Outcome{ID: job.ID, Status: translator.StatusComplete})
	}))
	t.Cleanup(e.Close)
	return e
}

// Guards against tickets that are used twice, or that are sent to an entry that did not
// issue them and would have to forward them.
func TestTicketsGoToTheirIssuer(t *testing.T) {
	first, second := newFakeEntry(t, "e1~1"), newFakeEntry(t, "e2~1")
	client := &caller.Client{Servers: []string{first.URL, second.URL}, TicketBlock: 2}
	for range 3 {
		if _, err := client.SubmitJob(t.Context(), "lamis", "dispatch", translator.Job{}); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"t.e1~1.1a", "t.e1~1.1b", "t.e1~1.11a"}
	if !slices.Equal(first.submitted, want) || len(second.submitted) != 0 || first.ticketRequests != 2 {
		t.Errorf("got submissions %q and %q with %d ticket requests, want all at the issuer with 2 requests", first.submitted, second.submitted, first.ticketRequests)
	}
}

// Guards against jobs that fail because the entry that issued their tickets is unreachable
// or drains, and against another id for a job that may have started under its ticket.
func TestTicketsOfLostIssuer(t *testing.T) {
	for _, scenario := range []struct {
		name      string
		lose      func(issuer *fakeEntry)
		elsewhere bool
	}{
		{"cannot be reached", func(issuer *fakeEntry) { issuer.Close() }, true},
		{"refused without a start", func(issuer *fakeEntry) { issuer.refuse = &translator.Error{Code: translator.CodeNotRun} }, true},
		{"outcome unknown", func(issuer *fakeEntry) { issuer.refuse = &translator.Error{Code: translator.CodeOutcomeUnknown} }, false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			issuer, other := newFakeEntry(t, "e1~1"), newFakeEntry(t, "e2~1")
			client := &caller.Client{Servers: []string{issuer.URL, other.URL}, TicketBlock: 2}
			if _, err := client.SubmitJob(t.Context(), "lamis", "dispatch", translator.Job{}); err != nil {
				t.Fatal(err)
			}
			scenario.lose(issuer)
			_, err := client.SubmitJob(t.Context(), "lamis", "dispatch", translator.Job{})
			if ok := err == nil; ok != scenario.elsewhere || len(other.submitted) > 1 {
				t.Fatalf("got %v, the other entry got %q", err, other.submitted)
			}
			if scenario.elsewhere && strings.HasPrefix(other.submitted[0], "t.e1~1") {
				t.Errorf("the other entry got the ticket %q", other.submitted[0])
			}
		})
	}
}
