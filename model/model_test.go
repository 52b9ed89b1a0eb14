package model

import (
	"testing"
	"time"
)

func play(t *testing.T, cfg Config) Result {
	t.Helper()
	r := New(cfg).Run()
	for _, b := range r.Violations {
		t.Errorf("seed %d: %s", cfg.Seed, b)
	}
	return r
}

// On a calm day, everything that callers request can be served in time.
func TestCalmDay(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		cfg  Config
	}{{"lakeshore", Lakeshore()}, {"teranga", Teranga()}} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := tt.cfg
			cfg.Seed, cfg.Load, cfg.Length = 1, 0.5, 10*time.Second
			r := play(t, cfg)
			t.Log(r)
			if r.Worth < 0.97 {
				t.Errorf("worth %.3f, want 0.97", r.Worth)
			}
		})
	}
}

// The same seed gives the same day, including faults, so that a failure can be reproduced.
func TestSameSeedSameDay(t *testing.T) {
	t.Parallel()
	var days []string
	for range 2 {
		cfg := busyDay(Lakeshore(), 3)
		cfg.Length = 8 * time.Second
		cfg.Faults = append(cfg.Faults, Fault{4 * time.Second, Kill(2, time.Second)}, Fault{6 * time.Second, DelayCalls(0.1, time.Second)})
		days = append(days, play(t, cfg).String())
	}
	if days[0] != days[1] {
		t.Errorf("one day is\n%s and the other\n%s", days[0], days[1])
	}
}
