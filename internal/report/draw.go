package report

import (
	"bytes"
	"html/template"
	"io"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// pageTemplate is the HTML page around the plots.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title></head>
<body><h1>{{.Title}}</h1>{{range .Plots}}{{.}}{{end}}</body></html>
`))

// series is one line of a line plot or one set of points of a scatter plot.
type series struct {
	name   string
	points []Point
}

// Write writes an HTML page with the plots of the run.
func (r *Run) Write(w io.Writer, title string) error {
	specs := []struct {
		title, unit string
		scatter     bool
		series      []series
	}{
		{"credit earned, by the second in which requests were sent", "share of the credit due", false, []series{{"credit earned", r.EarnedShare}}},
		{"response times, by the second in which the response ended", "ms", true, []series{{"first byte", r.FirstByte}, {"whole response", r.Total}}},
		{"changes of expert maps: highest rank load divided by the mean", "skew", true, []series{{"before", r.SkewBefore}, {"expected after", r.SkewAfter}}},
	}
	var plots []template.HTML
	for _, s := range specs {
		svg, err := draw(s.title, s.unit, s.scatter, s.series)
		if err != nil {
			return err
		}
		plots = append(plots, svg)
	}
	err := pageTemplate.Execute(w, struct {
		Title string
		Plots []template.HTML
	}{title, plots})
	return oops.In("report").Wrap(err)
}

// draw returns one plot as SVG.
func draw(title, unit string, scatter bool, lines []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	add := plotutil.AddLinePoints
	if scatter {
		add = plotutil.AddScatters
	}
	for _, s := range lines {
		if err := add(p, s.name, toXYs(s.points)); err != nil {
			return "", oops.In("report").With("plot", title).Wrap(err)
		}
	}
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", oops.In("report").With("plot", title).Wrap(err)
	}
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", oops.In("report").With("plot", title).Wrap(err)
	}
	return template.HTML(out.String()), nil
}

func toXYs(points []Point) plotter.XYs {
	out := make(plotter.XYs, len(points))
	for i, p := range points {
		out[i] = plotter.XY{X: p.Second, Y: p.Value}
	}
	return out
}
