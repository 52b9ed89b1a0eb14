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
func newLeaseWithUnclaimedRun(t *testing.T, task Task) *WorkerLease {
	t.Helper()
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{})
	wl.HoldAnswered(ms(0), takeActions(wl).holds[0], listResult(ms(0), []Run{{task, 1}}))
	wl.Tick(ms(200))
	if got := takeActions(wl); len(got.stops) != 1 {
		t.Fatalf("stops %+v, want that of the unclaimed run", got.stops)
	}
	return wl
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
