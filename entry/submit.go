package entry

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Submit accepts a job for a caller, or joins the caller to the job of the same id that
// is in progress here.
func (js *Jobs) Submit(now time.Time, w Waiter, r Request) {
	j, ok := js.jobs[r.ID]
	switch {
	case !ok:
		js.admit(now, w, r)
	case !j.matches(r):
		// The caller would be given the answer of another caller's job. Nor can its job
		// start under this id: its tasks would have the names of tasks that may still
		// run.
		js.refuseUnadmitted(w, r, idInUse, answerRetention)
	default:
		js.join(now, w, j, r)
	}
}

// refuseUnadmitted refuses a request that does not become a job.
func (js *Jobs) refuseUnadmitted(w Waiter, r Request, why string, retryAfter time.Duration) {
	event.JobAnswered.Log(js.log, "job", r.ID, "queue", r.Queue.Name, "status", Refused, "why", why, "after_ms", retryAfter.Milliseconds(), "age_ms", 0)
	js.reply(w, Answer{Status: Refused, Why: why, RetryAfter: retryAfter})
}

// AnswerCopy answers a copy of the request of a job that was cancelled. status is the final answer that
// the job had before, if any.
func (js *Jobs) AnswerCopy(w Waiter, r Request, status Status) {
	a := answerOfCopy(status)
	event.JobAnswered.Log(js.log, "job", r.ID, "queue", r.Queue.Name, "status", a.Status, "why", a.Why, "age_ms", 0)
	js.reply(w, a)
}

// answerOfCopy returns the answer to a copy of a job that was cancelled: it is cancelled, unless it had
// been answered otherwise before.
func answerOfCopy(status Status) Answer {
	if status != Completed && status != Failed {
		status = Cancelled
	}
	return Answer{Status: status, Why: cell.ReasonCancelled}
}

// idInUse is the reason of a refusal because another job has the id.
const idInUse = "id_in_use"

// matches reports whether a request is for this job. Its queue may have another name: the
// operator can rename a route between a request and its repetition.
func (j *job) matches(r Request) bool { return j.text == lease.NewText(r.ID, r.Spec) }

// join handles a request whose id is known. A finished job gives its answer again. One
// that was given up and still runs somewhere can't be started again, since two runs of a
// task could overlap.
func (js *Jobs) join(now time.Time, w Waiter, j *job, r Request) {
	switch {
	case j.answer == nil:
		event.JobJoined.Log(js.log, "job", j.ID, "age_ms", now.Sub(j.arrivedAt).Milliseconds())
		j.waiters = append(j.waiters, w)
		js.waiters[w] = j
	case j.answer.isFinal():
		js.reply(w, *j.answer)
	case j.placedTasks > 0:
		js.reply(w, Answer{Status: Unknown, Why: "earlier_copy_ends"})
	default:
		js.forget(j)
		js.admit(now, w, r)
	}
}

// tooManyTasks is the reason of a refusal because this process has as many tasks as it may.
const tooManyTasks = "too_many_tasks"

func (js *Jobs) admit(now time.Time, w Waiter, r Request) {
	if js.tasks+r.taskCount() > maxTasks {
		js.refuseUnadmitted(w, r, tooManyTasks, minRetryAfter+cell.RetryJitter(r.ID))
		return
	}
	j := &job{Request: r, text: lease.NewText(r.ID, r.Spec), arrivedAt: now, waiters: []Waiter{w}}
	j.deadline = now.Add(r.Timeout)
	j.objectiveAt = now.Add(objective(r))
	j.addSteps()
	js.tasks += len(j.tasks)
	js.jobs[r.ID] = j
	js.waiters[w] = j
	event.JobAdmitted.Log(js.log, "job", r.ID, "queue", r.Queue.Name, "tasks", len(j.tasks), "steps", len(r.Steps), "text_bytes", len(r.Spec),
		"estimate_ms", r.Steps[0].Estimate.Milliseconds(), "cpu", r.Steps[0].Resources.CPU, "patience_ms", r.Timeout.Milliseconds(),
		"aim_ms", j.objectiveAt.Sub(now).Milliseconds(), "delay_ms", js.delay.total(len(j.tasks)).Milliseconds(), "planner", js.planner)
	if !js.refuseIfPlannerSilent(now, j) && !js.refuseIfMessagesSlow(now, j) && !js.refuseIfOverCapacity(now, j) {
		js.requestReadySteps(now, j)
	}
}

