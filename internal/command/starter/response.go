package starter

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockrudder/burdockrudder/internal/proof/meter"
)

type responseFlags struct {
	seeds   int
	span    time.Duration
	points  string
	compare string
	draw    string
}

// responseCommand returns the command that measures response over ideal against load.
func responseCommand() *cobra.Command {
	var flags responseFlags
	command := &cobra.Command{
		Use:   "response",
		Short: "Measure response over ideal against load, on a virtual clock",
		Long: `response drives the decision code of three entries and eleven agents on a
virtual clock, at loads from 0.30 to 0.95, and prints response over ideal. With
--compare and --draw it draws the curve against one that an earlier version has
written with --points.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return measureResponse(cmd, flags) },
	}
	f := command.Flags()
	f.IntVar(&flags.seeds, "seeds", 3, "seeds per load")
	f.DurationVar(&flags.span, "span", 5*time.Minute, "virtual time of the load per seed")
	f.StringVar(&flags.points, "points", "", "write the curve to this file as JSON")
	f.StringVar(&flags.compare, "compare", "", "curve of an earlier version, for --draw")
	f.StringVar(&flags.draw, "draw", "", "write a plot to this file, for instance response.svg")
	command.MarkFlagsRequiredTogether("compare", "draw")
	return command
}

func measureResponse(cmd *cobra.Command, flags responseFlags) error {
	const clientDelay = 3 * time.Millisecond
	points, err := meter.Curve(flags.seeds, flags.span, clientDelay)
	if err != nil {
		return err
	}
	for _, p := range points {
		if _, err := fmt.Fprintf(cmd.OutOrStdout(), "load %.2f  p50 %.3f  p99 %.3f\n", p.Load, p.P50, p.P99); err != nil {
			return fmt.Errorf("print curve: %w", err)
		}
	}
	if flags.points != "" {
		if err := meter.WritePoints(flags.points, points); err != nil {
			return err
		}
	}
	if flags.draw == "" {
		return nil
	}
	before, err := meter.ReadPoints(flags.compare)
	if err != nil {
		return err
	}
	return meter.Draw(flags.draw, before, points)
}
