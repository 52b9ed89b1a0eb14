package model

import (
	"testing"
	"time"
)

// thinLinkDay returns a day of a deployment of 16 VMs with links of 2 Mbit/s and 135 workers. Jobs
// have specs of one to two and a half kilobytes, as its users describe them.
func thinLinkDay(seed uint64, load float64) Config {
	cfg := Lakeshore()
	cfg.DataCenters = []DataCenter{
		{Name: "chicago", VMs: 6, Workers: 45, Callers: 47},
		{Name: "detroit", VMs: 5, Workers: 45, Callers: 51.6},
		{Name: "cleveland", VMs: 5, Workers: 45, Callers: 42.1},
	}
	cfg.LinkBandwidth = 250_000
	cfg.Seed, cfg.Load, cfg.Length, cfg.Tail = seed, load, 10*time.Second, 4*time.Second
	for i := range cfg.Classes {
		cfg.Classes[i].PerSecond *= 6 / 2.6
		cfg.Classes[i].SpecSize = []int{2300, 2300, 900}[i]
	}
	return cfg
}

// All VMs have thin links, and each task crosses three of them. When every message named its
// fields and each report listed all runs of a worker, the planner's link was full. Calls that
// waited in it were taken for lost and repeated, and of a calm day's jobs one in twelve was
// served while workers idled. Beyond what the links can carry, jobs that can't be in time must
// not hold up the rest.
//
// The minimum worth is what processes reach that each place tasks on their own workers only.
func TestThinLinks(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name           string
		load, minWorth float64
	}{
		{"calm", 0.9, 0.37},
		{"more than the links bear", 1.8, 0.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(2) {
				r := play(t, thinLinkDay(seed+1, c.load))
				t.Log(r)
				if r.Worth < c.minWorth {
					t.Errorf("seed %d: worth %.3f, want %.2f", seed+1, r.Worth, c.minWorth)
				}
			}
		})
	}
}
