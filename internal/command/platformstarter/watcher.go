package platformstarter

import (
	"context"
	"fmt"
	"os"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/platform"
)

// watcher reads the settings file again at each signal and passes the settings to the
// daemon.
type watcher struct {
	signals <-chan os.Signal
	load    func() (platform.ProcessConfig, error)

	mu     sync.Mutex
	reload platform.Reload
	// pending holds settings that were read again before the daemon registered its
	// reload function.
	pending *platform.ProcessConfig
}

// register sets the function that puts changed settings in force, and calls it with
// the pending settings, if any.
func (w *watcher) register(reload platform.Reload) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reload = reload
	if w.pending != nil {
		reload(*w.pending)
		w.pending = nil
	}
}

func (w *watcher) apply(config platform.ProcessConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reload == nil {
		w.pending = &config
		return
	}
	w.reload(config)
}

// run runs a daemon and reloads its settings at each signal until the daemon returns.
func (w *watcher) run(ctx context.Context, daemon func(context.Context) error) error {
	ended := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		w.watch(ended)
		return nil
	})
	err := daemon(ctx)
	close(ended)
	// The watching goroutine returns no error.
	_ = group.Wait()
	return err
}

func (w *watcher) watch(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-w.signals:
		}
		config, err := w.load()
		if err != nil {
			fmt.Fprintf(os.Stderr, "settings not reloaded: %v\n", err)
			continue
		}
		w.apply(config)
	}
}
