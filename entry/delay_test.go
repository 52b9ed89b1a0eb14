package entry

import (
	"log/slog"
	"testing"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
)

// runJobs sends jobs through a Jobs, one after the other, with the given message times:
// from the request to the grant, and from the grant to the end besides the time of the
// run.
func runJobs(js *Jobs, at, n int, plannerTime, runOverhead time.Duration) (last int) {
	for i := range n {
		r := request(1)
		r.ID = string(rune('a' + i))
		js.Submit(ms(at), Waiter(at), r)
		for _, req := range takeActions(js).requests {
			granted := ms(at).Add(plannerTime)
			js.Grant(granted, planner, cell.Grant{Job: req.Job, Items: []cell.GrantedRun{{Run: req.Tasks[0], Worker: "w", Holder: holder}}})
			js.Ended(granted.Add(runOverhead+50*time.Millisecond), holder, Ended{Worker: "w", End: lease.End{Run: req.Tasks[0], Outcome: lease.Done, Took: 50 * time.Millisecond}})
		}
		takeActions(js)
		at += 200
	}
	return at
}

// Messages take long, because links are full. The planner would place jobs that can't be
// in time any more when their answers are back, so the message time is subtracted from
// the objective that it gets. When the links are free again, no job may be refused
// because of it.
func TestSlowMessagesComeOffTheObjective(t *testing.T) {
	js := New(slog.New(slog.DiscardHandler))
	js.SetPlanner(ms(0), holder)
	at := runJobs(js, 0, 40, 40*time.Millisecond, 80*time.Millisecond)
	if d := js.delay.total(1); d < 90*time.Millisecond || d > 170*time.Millisecond {
		t.Errorf("a delay of %v, messages take 120 ms", d)
	}
	r := request(1)
	r.ID = "next"
	js.Submit(ms(at), 1, r)
	requests := takeActions(js).requests
	if want := objective(r) - js.delay.total(1); len(requests) != 1 || requests[0].Objective != want {
		t.Errorf("requests %+v, want one with an objective of %v", requests, want)
	}
	for end := at + 5000; at < end; at += 50 {
		js.Tick(ms(at))
	}
	if d := js.delay.total(1); d > 5*time.Millisecond {
		t.Errorf("a delay of %v long after the last sample", d)
	}
}

// The planner's link is full, so that it answers too late or not at all. Requests for
// jobs that are late when they arrive there keep it full; their callers are told at once
// to retry later.
func TestJobsThatMessagesMakeLateAreRefusedAtOnce(t *testing.T) {
	js := New(slog.New(slog.DiscardHandler))
	js.SetPlanner(ms(0), holder)
	for i := range 60 {
		r := request(1)
		r.ID = string(rune(0x4e00 + i))
		js.Tick(ms(50 * i))
		takeActions(js)
		js.Submit(ms(50*i), Waiter(i), r)
		if got := takeActions(js); len(got.requests) == 0 {
			wantAnswer(t, got, Refused)
			if after := got.answers[0].Answer.RetryAfter; after < minRetryAfter {
				t.Errorf("told to retry after %v", after)
			}
			return
		}
	}
	t.Error("after three seconds without an answer all jobs are still requested from the planner")
}

// The planner dies, and for a while nobody answers. That says nothing of the next one:
// short jobs were refused for a second after it had begun.
func TestNewPlannerIsNotTakenForSlow(t *testing.T) {
	js := New(slog.New(slog.DiscardHandler))
	js.SetPlanner(ms(0), holder)
	for i := range 60 {
		js.delay.addPlannerSilence(ms(i), 500*time.Millisecond)
	}
	js.SetPlanner(ms(100), other)
	if d := js.PlannerDelay(); d > time.Millisecond {
		t.Errorf("a new planner is assumed to need %v", d)
	}
}
