package meter

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of the drawing.
const (
	drawingWidth  = 16 * vg.Centimeter
	drawingHeight = 11 * vg.Centimeter
)

var (
	oldColour = color.RGBA{R: 0xb0, G: 0x50, B: 0x30, A: 0xff}
	newColour = color.RGBA{R: 0x20, G: 0x60, B: 0xa0, A: 0xff}
)

// Draw writes a plot of two curves, old against new. The format follows from the
// suffix of the path.
func Draw(path string, before, after []Point) error {
	p := plot.New()
	p.Title.Text = "Response over ideal, three entries, eleven endpoints"
	p.X.Label.Text = "load"
	p.Y.Label.Text = "response over ideal"
	p.Y.Min = 1
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	p50 := func(point Point) float64 { return point.P50 }
	p99 := func(point Point) float64 { return point.P99 }
	for _, c := range []struct {
		name   string
		points []Point
		value  func(Point) float64
		colour color.Color
		dashes []vg.Length
	}{
		{"old p99", before, p99, oldColour, nil},
		{"new p99", after, p99, newColour, nil},
		{"old p50", before, p50, oldColour, []vg.Length{vg.Points(4), vg.Points(3)}},
		{"new p50", after, p50, newColour, []vg.Length{vg.Points(4), vg.Points(3)}},
	} {
		xys := make(plotter.XYs, len(c.points))
		for i, point := range c.points {
			xys[i] = plotter.XY{X: point.Load, Y: c.value(point)}
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return fmt.Errorf("draw curve %s: %w", c.name, err)
		}
		line.Color = c.colour
		line.Width = vg.Points(1.5)
		line.Dashes = c.dashes
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	if err := p.Save(drawingWidth, drawingHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}
