package model

import (
	"testing"
	"time"

	"snipehub.example/cell"
)

// overload returns a day on which all classes ask for factor times the usual from 2 s to 5 s.
func overload(seed uint64, factor float64) Config {
	cfg := Lakeshore()
	cfg.Seed, cfg.Load = seed, 1
	cfg.Length, cfg.Tail = 8*time.Second, time.Second
	cfg.Bursts = []Burst{{At: 2 * time.Second, For: 3 * time.Second, Factor: factor}}
	return cfg
}

// More is asked for than the workers can do, by ever more. Callers who can't be served waited
// for most of their objective before they were told. Most must be told at once, and the worth
// that is served must not collapse.
func TestWorthDoesNotCollapseWithTheLoad(t *testing.T) {
	t.Parallel()
	best := 0.0
	for _, factor := range []float64{1, 3, 8} {
		sum := 0.0
		var ages []float64
		for seed := range uint64(2) {
			w := New(overload(seed+1, factor))
			r := w.Run()
			if len(r.Violations) > 0 {
				t.Fatalf("broken: %v", r.Violations)
			}
			sum += w.Goodput(2500*time.Millisecond, 5*time.Second).Worth
			ages = append(ages, r.RefusalAges...)
		}
		early := 0
		for _, a := range ages {
			if a <= 0.1 {
				early++
			}
		}
		t.Logf("load %v: worth %.2f a second, %d refused, %d of them early", factor, sum/2, len(ages), early)
		if sum < 0.9*best {
			t.Errorf("load %v: worth %.2f a second, at less load %.2f", factor, sum/2, best/2)
		}
		if factor >= 3 && 2*early < len(ages) {
			t.Errorf("load %v: %d of %d refused within a tenth of the objective", factor, early, len(ages))
		}
		best = max(best, sum)
	}
}

// More is asked for than the workers can do, by ever more. Fewer callers are then served in
// time, although the workers can do as much as before.
func TestJobsInTimeDoNotFallWithTheLoad(t *testing.T) {
	t.Parallel()
	best := 0.0
	for _, factor := range []float64{3, 8} {
		w := New(overload(1, factor))
		w.Run()
		g := w.Goodput(2500*time.Millisecond, 5*time.Second)
		if g.InTime < best {
			t.Errorf("load %v: %.0f jobs in time a second, at less load %.0f", factor, g.InTime, best)
		}
		best = max(best, g.InTime)
	}
}

// Something fails in the middle of five times the load. Nobody may start anything twice or
// after a refusal, and when the load has been normal for two seconds, callers are served as
// ever, whatever the levels were.
func TestOverloadAndFailures(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(w *World)
	}{
		{"planner killed", OnPlanner(func(vm int) func(*World) { return Kill(vm, time.Second) })},
		{"planner stands still", OnPlanner(func(vm int) func(*World) { return Suspend(vm, 800*time.Millisecond) })},
		{"planner cut off", OnPlanner(func(vm int) func(*World) { return IsolateVM(vm, 1500*time.Millisecond) })},
		{"an entry cut off", IsolateVM(6, 1500*time.Millisecond)},
		{"a data centre cut off", IsolateDataCenter("chicago", false, 1500*time.Millisecond)},
		{"all restart", PowerOffAll(500 * time.Millisecond)},
		{"planner killed without the store", func(w *World) {
			StoreDown(2 * time.Second)(w)
			OnPlanner(func(vm int) func(*World) { return Kill(vm, time.Second) })(w)
		}},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := overload(uint64(i+1), 5)
			cfg.Faults = []Fault{{3500 * time.Millisecond, tt.fault}}
			w := New(cfg)
			r := w.Run()
			during, after := w.Goodput(2500*time.Millisecond, 5*time.Second), w.Goodput(7*time.Second, 8*time.Second)
			t.Logf("in time %.0f a second during the overload; after it %.0f of %.0f", during.InTime, after.InTime, after.Asked)
			if len(r.Violations) > 0 {
				t.Errorf("broken: %v", r.Violations)
			}
			if after.InTime < 0.95*after.Asked {
				t.Errorf("%.0f of %.0f jobs a second in time two seconds after the overload", after.InTime, after.Asked)
			}
		})
	}
}

// A planner's VM has less processor than the load takes. Without levels its events wait longer
// and longer, and jobs are late before they are looked at.
func TestPlannerWithLittleProcessor(t *testing.T) {
	t.Parallel()
	goodput := func(admission cell.Choice) float64 {
		cfg := overload(1, 6)
		cfg.Policy.Admission = admission
		cfg.Processor = Processor{Event: 300 * time.Microsecond, Pass: 200 * time.Microsecond, Pending: 5 * time.Microsecond}
		w := New(cfg)
		w.Run()
		return w.Goodput(2500*time.Millisecond, 5*time.Second).Worth
	}
	limited, off := goodput(cell.On), goodput(cell.Off)
	t.Logf("worth a second %.2f, without levels %.2f", limited, off)
	if limited < 1.5*off {
		t.Errorf("worth a second %.2f with levels, %.2f without", limited, off)
	}
}
