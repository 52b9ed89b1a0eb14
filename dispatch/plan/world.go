package plan

import (
	"time"

	"snipehub.example/dispatch/queue"
)

// team is what the planner knows of a team with jobs here.
type team struct {
	name   string
	weight float64
	// part is how many of its tasks this dispatcher may run at once; 0 means
	// no limit.
	part int
	busy int
	jobs int
}

// SetWorld brings new tables, members or permissions into force.
func (p *Planner) SetWorld(now time.Time, w World) {
	changed := w.Tables != p.world.Tables
	p.world = w
	p.fleet.Apply(now, w.Tables, w.Members)
	for _, t := range p.teams {
		p.set(t)
		p.quota(t, 0)
	}
	if !changed {
		return
	}
	clear(p.reaches)
	for name := range p.kinds {
		if _, ok := w.Tables.Route(name); !ok {
			delete(p.kinds, name)
		}
	}
	p.drop()
}

// drop forgets the lines of pools that are no more.
func (p *Planner) drop() {
	kept := p.queues[:0]
	for _, l := range p.queues {
		if l.Len() > 0 || len(p.world.Tables.Servers(l.pool)) > 0 {
			kept = append(kept, l)
			continue
		}
		delete(p.byPool, l.pool)
	}
	clear(p.queues[len(kept):])
	p.queues = kept
}

func (p *Planner) line(name string) *line {
	l := p.byPool[name]
	if l == nil {
		l = &line{Queue: queue.New(ageingStep), pool: name}
		p.byPool[name] = l
		p.queues = append(p.queues, l)
	}
	return l
}

// reach is what the tables say of a pool over all data centres.
type reach struct {
	slots int
	// centers is the data centres in which it has usable servers.
	centers map[string]bool
}

// reach looks at a pool's servers once for each version of the tables; a look
// for each job would cost as much as the pool has servers.
func (p *Planner) reach(name string) reach {
	r, ok := p.reaches[name]
	if ok {
		return r
	}
	r.centers = make(map[string]bool)
	for _, s := range p.world.Tables.Servers(name) {
		r.slots += s.Slots
		if !s.Leaving {
			r.centers[s.DataCenter] = true
		}
	}
	p.reaches[name] = r
	return r
}

// usable tells whether any server of the pool may be used by this dispatcher,
// or by one to whom it can give work.
func (p *Planner) usable(name string) bool {
	r := p.reach(name)
	return r.centers[p.cfg.DataCenter] || p.cfg.Policy.HandsOver() && p.peers.any(r.centers)
}

// reroute moves what waits of the work to the pool that its kind goes to now.
func (p *Planner) reroute(now time.Time, w *work) {
	route, ok := p.world.Tables.Route(w.job.Kind)
	if !ok {
		p.stop(w, "its route was removed")
		return
	}
	n := w.line.Remove(w.q)
	opened := w.q.Opened()
	w.line = p.line(route.Pool)
	w.q = &queue.Job{Team: w.team.name, Caller: w.job.Caller, Weight: w.team.weight, Arrived: now, Owner: w}
	w.q.SetOpened(opened)
	w.line.Add(w.q, n)
	p.quota(w.team, 0)
}

// team finds the team of a job. A caller without a team is a team of its own.
func (p *Planner) team(j Job) *team {
	name := j.Team
	if name == "" {
		name = "\x00" + j.Caller
	}
	t := p.teams[name]
	if t == nil {
		t = &team{name: name}
		p.teams[name] = t
		p.set(t)
	}
	return t
}

func (p *Planner) set(t *team) {
	row, _ := p.world.Tables.Team(t.name)
	t.weight = row.Weight
	t.part = 0
	if row.Quota > 0 {
		t.part = max(row.Quota/max(p.world.Dispatchers, 1), 1)
	}
}

// forget drops a team that has nothing here any more.
func (p *Planner) forget(t *team) {
	if t.jobs == 0 && t.busy == 0 {
		delete(p.teams, t.name)
	}
}

// quota counts a start or an end of a team's task, and holds the team back
// while its part of the quota is used up.
func (p *Planner) quota(t *team, n int) {
	t.busy += n
	if n != 0 && t.part == 0 {
		return
	}
	full := t.part > 0 && t.busy >= t.part
	for _, l := range p.queues {
		if full {
			l.Park(t.name)
		} else {
			l.Unpark(t.name)
		}
	}
}

// Tick ends what has expired and lets time work on the rest. It is to be
// called several times a second.
func (p *Planner) Tick(now time.Time) {
	if p.last.IsZero() {
		p.last = now
	}
	p.budget.pass(now.Sub(p.last))
	p.last = now
	for len(p.expiry) > 0 && !now.Before(p.expiry[0].job.Expires) {
		w := p.expiry[0]
		p.expiry.remove(w)
		p.stop(w, "its time is over")
	}
	p.release()
	for _, l := range p.queues {
		l.drain.tick(now, l.Len() > 0)
	}
	p.fleet.Tick(now, p.longest())
}

// longest returns the longest usual service time of the kinds in use.
func (p *Planner) longest() time.Duration {
	var d time.Duration
	for _, u := range p.kinds {
		d = max(d, u.Mean())
	}
	return d
}

// Allow tells whether tasks may be started from now on.
func (p *Planner) Allow(ok bool) { p.world.MayPlace = ok }
