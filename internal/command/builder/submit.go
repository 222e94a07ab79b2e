package builder

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
	"github.com/burdockrudder/burdockrudder/internal/settings/resolver"
)

// submission holds the flags that submit and request share.
type submission struct {
	connection
	id       string
	deadline time.Duration
	priority string
	noWait   bool
	labels   []string
	declared time.Duration
}

func (s *submission) bind(cmd *cobra.Command) {
	s.connection.bind(cmd)
	s.bindService(cmd)
	flags := cmd.Flags()
	flags.StringVar(&s.id, "id", "", "submission id (default: drawn)")
	flags.DurationVar(&s.deadline, "deadline", 0, "deadline from the admission (default: the service's)")
	flags.StringVar(&s.priority, "priority", "", "high, normal or low (default normal)")
	flags.BoolVar(&s.noWait, "no-wait", false, "print the id and do not wait for the outcome")
	flags.StringArrayVar(&s.labels, "label", nil, "label that the endpoint must carry; may be repeated")
	flags.DurationVar(&s.declared, "declared-run-time", 0, "expected run time of a task; a hint")
}

// apply overrides the options with the flags that were given.
func (s *submission) apply(cmd *cobra.Command, options *translator.Options) {
	if s.id != "" {
		options.ID = s.id
	}
	if cmd.Flags().Changed("deadline") {
		options.Deadline = resolver.Duration(s.deadline)
	}
	if s.priority != "" {
		options.Priority = s.priority
	}
	if s.noWait {
		wait := false
		options.Wait = &wait
	}
}

func (s *submission) task(payload []byte) (translator.Task, error) {
	if !json.Valid(payload) {
		return translator.Task{}, usagef("payload is not JSON: %.60q", payload)
	}
	return translator.Task{Payload: payload, Labels: s.labels, DeclaredRunTime: resolver.Duration(s.declared)}, nil
}

func submitCommand() *cobra.Command {
	var s submission
	var payloads []string
	cmd := &cobra.Command{
		Use:   "submit [FILE|-]",
		Short: "Submit a job and print its outcome",
		Long: "Submits a job from a file or standard input, in the JSON form of the API, or of\n" +
			"one task for each --task. Flags take precedence over the file.",
		Example: "  burdockrudder submit --firm lamis --service dispatch --task '{\"stop\":1}' --task '{\"stop\":2}'",
		Args:    cobra.ArbitraryArgs,
	}
	s.bind(cmd)
	cmd.Flags().StringArrayVar(&payloads, "task", nil, "payload of a task, as JSON; may be repeated")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		job, err := s.job(cmd, args, payloads)
		if err != nil {
			return err
		}
		return s.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
			outcome, err := client.SubmitJob(ctx, s.firm, s.service, job)
			return printOutcome(out, outcome, err)
		})
	}
	return cmd
}

func (s *submission) job(cmd *cobra.Command, args, payloads []string) (translator.Job, error) {
	var job translator.Job
	if (len(args) == 1) == (len(payloads) > 0) || len(args) > 1 {
		return job, usagef("give either one file or at least one --task")
	}
	if len(args) == 1 {
		text, err := readInput(cmd, args[0])
		if err != nil {
			return job, err
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&job); err != nil {
			return job, usagef("job in %s: %w", args[0], err)
		}
	}
	for _, payload := range payloads {
		task, err := s.task([]byte(payload))
		if err != nil {
			return job, err
		}
		job.Tasks = append(job.Tasks, task)
	}
	s.apply(cmd, &job.Options)
	return job, nil
}

func requestCommand() *cobra.Command {
	var s submission
	var repeatable bool
	cmd := &cobra.Command{
		Use:   "request PAYLOAD|-",
		Short: "Submit a request of a single task and print its outcome",
		Args:  arguments("PAYLOAD"),
	}
	s.bind(cmd)
	cmd.Flags().BoolVar(&repeatable, "repeatable", false, "the task may run more than once")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		payload, err := payloadArgument(cmd, args[0])
		if err != nil {
			return err
		}
		request := translator.Request{Repeatable: repeatable}
		if request.Task, err = s.task(payload); err != nil {
			return err
		}
		s.apply(cmd, &request.Options)
		return s.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
			outcome, err := client.SubmitRequest(ctx, s.firm, s.service, request)
			return printOutcome(out, outcome, err)
		})
	}
	return cmd
}

func payloadArgument(cmd *cobra.Command, argument string) ([]byte, error) {
	if argument != "-" {
		return []byte(argument), nil
	}
	return readInput(cmd, argument)
}

// printOutcome prints an outcome and returns errFailed if the outcome is a failure.
func printOutcome(out *printer, outcome translator.Outcome, err error) error {
	if err != nil {
		return err
	}
	rows := []row{{"ID", "STATUS", "REASON"}, {outcome.ID, outcome.Status, outcome.Reason}}
	if len(outcome.Tasks) > 0 {
		rows = append(rows, row{"TASK", "STATE", "RESULT", "REASON"})
	}
	for i, task := range outcome.Tasks {
		result := string(task.Result)
		if task.ResultBase64 != nil {
			result = string(task.ResultBase64)
		}
		rows = append(rows, row{i, task.State, result, task.Reason})
	}
	if err := out.print(outcome, rows...); err != nil {
		return err
	}
	if outcome.Status == translator.StatusFailed {
		return errFailed
	}
	return nil
}
