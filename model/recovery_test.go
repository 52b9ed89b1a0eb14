package model

import (
	"testing"
	"time"
)

// The planner is killed. Its workers, a part of all, took no tasks for half a second after all
// remaining processes had reported, because the next planner waited for processes that might
// be starting, although it had long known all of them.
func TestPlannerIsKilled(t *testing.T) {
	for seed := range uint64(3) {
		cfg := Lakeshore()
		cfg.Seed, cfg.Load = seed+1, 0.6
		cfg.Length, cfg.Tail = 5*time.Second, time.Second
		r := Recover(cfg, 3*time.Second, Losses[0])
		if len(r.Violations) > 0 || r.WorkersBack > 400*time.Millisecond {
			t.Errorf("seed %d: workers in use again after %v, broken %v; it was 545 to 720 ms", seed+1, r.WorkersBack, r.Violations)
		}
	}
}

// The planner is killed while the store is unreachable, in deployments of 3, 8 and 41 processes.
// The next planner can't read the list of workers. The workers of the killed process, all of
// them in a small deployment, served no one until the store was back.
func TestPlannerIsKilledWithoutTheStore(t *testing.T) {
	t.Parallel()
	tests := []struct {
		processes []int
		planner   bool
	}{
		{[]int{1, 1, 1}, true},
		{[]int{3, 3, 2}, true},
		{[]int{14, 14, 13}, true},
		{[]int{3, 3, 2}, false},
	}
	for _, tt := range tests {
		for seed := range uint64(3) {
			cfg := Lakeshore()
			cfg.Seed, cfg.Load = seed+1, 0.5
			cfg.Length, cfg.Tail = 6*time.Second, time.Second
			for i, n := range tt.processes {
				cfg.DataCenters[i].VMs = n
			}
			cfg.Faults = []Fault{{2 * time.Second, StoreDown(20 * time.Second)}}
			loss := Loss{Name: "killed", Planner: tt.planner, Fault: func(vm int) func(*World) { return Kill(vm, lossDuration) }}
			r := Recover(cfg, 3*time.Second, loss)
			t.Logf("%v, planner %v: again after %v, %d of %d refused, %d lost", tt.processes, tt.planner, r.WorkersBack, r.Refused, r.Asked, r.Lost)
			if len(r.Violations) > 0 || r.WorkersBack > time.Second {
				t.Errorf("%v processes, seed %d: workers in use again after %v, broken %v", tt.processes, seed+1, r.WorkersBack, r.Violations)
			}
		}
	}
}
