// Package planner holds the command that measures this machine and prints the
// capacity page.
package planner

import (
	"fmt"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/proof/estimator"
)

const outputMarkdown = "markdown"

// CapacityCommand returns the command that prints the capacity page.
func CapacityCommand() *cobra.Command {
	var output, machine string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure this machine and print the capacity page",
		Long: `capacity measures what the decision code, the codec and the links cost on this
machine, and prints the capacity page from the fitted slopes. It needs about two
minutes and links over loopback only.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != outputMarkdown {
				return fmt.Errorf("--output %q: only %q is known", output, outputMarkdown)
			}
			slopes, err := estimator.Measure(cmd.Context())
			if err != nil {
				return fmt.Errorf("measure: %w", err)
			}
			run := estimator.Run{
				Command: "burdockrudder capacity",
				Machine: machine,
				Date:    time.Now().UTC().Format(time.DateOnly),
			}
			return estimator.WritePage(cmd.OutOrStdout(), run, estimator.DesignTarget(), slopes)
		},
	}
	cmd.Flags().StringVar(&output, "output", outputMarkdown, "format of the page")
	cmd.Flags().StringVar(&machine, "machine", fmt.Sprintf("a machine of %d cores", runtime.NumCPU()), "description of the machine for the page")
	return cmd
}
