package builder

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

func settingsCommand() *cobra.Command {
	var c connection
	cmd := group("settings", "Read and change the settings",
		settingsGetCommand(&c),
		settingsSetCommand(&c),
		settingsValidateCommand(&c),
		settingsDiffCommand(&c),
		settingsHistoryCommand(&c),
	)
	c.bind(cmd)
	return cmd
}

// fetchSettings returns a version of the settings; 0 means the version in force.
func fetchSettings(ctx context.Context, client *caller.Client, version uint64) (translator.Settings, error) {
	if version == 0 {
		return client.Settings(ctx)
	}
	change, err := client.SettingsVersion(ctx, version)
	settings := translator.Settings{Version: change.Version}
	if change.Tree != nil {
		settings.Tree = *change.Tree
	}
	return settings, err
}

func settingsGetCommand(c *connection) *cobra.Command {
	var version uint64
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print the settings in a form that can be edited and set",
		Args:  arguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				settings, err := fetchSettings(ctx, client, version)
				if err != nil {
					return err
				}
				if out.json {
					return out.printJSON(settings)
				}
				fmt.Fprintf(out.out, "// version %d\n", settings.Version)
				return out.printJSON(settings.Tree)
			})
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "version to print (default: the present one)")
	return cmd
}

func settingsSetCommand(c *connection) *cobra.Command {
	var version uint64
	var reason string
	cmd := &cobra.Command{
		Use:   "set FILE|-",
		Short: "Replace the settings, if they are still at the given version",
		Args:  arguments("FILE"),
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "version that the file is based on (required)")
	cmd.Flags().StringVar(&reason, "reason", "", "reason, kept in the history (required)")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !cmd.Flags().Changed("version") || reason == "" {
			return usagef("--version and --reason are required")
		}
		text, err := readInput(cmd, args[0])
		if err != nil {
			return err
		}
		return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
			settings, err := client.SetSettings(ctx, version, text, reason)
			if err != nil {
				return withFindings(out, err)
			}
			return out.print(settings, row{"VERSION"}, row{settings.Version})
		})
	}
	return cmd
}

func settingsValidateCommand(c *connection) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE|-",
		Short: "Print the faults of a settings file",
		Args:  arguments("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readInput(cmd, args[0])
			if err != nil {
				return err
			}
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				body, err := client.ValidateSettings(ctx, text)
				if err != nil {
					return err
				}
				if err := printFindings(out, body.Findings); err != nil {
					return err
				}
				if len(body.Findings) > 0 {
					return errInvalidSettings
				}
				return nil
			})
		},
	}
}

func settingsDiffCommand(c *connection) *cobra.Command {
	var version uint64
	cmd := &cobra.Command{
		Use:   "diff FILE|-",
		Short: "Print what a settings file would change",
		Args:  arguments("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readInput(cmd, args[0])
			if err != nil {
				return err
			}
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				settings, err := fetchSettings(ctx, client, version)
				if err != nil {
					return err
				}
				changes, err := diffSettings(settings.Tree, text)
				if err != nil {
					return err
				}
				return out.print(changes, changeRows(changes)...)
			})
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "version to compare with (default: the present one)")
	return cmd
}

func settingsHistoryCommand(c *connection) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Print the accepted changes, youngest first",
		Args:  arguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				history, err := client.SettingsHistory(ctx, limit)
				if err != nil {
					return err
				}
				rows := []row{{"VERSION", "TIME", "AUTHOR", "REASON"}}
				for _, change := range history.Changes {
					rows = append(rows, row{change.Version, change.Time.Format(time.RFC3339), change.Author, change.Reason})
				}
				return out.print(history, rows...)
			})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of changes, at most 1000")
	return cmd
}

func printFindings(out *printer, findings []translator.Finding) error {
	rows := []row{{"LINE", "COLUMN", "LEVEL", "PATH", "MESSAGE"}}
	for _, f := range findings {
		rows = append(rows, row{f.Line, f.Column, f.Level, f.Path, f.Message})
	}
	return out.print(translator.Findings{Findings: findings}, rows...)
}
