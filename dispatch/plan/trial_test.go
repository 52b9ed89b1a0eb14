package plan

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTrial compares the policies in virtual time: 16 dispatchers of 64 connections,
// 16 workers of 64 slots and three speeds, jobs of 1 to 100 tasks. It measures the
// decisions, not the system.
func BenchmarkTrial(b *testing.B) {
	tests := []struct {
		name   string
		policy string
		// least is MinHandoverTasks; a negative one sets JobSlots to its absolute value,
		// and MinHandoverTasks to 8.
		least int
		after time.Duration
	}{
		{"random", "random", 0, 0},
		{"two", "two", 0, 0},
		{"share", "share", 0, 0},
		{"share/slots8", "share", -8, 0},
		{"hand/slots8", "hand", -8, 50 * time.Millisecond},
		{"hand/after20ms/least1", "hand", 1, 20 * time.Millisecond},
		{"hand/after20ms/least4", "hand", 4, 20 * time.Millisecond},
		{"hand/after20ms/least8", "hand", 8, 20 * time.Millisecond},
		{"hand/after50ms/least8", "hand", 8, 50 * time.Millisecond},
		{"hand/after100ms/least8", "hand", 8, 100 * time.Millisecond},
		{"hand/after100ms/least16", "hand", 16, 100 * time.Millisecond},
	}
	for _, load := range []int{30, 60, 80, 95} {
		for _, tt := range tests {
			b.Run(fmt.Sprintf("%d%%/%s", load, tt.name), func(b *testing.B) {
				for range b.N {
					cfg := config(tt.policy)
					cfg.MinHandoverTasks = tt.least
					if tt.least < 0 {
						cfg.JobSlots = -tt.least
						cfg.MinHandoverTasks = 8
					}
					cfg.HandoverAfter = tt.after
					report(b, trial(b, cfg, load))
				}
			})
		}
	}
}

func report(b *testing.B, s *sim) {
	n := float64(s.starts - s.refusals)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(s.quantile(0.5), "p50/ideal")
	b.ReportMetric(s.quantile(0.99), "p99/ideal")
	b.ReportMetric(float64(s.messages+s.refusals)/n, "wasted/task")
	b.ReportMetric(float64(s.handed)/n, "handed/task")
	b.ReportMetric(float64(s.turnedDown)/n, "turned/task")
	b.ReportMetric(float64(s.failed), "failed")
	b.ReportMetric(float64(s.refused), "refused")
}

// simMean is the mean of sim.service in seconds.
const simMean = 0.99*0.150 + 0.01*3

func trial(b *testing.B, cfg Config, load int) *sim {
	s := newSim(1, cfg, 16, state(b, 16, 64), 1, 0.7, 0.5)
	capacity := 16 * 64 * (1 + 0.7 + 0.5) / 3 / simMean
	s.offer(float64(load)/100*capacity, 20*time.Second, time.Minute, 1, 1, 1, 1, 4, 4, 16, 100)
	s.run(30 * time.Second)
	return s
}
