package measure

import "fmt"

// Point is one measurement: a cost at a size.
type Point struct{ Size, Cost float64 }

// Line is a straight line fitted to points by least squares.
type Line struct{ Slope, Intercept float64 }

// Fit returns the line through the points.
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

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Series is a named set of points with its unit.
type Series struct {
	Name, Unit, SizeUnit string
	Points               []Point
	// Target is the size aimed for.
	Target float64
}

// Print writes the points, the fitted line and its value at the target.
func (s Series) Print() {
	fmt.Printf("\n%s (%s per %s)\n", s.Name, s.Unit, s.SizeUnit)
	for _, p := range s.Points {
		fmt.Printf("  %12.0f %-22s %12.3f %s\n", p.Size, s.SizeUnit, p.Cost, s.Unit)
	}
	l := Fit(s.Points)
	fmt.Printf("  slope %.6f, intercept %.3f; at %.0f: %.3f %s\n", l.Slope, l.Intercept, s.Target, l.At(s.Target), s.Unit)
}
