package starter

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const recordedDay = "../../report/testdata/day.log"

// report runs the report command.
func report(t *testing.T, input string, args ...string) (string, error) {
	t.Helper()
	command := reportCommand()
	var out bytes.Buffer
	command.SetOut(&out)
	command.SetErr(&out)
	command.SetIn(strings.NewReader(input))
	command.SetArgs(args)
	command.SilenceUsage, command.SilenceErrors = true, true
	err := command.ExecuteContext(t.Context())
	return out.String(), err
}

// Guards against bad input that gets an empty report or an unclear error.
func TestReportRefusesBadInput(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "entry-1.log")
	if err := os.WriteFile(empty, []byte("no json\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, scenario := range []struct {
		name string
		args []string
		want string
	}{
		{"missing file", []string{"absent.log"}, "absent.log: no such file or directory"},
		{"no readable line", []string{empty}, "no log line was read (1 could not be decoded)"},
		{"empty directory", []string{t.TempDir()}, "no file found"},
		{"unknown format", []string{recordedDay, "--format", "pdf"}, `--format must be html or json, not "pdf"`},
		{"bad objective", []string{recordedDay, "--objective", "q=fast"}, "--objective q=fast: not a duration above 0"},
		{"two reports at once", []string{recordedDay, "--id", "a", "--compare", recordedDay}, "none of the others can be"},
		{"output in no directory", []string{recordedDay, "-o", "absent/page.html"}, "create report"},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			if out, err := report(t, "", scenario.args...); err == nil || !strings.Contains(err.Error(), scenario.want) {
				t.Errorf("got %v, want %q; printed %d bytes", err, scenario.want, len(out))
			}
		})
	}
}

// Guards against filters that are ignored, and against a report of standard input or of a
// directory that differs from the one of the file.
func TestReportSelects(t *testing.T) {
	figures := func(input string, args ...string) map[string]any {
		t.Helper()
		out, err := report(t, input, append(args, "--format", "json")...)
		if err != nil {
			t.Fatal(err)
		}
		var f map[string]any
		if err := json.Unmarshal([]byte(out), &f); err != nil {
			t.Fatal(err)
		}
		return f
	}
	log, err := os.ReadFile(recordedDay)
	if err != nil {
		t.Fatal(err)
	}
	whole := figures("", recordedDay)["lines"]
	if got := figures(string(log), "-")["lines"]; got != whole {
		t.Errorf("%v lines from standard input, %v from the file", got, whole)
	}
	if got := figures("", filepath.Dir(recordedDay))["lines"]; got != whole {
		t.Errorf("%v lines from the directory, %v from the file", got, whole)
	}
	for _, args := range [][]string{{"--host", "edge-sousse-1"}, {"--failure-domain", "mahdia"}, {"--queue", "r-viqz4bh"}} {
		if got := figures("", append(args, recordedDay)...)["lines"]; got == whole || got == 0.0 {
			t.Errorf("%v selects %v of %v lines", args, got, whole)
		}
	}
	if out, err := report(t, "", recordedDay, "--compare", recordedDay); err != nil || strings.Contains(out, "yes") {
		t.Errorf("a run compared with itself: %v\n%s", err, out)
	}
}
