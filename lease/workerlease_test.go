package lease

import (
	"net/netip"
	"testing"
	"time"

	"snipehub.example/mesh"
)

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	alice = mesh.ID{Address: netip.MustParseAddrPort("10.0.0.1:1"), Boot: 1}
	bob   = mesh.ID{Address: netip.MustParseAddrPort("10.0.0.2:1"), Boot: 1}
)

func ms(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

func testWorker() Worker {
	return Worker{ID: "w", Pool: "p", Resources: Resources{CPU: 64000, Memory: 1000}}
}

func claim(task Task, n int) Claim {
	return Claim{Run: Run{task, n}, Resources: Resources{CPU: 27000, Memory: 10}, Estimate: 100 * time.Millisecond}
}

func order(task Task, n int) Order {
	return Order{Claim: claim(task, n), Text: NewText(task.Job(), "text")}
}

// listResult returns the answer to a hold call. The worker's clock runs like ours,
// starting at 5 s.
func listResult(now time.Time, running []Run, ended ...ListedEnd) Result {
	r := Result{Verdict: OK, Clock: 5000 + now.Sub(epoch).Milliseconds(), Incarnation: 7, Ended: ended}
	for _, k := range running {
		r.Running = append(r.Running, ListedRun{Run: k})
	}
	return r
}

// actions are the actions of a WorkerLease, by kind.
type actions struct {
	holds   []HoldCall
	starts  []StartCall
	stops   []StopCall
	reports []OwnerReport
	held    bool
}

func takeActions(wl *WorkerLease) actions {
	var out actions
	for _, a := range wl.TakeActions() {
		switch {
		case a.Hold != nil:
			out.holds = append(out.holds, *a.Hold)
		case a.Start != nil:
			out.starts = append(out.starts, *a.Start)
		case a.Stop != nil:
			out.stops = append(out.stops, *a.Stop)
		case a.Report != nil:
			out.reports = append(out.reports, *a.Report)
		case a.AnnounceHeld:
			out.held = true
		}
	}
	return out
}

// newOpenLease returns a WorkerLease that holds an idle worker at 0 ms, with its first
// poll.
func newOpenLease(t *testing.T) (*WorkerLease, HoldCall) {
	t.Helper()
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{})
	first := takeActions(wl).holds
	if len(first) != 1 || first[0].Until != 0 || first[0].Wait != 0 {
		t.Fatalf("the first call %+v is not a check", first)
	}
	wl.HoldAnswered(ms(0), first[0], listResult(ms(0), nil))
	polls := takeActions(wl)
	if !polls.held || len(polls.holds) != 1 || polls.holds[0].Until == 0 {
		t.Fatalf("no renewal after the first answer: %+v", polls)
	}
	return wl, polls.holds[0]
}

// newRunningLease returns a WorkerLease with one run, started at 10 ms, with its poll and
// its start.
func newRunningLease(t *testing.T) (*WorkerLease, HoldCall, StartCall) {
	t.Helper()
	wl, poll := newOpenLease(t)
	wl.Start(ms(10), alice, order("a", 1))
	s := takeActions(wl).starts
	if len(s) != 1 {
		t.Fatalf("%d starts", len(s))
	}
	wl.StartAnswered(ms(11), s[0], Result{Verdict: OK, Clock: 5011})
	return wl, poll, s[0]
}

func wantEnd(t *testing.T, reports []OwnerReport, owner Owner, outcome Outcome, why Reason) {
	t.Helper()
	if len(reports) != 1 || reports[0].Owner != owner || reports[0].End.Outcome != outcome || reports[0].End.Why != why {
		t.Errorf("reported %+v, want %v to %v because of %q", reports, outcome, owner, why)
	}
}

