package model

import (
	"testing"
	"time"

	"snipehub.example/lease"
)

var (
	largeKind = Kind{Name: "a", Speed: 1, Resources: lease.Resources{CPU: 64000, Memory: 262144}}
	smallKind = Kind{Name: "b", Speed: 1, Resources: lease.Resources{CPU: 30000, Memory: 262144}}
)

// killPlanner kills the planner's process.
func killPlanner(w *World) { Kill(w.victim(true).index, 2*time.Second)(w) }

// restartDay returns a day on which a quarter of the workers, three at a time, restart under
// their IDs as workers of another kind with less CPU. Two classes of three require the former
// kind.
func restartDay(seed uint64, down time.Duration) Config {
	cfg := lightDay(seed)
	cfg.Length = 12 * time.Second
	cfg.Kinds = []Kind{largeKind}
	cfg.Classes[0].Label, cfg.Classes[2].Label = largeKind.Name, largeKind.Name
	for round := range 4 {
		at := time.Duration(2000+2111*round) * time.Millisecond
		cfg.Faults = append(cfg.Faults, Fault{at, RestartWorkers(3*round, 3, down, smallKind)})
	}
	return cfg
}

// Guards against starts that rest on what a worker's former incarnation was: at a worker without
// the required label, or beyond a capacity that has become smaller.
func TestWorkersRestartAsAnotherKind(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		down      time.Duration
		unguarded bool
		faults    []Fault
	}{
		{"after 1.5 s", 1500 * time.Millisecond, false, nil},
		{"after 20 ms", 20 * time.Millisecond, false, nil},
		{"store away", 300 * time.Millisecond, false, []Fault{{1900 * time.Millisecond, StoreDown(9 * time.Second)}}},
		{"planner killed", 300 * time.Millisecond, false, []Fault{
			{2290 * time.Millisecond, killPlanner},
			{4420 * time.Millisecond, killPlanner},
			{6560 * time.Millisecond, killPlanner},
		}},
		{"planner killed and store away", 300 * time.Millisecond, false, []Fault{
			{1900 * time.Millisecond, StoreDown(9 * time.Second)},
			{2500 * time.Millisecond, killPlanner},
			{6300 * time.Millisecond, killPlanner},
		}},
		{"capacity not guarded", 300 * time.Millisecond, true, nil},
		{"capacity not guarded, after 20 ms, store away", 20 * time.Millisecond, true, []Fault{{1900 * time.Millisecond, StoreDown(9 * time.Second)}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				cfg := restartDay(seed+1, tt.down)
				cfg.Unguarded = tt.unguarded
				cfg.Faults = append(cfg.Faults, tt.faults...)
				play(t, cfg)
			}
		})
	}
}

// Guards against a drain that outlives its incarnation: once all workers were restarted as
// planned under their IDs, no job would be served.
func TestDrainedWorkersServeAfterTheirRestart(t *testing.T) {
	t.Parallel()
	cfg := lightDay(1)
	cfg.Length = 12 * time.Second
	workers := 48
	for i := range workers {
		at := time.Duration(500+150*i) * time.Millisecond
		cfg.Faults = append(cfg.Faults, Fault{at, DrainAndRestart(i, 2*time.Second, 300*time.Millisecond)})
	}
	r := play(t, cfg)
	for _, c := range r.Classes {
		if c.Share() < 0.8 {
			t.Errorf("%s: share %.3f, want 0.8", c.Name, c.Share())
		}
	}
}
