package entry

import (
	"testing"
	"time"

	"snipehub.example/cell"
)

// Guards against a cancelled job that runs again: its caller is told that the outcome is unknown,
// sends it again, and nobody remembers the cancel.
func TestCancelledJobDoesNotRunAgain(t *testing.T) {
	tests := []struct {
		name  string
		begun bool
	}{
		{"before it has begun", false},
		{"while it runs", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			js, req := newSubmittedJobs(t, request(1))
			if tt.begun {
				js.Grant(ms(10), planner, grantAll(req, "w"))
				takeActions(js)
			}
			js.Cancel(ms(20), jobID)
			answers := takeActions(js).answers
			if len(answers) != 1 || answers[0].Answer.Status != Cancelled {
				t.Fatalf("answers %+v, want that the job was cancelled", answers)
			}
			js.Submit(ms(20).Add(resendDelay), 2, request(1))
			got := takeActions(js)
			if len(got.requests) != 0 || len(got.answers) != 1 || got.answers[0].Answer.Status != Cancelled {
				t.Errorf("%+v, want that the job was cancelled, and no request", got)
			}
		})
	}
}

// resendDelay is when callers send a job again that got no answer.
const resendDelay = 1300 * time.Millisecond

// Guards against a copy that another process runs after the cancel: its planner knows of the cancel, and
// refuses the job's request although the copy has begun.
func TestRefusedBecauseCancelled(t *testing.T) {
	for _, begun := range []bool{false, true} {
		js, req := newSubmittedJobs(t, request(2))
		if begun {
			g := grantAll(req, "w")
			g.Items = g.Items[:1]
			js.Grant(ms(10), planner, g)
			takeActions(js)
		}
		js.Refused(ms(20), planner, cell.Refusal{Job: jobID, Reason: cell.ReasonCancelled})
		got := takeActions(js)
		if len(got.answers) != 1 || got.answers[0].Answer.Status != Cancelled {
			t.Errorf("begun %v: answers %+v, want that the job was cancelled", begun, got.answers)
		}
		if stopped := len(got.stops) == 1; stopped != begun {
			t.Errorf("begun %v: stops %+v", begun, got.stops)
		}
	}
}
