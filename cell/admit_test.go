package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"snipehub.example/lease"
)

// Two tasks of a job that has begun occupy the only worker for longer than a second job
// has time. It is refused at once, while its caller can still use another service; a job
// that fits after the running ones stays pending.
func TestLookingAhead(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	first := newRequest("first", 2)
	first.Estimate, first.Objective = time.Second, 2*time.Second
	pl.Request(ms(700), memberID(1), first)
	place(pl, 700)
	short, long := newRequest("short", 1), newRequest("long", 1)
	short.Objective, long.Objective = 500*time.Millisecond, 1500*time.Millisecond
	pl.Request(ms(720), memberID(1), short)
	pl.Request(ms(720), memberID(1), long)
	_, refusals := place(pl, 720)
	if len(refusals) != 1 || refusals[0].Job != "short" || refusals[0].Reason != reasonOthersFirst {
		t.Errorf("refusals %+v, want only that of the job that would be late", refusals)
	}
	if len(pl.pending) != 1 {
		t.Errorf("%d requests are pending, want 1", len(pl.pending))
	}
}

// The end of a run is predicted from its progress, or else from its estimate; an overdue
// run does not count as ended.
func TestEndOfARun(t *testing.T) {
	tests := []struct {
		name string
		run  activeRun
		at   int
		want int
	}{
		{"by estimate", activeRun{startedAt: ms(0), estimate: 100 * time.Millisecond}, 40, 200},
		{"by progress", activeRun{startedAt: ms(0), estimate: 100 * time.Millisecond, percent: 50, reportedAt: ms(30)}, 40, 60},
		{"progress too low to predict", activeRun{startedAt: ms(0), estimate: 100 * time.Millisecond, percent: 5, reportedAt: ms(30)}, 40, 200},
		{"overdue", activeRun{startedAt: ms(0), estimate: 100 * time.Millisecond}, 400, 440},
	}
	for _, tt := range tests {
		if got := tt.run.end(ms(tt.at), 2); !got.Equal(ms(tt.want)) {
			t.Errorf("%s: ends at %v, want %v", tt.name, got.Sub(epoch), ms(tt.want).Sub(epoch))
		}
	}
}

// A new planner gets a request before another member has reported the workers that it
// holds. It saw no free resources and refused jobs although there were plenty; callers
// got "too busy" from an idle system.
func TestNewPlannerWaitsForReports(t *testing.T) {
	pl := newPlanner(t, 2, 4)
	pl.Report(ms(1), memberID(0), Report{Full: true})
	pl.Request(ms(1), memberID(0), newRequest("a", 2))
	if _, refused := place(pl, 2); len(refused) != 0 {
		t.Fatalf("refused before all have reported: %+v", refused)
	}
	pl.Report(ms(3), memberID(1), Report{Full: true})
	if _, refused := place(pl, 20); len(refused) != 0 {
		t.Errorf("refused while four workers have been assigned but not reported: %+v", refused)
	}
	for i := range 4 {
		w := testWorker(i)
		pl.Report(ms(30), pl.workers[w.ID].holder, Report{States: []lease.State{{ID: w.ID, Fence: lease.NewFence(9), Open: true, Draining: true}}})
	}
	req := newRequest("b", 2)
	req.Objective = 10 * time.Second
	pl.Request(ms(1100), memberID(0), req)
	if _, refused := place(pl, 1100); len(refused) != 2 {
		t.Errorf("%d refusals when no worker accepts tasks, want 2", len(refused))
	}
}

// All processes were restarted. The first planner is connected to nobody and knows no
// worker; half a second later all workers are held again. A fifth of the callers of these
// seconds was refused at once, most of whom could have been served in time.
func TestNobodyIsRefusedBeforeTheWorkersAreThere(t *testing.T) {
	pl := newIdlePlanner(Policy{})
	pl.Begin(ms(0))
	pl.SetMembers(ms(0), members(1), members(1), false, false)
	pl.Report(ms(1), memberID(0), Report{Full: true})
	for _, c := range []struct{ at, objective, refused int }{
		{20, 900, 0},
		{400, 600, 0},
		{1100, 600, 3},
	} {
		req := newRequest(fmt.Sprint("job", c.at), 2)
		req.Objective = time.Duration(c.objective) * time.Millisecond
		pl.Request(ms(c.at), memberID(0), req)
		if _, refused := place(pl, c.at); len(refused) != c.refused {
			t.Errorf("at %d ms %d refusals, want %d", c.at, len(refused), c.refused)
		}
	}
}

