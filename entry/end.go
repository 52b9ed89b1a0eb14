package entry

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Refused handles the planner's message that a job gets no workers. A job of which
// something may have begun can't be refused truthfully; it continues.
func (js *Jobs) Refused(now time.Time, from mesh.ID, r cell.Refusal) {
	j := js.jobs[r.Job]
	if j == nil || j.answer != nil || j.otherPlanner != (mesh.ID{}) && from != j.otherPlanner {
		return
	}
	if r.Reason == cell.ReasonNotPlanner {
		js.redirected(now, j, r.Planner)
		return
	}
	js.plannerAnswered(now, j, r.Waited)
	if j.otherPlanner != (mesh.ID{}) {
		js.refusedBy[from] = now
	} else {
		j.refusal = r
	}
	switch {
	case j.hasBegun():
		// The planner keeps a request for each step. It has refused one before it could know that
		// another step had begun, and refuses none of a job that it knows to have.
		js.repeatRequests(now, j)
		return
	case js.requestFromOtherCell(now, j):
		return
	}
	js.finish(now, j, Answer{Status: Refused, Why: r.Reason, RetryAfter: r.RetryAfter})
}

// Ended handles the end of a run. That a run is lost is concluded from a lease that has
// expired, and only its holder can conclude it: a former holder that was suspended does
// not know who has renewed the lease since.
func (js *Jobs) Ended(now time.Time, from mesh.ID, e Ended) {
	p, ok := js.runs[e.End.Run]
	if !ok || p.t.worker != e.Worker {
		return
	}
	if e.End.Outcome == lease.Lost && from != p.t.holder {
		return
	}
	js.handleRunEnd(now, p.j, p.t, e.End)
}

func (js *Jobs) handleRunEnd(now time.Time, j *job, t *task, end lease.End) {
	delete(js.runs, end.Run)
	event.RunEnded.Log(js.log, "job", j.ID, "task", end.Task, "run", end.Number, "how", end.Outcome, "why", string(end.Why), "worker", t.worker, "took_ms", end.Took.Milliseconds(), "age_ms", now.Sub(j.arrivedAt).Milliseconds())
	worker := t.worker
	t.worker, t.holder, t.avoidWorker = "", mesh.ID{}, ""
	switch end.Outcome {
	case lease.Done:
		j.setState(t, done)
		js.delay.addRunOverhead(now, now.Sub(t.placedAt)-end.Took)
	case lease.Failed:
		t.failures++
		j.setState(t, blocked)
	default:
		j.setState(t, blocked)
	}
	if end.Outcome != lease.Done {
		t.avoidWorker = worker
	}
	if end.IsOrderWrong() {
		t.wrongOrders++
	}
	if end.Outcome == lease.NeverStarted {
		js.counts.NotStarted[end.Why]++
	} else {
		j.ran = true
		js.counts.Ended[end.Outcome]++
	}
	var ready []int
	if t.state == done {
		ready = j.taskDone(t)
	}
	switch {
	case j.answer != nil:
	case t.wrongOrders >= maxWrongOrders:
		js.abandon(now, j, string(end.Why))
	default:
		js.continueJob(now, j, t, ready)
	}
	js.forgetIfOver(now, j)
}

// maxWrongOrders is how many orders for one task may be wrong before its job is given up.
// One can be corrupted by chance; if all are, requests would be repeated as fast as
// messages travel until the job's deadline.
const maxWrongOrders = 3

// abandon ends a job that can't be done, with a truthful answer.
func (js *Jobs) abandon(now time.Time, j *job, why string) {
	status := Refused
	if j.hasBegun() {
		status = Unknown
	}
	js.finish(now, j, Answer{Status: status, Why: why})
}

// continueJob continues a job after the end of a run of a task, by which steps may have become
// ready.
func (js *Jobs) continueJob(now time.Time, j *job, t *task, ready []int) {
	switch {
	case t.failures >= max(1, j.Queue.Attempts):
		js.finish(now, j, Answer{Status: Failed, Why: "attempts"})
	case j.openTasks == 0:
		js.finish(now, j, Answer{Status: Completed})
	case t.state == done:
		for _, s := range ready {
			js.requestWorkers(now, j, j.tasksIn(s, blocked))
		}
	default:
		js.requestWorkers(now, j, []*task{t})
	}
}

// finish answers a job and stops what still runs.
func (js *Jobs) finish(now time.Time, j *job, a Answer) {
	j.answer, j.answeredAt = &a, now
	event.JobAnswered.Log(js.log, "job", j.ID, "queue", j.Queue.Name, "status", a.Status, "why", a.Why, "after_ms", a.RetryAfter.Milliseconds(),
		"age_ms", now.Sub(j.arrivedAt).Milliseconds(), "aim_ms", j.objectiveAt.Sub(j.arrivedAt).Milliseconds())
	for _, w := range j.waiters {
		js.reply(w, a)
	}
	j.waiters = nil
	js.cancelWork(now, j)
	js.forgetIfOver(now, j)
}

func (js *Jobs) reply(w Waiter, a Answer) {
	delete(js.waiters, w)
	js.emit(Action{Answer: &CallerAnswer{Waiter: w, Answer: a}})
}

// cancelWork stops what runs and withdraws pending requests.
func (js *Jobs) cancelWork(_ time.Time, j *job) {
	stops := make(map[mesh.ID]*Stop)
	var holders []mesh.ID
	anyPending := false
	for _, t := range j.tasks {
		switch t.state {
		case pending:
			anyPending = true
			j.setState(t, blocked)
		case placed:
			s := stops[t.holder]
			if s == nil {
				s = &Stop{}
				stops[t.holder] = s
				holders = append(holders, t.holder)
			}
			s.Runs = append(s.Runs, PlacedRun{Run: j.lastRun(t), Worker: t.worker})
		}
	}
	if anyPending {
		js.emit(Action{To: j.otherPlanner, Withdraw: &cell.Withdrawal{Job: j.ID}})
	}
	for _, h := range holders {
		js.emit(Action{To: h, Stop: stops[h]})
	}
}

// hasBegun reports whether a run of the job may have begun.
func (j *job) hasBegun() bool { return j.ran || j.placedTasks > 0 }

// forgetIfOver removes an answered job once nothing of it runs and its answer need not be
// retained.
func (js *Jobs) forgetIfOver(now time.Time, j *job) {
	if j.answer == nil || j.placedTasks > 0 {
		return
	}
	js.dropTasks(j)
	if !j.answer.isFinal() || now.Sub(j.answeredAt) > answerRetention {
		js.forget(j)
	}
}

func (js *Jobs) forget(j *job) {
	js.dropTasks(j)
	delete(js.jobs, j.ID)
}

// dropTasks frees the tasks and steps of a job that is over.
func (js *Jobs) dropTasks(j *job) {
	js.tasks -= len(j.tasks)
	j.tasks, j.steps, j.Steps = nil, nil, nil
}
