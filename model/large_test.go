package model

import (
	"testing"
	"time"
)

// largeDeployment returns a deployment of 147 VMs and 1,100 workers in five data centres. A tenth
// of the VMs has five times the processor share of the smallest.
func largeDeployment() Config {
	c := Lakeshore()
	c.DataCenters = nil
	for _, dc := range []struct {
		name    string
		vms     int
		callers float64
	}{{"chicago", 32, 239}, {"detroit", 28, 246}, {"cleveland", 30, 276}, {"milwaukee", 25, 237}, {"buffalo", 32, 268}} {
		shares := []float64{0.8, 0.48, 0.48, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144, 0.144}
		c.DataCenters = append(c.DataCenters, DataCenter{Name: dc.name, VMs: dc.vms, Workers: 220, Callers: dc.callers, Cores: shares})
	}
	for i := range c.Classes {
		c.Classes[i].PerSecond *= 9
		c.Classes[i].Worth /= 9
		c.Classes[i].Late /= 9
		c.Classes[i].CPU, c.Classes[i].MaxCPU = 32000, 48000
	}
	return c
}

// A deployment of 147 processes must earn nearly all of the worth on a calm day, and 0.87 of it
// under faults: when one of five data centres is cut off silently, when a quarter more workers
// join while others leave, when a tenth of the VMs and of the workers are lost at once, and when
// the request rate rises by half.
func TestLargeDeployment(t *testing.T) {
	tests := []struct {
		name   string
		load   float64
		worth  float64
		bursts []Burst
		faults []Fault
	}{
		{"calm", 0.6, 0.94, nil, nil},
		{"data centre cut off", 0.6, 0.87, nil, []Fault{{time.Second, IsolateDataCenter("detroit", false, 1500*time.Millisecond)}}},
		{"workers come and go", 0.8, 0.87, nil, workerChurn(1100, 275, 150)},
		{"VMs and workers lost", 0.7, 0.87, nil, append(powerOffSome(147, 15), Fault{1200 * time.Millisecond, CrashWorkers(100, 110, time.Second)})},
		{"burst", 0.8, 0.87, []Burst{{At: 500 * time.Millisecond, For: 2 * time.Second, Factor: 1.5}}, nil},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cfg := largeDeployment()
			cfg.Seed, cfg.Length, cfg.Tail, cfg.Load = uint64(i+1), 3*time.Second, 2*time.Second, tt.load
			cfg.Bursts, cfg.Faults = tt.bursts, tt.faults
			r := play(t, cfg)
			t.Logf("worth %.3f, worst data centre %.3f", r.Worth, r.Parts.DataCenter)
			if r.Worth < tt.worth {
				t.Errorf("worth %.3f, want %.2f", r.Worth, tt.worth)
			}
		})
	}
}

// workerChurn adds workers in all data centres within a second and retires others.
func workerChurn(have, more, fewer int) (out []Fault) {
	dcs := []string{"chicago", "detroit", "cleveland", "milwaukee", "buffalo"}
	for i := range more {
		out = append(out, Fault{500*time.Millisecond + time.Duration(i)*3*time.Millisecond, AddWorker(dcs[i%len(dcs)], i)})
	}
	for i := range fewer {
		out = append(out, Fault{time.Second + time.Duration(i)*5*time.Millisecond, Retire(i*have/fewer, 800*time.Millisecond)})
	}
	return out
}

// powerOffSome powers off some of the VMs at once, spread over all data centres.
func powerOffSome(have, lost int) (out []Fault) {
	for i := range lost {
		out = append(out, Fault{time.Second, PowerOff(i*have/lost, 1500*time.Millisecond)})
	}
	return out
}

// Measures a calm day of 147 processes, without the cost of sessions and calls.
func BenchmarkLarge(b *testing.B) {
	for b.Loop() {
		cfg := largeDeployment()
		cfg.Seed, cfg.Length, cfg.Tail, cfg.Load = 1, 3*time.Second, time.Second, 0.6
		r := New(cfg).Run()
		b.ReportMetric(r.Worth, "worth")
		b.ReportMetric(float64(r.Messages), "messages")
	}
}
