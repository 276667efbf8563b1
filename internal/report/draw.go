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
	// width and height are those of one plot.
	width  = 24 * vg.Centimeter
	height = 8 * vg.Centimeter
)

// page holds all plots.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title></head>
<body><h1>{{.Title}}</h1>{{range .Plots}}{{.}}{{end}}</body></html>
`))

// series is one line or cloud of a plot.
type series struct {
	name   string
	points []Point
}

// Write draws a play as one HTML page.
func (p *Play) Write(w io.Writer, title string) error {
	specs := []struct {
		title, unit string
		cloud       bool
		series      []series
	}{
		{"worth by the second in which requests were sent", "part of the credit owed", false, []series{{"worth", p.Worth}}},
		{"answers by the second in which they ended", "ms", true, []series{{"first byte", p.FirstByte}, {"whole answer", p.Took}}},
		{"changes of expert maps: highest load of a rank by the mean", "skew", true, []series{{"before", p.Before}, {"expected after", p.After}}},
	}
	var plots []template.HTML
	for _, s := range specs {
		drawn, err := draw(s.title, s.unit, s.cloud, s.series)
		if err != nil {
			return err
		}
		plots = append(plots, drawn)
	}
	err := page.Execute(w, struct {
		Title string
		Plots []template.HTML
	}{title, plots})
	return oops.In("report").Wrap(err)
}

func draw(title, unit string, cloud bool, all []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	add := plotutil.AddLinePoints
	if cloud {
		add = plotutil.AddScatters
	}
	for _, s := range all {
		if err := add(p, s.name, xys(s.points)); err != nil {
			return "", oops.In("report").With("plot", title).Wrap(err)
		}
	}
	canvas, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", oops.In("report").With("plot", title).Wrap(err)
	}
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", oops.In("report").With("plot", title).Wrap(err)
	}
	return template.HTML(out.String()), nil
}

func xys(points []Point) plotter.XYs {
	out := make(plotter.XYs, len(points))
	for i, p := range points {
		out[i] = plotter.XY{X: p.Second, Y: p.Value}
	}
	return out
}
