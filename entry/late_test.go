package entry

import (
	"testing"
	"time"
)

// A data centre is cut off from the planner. Its callers were told that there is no answer 100
// ms after their objective had passed, although the next planner could not have been there in
// time either.
func TestSilentPlanner(t *testing.T) {
	tests := []struct {
		name      string
		objective time.Duration
		do        func(js *Jobs)
		refused   int
	}{
		{"too late for the next planner", 300 * time.Millisecond, func(*Jobs) {}, 2},
		{"in time for the next planner", 2 * time.Second, func(*Jobs) {}, 0},
		{"the planner is heard again", 300 * time.Millisecond, func(js *Jobs) { js.PlannerRecovered() }, 1},
		{"the next planner is there", 300 * time.Millisecond, func(js *Jobs) { js.SetPlanner(ms(260), nextPlanner) }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := request(1)
			r.Queue.Stretch, r.Queue.Objective = 0, tt.objective
			js, _ := newSubmittedJobs(t, r)
			js.PlannerOverdue(ms(250), ms(0))
			tt.do(js)
			r.ID = "later"
			js.Submit(ms(270), 2, r)
			got := takeActions(js)
			if len(got.answers) != tt.refused {
				t.Fatalf("answers %+v, want %d", got.answers, tt.refused)
			}
			for _, a := range got.answers {
				if a.Answer.Status != Refused || a.Answer.Why != plannerSilent || a.Answer.RetryAfter < minRetryAfter {
					t.Errorf("answer %+v", a)
				}
			}
		})
	}
}

// The planner falls silent after it has granted workers. What runs goes on, and its caller gets
// the answer.
func TestSilentPlannerAfterABeginning(t *testing.T) {
	js, _ := newRunningJobs(t, request(1))
	js.PlannerOverdue(ms(150), ms(0))
	if got := takeActions(js); len(got.answers)+len(got.stops) > 0 {
		t.Errorf("%+v for a job that runs", got)
	}
}
