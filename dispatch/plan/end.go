package plan

import (
	"time"

	"snipehub.example/delivery"
	"snipehub.example/dispatch/pool"
	"snipehub.example/refusal"
)

// AttemptEnded handles the outcome of an attempt.
func (p *Planner) AttemptEnded(now time.Time, attemptID uint64, o delivery.Outcome) {
	at := p.activeAttempts[attemptID]
	if at == nil {
		return
	}
	delete(p.activeAttempts, attemptID)
	js := at.js
	if o.Kind != delivery.NotRun {
		js.poolQueue.drainRate.endedTasks++
	}
	if at.peer != nil {
		p.handoverEnded(at.peer, o)
	} else {
		p.running--
		p.fleet.End(now, at.server, verdict(o), now.Sub(at.startedAt), p.serviceTime(js.job.Kind))
		p.addRunning(js.team, -1)
	}
	if p.retry(now, at, o) {
		p.releaseRetries()
		return
	}
	p.endTasks(js, at.task, at.task+1, ran(js, o), o, o.Reason)
}

// verdict returns how an outcome counts for its backend server. A refusal weighs less
// than a failure: it may only mean that two dispatchers' views differ.
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

// retry queues the task again if that is safe and allowed, and reports whether it did.
//
// A proven "not run" is always safe. An unknown outcome is safe only for a single request
// whose route declares it repeatable, and never for a task of a job, because a part of the
// job may have run.
func (p *Planner) retry(now time.Time, at *activeAttempt, o delivery.Outcome) bool {
	js := at.js
	safe := o.Kind == delivery.NotRun
	if o.Kind == delivery.Unknown && js.job.PassThrough {
		r, ok := p.cluster.Tables.Route(js.job.Kind)
		safe = ok && r.Repeatable
		js.mayHaveRun = true
	}
	t := js.tried[at.task]
	t.attempts++
	if at.peer != nil {
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
	js.tried[at.task] = t
	p.waiting++
	if at.peer != nil && o.Kind == delivery.NotRun {
		// No backend server had any work with it, so it costs no retry budget.
		js.retries = append(js.retries, at.task)
		js.poolQueue.Add(js.queueJob, 1)
		return true
	}
	js.awaitingBudget = append(js.awaitingBudget, at.task)
	p.budgetQueue = append(p.budgetQueue, js)
	return true
}

// releaseRetries moves tasks that wait for the retry budget back into their queues, as
// far as the budget goes. Without the budget, a pool that refuses everything would get
// each task as often as Attempts allows, just when it is overloaded.
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

// endTasks reports tasks as ended and drops the job after its last one.
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

// Cancel ends the tasks of a job that have not started; running ones go on. Its cost does
// not depend on the number of waiting tasks, except those that wait for a retry.
func (p *Planner) Cancel(id string) {
	if js := p.jobs[id]; js != nil {
		p.stop(js, "cancelled")
	}
}

// stop ends the job's waiting tasks as not run.
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
