package starter

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/burdockrudder/burdockrudder/internal/daemon/launcher"
	"github.com/burdockrudder/burdockrudder/internal/demo/runner"
)

const (
	defaultDemoJobs = 110
	defaultDemoLoad = 0.7
	defaultDemoSeed = 1
)

// errInvariantBroken means that the run broke an invariant. The demo then exits with
// status 1.
var errInvariantBroken = errors.New("the run broke an invariant")

type demoFlags struct {
	deployment string
	fault      string
	ids        string
	report     string
	traceDir   string
	logLevel   string
	seed       uint64
	jobs       int
	load       float64
	takeOut    bool
	quiet      bool
}

func demoCommand() *cobra.Command {
	var flags demoFlags
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in this process, under load, and check the outcome",
		Long: `demo starts a stand-in platform, three entries and eleven agents with endpoints
of differing speed, over loopback sockets and with the delays of the deployment.
It submits jobs over HTTP, takes a failure domain out and brings it back, and
ends with a table. Starts are counted by the endpoints. The exit status is 1 if
an invariant was broken.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runDemo(cmd, flags) },
	}
	f := command.Flags()
	f.StringVar(&flags.deployment, "deployment", "lamis", "deployment: "+strings.Join(runner.Deployments, ", "))
	f.StringVar(&flags.fault, "fault", string(runner.FaultNone), fmt.Sprintf("fault to inject, one of %q", runner.Faults))
	f.StringVar(&flags.ids, "ids", string(runner.IDsOwn), "submission ids: own (chosen by the clients) or tickets")
	f.StringVar(&flags.report, "report", "", "write the report to this file as one JSON object")
	f.StringVar(&flags.traceDir, "trace-dir", "", "record a trace of each entry in this directory, for replay")
	f.StringVar(&flags.logLevel, "log-level", "error", "log level of the processes: debug, info, warn, error")
	f.Uint64Var(&flags.seed, "seed", defaultDemoSeed, "seed of the load and of the decisions")
	f.IntVar(&flags.jobs, "jobs", defaultDemoJobs, "jobs to submit")
	f.Float64Var(&flags.load, "load", defaultDemoLoad, "offered work as a share of the capacity")
	f.BoolVar(&flags.takeOut, "take-out", true, "take a failure domain out and bring it back")
	f.BoolVar(&flags.quiet, "quiet", false, "show no progress")
	return command
}

// check reports all invalid flags together.
func (f demoFlags) check() error {
	var findings []error
	if f.jobs < 1 {
		findings = append(findings, fmt.Errorf("--jobs %d: must be at least 1", f.jobs))
	}
	if f.load <= 0 {
		findings = append(findings, fmt.Errorf("--load %g: must be above 0", f.load))
	}
	if _, err := runner.FindDeployment(f.deployment); err != nil {
		findings = append(findings, fmt.Errorf("--deployment: %w", err))
	}
	if _, err := runner.ParseFault(f.fault); err != nil {
		findings = append(findings, fmt.Errorf("--fault: %w", err))
	}
	if _, err := runner.ParseIDs(f.ids); err != nil {
		findings = append(findings, fmt.Errorf("--ids: %w", err))
	}
	return errors.Join(findings...)
}

func runDemo(cmd *cobra.Command, flags demoFlags) error {
	if err := flags.check(); err != nil {
		return err
	}
	deployment, err := runner.FindDeployment(flags.deployment)
	if err != nil {
		return err
	}
	logger, err := launcher.NewLogger(launcher.LogConfig{Level: flags.logLevel, Format: "console"}, zapcore.Lock(os.Stderr))
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	r := &runner.Runner{
		Deployment: deployment,
		Seed:       flags.seed,
		Jobs:       flags.jobs,
		Load:       flags.load,
		Fault:      runner.Fault(flags.fault),
		IDs:        runner.IDs(flags.ids),
		TakeOut:    flags.takeOut,
		TraceDir:   flags.traceDir,
		Logger:     logger,
	}
	if !flags.quiet {
		r.Progress = cmd.ErrOrStderr()
	}
	report, err := r.Run(cmd.Context())
	if err != nil {
		return err
	}
	return showReport(cmd, report, flags.report, logger)
}

func showReport(cmd *cobra.Command, report *runner.Report, path string, logger *zap.Logger) error {
	if err := report.Print(cmd.OutOrStdout()); err != nil {
		return err
	}
	if path != "" {
		if err := report.Write(path); err != nil {
			return err
		}
	}
	broken := report.Violations()
	if len(broken) == 0 {
		return nil
	}
	logger.Error("invariants broken", zap.Strings("broken", broken))
	return fmt.Errorf("%w: %s", errInvariantBroken, strings.Join(broken, ", "))
}
