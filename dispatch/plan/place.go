package plan

import (
	"time"

	"snipehub.example/dispatch/pool"
	"snipehub.example/tables"
)

// unusableBackoff is how long a server is left alone that the VM list calls leaving
// or that is held back after a move, before it is looked at again.
const unusableBackoff = 200 * time.Millisecond

// place starts tasks while a connection, a task and a server with room are
// there.
func (p *Planner) place(now time.Time) {
	if !p.cluster.MayPlace {
		return
	}
	for p.running < p.cfg.Connections && p.placeNext(now) {
	}
}

// placeNext serves the pools in turn.
func (p *Planner) placeNext(now time.Time) bool {
	for range p.poolQueues {
		p.lastServed = (p.lastServed + 1) % len(p.poolQueues)
		if p.placeFrom(now, p.poolQueues[p.lastServed]) {
			return true
		}
	}
	return false
}

func (p *Planner) placeFrom(now time.Time, l *poolQueue) bool {
	servers := p.fleet.Pool(l.pool)
	if l.Len() == 0 || servers == nil {
		return false
	}
	js := p.topJob(l)
	if js == nil {
		return false
	}
	route, ok := p.cluster.Tables.Route(js.job.Kind)
	if !ok || route.Pool != l.pool {
		p.reroute(now, js)
		return true
	}
	if p.tooLate(now, js) {
		p.stop(js, "its deadline can't be met any more")
		return true
	}
	s := p.choose(now, servers)
	if s == nil {
		return false
	}
	p.start(now, js, s, route)
	return true
}

// topJob returns the work whose task goes next. When all job slots are taken it is
// one that has a slot, if any of those can go on; no connection stands idle for
// want of a slot.
func (p *Planner) topJob(l *poolQueue) *jobState {
	full := p.cfg.JobSlots > 0 && p.jobSlotsUsed >= p.cfg.JobSlots
	j := l.Top(full)
	if j == nil && full {
		j = l.Top(false)
	}
	if j == nil {
		return nil
	}
	return j.Owner.(*jobState)
}

// choose returns a server for the next task of the pool. A server that was set
// aside and is due for a probe goes first: with the others free, nothing else
// would ever bring it back.
func (p *Planner) choose(now time.Time, servers *pool.Pool) *pool.Server {
	if s := servers.Probe(); s != nil && p.cluster.Usable(s.Address) {
		return s
	}
	for servers.FreeServers().Len() > 0 {
		s := p.cfg.Policy.Choose(servers.FreeServers(), p.rnd).Server
		if p.cluster.Usable(s.Address) {
			return s
		}
		p.fleet.BackOff(now, s, now.Add(unusableBackoff))
	}
	return nil
}

func (p *Planner) start(now time.Time, js *jobState, s *pool.Server, r tables.Route) {
	f := &activeAttempt{js: js, server: s, startedAt: now}
	attempt := p.takeTask(f)
	task := f.task
	p.running++
	p.fleet.Start(now, s)
	p.countRunning(js.team, 1)
	lease := p.cfg.TaskTimeout
	if r.Timeout > 0 {
		lease = r.Timeout
	}
	expires := now.Add(lease)
	if js.job.Expires.Before(expires) {
		expires = js.job.Expires
	}
	p.actions.Starts = append(p.actions.Starts, Start{
		AttemptID: p.attempts,
		Job:       js.job.ID,
		Task:      task,
		Attempt:   attempt,
		Server:    s.Address,
		Expires:   expires,
	})
}

// takeTask moves the next task of a work from its queue into flight, and returns
// the number of the attempt.
func (p *Planner) takeTask(f *activeAttempt) int {
	js := f.js
	f.task = js.popTask()
	attempt := js.tried[f.task].attempts
	if attempt == 0 {
		p.retryBudget.earn()
	}
	js.poolQueue.Take(js.queueJob, p.cost(js))
	p.setJobSlot(js, js.queueJob.Waiting() > 0)
	p.waiting--
	p.attempts++
	p.activeAttempts[p.attempts] = f
	return attempt
}

// setJobSlot gives the work a job setJobSlot or takes it back.
func (p *Planner) setJobSlot(js *jobState, has bool) {
	switch {
	case has && !js.hasJobSlot:
		p.jobSlotsUsed++
	case !has && js.hasJobSlot:
		p.jobSlotsUsed--
	}
	js.hasJobSlot = has
}

// popTask takes the task of the work that goes next.
func (js *jobState) popTask() int {
	if n := len(js.retries); n > 0 {
		task := js.retries[n-1]
		js.retries = js.retries[:n-1]
		return task
	}
	js.nextTask++
	return js.nextTask - 1
}

// cost is what a start charges its team and caller with, in seconds.
func (p *Planner) cost(js *jobState) float64 {
	if u := p.serviceTime(js.job.Kind); u.Known() {
		return u.Mean().Seconds()
	}
	return defaultCost.Seconds()
}

// defaultCost stands for the service time of a kind of which nothing is known.
const defaultCost = 200 * time.Millisecond
