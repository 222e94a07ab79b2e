package guard

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// Guards against invalid settings that are accepted, and against defaults that are
// refused.
func TestSettingsAreChecked(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		adjust func(*Settings)
		want   []string
	}{
		{"defaults", func(*Settings) {}, nil},
		{"machine", func(s *Settings) { s.MemoryBytes, s.MaxDescriptors = 184e6, 4100 }, nil},
		{"negative", func(s *Settings) { s.MemoryBytes, s.MaxConnections, s.MinRate = -1, -1, -1 },
			[]string{"memory_bytes", "max_connections", "min_rate"}},
		{"megabytes for bytes", func(s *Settings) { s.MemoryBytes = 184 }, []string{"memory_bytes"}},
		{"shares", func(s *Settings) { s.RequestShare, s.ReserveShare = 0.9, 1 }, []string{"request_share", "reserve_share"}},
		{"zero", func(s *Settings) { *s = Settings{} }, []string{
			"request_share", "max_reserved_connections", "max_header_bytes", "max_header_fields", "max_body_values",
			"max_body_depth", "min_rate", "max_handshakes", "rate_grace",
		}},
		{"few descriptors", func(s *Settings) { s.MaxDescriptors = 300 }, []string{"max_descriptors"}},
		{"short grace", func(s *Settings) { s.RateGrace = resolver.Duration(1) }, []string{"rate_grace"}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			s := Defaults()
			scenario.adjust(&s)
			var found []string
			s.Check(func(path, _ string) { found = append(found, path) })
			if diff := cmp.Diff(scenario.want, found); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against settings of the guard that are missing from the reference page.
func TestReferencePageListsAllSettings(t *testing.T) {
	page, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	fields := reflect.TypeFor[Settings]()
	for i := range fields.NumField() {
		if key := fields.Field(i).Tag.Get("json"); !strings.Contains(string(page), "| `"+key+"` |") {
			t.Errorf("docs/settings.md does not list %s", key)
		}
	}
}

// Guards against a limit of the runtime beside which the program's file and what is allocated
// during a collection do not fit into the memory of a small machine, as in the crowd tests, and
// against a needlessly low limit on large machines.
func TestRuntimeLimit(t *testing.T) {
	for _, scenario := range []struct{ memory, want int64 }{
		{memory: 64e6, want: 26_251_264},
		{memory: 128e6, want: 90_251_264},
		{memory: 152e6, want: 114e6},
		{memory: 284e6, want: 213e6},
	} {
		settings := Settings{MemoryBytes: scenario.memory}
		if got := settings.runtimeLimit(); got != scenario.want {
			t.Errorf("limit %d of %d", got, scenario.memory)
		}
	}
	smallest := Settings{MemoryBytes: minMemoryBytes}
	if got := smallest.runtimeLimit(); got < 8<<20 {
		t.Errorf("limit %d of the smallest machine", got)
	}
}
