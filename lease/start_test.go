package lease

import (
	"testing"
)

// A worker with resources for two tasks is asked for a third while one of the two is
// being stopped, and while the start of another is unanswered. Both may still run: the
// third would be refused by a worker that enforces its resources, and overload one that
// doesn't.
func TestResourcesOfUnconfirmedRuns(t *testing.T) {
	wl, _, first := newRunningLease(t)
	wl.Start(ms(12), alice, order("b", 1))
	second := takeActions(wl).starts[0]
	wl.Stop(ms(13), first.Run)
	wl.Start(ms(14), alice, order("c", 1))
	wantEnd(t, takeActions(wl).reports, alice, NeverStarted, InsufficientResources)

	wl.StartAnswered(ms(100), second, Result{Verdict: NoAnswer})
	check := takeActions(wl).holds[0]
	wl.HoldAnswered(ms(101), check, listResult(ms(101), []Run{second.Run}, ListedEnd{1, first.Run, Stopped}))
	takeActions(wl)
	wl.Start(ms(102), alice, order("c", 1))
	if s := takeActions(wl).starts; len(s) != 1 {
		t.Error("no start although the run has stopped")
	}
}

// A start gets no answer. It may have been carried out, or may be in seconds. If its task
// is placed on another worker while it can still begin, it runs twice; if it is given up
// only after seconds, its caller waits.
func TestStartWithoutAnswer(t *testing.T) {
	tests := []struct {
		name    string
		running bool
		want    Outcome
	}{
		{"it runs", true, 0},
		{"it does not run", false, NeverStarted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wl, _ := newOpenLease(t)
			wl.Start(ms(10), alice, order("a", 1))
			s := takeActions(wl).starts[0]
			wl.StartAnswered(ms(90), s, Result{Verdict: NoAnswer})
			got := takeActions(wl)
			if len(got.holds) != 1 || got.holds[0].Fence <= s.Fence || got.holds[0].Wait != 0 {
				t.Fatalf("%+v, want one call that voids the start", got.holds)
			}
			if len(got.reports) != 0 {
				t.Fatalf("reported %+v before it is known", got.reports)
			}
			var runs []Run
			if tt.running {
				runs = append(runs, s.Run)
			}
			wl.HoldAnswered(ms(91), got.holds[0], listResult(ms(91), runs))
			tells := takeActions(wl).reports
			if tt.want != 0 {
				wantEnd(t, tells, alice, tt.want, Unanswered)
			} else if len(tells) != 0 {
				t.Errorf("reported %+v of a run that continues", tells)
			}
		})
	}
}

// stepOrder returns an order for a task of a step of which one task may run on a worker.
func stepOrder(task Task) Order {
	o := order(task, 1)
	o.Resources, o.MaxPerWorker = Resources{CPU: 500}, 1
	return o
}

