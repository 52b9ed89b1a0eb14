package entry

import (
	"testing"
	"time"

	"snipehub.example/lease"
)

// A holder is lost; another one takes the worker over and announces it. The owner claims
// its runs there, and an older announcement that arrives late changes nothing: its sender
// does not know what was started under its successor.
func TestHolderReplaced(t *testing.T) {
	js, req := newRunningJobs(t, request(1))
	js.HolderUnreachable(ms(100), holder)
	js.Held(other, "w", lease.NewFence(5))
	got := takeActions(js)
	if len(got.claims) != 1 || got.claims[0].Runs[0].Run != req.Tasks[0] {
		t.Fatalf("claims %+v", got.claims)
	}
	js.Held(holder, "w", lease.NewFence(2))
	if got := takeActions(js); len(got.claims) != 0 {
		t.Errorf("claims %+v at a former holder", got.claims)
	}
	js.Tick(ms(5000))
	if got := takeActions(js); len(got.requests) != 0 {
		t.Error("the run was given up although its holder is reachable")
	}
}

// A holder was suspended and replaced; the run continues under its successor. When it
// resumes, it concludes from its own clock that the run is lost. If that were believed,
// the task would start a second time beside the first. An end that it has seen itself is
// believed: that is true whoever holds the worker now.
func TestFormerHolderTellsOfARun(t *testing.T) {
	for _, c := range []struct {
		how      lease.Outcome
		requests int
	}{{lease.Lost, 0}, {lease.Stopped, 1}} {
		js, req := newRunningJobs(t, request(1))
		js.HolderUnreachable(ms(100), holder)
		js.Held(other, "w", lease.NewFence(5))
		takeActions(js)
		if got := endRun(js, 200, req.Tasks[0], c.how); len(got.requests) != c.requests {
			t.Errorf("%v: requests %+v, want %d", c.how, got.requests, c.requests)
		}
	}
}

// A busy process notices late that it has lost a holder, and what it has placed there in
// between arrived over a new session. Counted from when the holder was last heard, the
// run would be given up at once and placed again while it runs.
func TestHolderLostLate(t *testing.T) {
	js, _ := newRunningJobs(t, request(1))
	js.HolderUnreachable(ms(3000), holder)
	js.Tick(ms(3050))
	if got := takeActions(js); len(got.requests) != 0 {
		t.Error("the run was placed again at once")
	}
	js.Tick(ms(3000).Add(lostHolderTimeout + time.Millisecond))
	if got := takeActions(js); len(got.requests) != 1 {
		t.Errorf("%+v, want the task to be placed again", got)
	}
}

// A holder is connected again in a new session; the start, or the report of its end, may
// have been lost with the old one.
func TestHolderInANewSession(t *testing.T) {
	js, req := newRunningJobs(t, request(2))
	js.HolderUnreachable(ms(10), holder)
	js.HolderReachable(holder)
	got := takeActions(js)
	if len(got.claims) != 1 || len(got.claims[0].Runs) != 2 {
		t.Fatalf("claims %+v", got.claims)
	}
	if got := endRun(js, 20, req.Tasks[1], lease.Lost); len(got.requests) != 1 {
		t.Errorf("%+v, want the lost start to be placed again", got)
	}
}
