// Package hoster holds the commands that run the daemons on the users' platform.
package hoster

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/burdockrudder/burdockrudder/internal/settings/parser"
	"github.com/burdockrudder/burdockrudder/platform"
)

// Root returns the command with its roles.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "burdockrudder-platform",
		Short:         "Run burdockrudder on the users' platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(entryCommand(), agentCommand())
	return root
}

func entryCommand() *cobra.Command {
	return roleCommand("entry", "Run an entry: admit, place and answer", platform.EntryDefaults(), platform.RunEntry,
		func(c platform.EntryConfig) platform.ProcessConfig { return c.Process })
}

func agentCommand() *cobra.Command {
	return roleCommand("agent", "Run an agent beside an endpoint", platform.AgentDefaults(), platform.RunAgent,
		func(c platform.AgentConfig) platform.ProcessConfig { return c.Process })
}

func roleCommand[T any](
	use, short string, defaults T,
	run func(context.Context, T, func(platform.Reload)) error,
	process func(T) platform.ProcessConfig,
) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config, err := parser.ReadInto(path, defaults)
			if err != nil {
				return err
			}
			w := &watcher{path: path}
			w.load = func() (platform.ProcessConfig, error) {
				changed, err := parser.ReadInto(path, defaults)
				return process(changed), err
			}
			return w.run(cmd.Context(), func(ctx context.Context) error { return run(ctx, config, w.register) })
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file of the daemon, JSON with comments")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return command
}

// watcher reads the settings file again at each SIGHUP.
type watcher struct {
	path   string
	load   func() (platform.ProcessConfig, error)
	reload platform.Reload
}

func (w *watcher) register(reload platform.Reload) { w.reload = reload }

// run runs a daemon and reloads its settings meanwhile.
func (w *watcher) run(ctx context.Context, daemon func(context.Context) error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		w.watch(signals, ended)
		return nil
	})
	err := daemon(ctx)
	close(ended)
	// The watching goroutine returns no error.
	_ = group.Wait()
	return err
}

func (w *watcher) watch(signals <-chan os.Signal, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-signals:
		}
		changed, err := w.load()
		if err != nil {
			fmt.Fprintf(os.Stderr, "settings not reloaded: %v\n", err)
			continue
		}
		if w.reload != nil {
			w.reload(changed)
		}
	}
}