// A holder renews a worker's lease and is replaced at once. The new holder gets one
// answer, then is suspended for a moment, and its further calls are lost before it has
// renewed anything. The runs continue under the old lease for almost a second. If they
// were reported as lost earlier, their owner would start them again while they run.
func TestLeaseOfTheHolderBefore(t *testing.T) {
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{})
	check := takeActions(wl).holds[0]
	wl.HoldAnswered(ms(0), check, listResult(ms(0), []Run{{"a", 1}}))
	takeActions(wl)
	wl.Resumed(ms(1))
	wl.Claim(ms(1), alice, []Claim{claim("a", 1)})
	for at := 1; at < 990; at += 10 {
		got := takeActions(wl)
		if len(got.reports) != 0 {
			t.Fatalf("at %d ms reported %+v", at, got.reports)
		}
		for _, h := range got.holds {
			wl.HoldAnswered(ms(at), h, Result{Verdict: NoAnswer})
		}
		wl.Tick(ms(at + 9))
	}
	for at := 1000; at < 2300; at += 50 {
		wl.Tick(ms(at))
		got := takeActions(wl)
		for _, h := range got.holds {
			wl.HoldAnswered(ms(at), h, Result{Verdict: NoAnswer})
		}
		if len(got.reports) > 0 {
			wantEnd(t, got.reports, alice, Lost, "")
			return
		}
	}
	t.Error("the run was never reported as lost")
}

// A holder is suspended, another one takes over, and the first one resumes: the worker
// refuses its fence. It must give the worker up and report nothing of runs that are not
// its own any more.
func TestReplacedHolder(t *testing.T) {
	wl, poll, s := newRunningLease(t)
	wl.HoldAnswered(ms(20), poll, Result{Verdict: Refused, Reason: Fenced})
	if got := takeActions(wl); !wl.Closed() || len(got.reports) != 0 || len(got.stops) != 0 {
		t.Errorf("closed %v, actions %+v", wl.Closed(), got)
	}
	wl.Start(ms(21), alice, order("z", 1))
	wantEnd(t, takeActions(wl).reports, alice, NeverStarted, NotHeld)
	if o := wl.Owners(); len(o) != 1 || o[0] != alice {
		t.Errorf("owners %v of %v", o, s.Run)
	}
}

// A worker restarts under its old id: what ran there is gone, and its clock and the
// numbers of its ends start over.
func TestRestartedWorker(t *testing.T) {
	wl, poll, _ := newRunningLease(t)
	r := Result{Verdict: OK, Clock: 3, Incarnation: 8}
	wl.HoldAnswered(ms(300), poll, r)
	got := takeActions(wl)
	wantEnd(t, got.reports, alice, Lost, "")
	if len(got.holds) != 1 || got.holds[0].LastEndSeen != 0 || got.holds[0].Until > 3+2000 {
		t.Errorf("calls %+v use the clock of the earlier incarnation", got.holds)
	}
	wl.Start(ms(301), alice, order("a", 2))
	if len(takeActions(wl).starts) != 1 {
		t.Error("no start on the new incarnation")
	}
}

// Answers on two connections overtake each other: the list of an older call arrives after
// a run was started, and does not contain it.
func TestOldList(t *testing.T) {
	wl, poll, _ := newRunningLease(t)
	wl.HoldAnswered(ms(20), poll, listResult(ms(5), nil))
	if got := takeActions(wl).reports; len(got) != 0 {
		t.Errorf("reported %+v from a list older than the start", got)
	}
	wl.HoldAnswered(ms(30), HoldCall{Fence: wl.Fence()}, listResult(ms(30), nil))
	wantEnd(t, takeActions(wl).reports, alice, Lost, "")
}

