package server

import (
	"context"
	"errors"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

func put(r *harness, key, version, body string) response {
	header := []string{translator.ReasonHeader, "a reason"}
	if version != "" {
		header = append(header, "If-Match", version)
	}
	return r.do("PUT", "/v1/settings", key, body, header...)
}

// Guards against settings changes outside a key's firm and against lost updates.
func TestPutSettings(t *testing.T) {
	scenarios := []struct {
		name, key, version, body string
		status                   int
		contains                 string
	}{
		{"own firm", operatorKey, `"1"`, "lamis", 200, `"version":2`},
		{"other firm", operatorKey, `"1"`, "apfm", 403, "forbidden"},
		{"own and other firm", operatorKey, `"1"`, "lamis apfm", 403, "forbidden"},
		{"own firm removed", operatorKey, `"1"`, "", 403, "forbidden"},
		{"root", rootKey, `1`, "lamis apfm third", 200, "third"},
		{"caller", callerKey, `"1"`, "lamis", 403, "forbidden"},
		{"stale version", operatorKey, `"7"`, "lamis", 409, `"version":1`},
		{"stale version of root", rootKey, `"7"`, "lamis", 409, `"version":1`},
		{"no version", rootKey, "", "lamis", 428, "version_required"},
		{"bad version", rootKey, "*", "lamis", 400, "If-Match"},
		{"findings", rootKey, `"1"`, "faulty", 422, `"line":1`},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := start(t, nil)
			got := put(r, s.key, s.version, s.body)
			if got.status != s.status || !strings.Contains(got.body, s.contains) {
				t.Errorf("got %d %s, want %d with %s", got.status, got.body, s.status, s.contains)
			}
			committed := len(r.store.records) > 1
			if committed != (s.status == 200) {
				t.Errorf("committed: %v with status %d", committed, got.status)
			}
			last := r.store.records[len(r.store.records)-1]
			if _, ok := last.Tree.Firms["apfm"]; !ok {
				t.Error("the other firm's settings were removed")
			}
		})
	}
}

// Guards against two concurrent settings changes on the same version that are both
// reported as accepted.
func TestConcurrentSettingsChanges(t *testing.T) {
	r := start(t, nil)
	statuses := make([]int, 8)
	var group errgroup.Group
	for i := range statuses {
		group.Go(func() error {
			got, err := r.send(context.Background(), "PUT", "/v1/settings", rootKey, "lamis apfm",
				"If-Match", `"1"`, translator.ReasonHeader, "race")
			statuses[i] = got.status
			if got.status == 409 && !strings.Contains(got.body, `"version":2`) {
				t.Errorf("conflict without the current version: %s", got.body)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for _, status := range statuses {
		if status == 200 {
			accepted++
		} else if status != 409 {
			t.Errorf("got status %d", status)
		}
	}
	if accepted != 1 {
		t.Errorf("%d changes were accepted, want 1", accepted)
	}
}

// Guards against a take-out that fails because of concurrent settings changes, that has
// no effect on a service with an override, or that modifies the shared tree.
func TestTakeOut(t *testing.T) {
	r := start(t, nil)
	r.store.concurrentChanges = 2
	got := r.do("POST", domainPath+"/sousse/take-out", operatorKey, `{"reason":"power work"}`)
	if got.status != 200 {
		t.Fatalf("got %d %s", got.status, got.body)
	}
	last := r.store.records[len(r.store.records)-1]
	leaf := resolver.Scope{Firm: "lamis", Place: "sahel", FailureDomain: "sousse", Service: "dispatch"}
	if resolved, _ := last.Tree.Resolve(leaf); resolved.State != messenger.DomainOut {
		t.Error("tasks may still start in the failure domain")
	}
	if last.Author != "lamis/ops" || last.Reason != "power work" {
		t.Errorf("recorded author %q, reason %q", last.Author, last.Reason)
	}
	if resolved, _ := r.dispatcher.tree.Resolve(leaf); resolved.State != messenger.DomainIn {
		t.Error("the tree of an earlier version was changed")
	}
}

// Guards against a take-out that reports success or retries forever when every attempt
// ends with a version conflict.
func TestTakeOutFailsAfterRepeatedConflicts(t *testing.T) {
	r := start(t, nil)
	r.store.concurrentChanges = 2 * domainChangeAttempts
	got := r.do("POST", domainPath+"/sousse/take-out", operatorKey, `{"reason":"power work"}`)
	if got.status != 409 || !strings.Contains(got.body, `"version":9`) {
		t.Errorf("got %d %s, want 409 with version 9", got.status, got.body)
	}
}

// Guards against operator requests with a wrong status or an error without a code.
func TestOperatorPaths(t *testing.T) {
	r := start(t, nil)
	r.store.append(*testTree(), "apfm/ops", "secret plan of apfm")
	run(t, r, []scenario{
		{"unknown domain", "POST", domainPath + "/none/take-out", operatorKey, `{"reason":"x"}`, 404, "not_found"},
		{"no reason", "POST", domainPath + "/sousse/take-out", operatorKey, `{}`, 400, "reason"},
		{"bring back", "POST", domainPath + "/sousse/bring-back", operatorKey, `{"reason":"x"}`, 200, `"state":"in"`},
		{"domains", "GET", domainPath, operatorKey, "", 200, `"lamis-1"`},
		{"unknown place", "GET", "/v1/firms/lamis/places/x/failure_domains", operatorKey, "", 404, "not_found"},
		{"validate", "POST", "/v1/settings/validate", operatorKey, "faulty", 200, `"column":2`},
		{"version", "GET", "/v1/settings/1", operatorKey, "", 200, `"tree"`},
		{"unknown version", "GET", "/v1/settings/99", operatorKey, "", 404, "not_found"},
		{"history", "GET", "/v1/settings/history?limit=3", operatorKey, "", 200, `"changes"`},
		{"bad limit", "GET", "/v1/settings/history?limit=0", operatorKey, "", 400, "limit"},
		{"status", "GET", "/v1/status", operatorKey, "", 200, `"entry-1.x"`},
	})
}

// Guards against responses that show another firm's settings, reasons or endpoints.
func TestOtherFirmsAreInvisible(t *testing.T) {
	r := start(t, nil)
	r.store.append(*testTree(), "apfm/ops", "secret plan of apfm")
	for _, path := range []string{"/v1/settings", "/v1/settings/2", "/v1/settings/history", "/v1/endpoints", domainPath} {
		if got := r.do("GET", path, operatorKey, ""); got.status != 200 || strings.Contains(got.body, "apfm") {
			t.Errorf("%s: got %d %s", path, got.status, got.body)
		}
		if got := r.do("GET", path, rootKey, ""); got.status != 200 {
			t.Errorf("%s with the root key: got %d", path, got.status)
		}
	}
}

// Guards against a refusal that does not say whether the change was made. An entry that
// may not accept changes has changed nothing and must say so.
func TestNotAcceptingSaysNothingWasChanged(t *testing.T) {
	s := &Server{}
	err := s.settingsError(&NotAcceptingError{Reason: "entry e2 has not answered"})
	var got *translator.Error
	if !errors.As(err, &got) || got.Code != translator.Code(messenger.CodeNotRun) || !strings.Contains(got.Reason, "nothing was changed") {
		t.Errorf("got %v", err)
	}
}
