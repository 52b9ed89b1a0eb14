package plan

import (
	"testing"
	"time"

	"snipehub.example/delivery"
)

// faultBetween is a worker's answer while it is faultBetween: o after d.
func faultBetween(from, to time.Time, d time.Duration, o delivery.Outcome) func(time.Time) (time.Duration, delivery.Outcome, bool) {
	return func(now time.Time) (time.Duration, delivery.Outcome, bool) {
		return d, o, !now.Before(from) && now.Before(to)
	}
}

// One of ten servers gets sick for twenty seconds, in each of the ways in which
// servers do. Left in use, it draws in work faster than the well ones (what
// fails at once is free at once), or holds connections until the leases end;
// callers see jobs fail for as long as it lasts. It must get only a trial task now
// and then, and its full part of the work again after it is well.
func TestSickServer(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		o     delivery.Outcome
		// most is how many tasks may start there in the 20 s: those under way
		// until it is seen, and the trials.
		most int
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
			if n := w.starts - before; n > tt.most {
				t.Errorf("%d tasks started on the sick server, want at most %d", n, tt.most)
			}
			s.run(20 * time.Second)
			before = w.starts
			s.run(15 * time.Second)
			if n := w.starts - before; n < 100 {
				t.Errorf("%d tasks started on the server after it was well again", n)
			}
		})
	}
}

// A kind of request fails on every server, for a fault of its own. Each server
// looks sick; were all set aside, the other kinds would have none.
func TestAsideIsBounded(t *testing.T) {
	s := newSim(1, config("share"), 1, state(t, 10, 4), 1)
	for _, w := range s.workers {
		w.fault = faultBetween(epoch, epoch.Add(time.Hour), time.Millisecond, delivery.Outcome{Kind: delivery.Ran, Cause: delivery.Status, Status: 500})
	}
	s.offer(100, 10*time.Second, 20*time.Second, 1)
	for range 100 {
		s.run(100 * time.Millisecond)
		if n := s.planners[0].fleet.Pool("quick").Ejected(); n > 3 {
			t.Fatalf("%d of 10 servers are set aside, want at most 3", n)
		}
	}
}

// No server can be reached for a while. Each task is free to be tried
// elsewhere, and without a budget all are, again and again: the servers get many
// times the load at the moment when they come up.
func TestNoRetryStorm(t *testing.T) {
	cfg := config("share")
	cfg.Attempts = 10
	cfg.AsideShare = 0
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
		t.Errorf("%d jobs done after it, %d still there", s.done, len(s.jobs))
	}
}

// Jobs come in at twice the rate at which tasks can end. A queue that takes all
// of them fills with work that ends too late, goodput falls towards nothing, and
// the queue outlives the burst.
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

// A server with many slots freezes. Nothing fails, and until the first lease
// ends it looks like one that is at work on long tasks; each task that goes there
// is lost to its caller.
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