// A worker is unreachable, and what it runs may go on. The runs are reported as lost only
// when every lease that was asked for has expired, also on a clock that is slow.
func TestRunsAreLostWhenTheLeaseExpires(t *testing.T) {
	wl, poll, _ := newRunningLease(t)
	wl.HoldAnswered(ms(500), poll, Result{Verdict: NoAnswer})
	for at := 500; at < 2000; at += 10 {
		wl.Tick(ms(at))
		got := takeActions(wl)
		for _, h := range got.holds {
			if h.Until != 0 {
				t.Fatalf("%+v renews although the worker does not answer", h)
			}
			wl.HoldAnswered(ms(at), h, Result{Verdict: NoAnswer})
		}
		if len(got.reports) == 0 {
			continue
		}
		// The poll of 0 ms asked for 1,000 ms, which a clock 2% slow reaches
		// after 1,020.
		if at < 1020 {
			t.Errorf("reported %+v at %d ms", got.reports, at)
		}
		return
	}
	t.Error("the run was never reported as lost")
}

// One call to a healthy worker gets no answer. The worker stays in use: otherwise
// occasional lost calls would take a good part of all workers out of use.
func TestOneLostCall(t *testing.T) {
	wl, poll, _ := newRunningLease(t)
	wl.HoldAnswered(ms(400), poll, Result{Verdict: NoAnswer})
	got := takeActions(wl)
	if len(got.holds) != 1 || got.holds[0].Wait != 0 {
		t.Fatalf("calls %+v, want one check at once", got.holds)
	}
	wl.Start(ms(401), alice, order("b", 1))
	if s := takeActions(wl).starts; len(s) != 1 {
		t.Error("the worker is not used any more")
	}
	for i := range unreachableThreshold - 1 {
		check := got.holds[0]
		wl.HoldAnswered(ms(410+i), check, Result{Verdict: NoAnswer})
		if got = takeActions(wl); len(got.holds) == 0 {
			break
		}
	}
	wl.Start(ms(420), alice, order("c", 1))
	wantEnd(t, takeActions(wl).reports, alice, NeverStarted, Unusable)
}

// A holder that releases its worker starts nothing more and closes when no start is
// unanswered.
func TestRelease(t *testing.T) {
	wl, _ := newOpenLease(t)
	wl.Start(ms(10), alice, order("a", 1))
	s := takeActions(wl).starts[0]
	wl.Release(ms(11))
	wl.Start(ms(12), alice, order("b", 1))
	wantEnd(t, takeActions(wl).reports, alice, NeverStarted, NotHeld)
	if wl.Closed() {
		t.Error("closed while a start is unanswered")
	}
	wl.StartAnswered(ms(13), s, Result{Verdict: OK, Clock: 5013})
	wl.Tick(ms(14))
	if !wl.Closed() {
		t.Error("not closed")
	}
}

func TestFence(t *testing.T) {
	a, b := NewFence(3), NewFence(5)
	if a >= b {
		t.Error("a higher number has no higher fence")
	}
	if f := a.Above(b); f <= b || f.Term() != b.Term()+1 {
		t.Errorf("%x is not in the term after %x", f, b)
	}
	if b.Above(a) != b {
		t.Error("a fence that is high enough was raised")
	}
	f := a
	for {
		n, ok := f.NextRound()
		if !ok {
			break
		}
		if n <= f || n.Base() != a || n >= a.AddTerms(1) {
			t.Fatalf("round %x after %x of %x", n, f, a)
		}
		f = n
	}
	if a.Above(b) == NewFence(4).Above(b) {
		t.Error("two holders with one fence")
	}
}

// A data centre is cut off, and its workers are assigned to members in others, which
// can't reach them. When it is connected again, each call that is still tried would take
// a worker from the holder that has served it all the time, and what runs there would be
// lost: it was one run in three. So a holder that never got an answer gives up, and does
// not claim to have used a fence.
func TestHolderThatNeverGetsAnAnswerGivesUp(t *testing.T) {
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{})
	for at := 0; at < 600; at += 20 {
		for _, h := range takeActions(wl).holds {
			wl.HoldAnswered(ms(at+20), h, Result{Verdict: NoAnswer})
		}
		wl.Tick(ms(at + 20))
	}
	if s, _ := wl.Changed(ms(700)); !wl.Closed() || !s.Released || s.Fence != 0 {
		t.Errorf("closed %v, state %+v", wl.Closed(), s)
	}
}
