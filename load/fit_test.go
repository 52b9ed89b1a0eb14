package load

import "testing"

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		w      pointWeight
		want   Fit
		at10   float64
	}{
		{"two points", []Point{{0, 1}, {2, 5}}, absoluteErrors, Fit{Slope: 2, Intercept: 1, R2: 1}, 21},
		{"on a line", []Point{{1, 3}, {2, 5}, {3, 7}}, absoluteErrors, Fit{Slope: 2, Intercept: 1, R2: 1}, 21},
		{"flat", []Point{{1, 4}, {2, 4}, {3, 4}}, absoluteErrors, Fit{Intercept: 4, R2: 1}, 4},
		// Worked by hand: means 2 and 2, Sxx 2, Sxy 1, Syy 2, rest 1.5.
		{"scattered", []Point{{1, 1}, {2, 3}, {3, 2}}, absoluteErrors, Fit{Slope: 0.5, Intercept: 1, SlopeError: 0.8660254, R2: 0.25}, 2},
		// Worked by hand: weights 1, 1/4 and 1/100, means 127/126 and 160/126,
		// Sxx 0.00992063, Sxy 0.0873016, Syy 0.968254, rest 0.2.
		{"relative", []Point{{1, 1}, {1, 2}, {2, 10}}, relativeErrors, Fit{Slope: 8.8, Intercept: -7.6, SlopeError: 4.4899889, R2: 0.7934426}, 160.0 / 126},
	}
	for _, tt := range tests {
		f := fit(tt.points, tt.w)
		if !near(f.Slope, tt.want.Slope, 1e-6) || !near(f.Intercept, tt.want.Intercept, 1e-6) ||
			!near(f.SlopeError, tt.want.SlopeError, 1e-6) || !near(f.R2, tt.want.R2, 1e-6) {
			t.Errorf("%s: %+v, want %+v", tt.name, f, tt.want)
		}
		if y := f.At(10); !near(y, tt.at10, 1e-6) {
			t.Errorf("%s: %v at 10, want %v", tt.name, y, tt.at10)
		}
	}
}
