package load

import (
	"math"
	"testing"
)

// Days differ far more than policies do, so a policy is judged by its gain on the same
// days.
func TestPairedDifference(t *testing.T) {
	for _, tt := range []struct {
		name      string
		v, base   []float64
		mean, err float64
	}{
		{"the same", []float64{0.9, 0.5, 0.7}, []float64{0.9, 0.5, 0.7}, 0, 0},
		{"more by the same on days that differ", []float64{0.92, 0.52, 0.72}, []float64{0.9, 0.5, 0.7}, 0.02, 0},
		{"more and less", []float64{0.9, 0.5}, []float64{0.8, 0.6}, 0, 0.1},
		{"one day", []float64{0.9}, []float64{0.8}, 0.1, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			mean, err := meanAndError(differences(tt.v, tt.base))
			if math.Abs(mean-tt.mean) > 1e-9 || math.Abs(err-tt.err) > 1e-9 {
				t.Errorf("%.4f ± %.4f, want %.4f ± %.4f", mean, err, tt.mean, tt.err)
			}
		})
	}
}
