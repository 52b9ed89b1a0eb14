package plan

import (
	"time"

	"snipehub.example/delivery"
	"snipehub.example/dispatch/pool"
	"snipehub.example/refusal"
)

// Ended takes the outcome of an attempt.
func (p *Planner) Ended(now time.Time, number uint64, o delivery.Outcome) {
	f := p.flights[number]
	if f == nil {
		return
	}
	delete(p.flights, number)
	w := f.w
	if o.Kind != delivery.NotRun {
		w.line.drain.ended++
	}
	if f.peer != nil {
		p.returned(f.peer, o)
	} else {
		p.busy--
		p.fleet.End(now, f.server, verdict(o), now.Sub(f.started), p.kind(w.job.Kind))
		p.quota(w.team, -1)
	}
	if p.again(now, f, o) {
		p.release()
		return
	}
	p.end(w, f.task, f.task+1, ran(w, o), o, o.Reason)
}

// verdict is how an outcome counts for its backend server. A refusal counts
// for less than a failure: where dispatchers' views differ it is nobody's fault.
func verdict(o delivery.Outcome) pool.Verdict {
	switch {
	case o.Kind == delivery.Done:
		return pool.Good
	case o.Cause == delivery.Refused:
		return pool.Busy
	case o.Kind == delivery.NotRun && o.Cause != delivery.NoConnection:
		return pool.Neutral
	case o.Kind == delivery.Ran && o.Status < 500:
		return pool.Neutral
	}
	return pool.Bad
}

func ran(w *work, o delivery.Outcome) refusal.Ran {
	switch {
	case o.Kind == delivery.Done || o.Kind == delivery.Ran:
		return refusal.RanYes
	case o.Kind == delivery.NotRun && !w.maybe:
		return refusal.RanNo
	}
	return refusal.RanUnknown
}

// again queues the task once more when that is safe and worth it.
//
// Only a proved "not run" is safe. The outcome of a single request may also be
// unknown when its route says that it may be repeated; a task of a job never,
// because a part of an order may have run.
func (p *Planner) again(now time.Time, f *flight, o delivery.Outcome) bool {
	w := f.w
	safe := o.Kind == delivery.NotRun
	if o.Kind == delivery.Unknown && w.job.Request {
		r, ok := p.world.Tables.Route(w.job.Kind)
		safe = ok && r.Repeatable
		w.maybe = true
	}
	t := w.tried[f.task]
	t.number++
	if f.peer != nil {
		t.peers++
	} else {
		t.servers++
	}
	if !safe || w.ended || w.job.Guest || t.servers >= p.cfg.Attempts || !now.Before(w.job.Expires) {
		return false
	}
	if w.tried == nil {
		w.tried = make(map[int]tries)
	}
	w.tried[f.task] = t
	p.waiting++
	if f.peer != nil && o.Kind == delivery.NotRun {
		// No backend server was troubled, so the retry budget is not asked.
		w.retries = append(w.retries, f.task)
		w.line.Add(w.q, 1)
		return true
	}
	w.held = append(w.held, f.task)
	p.later = append(p.later, w)
	return true
}

// release puts tasks that may be tried again into their queues, as far as the
// retry budget goes. Without the budget, a pool that refuses everything gets
// each task as often as attempts allow, at the moment when it can bear it least.
func (p *Planner) release() {
	n := 0
	for _, w := range p.later {
		if !w.ended && !p.budget.take() {
			break
		}
		n++
		if w.ended {
			continue
		}
		w.retries = append(w.retries, w.held[0])
		w.held = w.held[1:]
		w.line.Add(w.q, 1)
	}
	clear(p.later[:n])
	p.later = append(p.later[:0], p.later[n:]...)
}

// end reports tasks as ended, and forgets the work after its last.
func (p *Planner) end(w *work, from, to int, r refusal.Ran, o delivery.Outcome, reason string) {
	p.out.Ends = append(p.out.Ends, End{Job: w.job.ID, From: from, To: to, Ran: r, Outcome: o, Reason: reason})
	w.left -= to - from
	if w.left > 0 {
		return
	}
	p.expiry.remove(w)
	delete(p.jobs, w.job.ID)
	w.team.jobs--
	p.forget(w.team)
}

// Cancel ends the tasks of a job that have not started; those under way go on.
// Its cost does not depend on the number of waiting tasks, apart from those that
// wait to be tried again.
func (p *Planner) Cancel(id string) {
	if w := p.jobs[id]; w != nil {
		p.stop(w, "cancelled")
	}
}

// stop ends the waiting tasks of the work as not run.
func (p *Planner) stop(w *work, reason string) {
	if w.ended {
		return
	}
	w.ended = true
	p.waiting -= w.line.Remove(w.q) + len(w.held)
	r := refusal.RanNo
	if w.maybe {
		r = refusal.RanUnknown
	}
	again := append(w.retries, w.held...)
	w.held = nil
	w.retries = nil
	p.slot(w, false)
	from := w.next
	w.next = w.job.Tasks
	for _, task := range again {
		p.end(w, task, task+1, r, delivery.Outcome{}, reason)
	}
	if from < w.job.Tasks {
		p.end(w, from, w.job.Tasks, r, delivery.Outcome{}, reason)
	}
}
