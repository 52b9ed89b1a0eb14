package plan

import (
	"testing"
	"time"

	"snipehub.example/delivery"
)

// faultBetween returns a worker fault: between the two times the worker answers o after d.
func faultBetween(from, to time.Time, d time.Duration, o delivery.Outcome) func(time.Time) (time.Duration, delivery.Outcome, bool) {
	return func(now time.Time) (time.Duration, delivery.Outcome, bool) {
		return d, o, !now.Before(from) && now.Before(to)
	}
}

// One of ten servers fails for twenty seconds, in each of several ways. If it stayed in
// use, it would attract work faster than the others, because a failed task frees its slot
// at once, or would hold connections until the leases end; jobs would fail all the while.
// It must get only a probe now and then, and its full share of the work after it has
// recovered.
func TestSickServer(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		o     delivery.Outcome
		// maxStarts is how many tasks may start there in the 20 s: those that start
		// before the fault is detected, and the probes.
		maxStarts int
	}{
		{"fails all it starts", time.Millisecond, delivery.Outcome{Kind: delivery.Ran, Cause: delivery.Status, Status: 500}, 12},
		{"resets", 50 * time.Millisecond, delivery.Outcome{Kind: delivery.Unknown, Cause: delivery.Broken}, 12},
		{"vanishes", 0, delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.NoConnection}, 12},
		{"refuses", 0, delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.Refused}, 24},
		{"freezes", time.Hour, delivery.Outcome{}, 8},
		{"slows down tenfold", 1800 * time.Millisecond, delivery.Outcome{Kind: delivery.Done, Status: 200}, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(1, config("share"), 1, state(t, 10, 4), 1)
			w := s.workers[address(0)]
			w.fault = faultBetween(epoch.Add(5*time.Second), epoch.Add(25*time.Second), tt.after, tt.o)
			s.offer(170, time.Minute, 20*time.Second, 1)
			s.run(5 * time.Second)
			before := w.starts
			s.run(20 * time.Second)
			if n := w.starts - before; n > tt.maxStarts {
				t.Errorf("%d tasks started on the failing server, want at most %d", n, tt.maxStarts)
			}
			s.run(20 * time.Second)
			before = w.starts
			s.run(15 * time.Second)
			if n := w.starts - before; n < 100 {
				t.Errorf("%d tasks started on the server after it had recovered", n)
			}
		})
	}
}

// A kind of request fails on every server because of a fault of its own. Every server
// looks bad, but if all were ejected, the other kinds of request would have none.
func TestEjectionIsBounded(t *testing.T) {
	s := newSim(1, config("share"), 1, state(t, 10, 4), 1)
	for _, w := range s.workers {
		w.fault = faultBetween(epoch, epoch.Add(time.Hour), time.Millisecond, delivery.Outcome{Kind: delivery.Ran, Cause: delivery.Status, Status: 500})
	}
	s.offer(100, 10*time.Second, 20*time.Second, 1)
	for range 100 {
		s.run(100 * time.Millisecond)
		if n := s.planners[0].fleet.Pool("quick").Ejected(); n > 3 {
			t.Fatalf("%d of 10 servers are ejected, want at most 3", n)
		}
	}
}

// No server can be reached for a while. Each failed task may be retried, and without a
// budget all would be, again and again, so that the servers would get many times the load
// just as they recover.
func TestNoRetryStorm(t *testing.T) {
	cfg := config("share")
	cfg.Attempts = 10
	cfg.MaxEjectedShare = 0
	s := newSim(1, cfg, 1, state(t, 10, 400), 1)
	for _, w := range s.workers {
		w.fault = faultBetween(epoch, epoch.Add(10*time.Second), 0, delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.NoConnection})
	}
	s.offer(100, 10*time.Second, time.Minute, 1)
	s.run(10 * time.Second)
	firsts := 1100
	if most := firsts + firsts/10 + retryBudgetBurst + 10*retryBudgetRefill; s.starts > most {
		t.Errorf("%d attempts, want at most %d", s.starts, most)
	}
	s.run(2 * time.Minute)
	if s.done == 0 || len(s.jobs) > 0 {
		t.Errorf("%d jobs done afterwards, %d left", s.done, len(s.jobs))
	}
}

// Jobs arrive at twice the rate at which tasks can end. A queue that accepts all of them
// fills with work that ends too late: goodput falls towards zero, and the queue outlasts
// the burst.
func TestOverload(t *testing.T) {
	goodput := func(load float64) (*sim, float64) {
		s := newSim(1, config("share"), 4, state(t, 8, 16), 1)
		s.offer(load*8*16/simMean, 30*time.Second, 3*time.Second, 1, 4)
		s.run(30 * time.Second)
		return s, float64(s.done)
	}
	_, full := goodput(1)
	s, twice := goodput(2)
	if twice < 0.95*full {
		t.Errorf("%.0f jobs done at twice the load, %.0f at the full load", twice, full)
	}
	if s.refused == 0 {
		t.Error("nothing was refused")
	}
	s.run(4 * time.Second)
	s.responseRatios = nil
	s.offer(0.3*8*16/simMean, 5*time.Second, 3*time.Second, 1)
	s.run(10 * time.Second)
	if r := s.quantile(0.9); r > 2 {
		t.Errorf("after the overload the response is %.1f times the ideal", r)
	}
}

// A server with many slots freezes. Nothing fails, and until the first lease ends the
// server looks busy with long tasks; each task that is sent to it is lost.
func TestFrozenServer(t *testing.T) {
	s := newSim(1, config("random"), 1, state(t, 10, 64), 1)
	w := s.workers[address(0)]
	w.fault = faultBetween(epoch.Add(5*time.Second), epoch.Add(14*time.Second), time.Hour, delivery.Outcome{})
	s.offer(200, 14*time.Second, 20*time.Second, 1)
	s.run(5 * time.Second)
	before := w.starts
	s.run(9 * time.Second)
	if n := w.starts - before; n > 50 {
		t.Errorf("%d tasks started on the frozen server, want at most 50", n)
	}
}
