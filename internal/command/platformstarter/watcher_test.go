package platformstarter

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/burdockrudder/burdockrudder/platform"
)

// Guards against losing a change of the settings file because its SIGHUP arrives while
// the process starts. In soak seed 501 the signal ended an agent that had just been
// restarted.
func TestReloadDuringTheStart(t *testing.T) {
	signals := make(chan os.Signal, 1)
	loaded := make(chan struct{})
	w := &watcher{signals: signals, load: func() (platform.ProcessConfig, error) {
		close(loaded)
		return platform.ProcessConfig{Name: "changed"}, nil
	}}
	signals <- syscall.SIGHUP
	applied := make(chan platform.ProcessConfig, 1)
	err := w.run(context.Background(), func(context.Context) error {
		<-loaded
		w.register(func(config platform.ProcessConfig) { applied <- config })
		if config := <-applied; config.Name != "changed" {
			t.Errorf("settings of %q are in force", config.Name)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}
