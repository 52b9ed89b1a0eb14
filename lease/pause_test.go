package lease

import (
	"testing"
)

// A process is suspended while the answer to a call waits in its buffers; when it
// resumes, the answer shows what ran long ago. Taken as current, it would open the worker
// for starts, and what has started since would be reported as lost and start a second
// time.
func TestAnswersFromBeforeAPause(t *testing.T) {
	wl, poll, s := newRunningLease(t)
	wl.Resumed(ms(5000))
	check := takeActions(wl).holds
	if len(check) != 1 || check[0].Until != 0 {
		t.Fatalf("calls %+v after a pause, want one that renews nothing", check)
	}
	wl.HoldAnswered(ms(5001), poll, listResult(ms(300), nil))
	if got := takeActions(wl); len(got.reports) != 0 || len(got.holds) != 0 {
		t.Errorf("%+v from an answer older than the suspension", got)
	}
	wl.Start(ms(5002), alice, order("b", 1))
	wantEnd(t, takeActions(wl).reports, alice, NeverStarted, Unusable)
	wl.HoldAnswered(ms(5003), check[0], listResult(ms(5003), []Run{s.Run}))
	if got := takeActions(wl).reports; len(got) != 0 {
		t.Errorf("reported %+v of a run that continues", got)
	}
}

// A holder is suspended for longer than its lease. Another one takes the worker over, and
// the run continues there. When the first one resumes, it can't conclude from its own
// lease that the run is over: it would be started a second time beside the first.
func TestResumedHolderReportsNoRunLost(t *testing.T) {
	wl, poll := newOpenLease(t)
	wl.Start(ms(10), alice, order("a", 1))
	s := takeActions(wl).starts[0]
	wl.StartAnswered(ms(11), s, Result{Verdict: OK, Clock: 5011})
	wl.HoldAnswered(ms(20), poll, listResult(ms(20), []Run{s.Run}))
	takeActions(wl)
	for at := 1400; at < 2390; at += 50 {
		if at == 1400 {
			wl.Resumed(ms(at))
		}
		wl.Tick(ms(at))
		if got := takeActions(wl).reports; len(got) != 0 {
			t.Fatalf("at %d ms reported %+v", at, got)
		}
	}
}

// A holder is suspended before its first call is answered, so it does not know the
// worker's clock. Computed without a clock, the end of the lease overflows and appears to
// be past: a run that the previous holder has just renewed would be reported as lost at
// once, and started beside itself.
func TestSuspendedBeforeTheFirstAnswer(t *testing.T) {
	wl := NewWorkerLease(ms(0), testWorker(), NewFence(9), 0, Speed{}, &PoolStats{})
	first := takeActions(wl).holds[0]
	wl.Resumed(ms(700))
	wl.HoldAnswered(ms(701), first, Result{Verdict: NoAnswer})
	for _, h := range takeActions(wl).holds {
		wl.HoldAnswered(ms(702), h, listResult(ms(702), nil))
	}
	if end := wl.LeaseEnd(); end.Before(ms(1702)) || end.After(ms(3000)) {
		t.Errorf("the lease ends at %v", end.Sub(epoch))
	}
}
