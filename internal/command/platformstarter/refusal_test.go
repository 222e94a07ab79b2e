package platformstarter

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/burdockrudder/burdockrudder/internal/command/builder"
)

// Guards against a process that goes on with settings that it refuses, and against a refusal
// that doesn't say what is wrong and which program refuses it.
func TestRefusedSettingsEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, []byte(`{"process": {"name": "p"}, "of_a_later_build": 1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, role := range []string{"entry", "agent"} {
		var output strings.Builder
		root := Root(nil)
		root.SetArgs([]string{role, "--config", path})
		if status := builder.Run(context.Background(), root, &output); status != builder.ExitFailed {
			t.Errorf("%s ends with status %d", role, status)
		}
		for _, want := range []string{"of_a_later_build", "unknown key", "refused by the program of build " + builder.Version()} {
			if !strings.Contains(output.String(), want) {
				t.Errorf("%s says %q, without %q", role, output.String(), want)
			}
		}
	}
}

// Guards against limits of the environment that a process ignores.
func TestInvalidEnvironmentEndsTheProcess(t *testing.T) {
	t.Setenv("BURDOCKRUDDER_MEMORY_BYTES", "much")
	var output strings.Builder
	root := Root(nil)
	root.SetArgs([]string{"entry", "--config", "absent.jsonc"})
	if status := builder.Run(context.Background(), root, &output); status != builder.ExitFailed || !strings.Contains(output.String(), `BURDOCKRUDDER_MEMORY_BYTES is "much"`) {
		t.Errorf("status %d: %s", status, output.String())
	}
}
