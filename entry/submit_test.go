package entry

import (
	"testing"
	"time"

	"snipehub.example/lease"
)

// A job's deadline passes while it runs. What runs is stopped; the same job, sent again,
// must not start beside it.
func TestSecondCopyWaitsForTheFirst(t *testing.T) {
	r := request(1)
	r.Timeout = time.Second
	js, req := newRunningJobs(t, r)
	js.Tick(ms(1000))
	got := takeActions(js)
	wantAnswer(t, got, Unknown)
	if len(got.stops) != 1 {
		t.Fatalf("stops %+v", got.stops)
	}
	js.Submit(ms(1010), 2, r)
	got = takeActions(js)
	if len(got.requests) != 0 {
		t.Errorf("requested workers while the first copy may run: %+v", got.requests)
	}
	wantAnswer(t, got, Unknown)
	endRun(js, 1050, req.Tasks[0], lease.Stopped)
	js.Submit(ms(1060), 3, r)
	if got = takeActions(js); len(got.requests) != 1 {
		t.Errorf("%+v, want the job to start again", got)
	}
}

func TestSameIDJoins(t *testing.T) {
	js, req := newRunningJobs(t, request(1))
	js.Submit(ms(50), 2, request(1))
	if got := takeActions(js); len(got.requests) != 0 || len(got.answers) != 0 {
		t.Errorf("%+v for a copy of a job in progress", got)
	}
	js.CallerLeft(ms(60), 1)
	if got := takeActions(js); len(got.stops) != 0 {
		t.Errorf("stopped %+v although a caller still waits", got.stops)
	}
	wantAnswer(t, endRun(js, 100, req.Tasks[0], lease.Done), Completed)
	js.Submit(ms(200), 3, request(1))
	wantAnswer(t, takeActions(js), Completed)
}

// Two callers choose the same id for different jobs. The second one was joined to the job
// of the first and told that its own is done, of which nothing had run.
func TestSameIDForAnotherJob(t *testing.T) {
	r := request(1)
	r.Spec = "another"
	js, req := newRunningJobs(t, request(1))
	js.Submit(ms(50), 2, r)
	wantAnswer(t, takeActions(js), Refused)
	wantAnswer(t, endRun(js, 100, req.Tasks[0], lease.Done), Completed)
	js.Submit(ms(200), 3, r)
	wantAnswer(t, takeActions(js), Refused)
	js.Tick(ms(200).Add(answerRetention))
	js.Submit(ms(300).Add(answerRetention), 4, r)
	if got := takeActions(js); len(got.requests) != 1 {
		t.Errorf("%+v, want the job to start", got)
	}
}

// An operator renames a queue while a caller's connection is broken. The caller sends its
// job again, and must get the answer of the job that has run, not a refusal.
func TestSameJobInARenamedQueue(t *testing.T) {
	r := request(1)
	r.Queue.Name = "renamed"
	js, req := newRunningJobs(t, request(1))
	js.Submit(ms(50), 2, r)
	if got := takeActions(js); len(got.answers) != 0 {
		t.Errorf("answers %+v while the job runs", got.answers)
	}
	endRun(js, 100, req.Tasks[0], lease.Done)
	js.Submit(ms(200), 3, r)
	wantAnswer(t, takeActions(js), Completed)
}

func TestObjective(t *testing.T) {
	r := request(1, 1, 1)
	r.Steps[2].DependsOn = []int{0}
	if got, want := objective(r), 380*time.Millisecond; got != want {
		t.Errorf("objective %v, want %v: 1.6 times the longest chain of two steps, and 60 ms", got, want)
	}
}
