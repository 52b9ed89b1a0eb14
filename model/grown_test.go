package model

import (
	"testing"
	"time"
)

// grownDeployment returns a deployment of 41 VMs and 350 workers at the load that its users
// expect.
func grownDeployment() Config {
	c := Lakeshore()
	c.DataCenters = []DataCenter{
		{Name: "chicago", VMs: 13, Workers: 117, Callers: 47},
		{Name: "detroit", VMs: 15, Workers: 117, Callers: 51.6},
		{Name: "cleveland", VMs: 13, Workers: 116, Callers: 42.1},
	}
	for i := range c.Classes {
		c.Classes[i].PerSecond *= 6
		c.Classes[i].Worth /= 6
		c.Classes[i].Late /= 6
		c.Classes[i].CPU, c.Classes[i].MaxCPU = 32000, 48000
	}
	return c
}

// Measures a day of a grown deployment whose callers request more than can be served: 80 of its
// workers become eight times as slow for three seconds.
func BenchmarkGrown(b *testing.B) {
	for b.Loop() {
		cfg := grownDeployment()
		cfg.Seed, cfg.Length, cfg.Tail, cfg.Load = 1, 6*time.Second, time.Second, 1.5
		cfg.Bursts = []Burst{{At: 500 * time.Millisecond, For: 4 * time.Second, Factor: 1.3}}
		cfg.Faults = []Fault{{2 * time.Second, SlowNewTasks(3, 80, 8, 3*time.Second)}}
		r := New(cfg).Run()
		b.ReportMetric(r.Worth, "worth")
		b.ReportMetric(r.WorstWindows, "worst")
	}
}
