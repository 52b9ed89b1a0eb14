package model

import (
	"testing"
	"time"
)

// A share of the calls to workers gets no answer and is executed seconds late. Callers should
// notice little: the workers are healthy, and the next call can find out the outcome of a lost
// one. The minimum worth is a little below what these days earned; with a worker put out of use
// for each lost call it was 0.81 and 0.48.
func TestLostCalls(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ share, minWorth float64 }{{0.05, 0.92}, {0.15, 0.82}} {
		share := tt.share
		sum, worst := 0.0, 0.0
		const seeds = 4
		for seed := range uint64(seeds) {
			cfg := Lakeshore()
			cfg.Seed, cfg.Load, cfg.Length = seed+1, 0.8, 12*time.Second
			cfg.Faults = []Fault{{2 * time.Second, DelayCalls(share, 8*time.Second)}}
			r := play(t, cfg)
			sum += r.Worth / seeds
			worst += r.WorstWindows / seeds
			if seed == 0 {
				t.Log(r)
			}
		}
		if sum < tt.minWorth {
			t.Errorf("%.0f%% lost: worth %.3f, want %.2f", 100*share, sum, tt.minWorth)
		}
		t.Logf("%.0f%% lost: worth %.3f, worst windows %.3f over %d days", 100*share, sum, worst, seeds)
	}
}