// objective returns the time in which the job should be answered: the longest chain of
// estimated work, times the queue's Stretch, plus its Objective.
func objective(r Request) time.Duration {
	chain := make([]time.Duration, len(r.Steps))
	var longest time.Duration
	for i, s := range r.Steps {
		for _, dep := range s.DependsOn {
			chain[i] = max(chain[i], chain[dep])
		}
		chain[i] += s.Estimate
		longest = max(longest, chain[i])
	}
	return time.Duration(r.Queue.Stretch*float64(longest)) + r.Queue.Objective
}

// requestReadySteps requests workers for all blocked tasks whose earlier steps are done.
func (js *Jobs) requestReadySteps(now time.Time, j *job) {
	for s := range j.steps {
		if j.steps[s].waitsFor == 0 {
			js.requestWorkers(now, j, j.tasksIn(s, blocked))
		}
	}
}

// requestWorkers requests workers from the planner for tasks of one step.
func (js *Jobs) requestWorkers(now time.Time, j *job, tasks []*task) {
	if len(tasks) == 0 {
		return
	}
	s := j.Steps[tasks[0].step]
	req := &cell.Request{
		Job:          j.ID,
		Step:         tasks[0].step,
		Queue:        j.Queue.Name,
		Pool:         j.Queue.Pool,
		Rank:         j.Queue.Rank,
		Resources:    s.Resources,
		Estimate:     s.Estimate,
		Age:          now.Sub(j.arrivedAt),
		Objective:    j.objectiveAt.Sub(now) - js.delay.total(len(tasks)),
		Timeout:      j.deadline.Sub(now),
		Begun:        j.hasBegun(),
		Label:        s.Label,
		Rack:         s.Rack,
		MaxPerWorker: s.MaxPerWorker,
	}
	if j.otherPlanner == (mesh.ID{}) {
		// Another cell is offered all jobs that this one does not admit.
		req.Share = j.share
	}
	for _, t := range tasks {
		if t.state != pending {
			j.setState(t, pending)
			t.runNumber++
		}
		req.Tasks = append(req.Tasks, j.lastRun(t))
		if t.avoidWorker != "" {
			req.Avoid = append(req.Avoid, t.avoidWorker)
		}
	}
	j.requestedAt = now
	js.emit(Action{To: j.otherPlanner, Request: req})
}

func (j *job) lastRun(t *task) lease.Run {
	return lease.Run{Task: taskName(j.ID, t.step, t.index), Number: t.runNumber}
}

// SetPlanner sets the planner. A new planner is asked again for all pending tasks: grants
// of the old one that did not reach this process are not used.
func (js *Jobs) SetPlanner(now time.Time, id mesh.ID) {
	if id == js.planner {
		return
	}
	js.inheritLevels(id)
	js.planner, js.nextPlannerAt = id, time.Time{}
	if id == (mesh.ID{}) {
		return
	}
	// The previous planner's answer times say nothing of this one's.
	js.delay.plannerTime = 0
	for _, j := range js.sortedJobs() {
		if j.answer == nil && j.otherPlanner == (mesh.ID{}) {
			js.repeatRequests(now, j)
		}
	}
}

func (js *Jobs) repeatRequests(now time.Time, j *job) {
	for s := range j.steps {
		js.requestWorkers(now, j, j.tasksIn(s, pending))
	}
}
