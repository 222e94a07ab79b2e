package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

const (
	callerKey   = "lamis-caller-secret"
	operatorKey = "lamis-operator-secret"
	rootKey     = "root-secret"
	service     = "/v1/firms/lamis/services/dispatch"
	domainPath  = "/v1/firms/lamis/places/sahel/failure_domains"
	oneTask     = `{"tasks":[{"payload":1}]}`
)

type scenario struct {
	name, method, path, key, body string
	status                        int
	contains                      string
}

func run(t *testing.T, r *harness, scenarios []scenario) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := r.do(s.method, s.path, s.key, s.body)
			if got.status != s.status || !strings.Contains(got.body, s.contains) {
				t.Errorf("got %d %s, want %d with %s", got.status, got.body, s.status, s.contains)
			}
			var fault translator.Error
			if err := json.Unmarshal([]byte(got.body), &fault); err != nil {
				t.Errorf("body is not JSON: %s", got.body)
			}
			if got.status >= 400 && (fault.Code == "" || fault.Reason == "" || fault.Code.Status() != got.status) {
				t.Errorf("error body %s does not match status %d", got.body, got.status)
			}
			if retry := got.header.Get("Retry-After") != ""; retry != (got.status == 503 || got.status == 429) && got.status >= 400 {
				t.Errorf("Retry-After present: %v with status %d", retry, got.status)
			}
		})
	}
}

// Guards against keys that grant access beyond their firm and role.
func TestKeys(t *testing.T) {
	run(t, start(t, nil), []scenario{
		{"no key", "POST", service + "/jobs", "", oneTask, 401, "unauthorized"},
		{"wrong key", "POST", service + "/jobs", "guess", oneTask, 401, "unauthorized"},
		{"hash instead of key", "POST", service + "/jobs", hashOf(callerKey), oneTask, 401, "unauthorized"},
		{"other firm", "POST", "/v1/firms/apfm/services/forno/jobs", callerKey, oneTask, 404, "not_found"},
		{"other firm's job", "GET", "/v1/firms/apfm/services/forno/jobs/a", callerKey, "", 404, "not_found"},
		{"other firm's domains", "GET", "/v1/firms/apfm/places/sahel/failure_domains", callerKey, "", 404, "not_found"},
		{"undeclared firm with root", "GET", "/v1/firms/none/services/x/jobs/a", rootKey, "", 404, "not_found"},
		{"caller reads settings", "GET", "/v1/settings", callerKey, "", 403, "forbidden"},
		{"caller takes out", "POST", domainPath + "/sousse/take-out", callerKey, `{"reason":"x"}`, 403, "forbidden"},
		{"operator submits", "POST", service + "/jobs", operatorKey, oneTask, 200, `"complete"`},
		{"root submits", "POST", service + "/jobs", rootKey, oneTask, 200, `"complete"`},
		{"health is open", "GET", "/healthz", "", "", 200, "ok"},
		{"ready is open", "GET", "/readyz", "", "", 200, "ready"},
	})
}

// Guards against refusals with a wrong status, and against invalid bodies that are
// accepted in part.
func TestSubmissions(t *testing.T) {
	refusal := func(code string, status int) scenario {
		return scenario{code, "POST", service + "/jobs", callerKey, `{"id":"refuse-` + code + `","tasks":[{"payload":1}]}`, status, code}
	}
	big := `{"tasks":[{"payload":"` + strings.Repeat("x", maxBodyBytes) + `"}]}`
	run(t, start(t, nil), []scenario{
		refusal("not_run", 503), refusal("outcome_unknown", 503), refusal("never_runnable", 422),
		refusal("id_conflict", 409), refusal("not_found", 404), refusal("quota_exceeded", 429),
		refusal("in_progress", 202),
		{"first", "POST", service + "/jobs", callerKey, `{"id":"a","tasks":[{"payload":{"x":1}}]}`, 200, `"result":{"x":1}`},
		{"same body again", "POST", service + "/jobs", callerKey, `{"id":"a","tasks":[{"payload":{ "x":1}}]}`, 200, `"id":"a"`},
		{"other body, same id", "POST", service + "/jobs", callerKey, `{"id":"a","tasks":[{"payload":2}]}`, 409, "id_conflict"},
		{"request", "POST", service + "/requests", callerKey, `{"payload":"p","repeatable":true}`, 200, `"result":"p"`},
		{"id chosen by the server", "POST", service + "/jobs", callerKey, oneTask, 200, `"id":"`},
		{"bad JSON", "POST", service + "/jobs", callerKey, `{"tasks":`, 400, `"offset":`},
		{"unknown field", "POST", service + "/jobs", callerKey, `{"taks":[]}`, 400, `"field":"taks"`},
		{"oversize", "POST", service + "/jobs", callerKey, big, 413, "too_large"},
		{"refused at once without wait", "POST", service + "/jobs", callerKey, `{"id":"refuse-never_runnable","wait":false,"tasks":[{"payload":1}]}`, 422, "never_runnable"},
		{"query in progress", "GET", service + "/jobs/a", callerKey, "", 202, "in_progress"},
		{"query with bad wait", "GET", service + "/jobs/a?wait=maybe", callerKey, "", 400, "wait"},
		{"query with bad id", "GET", service + "/jobs/a%2Fb", callerKey, "", 404, "not_found"},
		{"cancel", "DELETE", service + "/jobs/a", callerKey, "", 200, `"cancelled":1`},
		{"cancel without prefix", "POST", service + "/cancel", callerKey, `{}`, 400, "prefix"},
		{"cancel by prefix", "POST", service + "/cancel", callerKey, `{"prefix":"a-"}`, 200, `"cancelled":1`},
		{"tickets", "POST", service + "/tickets", callerKey, `{"count":2}`, 200, `["",""]`},
		{"too many tickets", "POST", service + "/tickets", callerKey, `{"count":10001}`, 400, "count"},
		{"unknown path", "GET", "/v2", callerKey, "", 404, "not_found"},
		{"wrong method", "PATCH", service + "/jobs", callerKey, "", 405, "method_not_allowed"},
	})
}

