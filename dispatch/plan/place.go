package plan

import (
	"time"

	"snipehub.example/dispatch/pool"
	"snipehub.example/tables"
)

// usableRest is how long a server is left alone that the VM list calls leaving
// or that is held back after a move, before it is looked at again.
const usableRest = 200 * time.Millisecond

// place starts tasks while a connection, a task and a server with room are
// there.
func (p *Planner) place(now time.Time) {
	if !p.world.MayPlace {
		return
	}
	for p.busy < p.cfg.Connections && p.placeOne(now) {
	}
}

// placeOne serves the pools in turn.
func (p *Planner) placeOne(now time.Time) bool {
	for range p.queues {
		p.turn = (p.turn + 1) % len(p.queues)
		if p.placeFrom(now, p.queues[p.turn]) {
			return true
		}
	}
	return false
}

func (p *Planner) placeFrom(now time.Time, l *line) bool {
	servers := p.fleet.Pool(l.pool)
	if l.Len() == 0 || servers == nil {
		return false
	}
	w := p.top(l)
	if w == nil {
		return false
	}
	route, ok := p.world.Tables.Route(w.job.Kind)
	if !ok || route.Pool != l.pool {
		p.reroute(now, w)
		return true
	}
	if p.tooLate(now, w) {
		p.stop(w, "its deadline can't be met any more")
		return true
	}
	s := p.choose(now, servers)
	if s == nil {
		return false
	}
	p.start(now, w, s, route)
	return true
}

// top returns the work whose task goes next. When all job slots are taken it is
// one that has a slot, if any of those can go on; no connection stands idle for
// want of a slot.
func (p *Planner) top(l *line) *work {
	full := p.cfg.JobSlots > 0 && p.open >= p.cfg.JobSlots
	j := l.Top(full)
	if j == nil && full {
		j = l.Top(false)
	}
	if j == nil {
		return nil
	}
	return j.Owner.(*work)
}

// choose returns a server for the next task of the pool. A server that was set
// aside and is due for a probe goes first: with the others free, nothing else
// would ever bring it back.
func (p *Planner) choose(now time.Time, servers *pool.Pool) *pool.Server {
	if s := servers.Probe(); s != nil && p.world.Usable(s.Address) {
		return s
	}
	for servers.Free().Len() > 0 {
		s := p.cfg.Policy.Choose(servers.Free(), p.rnd).Server
		if p.world.Usable(s.Address) {
			return s
		}
		p.fleet.Rest(now, s, now.Add(usableRest))
	}
	return nil
}

func (p *Planner) start(now time.Time, w *work, s *pool.Server, r tables.Route) {
	f := &flight{w: w, server: s, started: now}
	attempt := p.take(f)
	task := f.task
	p.busy++
	p.fleet.Start(now, s)
	p.quota(w.team, 1)
	lease := p.cfg.TaskTimeout
	if r.Timeout > 0 {
		lease = r.Timeout
	}
	expires := now.Add(lease)
	if w.job.Expires.Before(expires) {
		expires = w.job.Expires
	}
	p.out.Starts = append(p.out.Starts, Start{
		Number:  p.number,
		Job:     w.job.ID,
		Task:    task,
		Attempt: attempt,
		Server:  s.Address,
		Expires: expires,
	})
}

// take moves the next task of a work from its queue into flight, and returns
// the number of the attempt.
func (p *Planner) take(f *flight) int {
	w := f.w
	f.task = w.pop()
	attempt := w.tried[f.task].number
	if attempt == 0 {
		p.budget.first()
	}
	w.line.Take(w.q, p.cost(w))
	p.slot(w, w.q.Waiting() > 0)
	p.waiting--
	p.number++
	p.flights[p.number] = f
	return attempt
}

// slot gives the work a job slot or takes it back.
func (p *Planner) slot(w *work, has bool) {
	switch {
	case has && !w.slot:
		p.open++
	case !has && w.slot:
		p.open--
	}
	w.slot = has
}

// pop takes the task of the work that goes next.
func (w *work) pop() int {
	if n := len(w.retries); n > 0 {
		task := w.retries[n-1]
		w.retries = w.retries[:n-1]
		return task
	}
	w.next++
	return w.next - 1
}

// cost is what a start charges its team and caller with, in seconds.
func (p *Planner) cost(w *work) float64 {
	if u := p.kind(w.job.Kind); u.Known() {
		return u.Mean().Seconds()
	}
	return unknownCost.Seconds()
}

// unknownCost stands for the service time of a kind of which nothing is known.
const unknownCost = 200 * time.Millisecond
