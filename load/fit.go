package load

import (
	"fmt"
	"math"
)

// Fit is a straight line fitted to points by least squares.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of the slope; 0 with two points, which always lie
	// on a line.
	SlopeError float64 `json:"slope_error"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
	// Mean is the weighted mean of Y, which At returns if the line is flat.
	Mean float64 `json:"mean"`
	// Freedom is the number of points beyond the two that determine a line.
	Freedom int `json:"freedom"`
}

// studentT95 is the two-sided 95% quantile of Student's t distribution by degrees of
// freedom, from 1.
var studentT95 = []float64{12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306}

// isFlat reports whether the slope is not above 0 with 95% confidence; a falling line
// counts as flat too. A line through a few scattered points would otherwise be
// extrapolated to any size.
func (f Fit) isFlat() bool {
	if f.Freedom < 1 {
		return f.Slope <= 0
	}
	return f.Slope <= studentT95[min(f.Freedom, len(studentT95))-1]*f.SlopeError
}

// pointWeight returns the weight of a point in a fit.
type pointWeight func(p Point) float64

// absoluteErrors makes the fit minimize the squares of the errors, relativeErrors those
// of the errors relative to Y: over sizes of several orders of magnitude, the largest
// would otherwise dominate.
var (
	absoluteErrors pointWeight = func(Point) float64 { return 1 }
	relativeErrors pointWeight = func(p Point) float64 { return 1 / max(p.Y*p.Y, 1e-12) }
)

// fit returns the line through the points, of which at least two must have different X.
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

// At returns the line's value at x, or the mean if the line is flat.
func (f Fit) At(x float64) float64 {
	if f.isFlat() {
		return f.Mean
	}
	return f.Intercept + f.Slope*x
}

// String returns the slope with its error.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g ± %.2g (intercept %.4g, R² %.3f)", f.Slope, f.SlopeError, f.Intercept, f.R2)
}

// Slope is a measured dependence of a cost on a size.
type Slope struct {
	Name string `json:"name"`
	// X and Y describe the coordinates of the points, with units.
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
