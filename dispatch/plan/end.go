package plan

import (
	"time"

	"snipehub.example/delivery"
	"snipehub.example/dispatch/pool"
	"snipehub.example/refusal"
)

// AttemptEnded takes the outcome of an attempt.
func (p *Planner) AttemptEnded(now time.Time, number uint64, o delivery.Outcome) {
	f := p.activeAttempts[number]
	if f == nil {
		return
	}
	delete(p.activeAttempts, number)
	js := f.js
	if o.Kind != delivery.NotRun {
		js.poolQueue.drainRate.endedTasks++
	}
	if f.peer != nil {
		p.handoverEnded(f.peer, o)
	} else {
		p.running--
		p.fleet.End(now, f.server, verdict(o), now.Sub(f.startedAt), p.serviceTime(js.job.Kind))
		p.countRunning(js.team, -1)
	}
	if p.retry(now, f, o) {
		p.releaseRetries()
		return
	}
	p.endTasks(js, f.task, f.task+1, ran(js, o), o, o.Reason)
}

// verdict is how an outcome counts for its backend server. A refusal counts
// for less than a failure: where dispatchers' views differ it is nobody's fault.
func verdict(o delivery.Outcome) pool.Verdict {
	switch {
	case o.Kind == delivery.Done:
		return pool.Good
	case o.Cause == delivery.Refused:
		return pool.Rejected
	case o.Kind == delivery.NotRun && o.Cause != delivery.NoConnection:
		return pool.Neutral
	case o.Kind == delivery.Ran && o.Status < 500:
		return pool.Neutral
	}
	return pool.Bad
}

func ran(js *jobState, o delivery.Outcome) refusal.Ran {
	switch {
	case o.Kind == delivery.Done || o.Kind == delivery.Ran:
		return refusal.RanYes
	case o.Kind == delivery.NotRun && !js.mayHaveRun:
		return refusal.RanNo
	}
	return refusal.RanUnknown
}

// retry queues the task once more when that is safe and worth it.
//
// Only a proved "not run" is safe. The outcome of a single request may also be
// unknown when its route says that it may be repeated; a task of a job never,
// because a part of an order may have run.
func (p *Planner) retry(now time.Time, f *activeAttempt, o delivery.Outcome) bool {
	js := f.js
	safe := o.Kind == delivery.NotRun
	if o.Kind == delivery.Unknown && js.job.Request {
		r, ok := p.cluster.Tables.Route(js.job.Kind)
		safe = ok && r.Repeatable
		js.mayHaveRun = true
	}
	t := js.tried[f.task]
	t.attempts++
	if f.peer != nil {
		t.peers++
	} else {
		t.servers++
	}
	if !safe || js.stopped || js.job.FromPeer || t.servers >= p.cfg.Attempts || !now.Before(js.job.Expires) {
		return false
	}
	if js.tried == nil {
		js.tried = make(map[int]taskTries)
	}
	js.tried[f.task] = t
	p.waiting++
	if f.peer != nil && o.Kind == delivery.NotRun {
		// No backend server was troubled, so the retry budget is not asked.
		js.retries = append(js.retries, f.task)
		js.poolQueue.Add(js.queueJob, 1)
		return true
	}
	js.awaitingBudget = append(js.awaitingBudget, f.task)
	p.budgetQueue = append(p.budgetQueue, js)
	return true
}

// releaseRetries puts tasks that may be tried again into their queues, as far as the
// retry budget goes. Without the budget, a pool that refuses everything gets
// each task as often as attempts allow, at the moment when it can bear it least.
func (p *Planner) releaseRetries() {
	n := 0
	for _, js := range p.budgetQueue {
		if !js.stopped && !p.retryBudget.spend() {
			break
		}
		n++
		if js.stopped {
			continue
		}
		js.retries = append(js.retries, js.awaitingBudget[0])
		js.awaitingBudget = js.awaitingBudget[1:]
		js.poolQueue.Add(js.queueJob, 1)
	}
	clear(p.budgetQueue[:n])
	p.budgetQueue = append(p.budgetQueue[:0], p.budgetQueue[n:]...)
}

// endTasks reports tasks as ended, and forgets the work after its last.
func (p *Planner) endTasks(js *jobState, from, to int, r refusal.Ran, o delivery.Outcome, reason string) {
	p.actions.Ends = append(p.actions.Ends, End{Job: js.job.ID, From: from, To: to, Ran: r, Outcome: o, Reason: reason})
	js.unfinished -= to - from
	if js.unfinished > 0 {
		return
	}
	p.expiry.remove(js)
	delete(p.jobs, js.job.ID)
	js.team.jobs--
	p.forgetIfIdle(js.team)
}

// Cancel ends the tasks of a job that have not started; those under way go on.
// Its cost does not depend on the number of waiting tasks, apart from those that
// wait to be tried again.
func (p *Planner) Cancel(id string) {
	if js := p.jobs[id]; js != nil {
		p.stop(js, "cancelled")
	}
}

// stop ends the waiting tasks of the work as not run.
func (p *Planner) stop(js *jobState, reason string) {
	if js.stopped {
		return
	}
	js.stopped = true
	p.waiting -= js.poolQueue.Remove(js.queueJob) + len(js.awaitingBudget)
	r := refusal.RanNo
	if js.mayHaveRun {
		r = refusal.RanUnknown
	}
	retries := append(js.retries, js.awaitingBudget...)
	js.awaitingBudget = nil
	js.retries = nil
	p.setJobSlot(js, false)
	from := js.nextTask
	js.nextTask = js.job.Tasks
	for _, task := range retries {
		p.endTasks(js, task, task+1, r, delivery.Outcome{}, reason)
	}
	if from < js.job.Tasks {
		p.endTasks(js, from, js.job.Tasks, r, delivery.Outcome{}, reason)
	}
}
