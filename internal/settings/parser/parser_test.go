package parser

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// process is an example of a daemon's settings structure.
type process struct {
	Listen  string        `json:"listen"`
	Links   uint16        `json:"links"`
	Debug   bool          `json:"debug"`
	Wait    time.Duration `json:"wait"`
	Entries []string      `json:"entries"`
}

// Check reports an empty listen address.
func (p *process) Check(report func(path, message string)) {
	if p.Listen == "" {
		report("listen", "required")
	}
}

// Guards against findings that are missing, misplaced, repeated or reported one
// at a time. The comment of each script says which failure it guards against.
func TestFindings(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(script), func(t *testing.T) {
			archive, err := txtar.ParseFile(script)
			if err != nil {
				t.Fatal(err)
			}
			if len(archive.Files) != 2 {
				t.Fatalf("want an input and its findings, got %d files", len(archive.Files))
			}
			input, want := archive.Files[0], archive.Files[1]
			var findings []Finding
			if strings.HasPrefix(input.Name, "process") {
				_, findings = ParseInto(input.Name, input.Data, process{})
			} else {
				_, findings = Parse(input.Name, input.Data)
			}
			got := (&Error{Findings: findings}).Error()
			if diff := cmp.Diff(strings.TrimSpace(string(want.Data)), got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against process settings that lose a value or a default.
func TestParseIntoKeepsDefaults(t *testing.T) {
	defaults := process{Links: 16, Wait: time.Second, Entries: []string{"a"}}
	got, findings := ParseInto("p", []byte(`{"listen": "127.0.0.1:1", "wait": "2s", "debug": true} // end`), defaults)
	if err := Join(findings); err != nil {
		t.Fatal(err)
	}
	want := process{Listen: "127.0.0.1:1", Links: 16, Debug: true, Wait: 2 * time.Second, Entries: []string{"a"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against example files that the parser rejects, or that declare no service.
func TestExamplesParse(t *testing.T) {
	leaves := map[string]resolver.Scope{
		"lamis.jsonc": {Firm: "lamis", Place: "sahel", FailureDomain: "hammamet", Service: "dispatch"},
		"apfm.jsonc":  {Firm: "apfm", Place: "lisboa", FailureDomain: "lisboa_sul", Service: "forno"},
	}
	for name, leaf := range leaves {
		tree, findings := Parse(name, readRoot(t, "examples/"+name))
		if err := Join(findings); err != nil {
			t.Errorf("findings:\n%v", err)
		}
		if _, ok := tree.Resolve(leaf); !ok {
			t.Errorf("%s does not declare %v", name, leaf)
		}
	}
}

// Guards against settings that docs/settings.md does not list, and against an example
// of findings there that differs from the parser's output.
func TestSettingsPageIsComplete(t *testing.T) {
	page := readRoot(t, "docs/settings.md")
	for _, structure := range []reflect.Type{
		reflect.TypeFor[resolver.Overrides](), reflect.TypeFor[resolver.Team](), reflect.TypeFor[resolver.Key](),
	} {
		for name := range jsonFields(structure) {
			if !bytes.Contains(page, []byte("| `"+name+"` |")) {
				t.Errorf("docs/settings.md has no row for %s.%s", structure.Name(), name)
			}
		}
	}
	example := between(t, page, "this tree\n\n```jsonc\n", "```")
	want := between(t, page, "```text\n", "\n```")
	_, findings := Parse("lamis.jsonc", []byte(example))
	if diff := cmp.Diff(want, (&Error{Findings: findings}).Error()); diff != "" {
		t.Errorf("findings of the example (-page +parser):\n%s", diff)
	}
}

// Guards against a crash, and against findings without a location, when a valid tree
// is damaged at random.
func TestDamagedTreesGetLocatedFindings(t *testing.T) {
	valid := readRoot(t, "examples/lamis.jsonc")
	rapid.Check(t, func(t *rapid.T) {
		data := bytes.Clone(valid)
		for range rapid.IntRange(1, 4).Draw(t, "damages") {
			from := rapid.IntRange(0, len(data)).Draw(t, "from")
			to := min(len(data), from+rapid.IntRange(0, 20).Draw(t, "removed"))
			insert := rapid.SampledFrom([]string{"", "null", "-1", "{", "}", "[]", `""`, ",", "//", "/*", "1e999", "\xff", "\n"}).Draw(t, "insert")
			data = bytes.Join([][]byte{data[:from], data[to:]}, []byte(insert))
		}
		checkLocated(t, data)
	})
}

// Guards against a crash of the parser on arbitrary bytes.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"firms": {"a": {"keys": [{}], "teams": {"t": {"weight": 0}}}}}`))
	f.Add(bytes.Repeat([]byte("["), 1<<20))
	f.Fuzz(func(t *testing.T, data []byte) { checkLocated(t, data) })
}

func checkLocated(t interface{ Fatalf(string, ...any) }, data []byte) {
	_, findings := Parse("tree", data)
	lines := bytes.Count(data, []byte("\n")) + 2
	for _, finding := range findings {
		if finding.Line < 1 || finding.Line > lines || finding.Column < 1 || finding.Message == "" {
			t.Fatalf("finding without a location: %+v", finding)
		}
	}
}

func readRoot(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("../../..", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func between(t *testing.T, page []byte, start, end string) string {
	t.Helper()
	_, after, found := strings.Cut(string(page), start)
	inside, _, closed := strings.Cut(after, end)
	if !found || !closed {
		t.Fatalf("the page has no text between %q and %q", start, end)
	}
	return inside
}
