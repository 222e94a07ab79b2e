package launcher

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/settings/parser"
)

// Guards against invalid settings that are detected only when a daemon runs, and against
// a check that stops at the first finding.
func TestBadEntrySettingsAreReportedTogether(t *testing.T) {
	text := `{
  "name": "entry.1",
  "listen": "localhost:7101",
  "http_listen": "127.0.0.1:8101",
  "http_tls": {"certificate": "entry.crt"},
  "platform_url": "127.0.0.1:9100",
  "tls": {"ca": "ca.crt", "certificate": "entry-1.crt", "key": "entry-1.key"},
  "journal_writes_per_second": 0,
  "log": {"level": "loud", "format": "json"}
}`
	_, findings := parser.ParseInto("entry.jsonc", []byte(text), EntryDefaults())
	var paths []string
	for _, f := range findings {
		paths = append(paths, f.Path)
	}
	want := []string{"name", "listen", "http_tls.key", "platform_url", "journal_writes_per_second", "log.level"}
	if diff := cmp.Diff(want, paths); diff != "" {
		t.Errorf("%s\n%v", diff, parser.Join(findings))
	}
}

// Guards against required settings of an agent that are accepted although missing.
func TestMissingAgentSettingsAreReported(t *testing.T) {
	_, findings := parser.ParseInto("agent.jsonc", []byte("{}"), AgentDefaults())
	missing := make(map[string]bool)
	for _, f := range findings {
		missing[f.Path] = true
	}
	for _, path := range []string{
		"name", "firm", "place", "failure_domain", "entries", "endpoint_url", "announce_listen", "tls.ca", "tls.certificate", "tls.key",
	} {
		if !missing[path] {
			t.Errorf("no finding for %s", path)
		}
	}
}

// Guards against settings of the daemons that are missing from the reference page.
func TestReferencePageListsAllSettings(t *testing.T) {
	page, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, config := range []any{EntryConfig{}, AgentConfig{}, LogConfig{}, HTTPCertificate{}} {
		fields := reflect.TypeOf(config)
		for i := range fields.NumField() {
			key := fields.Field(i).Tag.Get("json")
			if !strings.Contains(string(page), "`"+key+"`") {
				t.Errorf("docs/settings.md does not list %s of %s", key, fields.Name())
			}
		}
	}
}
