package entry

import (
	"slices"
	"time"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Submit takes in a job for a caller, or joins the caller to the job of the same
// id that is under way here.
func (b *Book) Submit(now time.Time, w Waiter, r Request) {
	j, ok := b.jobs[r.ID]
	switch {
	case !ok:
		b.admit(now, w, r)
	case !j.is(r):
		// Its caller would be given the answer of another one's job. Nor can it begin
		// under this id: its tasks would have the names of those that may still run.
		event.JobAnswered.Log(b.log, "job", r.ID, "queue", r.Queue.Name, "status", Refused, "why", idInUse, "after_ms", keepDone.Milliseconds(), "age_ms", 0)
		b.reply(w, Answer{Status: Refused, Why: idInUse, After: keepDone})
	default:
		b.join(now, w, j, r)
	}
}

// idInUse is the reason of a refusal because the id is that of another job.
const idInUse = "id_in_use"

// is tells whether a request is for this job. Its queue may have another name by now: the
// operator can rename a route between a request and its repetition.
func (j *job) is(r Request) bool { return j.text == lease.NewText(r.ID, r.Spec) }

// join handles a request whose id is known. A finished job gives its answer
// again. One that was given up and still runs somewhere can't be started anew,
// since two runs of a task could overlap.
func (b *Book) join(now time.Time, w Waiter, j *job, r Request) {
	switch {
	case j.answer == nil:
		event.JobJoined.Log(b.log, "job", j.ID, "age_ms", now.Sub(j.arrived).Milliseconds())
		j.waiters = append(j.waiters, w)
		b.waiters[w] = j
	case j.answer.Status == Completed || j.answer.Status == Failed:
		b.reply(w, *j.answer)
	case j.running() > 0:
		b.reply(w, Answer{Status: Unknown, Why: "earlier_copy_ends"})
	default:
		delete(b.jobs, j.ID)
		b.admit(now, w, r)
	}
}

func (b *Book) admit(now time.Time, w Waiter, r Request) {
	j := &job{Request: r, text: lease.NewText(r.ID, r.Spec), arrived: now, waiters: []Waiter{w}}
	j.limit = now.Add(r.Patience)
	j.aim = now.Add(objective(r))
	for s, step := range r.Steps {
		for i := range step.Count {
			j.tasks = append(j.tasks, &task{step: s, index: i})
		}
	}
	b.jobs[r.ID] = j
	b.waiters[w] = j
	event.JobAdmitted.Log(b.log, "job", r.ID, "queue", r.Queue.Name, "tasks", len(j.tasks), "steps", len(r.Steps), "text_bytes", len(r.Spec),
		"estimate_ms", r.Steps[0].Estimate.Milliseconds(), "cpu", r.Steps[0].Room.CPU, "patience_ms", r.Patience.Milliseconds(),
		"aim_ms", j.aim.Sub(now).Milliseconds(), "delay_ms", b.delay.total(len(j.tasks)).Milliseconds(), "planner", b.planner)
	if !b.tooSlow(now, j) {
		b.release(now, j)
	}
}

// objective is the time in which the job should be answered: the longest chain of
// estimated work, stretched, and the queue's aim more.
func objective(r Request) time.Duration {
	chain := make([]time.Duration, len(r.Steps))
	var longest time.Duration
	for i, s := range r.Steps {
		for _, a := range s.After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += s.Estimate
		longest = max(longest, chain[i])
	}
	return time.Duration(r.Queue.Stretch*float64(longest)) + r.Queue.Aim
}

// release asks for workers for all tasks whose earlier steps are done.
func (b *Book) release(now time.Time, j *job) {
	for s := range j.Steps {
		if !j.ready(s) {
			continue
		}
		var fresh []*task
		for _, t := range j.tasks {
			if t.step == s && t.state == blocked {
				fresh = append(fresh, t)
			}
		}
		b.ask(now, j, fresh)
	}
}

func (j *job) ready(s int) bool {
	for _, t := range j.tasks {
		if t.state != done && slices.Contains(j.Steps[s].After, t.step) {
			return false
		}
	}
	return true
}

// ask asks the planner for workers for tasks of one step.
func (b *Book) ask(now time.Time, j *job, tasks []*task) {
	if len(tasks) == 0 {
		return
	}
	s := j.Steps[tasks[0].step]
	a := &cell.Ask{
		Job:      j.ID,
		Step:     tasks[0].step,
		Queue:    j.Queue.Name,
		Pool:     j.Queue.Pool,
		Rank:     j.Queue.Rank,
		Room:     s.Room,
		Estimate: s.Estimate,
		Age:      now.Sub(j.arrived),
		Aim:      j.aim.Sub(now) - b.delay.total(len(tasks)),
		Limit:    j.limit.Sub(now),
		Begun:    j.begun(),
		Label:    s.Label,
		Rack:     s.Rack,
		Apart:    s.Apart,
	}
	for _, t := range tasks {
		if t.state != waiting {
			t.state = waiting
			t.run++
		}
		a.Tasks = append(a.Tasks, j.name(t))
		if t.avoid != "" {
			a.Avoid = append(a.Avoid, t.avoid)
		}
	}
	j.asked = now
	b.act(Action{To: j.elsewhere, Ask: a})
}

func (j *job) name(t *task) lease.Run {
	return lease.Run{Task: taskName(j.ID, t.step, t.index), Number: t.run}
}

// Planner sets the planner. A new one is asked again for everything that waits:
// what the old one had granted and did not reach this process is not used.
func (b *Book) Planner(now time.Time, id mesh.ID) {
	if id == b.planner {
		return
	}
	b.planner = id
	if id == (mesh.ID{}) {
		return
	}
	// How long the one before took says nothing of this one.
	b.delay.ask = 0
	for _, j := range b.sorted() {
		if j.answer == nil && j.elsewhere == (mesh.ID{}) {
			b.askAgain(now, j)
		}
	}
}

func (b *Book) askAgain(now time.Time, j *job) {
	for s := range j.Steps {
		var tasks []*task
		for _, t := range j.tasks {
			if t.step == s && t.state == waiting {
				tasks = append(tasks, t)
			}
		}
		b.ask(now, j, tasks)
	}
}
