package model

import (
	"testing"
	"time"
)

// large is a deployment of 147 VMs and 1,100 workers in five data centres. A tenth of the
// VMs has five times the processor of the smallest.
func large() Config {
	c := Lakeshore()
	c.DataCenters = nil
	for _, dc := range []struct {
		name    string
		vms     int
		callers float64
	}{{"chicago", 32, 239}, {"detroit", 28, 246}, {"cleveland", 30, 276}, {"milwaukee", 25, 237}, {"buffalo", 32, 268}} {
		shares := []float64{0.8, 0.48, 0.48, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144}
		c.DataCenters = append(c.DataCenters, DataCenter{Name: dc.name, VMs: dc.vms, Workers: 220, Callers: dc.callers, Shares: shares})
	}
	for i := range c.Classes {
		c.Classes[i].PerSecond *= 9
		c.Classes[i].Worth /= 9
		c.Classes[i].Late /= 9
		c.Classes[i].CPU, c.Classes[i].CPUMost = 32000, 48000
	}
	return c
}

// The cost of a calm day of 147 processes, without that of sessions and calls.
func BenchmarkLarge(b *testing.B) {
	for b.Loop() {
		cfg := large()
		cfg.Seed, cfg.Length, cfg.Tail, cfg.Load = 1, 3*time.Second, time.Second, 0.6
		r := New(cfg).Run()
		b.ReportMetric(r.Worth, "worth")
		b.ReportMetric(float64(r.Messages), "messages")
	}
}
