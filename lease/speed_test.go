package lease

import (
	"testing"
	"time"
)

// A worker's speed factor after some ends. A task so short that messages are most of its
// duration must not make a worker look slow: jobs that it could serve would be refused.
func TestSpeed(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name        string
		took, est   time.Duration
		ends        int
		least, most float64
	}{
		{"nothing yet", 0, 0, 0, 0, 0},
		{"one short task", 7 * ms, 1 * ms, 1, 0, 0},
		{"one that took three times as long", 302 * ms, 100 * ms, 1, 1.5, 1.8},
		{"many that took three times as long", 302 * ms, 100 * ms, 30, 2.8, 3.0},
		{"many that took half as long", 52 * ms, 100 * ms, 30, 0.5, 0.55},
	}
	for _, tt := range tests {
		var s Speed
		for range tt.ends {
			s.learnFromEnd(&run{Claim: Claim{Estimate: tt.est}}, End{Outcome: Done, Took: tt.took})
		}
		if s.Factor < tt.least || s.Factor > tt.most {
			t.Errorf("%s: factor %.2f, want %.2f to %.2f", tt.name, s.Factor, tt.least, tt.most)
		}
	}
}

// Jobs that can never be done come to a healthy worker. One of them alone, however many
// tasks it has, must not make the worker look unhealthy.
func TestBadEnds(t *testing.T) {
	var s Speed
	for _, task := range []Task{"a.0.0.0", "a.0.0.1", "b.0.0.0", "b.0.0.3"} {
		s.learnFromEnd(&run{Claim: Claim{Run: Run{Task: task}}}, End{Outcome: Failed})
	}
	if s.BadJobs != 2 {
		t.Errorf("%d bad ends of two jobs", s.BadJobs)
	}
	s.learnFromEnd(&run{}, End{Outcome: Done})
	if s.BadJobs != 0 {
		t.Errorf("%d bad ends after a good one", s.BadJobs)
	}
}

// Tasks stall on a worker that answers as if it were healthy. They are stopped, so that
// they can continue on another worker, and the worker counts as unhealthy. Where workers
// never report progress, none of this may happen.
func TestStalledRuns(t *testing.T) {
	for _, reportsProgress := range []bool{true, false} {
		stats := &PoolStats{ReportsProgress: reportsProgress}
		wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, stats)
		wl.HoldAnswered(ms(0), takeActions(wl).holds[0], listResult(ms(0), nil))
		poll := takeActions(wl).holds[0]
		wl.Start(ms(10), alice, order("a", 1))
		s := takeActions(wl).starts[0]
		wl.StartAnswered(ms(11), s, Result{Verdict: OK, Clock: 5011})
		stops := 0
		for at := 300; at <= 1200; at += 300 {
			wl.HoldAnswered(ms(at), poll, listResult(ms(at), []Run{s.Run}))
			got := takeActions(wl)
			stops += len(got.stops)
			if len(got.holds) > 0 {
				poll = got.holds[0]
			}
		}
		if want := reportsProgress; (stops > 0) != want {
			t.Errorf("%d stops of a run without progress; progress is reported: %v", stops, reportsProgress)
		}
		if reportsProgress && wl.State(ms(1300)).Speed.BadJobs < 2 {
			t.Error("the worker counts as healthy")
		}
	}
}

// The duration of a run is extrapolated from its progress, so a worker that has turned
// slow is recognized before its first task ends.
func TestSpeedFromProgress(t *testing.T) {
	wl, poll, s := newRunningLease(t)
	r := listResult(ms(310), nil)
	r.Running = []ListedRun{{Run: s.Run, Percent: 50}}
	wl.HoldAnswered(ms(310), poll, r)
	if f := wl.State(ms(311)).Speed.Factor; f < 2 {
		t.Errorf("factor %.2f of a worker that took 300 ms for half of 100 ms of work", f)
	}
}
