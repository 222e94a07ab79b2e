package builder

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/edge/caller"
	"github.com/burdockrudder/burdockrudder/internal/edge/translator"
)

func jobCommand() *cobra.Command {
	var c connection
	cmd := group("job", "Show and cancel submissions", jobShowCommand(&c), jobCancelCommand(&c))
	c.bind(cmd)
	c.bindService(cmd)
	return cmd
}

func jobShowCommand(c *connection) *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "show ID",
		Short: "Print the outcome of a job or a request",
		Args:  arguments("ID"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				outcome, err := client.Job(ctx, c.firm, c.service, args[0], wait)
				return printOutcome(out, outcome, err)
			})
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the submission is settled")
	return cmd
}

func jobCancelCommand(c *connection) *cobra.Command {
	var prefix bool
	cmd := &cobra.Command{
		Use:   "cancel ID",
		Short: "Cancel a submission, or all whose id has a prefix",
		Args:  arguments("ID"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				cancelled, err := cancelJobs(ctx, c, client, args[0], prefix)
				if err != nil {
					return err
				}
				return out.print(cancelled, row{"CANCELLED"}, row{cancelled.Cancelled})
			})
		},
	}
	cmd.Flags().BoolVar(&prefix, "prefix", false, "cancel all submissions whose id starts with ID")
	return cmd
}

func cancelJobs(ctx context.Context, c *connection, client *caller.Client, id string, prefix bool) (translator.Cancelled, error) {
	if prefix {
		return client.CancelPrefix(ctx, c.firm, c.service, id)
	}
	return client.Cancel(ctx, c.firm, c.service, id)
}

func ticketsCommand() *cobra.Command {
	var c connection
	cmd := &cobra.Command{
		Use:   "tickets COUNT",
		Short: "Ask for submission ids that need no write before the start",
		Args:  arguments("COUNT"),
		RunE: func(cmd *cobra.Command, args []string) error {
			count, err := strconv.Atoi(args[0])
			if err != nil {
				return usagef("COUNT must be a number, not %q", args[0])
			}
			return c.call(cmd, func(ctx context.Context, client *caller.Client, out *printer) error {
				tickets, err := client.Tickets(ctx, c.firm, c.service, count)
				if err != nil {
					return err
				}
				rows := []row{{"ID"}}
				for _, id := range tickets.IDs {
					rows = append(rows, row{id})
				}
				return out.print(tickets, rows...)
			})
		},
	}
	c.bind(cmd)
	c.bindService(cmd)
	return cmd
}
