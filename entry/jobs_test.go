package entry

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

var (
	epoch       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	planner     = mesh.ID{Address: netip.MustParseAddrPort("10.0.0.1:1"), Boot: 1}
	nextPlanner = mesh.ID{Address: netip.MustParseAddrPort("10.0.0.2:1"), Boot: 1}
	holder      = mesh.ID{Address: netip.MustParseAddrPort("10.0.0.3:1"), Boot: 1}
	other       = mesh.ID{Address: netip.MustParseAddrPort("10.0.0.4:1"), Boot: 1}
)

const jobID = "00000000000000aa"

func ms(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

func queue() catalog.Queue {
	return catalog.Queue{Name: "q", Pool: "p", Attempts: 2, Stretch: 1.6, Objective: 60 * time.Millisecond}
}

func request(counts ...int) Request {
	r := Request{ID: jobID, Queue: queue(), Spec: "spec", Timeout: 10 * time.Second}
	for i, n := range counts {
		s := Step{Count: n, Resources: lease.Resources{CPU: 10}, Estimate: 100 * time.Millisecond}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		r.Steps = append(r.Steps, s)
	}
	return r
}

// actions are the actions of a Jobs, by kind.
type actions struct {
	requests  []cell.Request
	withdraws []cell.Withdrawal
	starts    []Start
	stops     []Stop
	claims    []Claim
	answers   []CallerAnswer
}

func takeActions(js *Jobs) actions {
	var out actions
	for _, a := range js.TakeActions() {
		switch {
		case a.Request != nil:
			out.requests = append(out.requests, *a.Request)
		case a.Withdraw != nil:
			out.withdraws = append(out.withdraws, *a.Withdraw)
		case a.Start != nil:
			out.starts = append(out.starts, *a.Start)
		case a.Stop != nil:
			out.stops = append(out.stops, *a.Stop)
		case a.Claim != nil:
			out.claims = append(out.claims, *a.Claim)
		case a.Answer != nil:
			out.answers = append(out.answers, *a.Answer)
		}
	}
	return out
}

// newJobs returns a Jobs with a planner.
func newJobs() *Jobs {
	js := New(slog.New(slog.DiscardHandler))
	js.SetPlanner(ms(0), planner)
	return js
}

// newSubmittedJobs returns a Jobs with one job, submitted at 0 ms, and the request to the
// planner.
func newSubmittedJobs(t *testing.T, r Request) (*Jobs, cell.Request) {
	t.Helper()
	js := newJobs()
	js.Submit(ms(0), 1, r)
	got := takeActions(js)
	if len(got.requests) != 1 {
		t.Fatalf("%d requests", len(got.requests))
	}
	return js, got.requests[0]
}

// grantAll grants the worker for every requested task.
func grantAll(req cell.Request, worker string) cell.Grant {
	g := cell.Grant{Job: req.Job}
	for _, r := range req.Tasks {
		g.Items = append(g.Items, cell.GrantedRun{Run: r, Worker: worker, Holder: holder, Fence: lease.NewFence(3)})
	}
	return g
}

// newRunningJobs returns a Jobs whose only job has all its tasks on worker "w".
func newRunningJobs(t *testing.T, r Request) (*Jobs, cell.Request) {
	t.Helper()
	js, req := newSubmittedJobs(t, r)
	js.Grant(ms(1), planner, grantAll(req, "w"))
	if got := takeActions(js); len(got.starts) != 1 || len(got.starts[0].Runs) != len(req.Tasks) {
		t.Fatalf("starts %+v", got.starts)
	}
	return js, req
}

func endRun(js *Jobs, at int, r lease.Run, how lease.Outcome) actions {
	js.Ended(ms(at), holder, Ended{Worker: "w", End: lease.End{Run: r, Outcome: how}})
	return takeActions(js)
}

func wantAnswer(t *testing.T, got actions, s Status) {
	t.Helper()
	if len(got.answers) != 1 || got.answers[0].Answer.Status != s {
		t.Errorf("answers %+v, want %v", got.answers, s)
	}
}

func TestJobIsAnsweredWhenAllIsDone(t *testing.T) {
	js, req := newRunningJobs(t, request(2))
	if got := endRun(js, 100, req.Tasks[0], lease.Done); len(got.answers) != 0 {
		t.Errorf("answers %+v after half of the job", got.answers)
	}
	wantAnswer(t, endRun(js, 110, req.Tasks[1], lease.Done), Completed)
	if js.Len() != 0 {
		t.Errorf("%d jobs open", js.Len())
	}
}

func TestStepsFollowEachOther(t *testing.T) {
	js, req := newRunningJobs(t, request(2, 1))
	endRun(js, 100, req.Tasks[0], lease.Done)
	got := endRun(js, 110, req.Tasks[1], lease.Done)
	if len(got.requests) != 1 || got.requests[0].Step != 1 || len(got.requests[0].Tasks) != 1 {
		t.Fatalf("requests %+v, want the second step", got.requests)
	}
	js.Grant(ms(111), planner, grantAll(got.requests[0], "w"))
	takeActions(js)
	wantAnswer(t, endRun(js, 200, got.requests[0].Tasks[0], lease.Done), Completed)
}

// Runs end in other ways than done. Only ends by a fault of the task or the worker count
// towards the attempts that the queue allows: a caller whose worker was taken away or
// stopped must not be told that its job has failed.
func TestEndsOfRuns(t *testing.T) {
	tests := []struct {
		name string
		ends []lease.Outcome
		want Status
	}{
		{"failed once", []lease.Outcome{lease.Failed}, 0},
		{"failed as often as allowed", []lease.Outcome{lease.Failed, lease.Failed}, Failed},
		{"lost over and over", []lease.Outcome{lease.Lost, lease.LeaseExpired, lease.Stopped, lease.NeverStarted, lease.Lost}, 0},
		{"failed between", []lease.Outcome{lease.Failed, lease.Lost, lease.NeverStarted, lease.Failed}, Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			js, req := newRunningJobs(t, request(1))
			run := req.Tasks[0]
			for i, how := range tt.ends {
				got := endRun(js, 10*i+10, run, how)
				if i == len(tt.ends)-1 && tt.want != 0 {
					wantAnswer(t, got, tt.want)
					return
				}
				if len(got.answers) != 0 || len(got.requests) != 1 || got.requests[0].Tasks[0].Number <= run.Number {
					t.Fatalf("after %v: %+v, want the task to be placed again", how, got)
				}
				run = got.requests[0].Tasks[0]
				js.Grant(ms(10*i+15), planner, grantAll(got.requests[0], "w"))
				takeActions(js)
			}
		})
	}
}