// The holder of a worker leaves as planned. For some milliseconds, until the next one
// holds the worker, no tasks can be started there; jobs that arrived meanwhile were
// refused.
func TestWorkerThatChangesHands(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	w := pl.workers["w0"]
	pl.Report(ms(700), w.holder, Report{States: []lease.State{{ID: w.ID, Fence: lease.NewFence(9), Released: true}}})
	pl.Request(ms(701), memberID(1), newRequest("a", 2))
	if _, refused := place(pl, 701); len(refused) != 0 {
		t.Errorf("refused while the worker changes its holder: %+v", refused)
	}
	req := newRequest("b", 2)
	req.Objective = time.Hour
	pl.Request(ms(2000), memberID(1), req)
	if _, refused := place(pl, 2000); len(refused) != 2 {
		t.Errorf("%d refusals long after the worker was lost, want 2", len(refused))
	}
}

// No worker has a holder long after the planner began: the holders are lost and the store
// is unreachable. Callers were told that other jobs come first, so operators looked for a
// load that was not there.
func TestRefusalTellsThatNoWorkerTakesTasks(t *testing.T) {
	pl := newIdlePlanner(Policy{})
	pl.Begin(ms(0))
	pl.SetMembers(ms(0), members(1), members(1), false, false)
	pl.Report(ms(1), memberID(0), Report{Full: true})
	pl.Request(ms(2000), memberID(0), newRequest("a", 2))
	_, refused := place(pl, 2000)
	if len(refused) == 0 || refused[0].Reason != reasonNoWorkers {
		t.Errorf("refusals %+v, want reason %s", refused, reasonNoWorkers)
	}
}

// All processes have started together, and a job arrives when one worker accepts tasks
// and the others have a holder that waits for their first answer. Callers were refused
// for lack of resources that were there some milliseconds later.
func TestWorkersWhoseHolderHasJustBegunCount(t *testing.T) {
	pl := newPlanner(t, 2, 2)
	pl.Tick(ms(600))
	for _, a := range pl.TakeActions() {
		if a.Assignment != nil {
			w := a.Assignment.Worker
			pl.Report(ms(610), a.To, Report{States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: w.ID == "w0"}}})
		}
	}
	for i, job := range []string{"a", "b"} {
		at := 620 + 10*i
		next := newRequest(job, 2)
		next.Estimate = 200 * time.Millisecond
		pl.Request(ms(at), memberID(1), next)
		if _, refused := place(pl, at); len(refused) != 0 {
			t.Errorf("refusals %+v, want the job to stay pending until the other worker opens", refused)
		}
	}
	pl.Tick(ms(2000))
	for _, job := range []string{"c", "d"} {
		next := newRequest(job, 2)
		next.Estimate, next.Objective = time.Second, 1500*time.Millisecond
		pl.Request(ms(2000), memberID(1), next)
	}
	grants, refused := place(pl, 2000)
	if len(grants) != 2 || len(refused) != 2 || refused[1].Reason != reasonOthersFirst {
		t.Errorf("long after the holder began %d grants, refused %+v; want b and one of c and d refused", len(grants), refused)
	}
}

// Guards against the look-ahead using memory that follows from what tasks ask for: it kept an
// entry for each task that fits, and a pending task that needs no CPU fits 64,000 times on a
// worker of 64 cores. Planners were killed for their memory, one after the other.
func TestLookAheadMemoryDoesNotFollowFromRequests(t *testing.T) {
	for _, need := range []lease.Resources{{Memory: 1}, {Memory: 64}, {CPU: 1}, {GPU: 1}, {}} {
		pl := newPlannerWithHolders(t, 2, 48)
		for _, w := range pl.workers {
			w.Resources = lease.Resources{CPU: 64_000, Memory: 256_000, GPU: 4_000}
		}
		req := newRequest("a", 1)
		req.Resources, req.MaxPerWorker = need, 1
		for _, w := range pl.sortedWorkers() {
			req.Avoid = append(req.Avoid, w.ID)
		}
		pl.Request(ms(700), memberID(1), req)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		pl.Place(ms(700))
		runtime.ReadMemStats(&after)
		const maxBytes = 100_000
		if used := after.TotalAlloc - before.TotalAlloc; used > maxBytes {
			t.Errorf("task of %+v: a look-ahead takes %d bytes, want %d at most", need, used, maxBytes)
		}
	}
}

