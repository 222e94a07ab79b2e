package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
	"github.com/burdockrudder/burdockrudder/internal/report/comparer"
	"github.com/burdockrudder/burdockrudder/internal/report/renderer"
	"github.com/burdockrudder/burdockrudder/internal/report/tracer"
)

// The formats of a report.
const (
	reportHTML = "html"
	reportJSON = "json"
)

// reportOptions are the flags of the report command.
type reportOptions struct {
	format, output, id, compare string
	queue, domain, host         string
	objectives                  map[string]string
}

// reportCommand returns the command that shows what a run did to its callers.
func reportCommand() *cobra.Command {
	o := &reportOptions{}
	command := &cobra.Command{
		Use:   "report PATH...",
		Short: "Show what a run did to its callers, from the logs of its processes",
		Long: `report reads the JSON logs of entries and agents: files, directories, or - for
standard input, plain or compressed with zstd. It writes one HTML page with
plots, or its figures as JSON. With --id it tells the story of one job and the
cause of its outcome; with --compare it compares two runs.

A line without the name of its process belongs to the process that the file is
named after (entry-1.log).`,
		Args: cobra.MinimumNArgs(1),
		RunE: o.run,
	}
	flags := command.Flags()
	flags.StringVar(&o.format, "format", reportHTML, "html or json")
	flags.StringVarP(&o.output, "output", "o", "", "write to this file; default: standard output")
	flags.StringVar(&o.id, "id", "", "tell the story of the job with this id")
	flags.StringVar(&o.compare, "compare", "", "compare with the run whose logs are in this file or directory")
	flags.StringVar(&o.queue, "queue", "", "only the answers of this queue")
	flags.StringVar(&o.domain, "failure-domain", "", "only processes whose name contains this failure domain")
	flags.StringVar(&o.host, "host", "", "only the process of this name")
	flags.StringToStringVar(&o.objectives, "objective", nil, "latency objective of a queue, QUEUE=DURATION")
	command.MarkFlagsMutuallyExclusive("id", "compare")
	return command
}

func (o *reportOptions) run(cmd *cobra.Command, paths []string) error {
	objectives, err := o.check()
	if err != nil {
		return err
	}
	output, closeOutput, err := o.openOutput(cmd.OutOrStdout())
	if err != nil {
		return err
	}
	switch {
	case o.id != "":
		err = o.tell(cmd, paths, output)
	case o.compare != "":
		err = o.compareRuns(cmd, paths, output)
	default:
		err = o.report(cmd, paths, objectives, output)
	}
	return errors.Join(err, closeOutput())
}

// check reports all invalid flags together.
func (o *reportOptions) check() (map[string]time.Duration, error) {
	var problems []error
	if o.format != reportHTML && o.format != reportJSON {
		problems = append(problems, fmt.Errorf("--format must be %s or %s, not %q", reportHTML, reportJSON, o.format))
	}
	objectives := make(map[string]time.Duration, len(o.objectives))
	for queue, text := range o.objectives {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			problems = append(problems, fmt.Errorf("--objective %s=%s: not a duration above 0, such as 150ms", queue, text))
		}
		objectives[queue] = d
	}
	return objectives, errors.Join(problems...)
}

func (o *reportOptions) openOutput(standard io.Writer) (io.Writer, func() error, error) {
	if o.output == "" {
		return standard, func() error { return nil }, nil
	}
	file, err := os.Create(o.output)
	if err != nil {
		return nil, nil, fmt.Errorf("create report: %w", err)
	}
	return file, file.Close, nil
}

func (o *reportOptions) tell(cmd *cobra.Command, paths []string, output io.Writer) error {
	story := &tracer.Story{ID: o.id}
	if err := readLogs(cmd, paths, story); err != nil {
		return err
	}
	return story.Write(output)
}

func (o *reportOptions) report(cmd *cobra.Command, paths []string, objectives map[string]time.Duration, output io.Writer) error {
	run, err := o.collect(cmd, paths)
	if err != nil {
		return err
	}
	figures := renderer.FiguresOf(run, objectives)
	if o.format == reportJSON {
		return renderer.WriteJSON(output, figures)
	}
	return renderer.WriteHTML(output, "Report of "+strings.Join(paths, ", "), run, figures)
}

func (o *reportOptions) compareRuns(cmd *cobra.Command, paths []string, output io.Writer) error {
	first, err := o.collect(cmd, paths)
	if err != nil {
		return err
	}
	second, err := o.collect(cmd, []string{o.compare})
	if err != nil {
		return err
	}
	return comparer.Write(output, comparer.Compare(first, second))
}

var errNoLines = errors.New("no log line was read")

func (o *reportOptions) collect(cmd *cobra.Command, paths []string) (*collector.Run, error) {
	run := &collector.Run{Filter: o.selects}
	if err := readLogs(cmd, paths, run); err != nil {
		return nil, err
	}
	if run.Lines == 0 {
		return nil, fmt.Errorf("%s: %w (%d could not be decoded)", strings.Join(paths, ", "), errNoLines, run.Bad)
	}
	return run, nil
}

// selects reports whether a line passes the filters of the command line. Lines that name no
// queue pass the filter for one.
func (o *reportOptions) selects(line *collector.Line) bool {
	switch {
	case o.host != "" && line.Process != o.host:
		return false
	case o.domain != "" && !strings.Contains(line.Process, o.domain):
		return false
	case o.queue != "" && line.Queue != "" && line.Queue != o.queue:
		return false
	}
	return true
}

// standardInput is the path that stands for standard input.
const standardInput = "-"

// readLogs passes the lines of all logs to a sink. All paths that can't be read are reported
// together, before any log is read.
func readLogs(cmd *cobra.Command, paths []string, sink collector.Sink) error {
	files, size, err := logFiles(paths)
	if err != nil {
		return err
	}
	progress := newProgress(size)
	defer func() { _ = progress.Finish() }()
	c := &collector.Collector{Sink: sink}
	for _, path := range files {
		if err := readLog(cmd.Context(), c, path, cmd.InOrStdin(), progress); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

func readLog(ctx context.Context, c *collector.Collector, path string, input io.Reader, progress *progressbar.ProgressBar) error {
	if path != standardInput {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		input = file
	}
	reader := progressbar.NewReader(input, progress)
	return c.Read(ctx, processName(path), &reader)
}

// processName returns the name of a process from the name of its log.
func processName(path string) string {
	name, _, _ := strings.Cut(filepath.Base(path), ".")
	return name
}

// logFiles returns the files of all paths, and their total size. Files in directories whose
// names begin with a dot are left out.
func logFiles(paths []string) (files []string, size int64, err error) {
	var problems []error
	for _, path := range paths {
		if path == standardInput {
			files = append(files, path)
			continue
		}
		err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir(), name != path && strings.HasPrefix(entry.Name(), "."):
				return nil
			}
			info, err := entry.Info()
			if err != nil {
				return err
			}
			size += info.Size()
			files = append(files, name)
			return nil
		})
		if err != nil {
			problems = append(problems, fmt.Errorf("read log: %w", err))
		}
	}
	if len(files) == 0 && len(problems) == 0 {
		problems = append(problems, fmt.Errorf("%s: no file found", strings.Join(paths, ", ")))
	}
	return files, size, errors.Join(problems...)
}

// newProgress returns a progress bar, which is visible if standard error is a terminal.
func newProgress(size int64) *progressbar.ProgressBar {
	return progressbar.NewOptions64(size,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetVisibility(term.IsTerminal(int(os.Stderr.Fd()))),
		progressbar.OptionShowBytes(true),
		progressbar.OptionClearOnFinish(),
	)
}
