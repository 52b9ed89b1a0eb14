package plan

import (
	"time"

	"snipehub.example/dispatch/pool"
	"snipehub.example/tables"
)

// unusableBackoff is how long a server gets no tasks after Cluster.Usable has rejected
// it, because it is leaving or held back after a move.
const unusableBackoff = 200 * time.Millisecond

// place starts tasks as long as there are a connection, a waiting task and a server with
// a free slot.
func (p *Planner) place(now time.Time) {
	if !p.cluster.MayPlace {
		return
	}
	for p.running < p.cfg.Connections && p.placeNext(now) {
	}
}

// placeNext places one task, serving the pools in round-robin order.
func (p *Planner) placeNext(now time.Time) bool {
	for range p.poolQueues {
		p.lastServed = (p.lastServed + 1) % len(p.poolQueues)
		if p.placeFrom(now, p.poolQueues[p.lastServed]) {
			return true
		}
	}
	return false
}

func (p *Planner) placeFrom(now time.Time, pq *poolQueue) bool {
	servers := p.fleet.Pool(pq.pool)
	if pq.Len() == 0 || servers == nil {
		return false
	}
	js := p.topJob(pq)
	if js == nil {
		return false
	}
	route, ok := p.cluster.Tables.Route(js.job.Kind)
	if !ok || route.Pool != pq.pool {
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

// topJob returns the job whose task goes next. If all job slots are taken, it prefers a
// job that has one. If no such job can go on, it returns another one, so that no
// connection stays idle for lack of a job slot.
func (p *Planner) topJob(pq *poolQueue) *jobState {
	full := p.cfg.JobSlots > 0 && p.jobSlotsUsed >= p.cfg.JobSlots
	j := pq.Top(full)
	if j == nil && full {
		j = pq.Top(false)
	}
	if j == nil {
		return nil
	}
	return j.Data.(*jobState)
}

// choose returns a server for the next task of the pool, or nil. An ejected server that
// is due for a probe goes first: while others are free, nothing else would restore it.
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
	at := &activeAttempt{js: js, server: s, startedAt: now}
	attempt := p.takeTask(at)
	task := at.task
	p.running++
	p.fleet.Start(now, s)
	p.addRunning(js.team, 1)
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

// takeTask moves the next task of at's job from its queue to the active attempts, and
// returns the number of earlier attempts of the task.
func (p *Planner) takeTask(at *activeAttempt) int {
	js := at.js
	at.task = js.popTask()
	attempt := js.tried[at.task].attempts
	if attempt == 0 {
		p.retryBudget.earn()
	}
	js.poolQueue.Take(js.queueJob, p.cost(js))
	p.setJobSlot(js, js.queueJob.Waiting() > 0)
	p.waiting--
	p.attempts++
	p.activeAttempts[p.attempts] = at
	return attempt
}

// setJobSlot gives the job a job slot or releases it.
func (p *Planner) setJobSlot(js *jobState, has bool) {
	switch {
	case has && !js.hasJobSlot:
		p.jobSlotsUsed++
	case !has && js.hasJobSlot:
		p.jobSlotsUsed--
	}
	js.hasJobSlot = has
}

// popTask returns the job's next task, a retry if there is one.
func (js *jobState) popTask() int {
	if n := len(js.retries); n > 0 {
		task := js.retries[n-1]
		js.retries = js.retries[:n-1]
		return task
	}
	js.nextTask++
	return js.nextTask - 1
}

// cost returns what a start is charged to its team and caller, in seconds.
func (p *Planner) cost(js *jobState) float64 {
	if st := p.serviceTime(js.job.Kind); st.Known() {
		return st.Mean().Seconds()
	}
	return defaultCost.Seconds()
}

// defaultCost is the service time assumed for a kind that has too few samples.
const defaultCost = 200 * time.Millisecond
