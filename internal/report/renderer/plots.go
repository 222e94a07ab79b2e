package renderer

import (
	"cmp"
	"fmt"
	"html/template"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/burdockrudder/burdockrudder/internal/report/collector"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// maxSeries bounds the lines of a plot of counts; the rarest are left out.
	maxSeries = 8
	// maxPlottedMarks bounds the vertical lines of a plot.
	maxPlottedMarks = 60
	// colors is the number of colors that a plot uses before it varies the dashes.
	colors = 7
)

// Plot is a drawn plot.
type Plot struct {
	Title string
	SVG   template.HTML
}

// series is one line of a plot: its value in each slot.
type series struct {
	name  string
	value func(*collector.Slot) float64
}

// plotsOf draws all plots of a run.
func plotsOf(run *collector.Run) ([]Plot, error) {
	perSecond := 1 / run.Width.Seconds()
	refusals := func(s *collector.Slot) collector.Counts { return s.Refusals }
	retryAfter := func(s *collector.Slot) collector.Counts { return s.RetryAfter }
	placements := func(s *collector.Slot) collector.Counts { return s.Placements }
	var plots []Plot
	for _, p := range []struct {
		title, unit string
		lines       []series
	}{
		{"Answers by outcome", "answers per second", answerSeries(run, perSecond)},
		{"Latency of completed and failed jobs", "seconds", latencySeries(run)},
		{"Refusals by reason", "refusals per second", countSeries(run.Total.Refusals, perSecond, refusals)},
		{"Retry-After of refusals", "refusals per second", countSeries(run.Total.RetryAfter, perSecond, retryAfter)},
		{"Placements by reason", "placements per second", countSeries(run.Total.Placements, perSecond, placements)},
		{"Retries and links", "per second", []series{
			{"placed again", func(s *collector.Slot) float64 { return float64(s.Retries) * perSecond }},
			{"links opened", func(s *collector.Slot) float64 { return float64(s.LinksOpened) * perSecond }},
			{"links closed", func(s *collector.Slot) float64 { return float64(s.LinksClosed) * perSecond }},
		}},
	} {
		if len(p.lines) == 0 {
			continue
		}
		svg, err := draw(run, p.unit, p.lines)
		if err != nil {
			return nil, fmt.Errorf("draw %s: %w", p.title, err)
		}
		plots = append(plots, Plot{Title: p.title, SVG: svg})
	}
	return plots, nil
}

func answerSeries(run *collector.Run, perSecond float64) []series {
	var lines []series
	for _, name := range collector.SortedKeys(run.Total.Queues) {
		for _, class := range collector.Classes() {
			if run.Total.Queues[name].Answers[class] == 0 {
				continue
			}
			lines = append(lines, series{name + " " + string(class), func(s *collector.Slot) float64 {
				if q := s.Queues[name]; q != nil {
					return float64(q.Answers[class]) * perSecond
				}
				return 0
			}})
		}
	}
	return lines
}

func latencySeries(run *collector.Run) []series {
	var lines []series
	for _, name := range collector.SortedKeys(run.Total.Queues) {
		if run.Total.Queues[name].Latency.TotalCount() == 0 {
			continue
		}
		for _, percent := range []float64{50, 99} {
			lines = append(lines, series{fmt.Sprintf("%s p%g", name, percent), func(s *collector.Slot) float64 {
				if q := s.Queues[name]; q != nil {
					return q.LatencyAt(percent)
				}
				return 0
			}})
		}
	}
	return lines
}

// countSeries returns lines for the most frequent names.
func countSeries(total collector.Counts, perSecond float64, of func(*collector.Slot) collector.Counts) []series {
	names := collector.SortedKeys(total)
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(total[b], total[a]) })
	var lines []series
	for _, name := range names[:min(len(names), maxSeries)] {
		lines = append(lines, series{name, func(s *collector.Slot) float64 { return float64(of(s)[name]) * perSecond }})
	}
	return lines
}

// draw returns a plot as SVG. Slots without lines count as zero.
func draw(run *collector.Run, unit string, lines []series) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = unit
	p.X.Label.Text = "seconds since the first line"
	p.Legend.Top = true
	top := 0.0
	for i, line := range lines {
		points := pointsOf(run, line)
		for _, point := range points {
			top = max(top, point.Y)
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		drawn.Color, drawn.Dashes = plotutil.Color(i), plotutil.Dashes(i/colors)
		p.Add(drawn)
		p.Legend.Add(line.name, drawn)
	}
	p.Y.Min, p.Y.Max = 0, max(top, 1e-6)*1.05
	if err := addMarks(run, p); err != nil {
		return "", err
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var svg strings.Builder
	if _, err := writer.WriteTo(&svg); err != nil {
		return "", err
	}
	// An XML declaration is not allowed inside of a page.
	_, body, _ := strings.Cut(svg.String(), "<svg")
	return template.HTML("<svg" + body), nil
}

func pointsOf(run *collector.Run, line series) plotter.XYs {
	keys := collector.SortedKeys(run.Slots)
	if len(keys) == 0 {
		return nil
	}
	var points plotter.XYs
	for key := keys[0]; key <= keys[len(keys)-1]; key++ {
		y := 0.0
		if s := run.Slots[key]; s != nil {
			y = line.value(s)
		}
		points = append(points, plotter.XY{X: run.SlotTime(key).Sub(run.Begin).Seconds(), Y: y})
	}
	return points
}

// addMarks draws a vertical line for each start and each lost or regained dependency.
func addMarks(run *collector.Run, p *plot.Plot) error {
	marks := 0
	for _, mark := range run.Marks {
		if mark.Message == "settings read" || marks >= maxPlottedMarks {
			continue
		}
		marks++
		x := mark.At.Sub(run.Begin).Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: p.Y.Min}, {X: x, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Color, line.Width = markColor, vg.Points(0.4)
		p.Add(line)
	}
	return nil
}
