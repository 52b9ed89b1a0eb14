package lease

import (
	"slices"
	"testing"
)

// A new holder finds runs and waits for their owners. A call that waits for ends without
// renewing would keep it from renewing for its whole wait, and the runs would be killed.
func TestClaimedRunsAreRenewedAtOnce(t *testing.T) {
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{})
	wl.HoldAnswered(ms(0), takeActions(wl).holds[0], listResult(ms(0), []Run{{"a", 1}}))
	if h := takeActions(wl).holds; len(h) != 0 {
		t.Fatalf("calls %+v while runs are claimed", h)
	}
	wl.Claim(ms(5), alice, []Claim{claim("a", 1)})
	if h := takeActions(wl).holds; len(h) != 1 || h[0].Until == 0 {
		t.Errorf("calls %+v, want one that renews", h)
	}
}

// The process that accepted a job has died, and so has the holder of its worker. The new
// holder finds a run that nobody claims. If its lease were renewed, it would run beside
// the copy that the caller has sent to another process.
func TestUnclaimedRunIsStopped(t *testing.T) {
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{})
	wl.HoldAnswered(ms(0), takeActions(wl).holds[0], listResult(ms(0), []Run{{"a", 1}, {"b", 1}}))
	takeActions(wl)
	wl.Claim(ms(2), alice, []Claim{claim("a", 1)})
	wl.Tick(ms(100))
	if got := takeActions(wl); len(got.stops) != 0 || len(got.holds) != 0 {
		t.Fatalf("%+v before the owners had time to claim", got)
	}
	wl.Tick(ms(200))
	got := takeActions(wl)
	if len(got.stops) != 1 || got.stops[0].Run != (Run{"b", 1}) {
		t.Errorf("stops %+v, want only that of b", got.stops)
	}
}

// newLeaseWithUnclaimedRun returns a WorkerLease whose worker runs a task of a former holder, which
// nobody has claimed by 200 ms and which is being stopped.
func newLeaseWithUnclaimedRun(t *testing.T, task Task, enforcesCapacity bool) *WorkerLease {
	t.Helper()
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{EnforcesCapacity: enforcesCapacity})
	wl.HoldAnswered(ms(0), takeActions(wl).holds[0], listResult(ms(0), []Run{{task, 1}}))
	wl.Tick(ms(200))
	if got := takeActions(wl); len(got.stops) != 1 {
		t.Fatalf("stops %+v, want that of the unclaimed run", got.stops)
	}
	return wl
}

// Guards against tasks beyond the capacity of a worker that does not guard it: what an unclaimed run
// takes is unknown, so nothing is started beside it, by this holder or by grants of the planner.
func TestStartsBesideUnclaimedRuns(t *testing.T) {
	ended := func(wl *WorkerLease) {
		wl.HoldAnswered(ms(240), HoldCall{Fence: wl.Fence()}, listResult(ms(240), nil, ListedEnd{1, Run{"a", 1}, Stopped}))
	}
	tests := []struct {
		name     string
		enforces bool
		event    func(wl *WorkerLease)
		cpu      int
		why      Reason
	}{
		{"it is being stopped", false, func(*WorkerLease) {}, 1000, UnknownNeeds},
		{"its stop got no answer", false, func(wl *WorkerLease) { wl.Tick(ms(1000)) }, 1000, UnknownNeeds},
		{"it is over", false, ended, 60000, ""},
		{"it is claimed late", false, func(wl *WorkerLease) { wl.Claim(ms(210), bob, []Claim{claim("a", 1)}) }, 1000, ""},
		{"it is claimed late and fills the worker", false, func(wl *WorkerLease) { wl.Claim(ms(210), bob, []Claim{claim("a", 1)}) }, 60000, InsufficientResources},
		{"its order is given once more", false, func(wl *WorkerLease) { wl.Start(ms(210), bob, order("a", 1)) }, 60000, InsufficientResources},
		{"the worker guards its capacity", true, func(*WorkerLease) {}, 60000, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wl := newLeaseWithUnclaimedRun(t, "a", tt.enforces)
			tt.event(wl)
			takeActions(wl)
			if s := wl.State(ms(1001)); s.Open != (tt.why != UnknownNeeds) {
				t.Errorf("the planner is told open %v", s.Open)
			}
			o := order("b", 1)
			o.Resources.CPU = tt.cpu
			wl.Start(ms(1001), alice, o)
			got := takeActions(wl)
			if tt.why == "" && len(got.starts) != 1 {
				t.Errorf("%+v, want a start", got)
			}
			if tt.why != "" {
				wantEnd(t, got.reports, alice, NeverStarted, tt.why)
			}
		})
	}
}

// A new holder gets claims for runs that ended before it took over, that continue, and
// that it has never seen.
func TestClaims(t *testing.T) {
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{})
	wl.HoldAnswered(ms(0), takeActions(wl).holds[0], listResult(ms(0), []Run{{"a", 1}}, ListedEnd{4, Run{"b", 1}, Done}, ListedEnd{5, Run{"c", 1}, Failed}))
	takeActions(wl)
	wl.Claim(ms(2), bob, []Claim{claim("a", 1), claim("b", 1), claim("c", 1), claim("d", 1)})
	var got []Outcome
	for _, e := range takeActions(wl).reports {
		if e.Owner != bob {
			t.Errorf("reported to %v", e.Owner)
		}
		got = append(got, e.End.Outcome)
	}
	if want := []Outcome{Done, Failed, Lost}; !slices.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}
