package cell

import (
	"slices"
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Request adds a request for workers, or updates the pending one for the same step.
func (pl *Planner) Request(now time.Time, from mesh.ID, req Request) {
	if !pl.active {
		return
	}
	pl.noteOwner(now, req.Job, from, req.Timeout)
	k := stepKey{req.Job, req.Step}
	p := pl.pending[k]
	if p == nil || p.owner != from {
		if p != nil {
			pl.dropRequest(p)
		}
		p = &pendingRequest{Request: req, stepKey: k, owner: from, arrivedAt: now.Add(-req.Age), objective: now.Add(req.Objective), deadline: now.Add(req.Timeout), requestedAt: now}
		if pl.refuseTooMany(p) || !pl.admit(now, p) {
			return
		}
		pl.tasks += p.weight()
		pl.pending[k] = p
		pl.requestQueue.add(p)
	} else {
		pl.requestQueue.change(p, func() {
			p.Begun, p.Avoid, p.requestedAt = req.Begun, req.Avoid, now
			p.Tasks = mergeRuns(p.Tasks, req.Tasks)
		})
	}
	pl.needsPlanning = true
}

const (
	// maxTasks bounds the pending tasks and the runs of a cell. The largest cell has some ten
	// thousand at its peak.
	maxTasks = 100_000
	// taskBytes is what one of them takes.
	taskBytes = 250
)

// weight returns what a request counts towards maxTasks: its tasks, and its names by what they
// take, which a caller may make as long as a body.
func (p *pendingRequest) weight() int {
	return len(p.Tasks) + (len(p.Label)+len(p.Rack))/taskBytes
}

// reasonTooManyTasks is the reason of a refusal because the cell has as many tasks as it may.
const reasonTooManyTasks = "too_many_tasks"

// refuseTooMany refuses a job of which nothing has begun if there are too many tasks, and
// reports whether it did.
func (pl *Planner) refuseTooMany(p *pendingRequest) bool {
	if p.Begun || pl.tasks+p.weight() <= maxTasks {
		return false
	}
	pl.counts.Refused[reasonTooManyTasks]++
	pl.emit(Action{To: p.owner, Refusal: &Refusal{Job: p.job, Reason: reasonTooManyTasks, RetryAfter: maxRetryAfter + RetryJitter(p.job)}})
	return true
}

// mergeRuns adds the runs of more to those of have, replacing older runs of the same
// tasks.
func mergeRuns(have, more []lease.Run) []lease.Run {
	newer := make(map[lease.Task]struct{}, len(more))
	for _, r := range more {
		newer[r.Task] = struct{}{}
	}
	out := slices.DeleteFunc(slices.Clone(have), func(r lease.Run) bool {
		_, replaced := newer[r.Task]
		return replaced
	})
	return append(out, more...)
}

// Withdraw removes the pending requests of a job, or the grants of the given runs, which
// won't be used.
func (pl *Planner) Withdraw(wd Withdrawal) {
	if !pl.active {
		return
	}
	if len(wd.Runs) == 0 {
		for _, p := range pl.pending {
			if p.job == wd.Job {
				pl.dropRequest(p)
			}
		}
		return
	}
	for i, r := range wd.Runs {
		switch {
		case len(wd.Workers) != len(wd.Runs):
			for _, w := range pl.workers {
				w.dropGrant(r)
			}
		case pl.workers[wd.Workers[i]] != nil:
			pl.workers[wd.Workers[i]].dropGrant(r)
		}
	}
	pl.needsPlanning = true
}

// dropGrant drops the grant of a run unless its holder has reported the run.
func (w *worker) dropGrant(r lease.Run) {
	if w.runs[r].unreported {
		w.dropRun(r)
	}
}

// DropRequests drops the pending requests of a job, and returns the processes that made them.
func (pl *Planner) DropRequests(job string) (owners []mesh.ID) {
	for _, p := range pl.pending {
		if p.job != job {
			continue
		}
		pl.dropRequest(p)
		if !slices.Contains(owners, p.owner) {
			owners = append(owners, p.owner)
		}
	}
	return owners
}

// dropRequest deletes a pending request.
func (pl *Planner) dropRequest(p *pendingRequest) {
	delete(pl.pending, p.stepKey)
	pl.requestQueue.remove(p)
}
