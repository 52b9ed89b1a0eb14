package model

import (
	"testing"
	"time"
)

// The planner is killed. Its workers, a part of all, took no tasks for half a second
// after all who live had reported, because the next planner waited for processes that
// might just be starting; it knew better, since it had seen all for long.
func TestPlannerIsKilled(t *testing.T) {
	for seed := range uint64(3) {
		cfg := Lakeshore()
		cfg.Seed, cfg.Load = seed+1, 0.6
		cfg.Length, cfg.Tail = 5*time.Second, time.Second
		r := Recover(cfg, 3*time.Second, Losses[0])
		if len(r.Broken) > 0 || r.Again > 400*time.Millisecond {
			t.Errorf("seed %d: workers in use again after %v, broken %v; it was 545 to 720 ms", seed+1, r.Again, r.Broken)
		}
	}
}
