// Package platformstarter holds the commands that run the daemons on the users' platform.
package platformstarter

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/command/builder"
	"github.com/burdockrudder/burdockrudder/internal/settings/parser"
	"github.com/burdockrudder/burdockrudder/platform"
)

// Root returns the root command with one subcommand per role. Each value received from
// reloads makes the running role read its settings file again.
func Root(reloads <-chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:           "burdockrudder-platform",
		Short:         "Run burdockrudder on the users' platform",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.Version = builder.Version()
	root.AddCommand(entryCommand(reloads), agentCommand(reloads))
	return root
}

func entryCommand(reloads <-chan os.Signal) *cobra.Command {
	return roleCommand(reloads, "entry", "Run an entry: admit, place and answer", platform.EntryDefaults(), (*platform.EntryConfig).ReadEnvironment,
		platform.RunEntry, func(c platform.EntryConfig) platform.ProcessConfig { return c.Process })
}

func agentCommand(reloads <-chan os.Signal) *cobra.Command {
	return roleCommand(reloads, "agent", "Run an agent beside an endpoint", platform.AgentDefaults(), (*platform.AgentConfig).ReadEnvironment,
		platform.RunAgent, func(c platform.AgentConfig) platform.ProcessConfig { return c.Process })
}

func roleCommand[T any](
	reloads <-chan os.Signal, use, short string, defaults T,
	readEnvironment func(config *T, lookup func(string) string) error,
	run func(context.Context, T, func(platform.Reload)) error,
	process func(T) platform.ProcessConfig,
) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := readEnvironment(&defaults, os.Getenv); err != nil {
				return refusedSettings(err)
			}
			config, err := parser.ReadInto(path, defaults)
			if err != nil {
				return refusedSettings(err)
			}
			w := &watcher{signals: reloads, load: func() (platform.ProcessConfig, error) {
				changed, err := parser.ReadInto(path, defaults)
				return process(changed), err
			}}
			return w.run(cmd.Context(), func(ctx context.Context) error { return run(ctx, config, w.register) })
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file of the daemon, JSON with comments")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return command
}

// refusedSettings names the build in the error, since a program that is older than its settings
// file doesn't know all of its keys.
func refusedSettings(err error) error {
	return fmt.Errorf("%w\nthe settings are refused by the program of build %s", err, builder.Version())
}
