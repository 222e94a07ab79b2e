package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// fakeDispatcher chooses its answer by the submission's id: refuse-<code> is refused with
// the code, hold-* is answered after release is closed, and any other submission is
// answered with its payloads as results.
type fakeDispatcher struct {
	tree        *resolver.Tree
	calls       atomic.Uint64
	holding     chan struct{}
	callersGone chan coordinator.CallerGone
	release     chan struct{}

	mu      sync.Mutex
	digests map[string]string
	last    coordinator.Event
}

func newFakeDispatcher(tree *resolver.Tree) *fakeDispatcher {
	return &fakeDispatcher{
		tree: tree, holding: make(chan struct{}, 8), callersGone: make(chan coordinator.CallerGone, 8),
		release: make(chan struct{}), digests: map[string]string{},
	}
}

func (d *fakeDispatcher) Snapshot() *coordinator.Snapshot {
	view := func(firm, domain string) coordinator.EndpointView {
		return coordinator.EndpointView{Name: firm + "-1", Scope: resolver.Scope{Firm: firm, Place: "sahel", FailureDomain: domain, Service: "dispatch"}}
	}
	return &coordinator.Snapshot{
		Incarnation: "entry-1.x", LifeCycle: "active", SettingsVersion: 3, Tree: d.tree,
		Endpoints: []coordinator.EndpointView{view("lamis", "sousse"), view("apfm", "sousse")},
	}
}

func (d *fakeDispatcher) Call(ctx context.Context, event func(coordinator.CallID) coordinator.Event) (coordinator.Answer, error) {
	call := coordinator.CallID(d.calls.Add(1))
	made := event(call)
	d.mu.Lock()
	d.last = made
	d.mu.Unlock()
	switch e := made.(type) {
	case coordinator.Submitted:
		return d.submitted(ctx, e)
	case coordinator.Queried:
		return refused(messenger.CodeInProgress), nil
	case coordinator.CancelRequested:
		return coordinator.CancelAnswer{Cancelled: 1}, nil
	case coordinator.TicketsRequested:
		return coordinator.TicketsAnswer{IDs: make([]string, e.Count)}, nil
	default:
		return nil, errors.New("unexpected event")
	}
}

