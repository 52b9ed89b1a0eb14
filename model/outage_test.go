package model

import (
	"fmt"
	"math"
	"testing"
	"time"

	"snipehub.example/lease"
)

// A fault of a worker affects the tasks that already run there, and only while it lasts.
func TestRunsUnderWay(t *testing.T) {
	const work = 200 * time.Millisecond
	tests := []struct {
		name    string
		fault   Fault
		took    time.Duration
		outcome lease.Outcome
	}{
		{"nothing", Fault{0, func(*World) {}}, 200 * time.Millisecond, lease.Done},
		{"three times as slow for 150 ms", Fault{100 * time.Millisecond, SlowTasks(0, 3, 150*time.Millisecond)}, 300 * time.Millisecond, lease.Done},
		{"slow before it begins", Fault{-100 * time.Millisecond, SlowTasks(0, 4, 300*time.Millisecond)}, 350 * time.Millisecond, lease.Done},
		{"stands still for 150 ms", Fault{100 * time.Millisecond, PauseTasks(0, 150*time.Millisecond)}, 350 * time.Millisecond, lease.Done},
		{"stands still before it begins", Fault{-100 * time.Millisecond, PauseTasks(0, 250*time.Millisecond)}, 350 * time.Millisecond, lease.Done},
		{"all fails", Fault{100 * time.Millisecond, FailTasks(0, time.Second)}, 100 * time.Millisecond, lease.Failed},
		{"the worker leaves", Fault{50 * time.Millisecond, Retire(0, 100*time.Millisecond)}, 150 * time.Millisecond, lease.Lost},
		{"another is slow", Fault{100 * time.Millisecond, SlowTasks(1, 3, 150*time.Millisecond)}, 200 * time.Millisecond, lease.Done},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := New(Config{
				DataCenters: []DataCenter{{Name: "a", Workers: 2}},
				Kinds:       []Kind{{Speed: 1, Resources: lease.Resources{CPU: 1000}}},
				Lead:        time.Second, Length: 2 * time.Second,
				Faults: []Fault{tt.fault},
			})
			j := &job{id: "0000000000000001", width: 1, tries: 1, work: []time.Duration{work}, failuresLeft: []int{0}}
			w.jobsByID[j.id] = j
			run := lease.Run{Task: lease.Task(j.id + ".0.0.0"), Number: 1}
			w.at(w.start, func() {
				w.workers[0].begin(lease.StartCall{Order: lease.Order{Claim: lease.Claim{Run: run}}, Until: 10_000})
			})
			w.Run()
			s := w.spansByTask[run.Task][0]
			if took := s.end.Sub(s.begin); took != tt.took || s.outcome != tt.outcome {
				t.Errorf("took %v and ended as %v, want %v and %v", took, s.outcome, tt.took, tt.outcome)
			}
		})
	}
}

// lightDay returns a day on which everything can be served.
func lightDay(seed uint64) Config {
	cfg := Lakeshore()
	cfg.Seed, cfg.Load, cfg.Length, cfg.Tail = seed, 0.5, 8*time.Second, 6*time.Second
	return cfg
}

// All VMs are restarted one after the other, as for an update. A stopping process answers its
// callers before it ends, so no caller waits until its timeout.
func TestRestartsInTurn(t *testing.T) {
	cfg := lightDay(1)
	for i := range 8 {
		cfg.Faults = append(cfg.Faults, Fault{time.Duration(i) * time.Second, Restart(i, 6*time.Second, 300*time.Millisecond)})
	}
	r := play(t, cfg)
	for _, c := range r.Classes {
		if c.Unserved > 0 || c.Share() < 0.9 {
			t.Errorf("%s: %d unserved, share %.3f", c.Name, c.Unserved, c.Share())
		}
	}
}

