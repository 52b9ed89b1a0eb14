package model

import "testing"

// busyDay applies the day named busy to a deployment.
func busyDay(cfg Config, seed uint64) Config {
	cfg.Seed = seed
	for _, d := range Days {
		if d.Name == "busy" {
			d.Apply(&cfg)
		}
	}
	return cfg
}

// Demand exceeds capacity, and many workers are faulty. The minimum worth is a little below what
// these days earned; without ejecting failing workers it was 0.84, without waiting for faster
// ones 0.91.
func TestBusyDays(t *testing.T) {
	t.Parallel()
	for _, site := range []struct {
		name string
		cfg  Config
	}{{"lakeshore", Lakeshore()}, {"teranga", Teranga()}} {
		sum, worst := 0.0, 0.0
		const seeds = 6
		for seed := range uint64(seeds) {
			r := play(t, busyDay(site.cfg, seed+1))
			sum += r.Worth / seeds
			worst += r.WorstWindows / seeds
			if seed == 0 {
				t.Log(r)
			}
		}
		if sum < 0.925 {
			t.Errorf("%s: worth %.3f, want 0.925", site.name, sum)
		}
		t.Logf("%s: worth %.3f, worst windows %.3f over %d days", site.name, sum, worst, seeds)
	}
}