// Guards against a submission that reaches the dispatcher without the key's team or
// without a deadline.
func TestSubmissionHasTeamAndDeadline(t *testing.T) {
	r := start(t, nil)
	r.do("POST", service+"/requests", callerKey, `{"id":"a","payload":1}`)
	submitted := r.dispatcher.last.(coordinator.Submitted).Submission
	want := messenger.SubmissionKey{Firm: "lamis", Service: "dispatch", ID: "a"}
	if submitted.Key != want || submitted.Team != "vans" || submitted.Deadline <= 0 || submitted.Repeatable {
		t.Errorf("got %+v", submitted)
	}
}

// Guards against a 405 response without the path's methods in the Allow header.
func TestWrongMethodListsAllowedMethods(t *testing.T) {
	got := start(t, nil).do("PATCH", "/v1/settings", operatorKey, "")
	if allow := got.header.Get("Allow"); got.status != 405 || !strings.Contains(allow, "PUT") {
		t.Errorf("got %d with Allow %q", got.status, allow)
	}
}

// Guards against large request headers that exhaust the entry's memory.
func TestOversizeHeader(t *testing.T) {
	r := start(t, nil)
	got, err := r.send(context.Background(), "GET", "/healthz", "", "", "X-Fill", strings.Repeat("x", maxHeaderBytes))
	if err == nil && got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %d, want 431 or a closed connection", got.status)
	}
	if got := r.do("GET", "/healthz", "", "", "X-Fill", strings.Repeat("x", maxHeaderBytes/2)); got.status != 200 {
		t.Errorf("got %d for a header within the limit", got.status)
	}
}

// Guards against an answer that is sent to another caller.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	r := start(t, nil)
	var group errgroup.Group
	for i := range 200 {
		group.Go(func() error {
			body := fmt.Sprintf(`{"id":"c%d","tasks":[{"payload":%d},{"payload":"c%d"}]}`, i, i, i)
			got, err := r.send(context.Background(), "POST", service+"/jobs", callerKey, body)
			want := fmt.Sprintf(`{"id":"c%d","status":"complete","tasks":[{"state":"succeeded","result":%d},{"state":"succeeded","result":"c%d"}]}`, i, i, i)
			if err == nil && strings.TrimSpace(got.body) != want {
				err = fmt.Errorf("caller %d got %s", i, got.body)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against calls that stay registered after their caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	r := start(t, nil)
	ctx, disconnect := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		_, err := r.send(ctx, "POST", service+"/jobs", callerKey, `{"id":"hold-1","tasks":[{"payload":1}]}`)
		return err
	})
	<-r.dispatcher.holding
	disconnect()
	if gone := <-r.dispatcher.callersGone; gone.Call != 1 {
		t.Errorf("got CallerGone for call %d, want 1", gone.Call)
	}
	if err := group.Wait(); err == nil {
		t.Error("the disconnected caller got an answer")
	}
}

// Guards against a graceful stop that cancels open calls, with wait=true or wait=false,
// instead of waiting for their answers.
func TestGracefulStopAnswersOpenCalls(t *testing.T) {
	r := start(t, nil)
	async := r.do("POST", service+"/jobs", callerKey, `{"id":"hold-2","wait":false,"tasks":[{"payload":1}]}`)
	if async.status != 202 || !strings.Contains(async.body, `"id":"hold-2"`) {
		t.Errorf("got %d %s, want 202 with the id", async.status, async.body)
	}
	<-r.dispatcher.holding
	var group errgroup.Group
	group.Go(func() error {
		got, err := r.send(context.Background(), "POST", service+"/jobs", callerKey, `{"id":"hold-1","tasks":[{"payload":1}]}`)
		if err == nil && got.status != 200 {
			err = fmt.Errorf("open call got %d %s", got.status, got.body)
		}
		return err
	})
	<-r.dispatcher.holding
	r.stop()
	for { // A stop closes the listener first, so a refused connection shows that it has begun.
		if _, err := r.send(context.Background(), "GET", "/healthz", "", ""); err != nil {
			break
		}
	}
	close(r.dispatcher.release)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if err := r.group.Wait(); err != nil {
		t.Error(err)
	}
	if len(r.dispatcher.callersGone) != 0 {
		t.Error("the graceful stop cancelled an open call")
	}
}

// Guards against API keys and payloads in the log.
func TestSecretsAreNotLogged(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	r := start(t, func(s *Server) { s.Logger = zap.New(core) })
	r.do("POST", service+"/jobs", callerKey, `{"tasks":[{"payload":"payload-secret"}]}`)
	r.do("POST", service+"/jobs?key=query-secret", "wrong-secret", oneTask)
	r.do("POST", service+"/jobs", callerKey, `{"tasks":"body-secret"}`)
	r.do("GET", "/v1/settings", operatorKey, "")
	r.stop()
	if err := r.group.Wait(); err != nil {
		t.Fatal(err)
	}
	if logs.Len() != 4 {
		t.Errorf("got %d log lines, want one for each request", logs.Len())
	}
	for _, entry := range logs.All() {
		line, err := json.Marshal(entry.ContextMap())
		if err != nil {
			t.Fatal(err)
		}
		text := entry.Message + string(line)
		if strings.Contains(text, "secret") || strings.Contains(text, hashOf(callerKey)) {
			t.Errorf("log line contains a secret: %s", text)
		}
	}
}
