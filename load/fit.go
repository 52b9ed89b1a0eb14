package load

import (
	"fmt"
	"math"
)

// Fit is a straight line through points by least squares.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of the slope; 0 with two points, which
	// always lie on a line.
	SlopeError float64 `json:"slope_error"`
	// R2 is the part of the variance that the line explains.
	R2 float64 `json:"r2"`
	// Mean is the mean of Y, which stands for the line where it is flat.
	Mean float64 `json:"mean"`
	// Freedom is the number of points beyond the two that a line needs.
	Freedom int `json:"freedom"`
}

// student is Student's t for a two-sided 95% by degrees of freedom, from 1.
var studentT95 = []float64{12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306}

// flat tells that the slope can't be told from none with 95%. A line through
// few scattered points would otherwise be drawn out to any size.
func (f Fit) isFlat() bool {
	if f.Freedom < 1 {
		return f.Slope <= 0
	}
	return f.Slope <= studentT95[min(f.Freedom, len(studentT95))-1]*f.SlopeError
}

// weight is how much a point counts in a fit.
type pointWeight func(p Point) float64

// absolute makes the fit minimise the squares of the errors, relative those of
// the errors as shares of Y: over sizes of several magnitudes the largest would
// otherwise decide alone.
var (
	absoluteErrors pointWeight = func(Point) float64 { return 1 }
	relativeErrors pointWeight = func(p Point) float64 { return 1 / max(p.Y*p.Y, 1e-12) }
)

// fit returns the line through the points; there must be two with different X.
func fit(points []Point, w pointWeight) Fit {
	var sum, mx, my float64
	for _, p := range points {
		sum += w(p)
		mx += w(p) * p.X
		my += w(p) * p.Y
	}
	mx, my = mx/sum, my/sum
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += w(p) * (p.X - mx) * (p.X - mx)
		sxy += w(p) * (p.X - mx) * (p.Y - my)
		syy += w(p) * (p.Y - my) * (p.Y - my)
	}
	f := Fit{Slope: sxy / sxx, R2: 1, Mean: my, Freedom: len(points) - 2}
	f.Intercept = my - f.Slope*mx
	residual := max(syy-f.Slope*sxy, 0)
	if n := float64(len(points)); n > 2 {
		f.SlopeError = math.Sqrt(residual / (n - 2) / sxx)
	}
	if syy > 0 {
		f.R2 = 1 - residual/syy
	}
	return f
}

// At is the line's value at x, and the mean where the line is flat.
func (f Fit) At(x float64) float64 {
	if f.isFlat() {
		return f.Mean
	}
	return f.Intercept + f.Slope*x
}

// String writes the slope with its error.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g ± %.2g (intercept %.4g, R² %.3f)", f.Slope, f.SlopeError, f.Intercept, f.R2)
}

// Slope is a measured dependence of a cost on a size.
type Slope struct {
	Name string `json:"name"`
	// X and Y say what the points are, with units.
	X      string  `json:"x"`
	Y      string  `json:"y"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

func newSlope(name, x, y string, points []Point, w pointWeight) Slope {
	s := Slope{Name: name, X: x, Y: y, Points: points}
	if len(points) > 1 {
		s.Fit = fit(points, w)
	}
	return s
}