// Guards against jobs that no worker can ever run waiting until their objective, and counting
// as work that others are refused for. They are refused at once.
func TestJobThatNoWorkerCanRunIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Request)
	}{
		{"label that no worker has", func(r *Request) { r.Label = "none" }},
		{"more memory than any worker has", func(r *Request) { r.Resources.Memory = 1000 }},
		{"GPU where there is none", func(r *Request) { r.Resources = lease.Resources{GPU: 1} }},
		{"pool without workers", func(r *Request) { r.Pool = "other" }},
	}
	for _, tt := range tests {
		pl := newPlannerWithHolders(t, 2, 2)
		req := newRequest("hopeless", 1)
		req.Objective = 10 * time.Second
		tt.change(&req)
		pl.Request(ms(2000), memberID(1), req)
		if grants, refused := place(pl, 2000); len(grants) != 0 || len(refused) != 1 {
			t.Errorf("%s: %d grants, refusals %+v; want it refused at once", tt.name, len(grants), refused)
		}
	}
}

// Guards against planning tasks that need memory or a GPU alone by CPU: with the memory of all
// workers in use and their CPU free, jobs that could not be in time were kept waiting.
func TestLookAheadByTheResourceThatIsShort(t *testing.T) {
	for _, need := range []lease.Resources{{Memory: 50}, {GPU: 1}} {
		pl := newPlannerWithHolders(t, 2, 1)
		for _, w := range pl.workers {
			w.Resources.GPU = 2
		}
		first := newRequest("first", 2)
		first.Resources, first.Estimate, first.Objective = need, time.Second, 2*time.Second
		pl.Request(ms(700), memberID(1), first)
		if grants, _ := place(pl, 700); len(grants) != 2 {
			t.Fatalf("%+v: %d grants, want 2", need, len(grants))
		}
		for i, objective := range []time.Duration{500, 2200, 2200, 2200} {
			req := newRequest(fmt.Sprint("j", i), 1)
			req.Resources, req.Estimate, req.Objective = need, time.Second, objective*time.Millisecond
			pl.Request(ms(720), memberID(1), req)
		}
		cpuOnly := newRequest("cpu", 2)
		pl.Request(ms(720), memberID(1), cpuOnly)
		grants, refused := place(pl, 720)
		if len(grants) != 2 || len(refused) != 2 {
			t.Errorf("%+v: %d grants, refusals %+v; want the tasks that need CPU granted, and the jobs refused that would be late", need, len(grants), refused)
		}
	}
}

// Guards against the memory of a planner following from the count of jobs that fit: tasks that
// need a megabyte each fit by the million.
func TestTasksOfACellAreBounded(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 2)
	for _, w := range pl.workers {
		w.Resources.Memory = 1 << 30
	}
	refused := 0
	for i := range 30 {
		req := newRequest(fmt.Sprintf("j%02d", i), 10_000)
		req.Resources, req.Objective = lease.Resources{Memory: 1}, time.Hour
		pl.Request(ms(700+i), memberID(1), req)
		_, refusals := place(pl, 700+i)
		refused += len(refusals)
	}
	if n := pl.countTasks(); n != maxTasks || refused != 20 {
		t.Errorf("%d tasks, %d jobs refused; want %d and 20", n, refused, maxTasks)
	}
}

// Guards against jobs being refused as if no worker existed while the platform's list is lost
// for a moment, as when its store forgets its history: the workers that have holders go on.
func TestUnlistedWorkersThatAnswerSuit(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	pl.UpdateWorkers(ms(1900), memberID(0), WorkerList{Full: true})
	first := newRequest("first", 2)
	pl.Request(ms(2000), memberID(1), first)
	if grants, _ := place(pl, 2000); len(grants) != 2 {
		t.Fatalf("%d grants, want 2", len(grants))
	}
	next := newRequest("next", 1)
	next.Objective = time.Second
	pl.Request(ms(2020), memberID(1), next)
	if _, refused := place(pl, 2020); len(refused) != 0 {
		t.Errorf("refusals %+v, want the job to wait for the worker", refused)
	}
}