// The planner refuses a job just when a part of it was granted, and one message overtook
// the other. Told that nothing has run, the caller would submit the job to another
// process while the first copy is in progress.
func TestRefusalOfABegunJob(t *testing.T) {
	js, req := newSubmittedJobs(t, request(2))
	g := grantAll(req, "w")
	g.Items = g.Items[:1]
	js.Grant(ms(1), planner, g)
	takeActions(js)
	js.Refused(ms(2), planner, cell.Refusal{Job: jobID, Reason: "late"})
	if got := takeActions(js); len(got.answers) != 0 {
		t.Errorf("answers %+v", got.answers)
	}
	endRun(js, 3, req.Tasks[0], lease.NeverStarted)
	js.Refused(ms(4), planner, cell.Refusal{Job: jobID, Reason: "late", RetryAfter: time.Second})
	wantAnswer(t, takeActions(js), Refused)
}

// Each order for a task is wrong: its text was corrupted, or the worker can't read it.
// Requested again at once each time, the job went through 2,476 rounds in ten seconds,
// each with an error in the log, until its caller gave up.
func TestOrdersThatAreWrong(t *testing.T) {
	for _, tt := range []struct {
		name  string
		tasks int
		why   lease.Reason
		want  Status
	}{
		{"nothing has run", 1, lease.TextDiffers, Refused},
		{"another task has", 2, lease.TextDiffers, Unknown},
		{"a worker can't read it", 2, lease.Invalid, Unknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			js, req := newRunningJobs(t, request(tt.tasks))
			if tt.tasks > 1 {
				endRun(js, 5, req.Tasks[1], lease.Done)
			}
			r := req.Tasks[0]
			for i := range 3 {
				at := ms(10 + 5*i)
				js.Ended(at, holder, Ended{Worker: "w", End: lease.End{Run: r, Outcome: lease.NeverStarted, Why: tt.why}})
				got := takeActions(js)
				if i == 2 {
					wantAnswer(t, got, tt.want)
					return
				}
				if len(got.requests) != 1 || len(got.answers) != 0 {
					t.Fatalf("after %d wrong orders: %+v", i+1, got)
				}
				r = got.requests[0].Tasks[0]
				js.Grant(at, planner, grantAll(got.requests[0], "w"))
				takeActions(js)
			}
		})
	}
}

