package lease

import "testing"

// restart has the worker of a lease answer as another incarnation, with a clock that began anew.
func restart(wl *WorkerLease, poll HoldCall, at int, incarnation int64) {
	wl.HoldAnswered(ms(at), poll, Result{Verdict: OK, Clock: 3, Incarnation: incarnation})
}

// newBoundLease returns a WorkerLease with its poll and an unanswered start, which only the incarnation
// that runs may carry out.
func newBoundLease(t *testing.T) (*WorkerLease, HoldCall, StartCall) {
	t.Helper()
	wl, poll := newOpenLease(t)
	w := testWorker()
	w.Incarnation = 7
	wl.Describe(w)
	o := order("a", 1)
	o.Incarnation = 7
	wl.Start(ms(10), alice, o)
	return wl, poll, takeActions(wl).starts[0]
}

// Guards against starts at an incarnation that the planner did not choose, and whose capacity
// the holder does not know.
func TestStartsAfterARestart(t *testing.T) {
	tests := []struct {
		name      string
		described int64
		order     int64
		why       Reason
	}{
		{"for the former incarnation", 7, 7, Restarted},
		{"for the new one, not described here yet", 7, 8, Restarted},
		{"for the new one", 8, 8, ""},
		{"for any", 7, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wl, poll := newOpenLease(t)
			w := testWorker()
			w.Incarnation = tt.described
			wl.Describe(w)
			restart(wl, poll, 10, 8)
			takeActions(wl)
			o := order("a", 1)
			o.Incarnation = tt.order
			wl.Start(ms(11), alice, o)
			got := takeActions(wl)
			if tt.why != "" {
				wantEnd(t, got.reports, alice, NeverStarted, tt.why)
				return
			}
			if len(got.starts) != 1 || got.starts[0].Incarnation != tt.order {
				t.Errorf("%+v, want one start for incarnation %d", got, tt.order)
			}
		})
	}
}

// Guards against a start that is sent again, because it was fenced by a round of this holder, to
// another incarnation than before.
func TestFencedStartIsNotSentToAnotherIncarnation(t *testing.T) {
	wl, poll, s := newBoundLease(t)
	// The raised round stands for an unanswered start of another run.
	wl.fence, _ = wl.fence.NextRound()
	wl.incarnation = 8
	wl.StartAnswered(ms(11), s, Result{Verdict: Refused, Reason: Fenced})
	wantEnd(t, takeActions(wl).reports, alice, NeverStarted, Restarted)
	restart(wl, poll, 12, 8)
}

// Guards against a drain that outlives its incarnation, and one that comes before its
// incarnation is known here.
func TestDrainAndRestart(t *testing.T) {
	tests := []struct {
		name  string
		drain []int64
		want  bool
	}{
		{"former incarnation", []int64{7}, false},
		{"the one that ran", []int64{0}, false},
		{"new incarnation, heard of before it answers", []int64{8}, true},
		{"both", []int64{7, 8}, true},
	}
	for _, tt := range tests {
		wl, poll := newOpenLease(t)
		for _, i := range tt.drain {
			wl.Drain(i)
		}
		restart(wl, poll, 10, 8)
		if got := wl.State(ms(11)).Draining; got != tt.want {
			t.Errorf("%s: draining %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a late description that replaces the one of the incarnation that runs.
func TestLateDescription(t *testing.T) {
	wl, poll := newOpenLease(t)
	restart(wl, poll, 10, 8)
	w := testWorker()
	w.Incarnation = 8
	former := w
	former.Incarnation = 7
	if !wl.Describe(w) || wl.Describe(former) || wl.State(ms(11)).Described != 8 {
		t.Errorf("described is %d, want 8", wl.State(ms(11)).Described)
	}
}

// Guards against tasks that are granted there again and again, as fast as messages travel, because a
// start has found another incarnation before this holder's polls have.
func TestNothingIsStartedUntilARestartIsKnown(t *testing.T) {
	wl, _, s := newBoundLease(t)
	wl.State(ms(10))
	wl.StartAnswered(ms(12), s, Result{Verdict: Refused, Reason: Restarted})
	got := takeActions(wl)
	wantEnd(t, got.reports, alice, NeverStarted, Restarted)
	if s, changed := wl.Changed(ms(12)); !changed || s.Open || len(got.holds) != 1 {
		t.Errorf("open %v, %d checks; want it closed and checked", s.Open, len(got.holds))
	}
	restart(wl, got.holds[0], 14, 8)
	if s := wl.State(ms(14)); !s.Open || s.Incarnation != 8 {
		t.Errorf("%+v, want it open as incarnation 8", s)
	}
}

// Guards against a second run of a task: its start reached the worker's next incarnation, where it
// has a lease of its own, and the worker is not reached for a moment.
func TestLeaseOfTheNextIncarnation(t *testing.T) {
	wl, poll := newOpenLease(t)
	wl.Start(ms(10), alice, order("a", 1))
	s := takeActions(wl).starts[0]
	wl.StartAnswered(ms(11), s, Result{Verdict: OK, Clock: 2})
	for range unreachableThreshold {
		wl.HoldAnswered(ms(12), takeActions(wl).holds[0], Result{Verdict: NoAnswer})
	}
	wl.HoldAnswered(ms(13), poll, Result{Verdict: OK, Clock: 4, Incarnation: 8, Running: []ListedRun{{Run: s.Run}}})
	for at := 20; at < 2000; at += 10 {
		wl.Tick(ms(at))
		got := takeActions(wl)
		for _, h := range got.holds {
			wl.HoldAnswered(ms(at), h, Result{Verdict: NoAnswer})
		}
		if len(got.reports) == 0 {
			continue
		}
		wantEnd(t, got.reports, alice, Lost, "")
		if at < 1000 {
			t.Errorf("reported at %d ms, before the lease that the start began can have expired", at)
		}
		return
	}
	t.Error("the run was never reported as lost")
}

// Guards against a second run of a task: an answer of the worker's former incarnation arrives after one
// of the next, whose runs it does not list.
func TestLateListOfAFormerIncarnation(t *testing.T) {
	wl, poll := newOpenLease(t)
	wl.HoldAnswered(ms(10), HoldCall{Fence: wl.Fence(), Sent: ms(9)}, Result{Verdict: OK, Clock: 3, Incarnation: 8})
	takeActions(wl)
	wl.Start(ms(11), alice, order("a", 1))
	wl.StartAnswered(ms(12), takeActions(wl).starts[0], Result{Verdict: OK, Clock: 5})
	wl.HoldAnswered(ms(13), poll, listResult(ms(9), nil))
	if got := takeActions(wl).reports; len(got) != 0 {
		t.Errorf("reported %+v of a run that continues", got)
	}
	wl.HoldAnswered(ms(40), HoldCall{Fence: wl.Fence()}, Result{Verdict: OK, Clock: 33, Incarnation: 8})
	wantEnd(t, takeActions(wl).reports, alice, Lost, "")
}
