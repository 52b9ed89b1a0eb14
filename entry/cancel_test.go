package entry

import (
	"testing"
	"time"
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

// Guards against a copy that goes on after the job was cancelled at another process, and against one
// that is answered as cancelled although the job had ended before.
func TestEndOfACopy(t *testing.T) {
	tests := []struct{ before, want Status }{{0, Cancelled}, {Unknown, Cancelled}, {Cancelled, Cancelled}, {Completed, Completed}, {Failed, Failed}}
	for _, tt := range tests {
		js, _ := newRunningJobs(t, request(2))
		js.EndCopy(ms(20), jobID, tt.before)
		got := takeActions(js)
		if len(got.answers) != 1 || got.answers[0].Answer.Status != tt.want || len(got.stops) != 1 {
			t.Errorf("ended %v before: %+v, want the answer %v and a stop", tt.before, got, tt.want)
		}
		js.AnswerCopy(3, Request{ID: "k"}, tt.before)
		if a := takeActions(js).answers; len(a) != 1 || a[0].Answer.Status != tt.want {
			t.Errorf("ended %v before: a later copy gets %+v, want %v", tt.before, a, tt.want)
		}
	}
}
