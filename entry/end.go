package entry

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Refused takes the planner's word that a job gets no workers. A job of which
// something has begun can't be refused truthfully; it goes on.
func (b *Book) Refused(now time.Time, from mesh.ID, r cell.Refusal) {
	j := b.jobs[r.Job]
	if j == nil || j.answer != nil || j.elsewhere != (mesh.ID{}) && from != j.elsewhere {
		return
	}
	b.heard(now, j, r.Waited)
	if j.begun() || b.tryElsewhere(now, j) {
		return
	}
	b.finish(now, j, Answer{Status: Refused, Why: r.Why, After: r.After})
}

// Ended takes the end of a run. That a run is lost is a conclusion, from a lease that has
// run out, and only its holder can draw it: a former one that was frozen does not know who
// has renewed the lease since.
func (b *Book) Ended(now time.Time, from mesh.ID, e Ended) {
	p, ok := b.runs[e.End.Run]
	if !ok || p.t.worker != e.Worker {
		return
	}
	if e.End.How == lease.Lost && from != p.t.holder {
		return
	}
	b.over(now, p.j, p.t, e.End)
}

func (b *Book) over(now time.Time, j *job, t *task, end lease.End) {
	delete(b.runs, end.Run)
	event.RunEnded.Log(b.log, "job", j.ID, "task", end.Task, "run", end.Number, "how", end.How, "why", string(end.Why), "worker", t.worker, "took_ms", end.Took.Milliseconds(), "age_ms", now.Sub(j.arrived).Milliseconds())
	worker := t.worker
	t.worker, t.holder, t.avoid = "", mesh.ID{}, ""
	switch end.How {
	case lease.Done:
		t.state = done
		b.delay.ran(now, now.Sub(t.placedAt)-end.Took)
	case lease.Failed:
		t.failures++
		t.state = blocked
	default:
		t.state = blocked
	}
	if end.How != lease.Done {
		t.avoid = worker
	}
	if end.Unfit() {
		t.unfit++
	}
	if end.How == lease.Never {
		b.counts.NotStarted[end.Why]++
	} else {
		j.ran = true
		b.counts.Ended[end.How]++
	}
	switch {
	case j.answer != nil:
	case t.unfit >= unfitMost:
		b.giveUp(now, j, string(end.Why))
	default:
		b.goOn(now, j, t)
	}
	b.settle(now, j)
}

// unfitMost is how many orders for one task may be wrong before its job is given up. One can
// be spoilt by chance; if all are, asking again goes on at the pace of messages until the
// caller's time is over.
const unfitMost = 3

// giveUp ends a job that can't be done, with a true answer.
func (b *Book) giveUp(now time.Time, j *job, why string) {
	status := Refused
	if j.begun() {
		status = Unknown
	}
	b.finish(now, j, Answer{Status: status, Why: why})
}

// goOn continues a job after the end of a run.
func (b *Book) goOn(now time.Time, j *job, t *task) {
	switch {
	case t.failures >= max(1, j.Queue.Attempts):
		b.finish(now, j, Answer{Status: Failed, Why: "attempts"})
	case j.complete():
		b.finish(now, j, Answer{Status: Completed})
	case t.state == done:
		b.release(now, j)
	default:
		b.ask(now, j, []*task{t})
	}
}

func (j *job) complete() bool {
	for _, t := range j.tasks {
		if t.state != done {
			return false
		}
	}
	return true
}

// finish answers a job and stops what still runs.
func (b *Book) finish(now time.Time, j *job, a Answer) {
	j.answer, j.over = &a, now
	event.JobAnswered.Log(b.log, "job", j.ID, "queue", j.Queue.Name, "status", a.Status, "why", a.Why, "after_ms", a.After.Milliseconds(),
		"age_ms", now.Sub(j.arrived).Milliseconds(), "aim_ms", j.aim.Sub(j.arrived).Milliseconds())
	for _, w := range j.waiters {
		b.reply(w, a)
	}
	j.waiters = nil
	b.halt(now, j)
	b.settle(now, j)
}

func (b *Book) reply(w Waiter, a Answer) {
	delete(b.waiters, w)
	b.act(Action{Answer: &Answered{Waiter: w, Answer: a}})
}

// halt stops what runs and takes back what was asked for.
func (b *Book) halt(_ time.Time, j *job) {
	stops := make(map[mesh.ID]*Stop)
	var holders []mesh.ID
	asked := false
	for _, t := range j.tasks {
		switch t.state {
		case waiting:
			asked = true
			t.state = blocked
		case placed:
			s := stops[t.holder]
			if s == nil {
				s = &Stop{}
				stops[t.holder] = s
				holders = append(holders, t.holder)
			}
			s.Runs = append(s.Runs, Placed{Run: j.name(t), Worker: t.worker})
		}
	}
	if asked {
		b.act(Action{To: j.elsewhere, Withdraw: &cell.Withdrawal{Job: j.ID}})
	}
	for _, h := range holders {
		b.act(Action{To: h, Stop: stops[h]})
	}
}

// begun tells whether a run of the job may have begun.
func (j *job) begun() bool { return j.ran || j.running() > 0 }

// running counts the runs of a job that are not known to be over.
func (j *job) running() int {
	n := 0
	for _, t := range j.tasks {
		if t.state == placed {
			n++
		}
	}
	return n
}

// settle forgets an answered job when nothing of it runs and its answer needn't
// be kept.
func (b *Book) settle(now time.Time, j *job) {
	if j.answer == nil || j.running() > 0 {
		return
	}
	kept := j.answer.Status == Completed || j.answer.Status == Failed
	if !kept || now.Sub(j.over) > keepDone {
		delete(b.jobs, j.ID)
	}
}
