package builder

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

func statusCommand() *cobra.Command {
	var c connection
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print the state of the answering entry",
		Args:  arguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				status, err := client.Status(ctx)
				if err != nil {
					return err
				}
				return out.print(status, statusRows(status)...)
			})
		},
	}
	c.bind(cmd)
	return cmd
}

func statusRows(s translator.Status) []row {
	return []row{
		{"incarnation", s.Incarnation},
		{"life cycle", s.LifeCycle},
		{"settings version", s.SettingsVersion},
		{"settings confirmed", s.SettingsConfirmedAt.Format(time.RFC3339Nano)},
		{"entries", len(s.Directory)},
		{"live submissions", s.LiveSubmissions},
		{"waiting tasks", s.WaitingTasks},
		{"sent tasks", s.SentTasks},
		{"submitted", s.Counters.Submitted},
		{"complete", s.Counters.Complete},
		{"failed", s.Counters.Failed},
		{"refused", s.Counters.Refused},
		{"starts", s.Counters.Starts},
	}
}

// build identifies the binary.
type build struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func versionCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "version",
		Short: "Print the version of this binary",
		Args:  arguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			b := readBuild()
			out := &printer{out: cmd.OutOrStdout(), json: output == outputJSON}
			return out.print(b, row{"version", b.Version}, row{"revision", b.Revision}, row{"go", b.Go})
		},
	}
	bindOutput(cmd, &output)
	return cmd
}

// Version returns the version of the program and the time of its file. A build without access
// to the version control system states no revision.
func Version() string {
	version := readBuild().Version
	if version == "" {
		version = "unknown"
	}
	path, err := os.Executable()
	if err != nil {
		return version
	}
	info, err := os.Stat(path)
	if err != nil {
		return version
	}
	return version + ", file of " + info.ModTime().UTC().Format(time.RFC3339)
}

func readBuild() build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return build{}
	}
	b := build{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			b.Revision = setting.Value
		}
	}
	return b
}