// A data centre is cut off from the others and from the store for two seconds. Callers on both
// sides are still served by the workers of their side, except for what was in progress across
// the cut. One large job is some 4% of what a data centre is owed on such a day, so the bound
// holds for the mean of several days, less two standard errors.
func TestDataCenterCutOff(t *testing.T) {
	t.Parallel()
	const days = 10
	var sum, squares float64
	for seed := range uint64(days) {
		cfg := lightDay(seed + 1)
		cfg.Faults = []Fault{{3 * time.Second, IsolateDataCenter("detroit", false, 2*time.Second)}}
		r := play(t, cfg)
		if r.Worth > 0.999 {
			t.Errorf("seed %d: worth %.3f, the cut has had no effect", cfg.Seed, r.Worth)
		}
		sum += r.Parts.DataCenter
		squares += r.Parts.DataCenter * r.Parts.DataCenter
	}
	mean := sum / days
	stderr := math.Sqrt((squares/days - mean*mean) / (days - 1))
	t.Logf("worth of the worst data centre %.3f ± %.3f", mean, stderr)
	if mean-2*stderr < 0.85 {
		t.Errorf("worth of the worst data centre %.3f ± %.3f, want 0.85 beyond two standard errors", mean, stderr)
	}
}

// OnPlanner hits the planner, whichever process that is, and a worker that joins later is used.
func TestPlannerLostWorkerJoins(t *testing.T) {
	cfg := lightDay(3)
	lost := -1
	cfg.Faults = []Fault{
		{2 * time.Second, OnPlanner(func(vm int) func(*World) {
			lost = vm
			return PowerOff(vm, time.Second)
		})},
		{3 * time.Second, AddWorker("detroit", 1)},
	}
	w := New(cfg)
	planner := -2
	w.at(w.start.Add(1900*time.Millisecond), func() { planner = w.victim(true).index })
	r := w.Run()
	used := 0
	for _, b := range w.begun {
		if b.worker == "w048" {
			used++
		}
	}
	if lost != planner || used == 0 || len(r.Violations) > 0 {
		t.Errorf("VM %d was lost, %d was the planner; %d starts on the worker that joined; broken %v", lost, planner, used, r.Violations)
	}
}

// Callers who leave at once are owed nothing, and jobs that cannot succeed earn their value when
// the failure is reported; neither affects the other jobs.
func TestChangesOfCallers(t *testing.T) {
	all := Span{For: time.Hour}
	tests := []struct {
		name   string
		change func(cfg *Config)
		check  func(c Tally) bool
	}{
		{"nothing", func(*Config) {}, func(c Tally) bool { return c.Share() > 0.99 && c.Owed > 0 }},
		{
			"all leave within 5 ms", func(cfg *Config) { cfg.Departures = []Departure{{all, 1, 5 * time.Millisecond}} },
			func(c Tally) bool { return c.Owed == 0 && c.Asked > 0 },
		},
		{
			"three of ten stock checks can't be done", func(cfg *Config) { cfg.FailingJobs = []FailingJobs{{all, "stock-check", 0.3}} },
			func(c Tally) bool { return c.Share() > 0.9 && (c.Failed == 0) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := lightDay(4)
			tt.change(&cfg)
			for _, c := range play(t, cfg).Classes {
				if !tt.check(c) {
					t.Errorf("%+v", c)
				}
			}
		})
	}
}

// The callers of one data centre follow a wave, and those of another move to a third one for a
// while.
func TestWavesAndMoves(t *testing.T) {
	cfg := lightDay(5)
	cfg.DataCenters[0].Wave = Wave{Swing: 0.8, Period: 8 * time.Second}
	cfg.Moves = []Move{{Span{At: 6 * time.Second, For: 2 * time.Second}, "detroit", "cleveland", 1}}
	count := make(map[string]int)
	w := New(cfg)
	for _, j := range w.jobs {
		quarter := int(j.sent.Sub(w.start) / (2 * time.Second))
		count[fmt.Sprintf("%s %d", j.dc, quarter)]++
	}
	if count["chicago 0"] < 2*count["chicago 3"] || count["detroit 3"] != 0 || count["detroit 2"] == 0 || count["cleveland 3"] < count["cleveland 2"]*3/2 {
		t.Errorf("jobs by data centre and quarter of the day: %v", count)
	}
}
