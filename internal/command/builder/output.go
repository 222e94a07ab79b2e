package builder

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// The formats of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func bindOutput(cmd *cobra.Command, output *string) {
	cmd.PersistentFlags().StringVarP(output, "output", "o", outputTable, "output format: table or json")
}

func checkOutput(output string) error {
	if output != outputTable && output != outputJSON {
		return usagef("--output must be table or json, not %q", output)
	}
	return nil
}

// printer writes results in the chosen format.
type printer struct {
	out  io.Writer
	json bool
}

// row holds the cells of one line of a table.
type row []any

// print writes body if the format is JSON, and otherwise the rows as a table.
func (p *printer) print(body any, rows ...row) error {
	if p.json {
		return p.printJSON(body)
	}
	table := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		cells := make([]string, len(r))
		for i, cell := range r {
			cells[i] = cellText(cell)
		}
		fmt.Fprintln(table, strings.TrimRight(strings.Join(cells, "\t"), "\t"))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

// cellText returns the text of a cell. An empty cell is printed as "-", so that scripts
// and readers can tell the columns apart.
func cellText(cell any) string {
	text := fmt.Sprint(cell)
	if text == "" {
		return "-"
	}
	return text
}

func (p *printer) printJSON(body any) error {
	encoder := json.NewEncoder(p.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(body); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