// Guards against more tasks of a step on a worker than the job allows, when a planner that has lost
// sight of one sends the next: whatever became of the first, it counts until it is known to be over.
func TestStepLimit(t *testing.T) {
	tests := []struct {
		name  string
		first func(wl *WorkerLease, poll HoldCall, s StartCall)
		order Order
		why   Reason
	}{
		{"starting", func(*WorkerLease, HoldCall, StartCall) {}, stepOrder("j.0.0.1"), StepLimit},
		{"its start is unanswered", func(wl *WorkerLease, _ HoldCall, s StartCall) {
			wl.StartAnswered(ms(90), s, Result{Verdict: NoAnswer})
		}, stepOrder("j.0.0.1"), StepLimit},
		{"running", func(wl *WorkerLease, _ HoldCall, s StartCall) {
			wl.StartAnswered(ms(11), s, Result{Verdict: OK, Clock: 5011})
		}, stepOrder("j.0.0.1"), StepLimit},
		{"being stopped", func(wl *WorkerLease, _ HoldCall, s StartCall) {
			wl.StartAnswered(ms(11), s, Result{Verdict: OK, Clock: 5011})
			wl.Stop(ms(12), s.Run)
		}, stepOrder("j.0.0.1"), StepLimit},
		{"ended", func(wl *WorkerLease, poll HoldCall, s StartCall) {
			wl.StartAnswered(ms(11), s, Result{Verdict: OK, Clock: 5011})
			wl.HoldAnswered(ms(12), poll, listResult(ms(12), nil, ListedEnd{1, s.Run, Done}))
		}, stepOrder("j.0.0.1"), ""},
		{"of another step", func(*WorkerLease, HoldCall, StartCall) {}, stepOrder("j.0.1.0"), ""},
		{"of another job", func(*WorkerLease, HoldCall, StartCall) {}, stepOrder("k.0.0.1"), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wl, poll := newOpenLease(t)
			wl.Start(ms(10), alice, stepOrder("j.0.0.0"))
			tt.first(wl, poll, takeActions(wl).starts[0])
			takeActions(wl)
			wl.Start(ms(100), alice, tt.order)
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

// Guards against the same beside the runs of a former holder, which nobody has claimed and which are
// being stopped.
func TestStepLimitBesideUnclaimedRuns(t *testing.T) {
	wl := newLeaseWithUnclaimedRun(t, "j.0.0.0", true)
	wl.Start(ms(201), alice, stepOrder("j.0.0.1"))
	wantEnd(t, takeActions(wl).reports, alice, NeverStarted, StepLimit)
}

// The order to drain a worker, or the evacuation of its data centre, overtakes starts that were
// granted before.
func TestStartsOnAWorkerThatTakesNoNewTasks(t *testing.T) {
	tests := []struct {
		name  string
		close func(*WorkerLease)
		why   Reason
	}{
		{"draining", func(wl *WorkerLease) { wl.Drain(0) }, Draining},
		{"evacuated", func(wl *WorkerLease) { wl.SetEvacuated(true) }, Evacuated},
	}
	for _, tt := range tests {
		wl, _ := newOpenLease(t)
		tt.close(wl)
		wl.Start(ms(10), alice, order("a", 1))
		wantEnd(t, takeActions(wl).reports, alice, NeverStarted, tt.why)
		if s := wl.State(ms(11)); s.Draining != (tt.why == Draining) {
			t.Errorf("%s: the state shows draining %v", tt.name, s.Draining)
		}
	}
}

// An evacuation that is taken back leaves the worker as it was.
func TestStartAfterAnEvacuation(t *testing.T) {
	wl, _ := newOpenLease(t)
	wl.SetEvacuated(true)
	wl.SetEvacuated(false)
	wl.Start(ms(10), alice, order("a", 1))
	if got := takeActions(wl); len(got.starts) != 1 {
		t.Errorf("%+v, want one start", got)
	}
}

// A start is refused as fenced because this holder has raised its own round since: it is
// sent again and not reported as refused.
func TestStartFencedByOwnRound(t *testing.T) {
	wl, _ := newOpenLease(t)
	wl.Start(ms(10), alice, order("a", 1))
	wl.Start(ms(10), alice, order("b", 1))
	starts := takeActions(wl).starts
	wl.StartAnswered(ms(90), starts[0], Result{Verdict: NoAnswer})
	takeActions(wl)
	wl.StartAnswered(ms(91), starts[1], Result{Verdict: Refused, Reason: Fenced, Clock: 5091})
	got := takeActions(wl)
	if len(got.reports) != 0 || len(got.starts) != 1 || got.starts[0].Fence <= starts[1].Fence {
		t.Errorf("%+v, want the start again with a higher round", got)
	}
}

// As above, but the holder has been told in between that the worker drains, or that its data centre
// is evacuated. The run has not begun, so its task can be started elsewhere; here it would end with
// the worker.
func TestStartFencedByOwnRoundOnAWorkerThatTakesNoNewTasks(t *testing.T) {
	tests := []struct {
		close func(*WorkerLease)
		why   Reason
	}{
		{func(wl *WorkerLease) { wl.Drain(0) }, Draining},
		{func(wl *WorkerLease) { wl.SetEvacuated(true) }, Evacuated},
	}
	for _, tt := range tests {
		wl, _ := newOpenLease(t)
		wl.Start(ms(10), alice, order("a", 1))
		wl.Start(ms(10), alice, order("b", 1))
		starts := takeActions(wl).starts
		wl.StartAnswered(ms(90), starts[0], Result{Verdict: NoAnswer})
		tt.close(wl)
		takeActions(wl)
		wl.StartAnswered(ms(91), starts[1], Result{Verdict: Refused, Reason: Fenced, Clock: 5091})
		got := takeActions(wl)
		if len(got.starts) != 0 || wl.Closed() {
			t.Errorf("%s: sends %+v; closed %v", tt.why, got.starts, wl.Closed())
		}
		wantEnd(t, got.reports, alice, NeverStarted, tt.why)
	}
}

// A start gets lost, and another one for the same worker raises the round; meanwhile the
// owner's session ends and begins again, so it claims its runs, without their text. The
// worker refuses the first order, and the start is sent again: it must carry the text
// that the caller sent, or the worker does some other work, or none.
func TestClaimedStartKeepsItsText(t *testing.T) {
	wl, _ := newOpenLease(t)
	wl.Start(ms(10), alice, order("a", 1))
	first := takeActions(wl).starts[0]
	wl.Start(ms(11), alice, order("b", 1))
	wl.StartAnswered(ms(60), takeActions(wl).starts[0], Result{Verdict: NoAnswer})
	wl.Claim(ms(61), alice, []Claim{claim("a", 1)})
	wl.StartAnswered(ms(62), first, Result{Verdict: Refused, Reason: Fenced, Clock: 5062})
	again := takeActions(wl).starts
	if len(again) != 1 || again[0].Spec != "text" {
		t.Errorf("sent again: %+v", again)
	}
}

// A worker restarts under its old id just when a start reaches it, and the new
// incarnation accepts it. If the run were reported as lost with all that ran before, its
// task would be started a second time beside it.
func TestStartAtARestartedWorker(t *testing.T) {
	tests := []struct {
		name    string
		running bool
	}{{"it is in the list", true}, {"it is still in flight", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wl, poll, old := newRunningLease(t)
			wl.Start(ms(20), alice, order("b", 1))
			s := takeActions(wl).starts[0]
			r := Result{Verdict: OK, Clock: 4, Incarnation: 8}
			if tt.running {
				r.Running = []ListedRun{{Run: s.Run}}
			}
			wl.HoldAnswered(ms(21), poll, r)
			got := takeActions(wl)
			wantEnd(t, got.reports, alice, Lost, "")
			if got.reports[0].End.Run != old.Run {
				t.Errorf("%v is lost", got.reports[0].End.Run)
			}
			wl.StartAnswered(ms(22), s, Result{Verdict: OK, Clock: 5})
			for range 2 {
				for _, h := range takeActions(wl).holds {
					wl.HoldAnswered(ms(30), h, Result{Verdict: OK, Clock: 9, Incarnation: 8, Running: []ListedRun{{Run: s.Run}}})
				}
			}
			if got := takeActions(wl).reports; len(got) != 0 {
				t.Errorf("reported %+v of the run on the new incarnation", got)
			}
			if n := len(wl.Snapshot(ms(40)).Runs); n != 1 {
				t.Errorf("%d runs, want that of the new incarnation", n)
			}
		})
	}
}

// The worker refuses a start for lack of resources although there seem to be some: it
// runs something that is unknown here. If these resources were granted again and again,
// pending tasks would be kept from resources that are really free.
func TestRefusalForResourcesBlocksStarts(t *testing.T) {
	wl, poll := newOpenLease(t)
	wl.Start(ms(10), alice, order("a", 1))
	s := takeActions(wl).starts[0]
	wl.StartAnswered(ms(11), s, Result{Verdict: Refused, Reason: InsufficientResources, Clock: 5011})
	got := takeActions(wl)
	wantEnd(t, got.reports, alice, NeverStarted, InsufficientResources)
	if len(got.holds) != 1 || wl.State(ms(12)).Open {
		t.Fatalf("calls %+v, open %v; want a check, and no more starts", got.holds, wl.State(ms(12)).Open)
	}
	wl.Start(ms(13), alice, order("b", 1))
	wantEnd(t, takeActions(wl).reports, alice, NeverStarted, InsufficientResources)
	wl.HoldAnswered(ms(14), got.holds[0], listResult(ms(14), nil))
	if !wl.State(ms(15)).Open {
		t.Error("not open after the list")
	}
	_ = poll
}

// Guards against the other runs of a worker that a start finds to have been replaced being
// reported to nobody: their jobs waited until their owners gave the holder up.
func TestStartAtAnotherIncarnation(t *testing.T) {
	wl, _, first := newRunningLease(t)
	wl.Start(ms(20), alice, order("b", 1))
	s := takeActions(wl).starts[0]
	wl.StartAnswered(ms(21), s, Result{Verdict: OtherIncarnation})
	reports := takeActions(wl).reports
	if len(reports) != 2 || !wl.Closed() {
		t.Fatalf("reported %+v, closed: %v; want the ends of both runs, and the holding closed", reports, wl.Closed())
	}
	wantEnd(t, reports[:1], alice, NeverStarted, NotHeld)
	if e := reports[1].End; e.Run != first.Run || e.Outcome != Lost {
		t.Errorf("reported %+v, want the run that was there lost", e)
	}
}
