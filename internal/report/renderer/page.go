package renderer

import (
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
)

//go:embed page.html.tmpl
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

var markColor = color.Gray{Y: 190}

// pageData is what the template of the page shows.
type pageData struct {
	Figures
	Title   string
	Classes []collector.Class
	Plots   []Plot
}

// WriteHTML writes a page that needs no other file.
func WriteHTML(w io.Writer, title string, run *collector.Run, f Figures) error {
	plots, err := plotsOf(run)
	if err != nil {
		return err
	}
	if err := page.Execute(w, pageData{Figures: f, Title: title, Classes: collector.Classes(), Plots: plots}); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
