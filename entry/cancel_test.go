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