// The last caller of a job leaves. Its runs would take resources from the jobs of waiting
// callers.
func TestNobodyWaits(t *testing.T) {
	js, _ := newRunningJobs(t, request(2))
	js.CallerLeft(ms(20), 1)
	if got := takeActions(js); len(got.stops) != 1 || len(got.stops[0].Runs) != 2 {
		t.Errorf("stops %+v, want both runs", got.stops)
	}
	js, _ = newSubmittedJobs(t, request(2))
	js.CallerLeft(ms(20), 1)
	if got := takeActions(js); len(got.withdraws) != 1 {
		t.Errorf("%+v, want the tasks withdrawn", got)
	}
}

// The planner dies with all its pending requests. The next one is asked again, and a
// grant of the first one that arrives after that of the second is returned.
func TestPlannerReplaced(t *testing.T) {
	js, req := newSubmittedJobs(t, request(2))
	js.SetPlanner(ms(10), nextPlanner)
	again := takeActions(js).requests
	if len(again) != 1 || len(again[0].Tasks) != 2 {
		t.Fatalf("requests %+v", again)
	}
	js.Grant(ms(11), planner, grantAll(again[0], "w"))
	takeActions(js)
	js.Grant(ms(12), planner, grantAll(req, "v"))
	got := takeActions(js)
	if len(got.starts) != 0 || len(got.withdraws) != 1 || len(got.withdraws[0].Runs) != 2 {
		t.Errorf("%+v, want the second grant returned", got)
	}
}

// The process was suspended. Its callers may be served by others by now, and its runs
// would continue beside their copies.
func TestSuspendedProcessGivesUpJobs(t *testing.T) {
	js, _ := newRunningJobs(t, request(2))
	js.Resumed(ms(4000))
	got := takeActions(js)
	wantAnswer(t, got, Unknown)
	if len(got.stops) != 1 {
		t.Errorf("stops %+v", got.stops)
	}
}

// The process that is taken for the planner does not plan, because the two see different
// members. The callers got no answer until their timeout, ten seconds here, although the
// job could have been in time at another process.
func TestPlannerIsSilent(t *testing.T) {
	js, _ := newSubmittedJobs(t, request(2))
	// The objective is 220 ms, and 40 ms of work at the least.
	js.Tick(ms(270))
	if got := takeActions(js); len(got.answers) != 0 {
		t.Fatalf("answered at once: %+v", got.answers)
	}
	js.Tick(ms(300))
	got := takeActions(js)
	if len(got.answers) != 1 || got.answers[0].Answer.Status != Refused {
		t.Fatalf("answers %+v, want a refusal", got.answers)
	}
	if len(got.withdraws) != 1 {
		t.Errorf("%d withdrawals, want 1", len(got.withdraws))
	}
}

// As TestPlannerIsSilent, with a job that has begun: a refusal would not be true.
func TestPlannerIsSilentAfterABeginning(t *testing.T) {
	js, req := newSubmittedJobs(t, request(2))
	js.Grant(ms(10), planner, cell.Grant{Job: jobID, Items: []cell.GrantedRun{{Run: req.Tasks[0], Worker: "w", Holder: holder, Fence: 1}}})
	takeActions(js)
	js.Tick(ms(300))
	if got := takeActions(js); len(got.answers) != 0 {
		t.Errorf("answered %+v", got.answers)
	}
}

// Guards against a planner that forgets a run, because the process that uses its grant withdraws a
// second one: the request was sent twice.
func TestRequestGrantedTwice(t *testing.T) {
	tests := []struct {
		name   string
		second string
		want   []string
	}{
		{"the same worker", "w", nil},
		{"another worker", "v", []string{"v"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			js, req := newRunningJobs(t, request(1))
			js.Grant(ms(2), planner, grantAll(req, tt.second))
			var got []string
			for _, w := range takeActions(js).withdraws {
				if len(w.Workers) != len(w.Runs) {
					t.Errorf("%+v does not name the worker of each run", w)
				}
				got = append(got, w.Workers...)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("withdrew the grants of %v, want %v", got, tt.want)
			}
		})
	}
}
