package entry

import (
	"testing"

	"snipehub.example/cell"
)

// independentSteps is a job of steps that depend on nothing.
func independentSteps(n int) Request {
	r := request(make([]int, n)...)
	for i := range r.Steps {
		r.Steps[i].Count, r.Steps[i].DependsOn = 1, nil
	}
	return r
}

// Guards against a job that hangs until its time limit: the planner refuses one of its steps before
// it can know that another one has begun, and nobody asks again.
func TestRefusedStepOfABegunJobIsRequestedAgain(t *testing.T) {
	js := newJobs()
	js.Submit(ms(0), 1, independentSteps(2))
	requests := takeActions(js).requests
	if len(requests) != 2 {
		t.Fatalf("%d requests, want one for each step", len(requests))
	}
	js.Grant(ms(10), planner, grantAll(requests[0], "w"))
	js.Refused(ms(10), planner, cell.Refusal{Job: jobID, Reason: "others_first"})
	got := takeActions(js)
	if len(got.answers) != 0 || len(got.requests) != 1 || got.requests[0].Step != 1 || !got.requests[0].Begun {
		t.Errorf("%+v, want that the second step is requested as one of a job that has begun", got)
	}
}

// Guards against jobs that are open when the process ends: their callers' connections would be closed
// without an answer, or with one that is not true.
func TestOpenJobsAreAnsweredAtTheEnd(t *testing.T) {
	for _, begun := range []bool{false, true} {
		js, req := newSubmittedJobs(t, request(1))
		want := Refused
		if begun {
			js.Grant(ms(10), planner, grantAll(req, "w"))
			want = Unknown
		}
		takeActions(js)
		js.GiveUp(ms(20), "process_ends")
		got := takeActions(js)
		if len(got.answers) != 1 || got.answers[0].Answer.Status != want || js.Len() != 0 {
			t.Errorf("begun %v: answers %+v, want %v", begun, got.answers, want)
		}
		if !begun && (len(got.withdraws) != 1 || got.answers[0].Answer.RetryAfter == 0) {
			t.Errorf("%+v, want that the request is withdrawn and the caller told when to come back", got)
		}
	}
}
