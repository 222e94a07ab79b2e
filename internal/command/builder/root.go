// Package builder builds the command tree of the burdockrudder binary.
package builder

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

const rootHelp = `burdockrudder dispatches tasks that last less than a second to the endpoints that
a firm already owns. These commands call the HTTP API of its entries.

Exit codes:
  0  done
  1  the submission failed, or any other error
  2  wrong usage or a body that the API does not accept
  3  refused: not run, and will not be run by this call
  4  conflict: the id is in use for another body, or the settings have changed
  5  outcome unknown: repeat a submission under the same id, or query it
  6  not authorised, or not found`

// Root returns the command tree: the operators' commands and the extra ones.
func Root(extra ...*cobra.Command) *cobra.Command {
	root := group("burdockrudder", "Dispatch sub-second tasks",
		submitCommand(),
		requestCommand(),
		jobCommand(),
		ticketsCommand(),
		settingsCommand(),
		domainCommand(),
		endpointCommand(),
		statusCommand(),
		versionCommand(),
	)
	root.AddCommand(extra...)
	root.Long = rootHelp
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &usageError{err}
	})
	return root
}

// Run executes the command tree, prints an error to stderr and returns the exit
// code of the process.
func Run(ctx context.Context, root *cobra.Command, stderr io.Writer) int {
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(stderr, "burdockrudder:", err)
	}
	return ExitCode(err)
}

// group returns a command that only holds subcommands. It reports an unknown subcommand
// as a usage error, because Cobra would print the help and exit with code 0.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	g := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usagef("unknown command %q for %q", args[0], cmd.CommandPath())
			}
			return cmd.Help()
		},
	}
	g.AddCommand(commands...)
	return g
}

// arguments returns a check that requires exactly one argument for each name.
func arguments(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usagef("%s takes %d arguments (%s), got %d",
				cmd.CommandPath(), len(names), strings.Join(names, " "), len(args))
		}
		return nil
	}
}
