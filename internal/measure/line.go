package measure

import "fmt"

// Point is the cost measured at one size.
type Point struct{ Size, Cost float64 }

// Line is a linear model: the cost is Intercept + Slope * size.
type Line struct{ Slope, Intercept float64 }

// Fit fits a line to the points by least squares.
func Fit(points []Point) Line {
	n := float64(len(points))
	var x, y, xx, xy float64
	for _, p := range points {
		x += p.Size
		y += p.Cost
		xx += p.Size * p.Size
		xy += p.Size * p.Cost
	}
	slope := (n*xy - x*y) / (n*xx - x*x)
	return Line{Slope: slope, Intercept: (y - slope*x) / n}
}

// At returns the cost that the line predicts for a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Series has the costs of one operation at several sizes.
type Series struct {
	Name, Unit, SizeUnit string
	Points               []Point
	// Target is the size that the cost is extrapolated to.
	Target float64
}

// Print prints the points, the fitted line and its value at the target.
func (s Series) Print() {
	fmt.Printf("\n%s (%s per %s)\n", s.Name, s.Unit, s.SizeUnit)
	for _, p := range s.Points {
		fmt.Printf("  %12.0f %-22s %12.3f %s\n", p.Size, s.SizeUnit, p.Cost, s.Unit)
	}
	l := Fit(s.Points)
	fmt.Printf("  slope %.6f, intercept %.3f; at %.0f: %.3f %s\n", l.Slope, l.Intercept, s.Target, l.At(s.Target), s.Unit)
}
