package model

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// stepLimitDay returns a day on six workers. A job has nine tasks, of which only one may run on each
// worker, so that some always wait.
func stepLimitDay(seed uint64, work time.Duration, perSecond float64) Config {
	cfg := Lakeshore()
	cfg.Seed, cfg.Load, cfg.Length, cfg.Tail = seed, 1, 12*time.Second, 6*time.Second
	cfg.Kinds = []Kind{largeKind}
	for i := range cfg.DataCenters {
		cfg.DataCenters[i].Workers = 2
	}
	cfg.Classes = []Class{{
		Name: "batch", PerSecond: perSecond, Work: work, MaxWork: work, Width: 9, MaxWidth: 9, CPU: 500, MaxCPU: 500, Memory: 64,
		MaxPerWorker: 1, Uneven: 0.2, Objective: 8 * time.Second, Stretch: 4, Attempts: 2, Rank: 3, Worth: 1, Late: 0.2,
	}}
	return cfg
}

// both plays two faults at once.
func both(f, g func(*World)) func(*World) {
	return func(w *World) {
		f(w)
		g(w)
	}
}

// Guards against more tasks of a step on a worker than the job allows, when the planner has lost sight
// of what was started there: it is new, has given a slow start up, or a holder stood still meanwhile.
func TestStepLimitWhileProcessesAreLost(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(round int) func(*World)
	}{
		{"planner killed", func(int) func(*World) { return killPlanner }},
		{"holder paused for 0.33 s", func(i int) func(*World) { return Suspend(i, 330*time.Millisecond) }},
		{"holder paused for 0.45 s", func(i int) func(*World) { return Suspend(i, 450*time.Millisecond) }},
		{"holder paused for 1.8 s", func(i int) func(*World) { return Suspend(i, 1800*time.Millisecond) }},
		{"planner killed beside a pause", func(i int) func(*World) {
			return both(Suspend(i+1, 450*time.Millisecond), killPlanner)
		}},
		{"two holders lost at once", func(i int) func(*World) {
			return both(Kill(i, 300*time.Millisecond), PowerOff(i+3, 2*time.Second))
		}},
		{"planner killed, store away", func(int) func(*World) {
			return both(StoreDown(1500*time.Millisecond), killPlanner)
		}},
		{"sessions reset", func(i int) func(*World) { return ResetSessions(i) }},
		{"planned restart", func(i int) func(*World) { return Restart(i, 2*time.Second, 300*time.Millisecond) }},
	}
	loads := []struct {
		work      time.Duration
		perSecond float64
	}{{60 * time.Millisecond, 140}, {900 * time.Millisecond, 12}}
	for _, tt := range tests {
		for _, l := range loads {
			t.Run(fmt.Sprintf("%s, tasks of %v", tt.name, l.work), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					cfg := stepLimitDay(seed+1, l.work, l.perSecond)
					for round := range 5 {
						at := time.Duration(1500+2111*round) * time.Millisecond
						cfg.Faults = append(cfg.Faults, Fault{at, tt.fault(round)})
					}
					play(t, cfg)
				}
			})
		}
	}
}

// Guards against the same where lost and paused processes, restarts of workers and outages of the store
// come in series and overlap.
func TestDrawnStepLimits(t *testing.T) {
	t.Parallel()
	for day := range *restartDays {
		t.Run(fmt.Sprint("day ", day), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(uint64(day), 10))
			cfg := stepLimitDay(uint64(day)+1, time.Duration(60+rnd.IntN(900))*time.Millisecond, 12)
			cfg.Classes[0].MaxPerWorker = 1 + rnd.IntN(2)
			for at := time.Second; at < 12*time.Second; at += time.Duration(rnd.IntN(700)) * time.Millisecond {
				faults := allFaults(rnd)
				cfg.Faults = append(cfg.Faults, Fault{at, faults[rnd.IntN(len(faults))]})
			}
			play(t, cfg)
		})
	}
}
