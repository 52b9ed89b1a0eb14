package model

import (
	"testing"
	"time"
)

func play(t *testing.T, cfg Config) Result {
	t.Helper()
	r := New(cfg).Run()
	for _, b := range r.Broken {
		t.Errorf("seed %d: %s", cfg.Seed, b)
	}
	return r
}

// A calm day: everything that callers ask for can be served in time.
func TestCalmDay(t *testing.T) {
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
				t.Errorf("worth %.3f", r.Worth)
			}
		})
	}
}