func (d *fakeDispatcher) submitted(ctx context.Context, e coordinator.Submitted) (coordinator.Answer, error) {
	id := e.Submission.Key.ID
	if code, ok := strings.CutPrefix(id, "refuse-"); ok {
		return refused(messenger.RefusalCode(code)), nil
	}
	if strings.HasPrefix(id, "hold-") {
		d.holding <- struct{}{}
		select {
		case <-d.release:
		case <-ctx.Done():
			d.callersGone <- coordinator.CallerGone{Call: e.Call}
			return nil, ctx.Err()
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if earlier, ok := d.digests[id]; ok && earlier != e.Submission.Digest {
		return refused(messenger.CodeConflict), nil
	}
	d.digests[id] = e.Submission.Digest
	outcome := messenger.Outcome{Key: e.Submission.Key, Status: messenger.OutcomeComplete}
	for _, task := range e.Submission.Tasks {
		outcome.Tasks = append(outcome.Tasks, messenger.TaskOutcome{State: messenger.TaskSucceeded, Result: task.Payload})
	}
	return coordinator.OutcomeAnswer{Outcome: outcome}, nil
}

func refused(code messenger.RefusalCode) coordinator.Answer {
	return coordinator.RefusalAnswer{Refusal: messenger.Refusal{Code: code, Reason: "as the id says"}}
}

// fakeStore keeps settings in memory. Each read of the head is followed by a change that
// another operator commits, until concurrentChanges such changes were made.
type fakeStore struct {
	mu                sync.Mutex
	records           []SettingsRecord
	concurrentChanges int
}

func (s *fakeStore) Head(context.Context) (SettingsHead, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.records[len(s.records)-1]
	if s.concurrentChanges > 0 {
		s.concurrentChanges--
		s.append(last.Tree, "apfm/ops", "secret plan of apfm")
	}
	return SettingsHead{Version: last.Version, Tree: last.Tree}, nil
}

func (s *fakeStore) append(tree resolver.Tree, author, reason string) uint64 {
	version := uint64(len(s.records) + 1)
	s.records = append(s.records, SettingsRecord{Version: version, Tree: tree, Author: author, Reason: reason})
	return version
}

func (s *fakeStore) Change(_ context.Context, c SettingsChange) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := uint64(len(s.records)); present != c.Expected {
		return 0, &ConflictError{Present: present}
	}
	return s.append(c.Tree, c.Author, c.Reason), nil
}

func (s *fakeStore) History(_ context.Context, limit int) ([]SettingsRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[:min(limit, len(s.records))], nil
}

func (s *fakeStore) Get(_ context.Context, version uint64) (SettingsRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 || version > uint64(len(s.records)) {
		return SettingsRecord{}, ErrNoVersion
	}
	return s.records[version-1], nil
}

// Parse returns a tree with the firms that the text names, separated by spaces.
func (s *fakeStore) Parse(text []byte) (resolver.Tree, []translator.Finding) {
	if string(text) == "faulty" {
		return resolver.Tree{}, []translator.Finding{{Level: "firm", Path: "firms.x", Line: 1, Column: 2, Message: "unknown key"}}
	}
	tree := resolver.Tree{Firms: map[string]resolver.Firm{}}
	for _, name := range strings.Fields(string(text)) {
		tree.Firms[name] = resolver.Firm{Teams: map[string]resolver.Team{"new": {}}}
	}
	return tree, nil
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

func testTree() *resolver.Tree {
	in := messenger.DomainIn
	firm := func(name string) resolver.Firm {
		return resolver.Firm{
			Keys: []resolver.Key{
				{Name: "app", Role: resolver.RoleCaller, Team: "vans", SecretSHA256: hashOf(name + "-caller-secret")},
				{Name: "ops", Role: resolver.RoleOperator, SecretSHA256: hashOf(name + "-operator-secret")},
			},
			Places: map[string]resolver.Place{"sahel": {FailureDomains: map[string]resolver.FailureDomain{
				"sousse": {Services: map[string]resolver.Service{"dispatch": {Settings: resolver.Overrides{State: &in}}}},
			}}},
		}
	}
	return &resolver.Tree{Firms: map[string]resolver.Firm{"lamis": firm("lamis"), "apfm": firm("apfm")}}
}

// harness is a running server with a fake dispatcher and a fake settings store.
type harness struct {
	t          *testing.T
	url        string
	dispatcher *fakeDispatcher
	store      *fakeStore
	stop       context.CancelFunc
	group      errgroup.Group
}

func start(t *testing.T, adjust func(*Server)) *harness {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tree := testTree()
	ctx, stop := context.WithCancel(context.Background())
	r := &harness{
		t: t, url: "http://" + listener.Addr().String(), stop: stop,
		dispatcher: newFakeDispatcher(tree), store: &fakeStore{},
	}
	r.store.append(*tree, "root", "first")
	s := &Server{Listener: listener, RootKeySHA256: hashOf("root-secret"), Dispatcher: r.dispatcher, Settings: r.store}
	if adjust != nil {
		adjust(s)
	}
	r.group.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		stop()
		if err := r.group.Wait(); err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return r
}

type response struct {
	status int
	header http.Header
	body   string
}

func (r *harness) send(ctx context.Context, method, path, key, body string, header ...string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.url+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	got, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	return response{got.StatusCode, got.Header, string(text)}, err
}

func (r *harness) do(method, path, key, body string, header ...string) response {
	r.t.Helper()
	got, err := r.send(context.Background(), method, path, key, body, header...)
	if err != nil {
		r.t.Fatal(err)
	}
	return got
}
