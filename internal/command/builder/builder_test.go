package builder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/dispatch/coordinator"
	"github.com/burdockrudder/burdockrudder/internal/dispatch/messenger"
	"github.com/burdockrudder/burdockrudder/internal/edge/server"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"burdockrudder": func() { os.Exit(Run(context.Background(), Root(), os.Stderr)) },
	})
}

// Guards against changed exit codes and outputs, on which operators' scripts depend.
// Each script runs against its own server, which uses a fake dispatcher.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
		Setup: func(env *testscript.Env) error {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			fake := &fake{tree: testTree()}
			s := &server.Server{Listener: listener, Dispatcher: fake, Settings: fake}
			ctx, stop := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error { return s.Run(ctx) })
			env.Defer(func() {
				stop()
				if err := group.Wait(); err != nil {
					t.Error(err)
				}
			})
			env.Setenv("SERVER", "http://"+listener.Addr().String())
			env.Setenv("BURDOCKRUDDER_KEY", "operator-secret")
			return nil
		},
	})
}

// exits runs the binary with the arguments after the first and requires the exit code
// in the first argument.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("burdockrudder", args[1:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

// fake is a dispatcher and a settings store. Its answer to a submission depends on the
// id: refuse-CODE is refused with CODE, fail fails and any other id completes.
type fake struct {
	tree    resolver.Tree
	version atomic.Uint64
}

func testTree() resolver.Tree {
	sum := sha256.Sum256([]byte("operator-secret"))
	key := resolver.Key{Name: "ops", Role: resolver.RoleOperator, SecretSHA256: hex.EncodeToString(sum[:])}
	domains := map[string]resolver.FailureDomain{"sousse": {}, "mahdia": {}}
	return resolver.Tree{Firms: map[string]resolver.Firm{
		"lamis": {Keys: []resolver.Key{key}, Places: map[string]resolver.Place{"sahel": {FailureDomains: domains}}},
	}}
}

func (f *fake) Snapshot() *coordinator.Snapshot {
	scope := resolver.Scope{Firm: "lamis", Place: "sahel", FailureDomain: "sousse", Service: "dispatch"}
	view := coordinator.EndpointView{Name: "oven-1", Scope: scope, State: "active", Load: messenger.EndpointLoad{Slots: 8, Running: 3}}
	return &coordinator.Snapshot{Incarnation: "entry-1.x", LifeCycle: "active", Tree: &f.tree, Endpoints: []coordinator.EndpointView{view}}
}

func (f *fake) Call(_ context.Context, event func(coordinator.CallID) coordinator.Event) (coordinator.Answer, error) {
	switch e := event(1).(type) {
	case coordinator.Submitted:
		return outcome(e.Submission.Key, e.Submission.Tasks), nil
	case coordinator.Queried:
		return outcome(e.Key, nil), nil
	case coordinator.CancelRequested:
		return coordinator.CancelAnswer{Cancelled: len(e.Key.ID)}, nil
	case coordinator.TicketsRequested:
		return coordinator.TicketsAnswer{IDs: []string{"t-" + strconv.Itoa(e.Count)}}, nil
	default:
		return nil, errors.New("unexpected event")
	}
}

func outcome(key messenger.SubmissionKey, tasks []messenger.TaskSpec) coordinator.Answer {
	if code, ok := strings.CutPrefix(key.ID, "refuse-"); ok {
		return coordinator.RefusalAnswer{Refusal: messenger.Refusal{Code: messenger.RefusalCode(code), Reason: "as the id says"}}
	}
	o := messenger.Outcome{Key: key, Status: messenger.OutcomeComplete}
	state := messenger.TaskSucceeded
	if key.ID == "fail" {
		o.Status, state = messenger.OutcomeFailed, messenger.TaskMayHaveRun
	}
	for _, task := range tasks {
		o.Tasks = append(o.Tasks, messenger.TaskOutcome{State: state, Result: task.Payload})
	}
	return coordinator.OutcomeAnswer{Outcome: o}
}

func (f *fake) Head(context.Context) (server.SettingsHead, error) {
	return server.SettingsHead{Version: f.version.Load(), Tree: f.tree}, nil
}

func (f *fake) Change(_ context.Context, c server.SettingsChange) (uint64, error) {
	if !f.version.CompareAndSwap(c.Expected, c.Expected+1) {
		return 0, &server.ConflictError{Present: f.version.Load()}
	}
	return c.Expected + 1, nil
}

func (f *fake) History(context.Context, int) ([]server.SettingsRecord, error) {
	return []server.SettingsRecord{{Version: 1, Author: "lamis/ops", Reason: "first"}}, nil
}

func (f *fake) Get(_ context.Context, version uint64) (server.SettingsRecord, error) {
	if version != 1 {
		return server.SettingsRecord{}, server.ErrNoVersion
	}
	return server.SettingsRecord{Version: 1, Tree: f.tree}, nil
}

func (f *fake) Parse(text []byte) (resolver.Tree, []translator.Finding) {
	if strings.Contains(string(text), "faulty") {
		return resolver.Tree{}, []translator.Finding{{Level: "firm", Path: "/firms/lamis/faulty", Line: 1, Column: 2, Message: "unknown key"}}
	}
	return f.tree, nil
}
