package plan

import (
	"time"

	"snipehub.example/dispatch/queue"
)

// team is what the planner knows of a team with jobs here.
type team struct {
	name   string
	weight float64
	// quotaShare is how many of its tasks this dispatcher may run at once; 0 means
	// no limit.
	quotaShare int
	running    int
	jobs       int
}

// SetCluster brings new tables, members or permissions into force.
func (p *Planner) SetCluster(now time.Time, w Cluster) {
	changed := w.Tables != p.cluster.Tables
	p.cluster = w
	p.fleet.Apply(now, w.Tables, w.Members)
	for _, t := range p.teams {
		p.configureTeam(t)
		p.countRunning(t, 0)
	}
	if !changed {
		return
	}
	clear(p.poolSummaries)
	for name := range p.serviceTimes {
		if _, ok := w.Tables.Route(name); !ok {
			delete(p.serviceTimes, name)
		}
	}
	p.dropUnusedQueues()
}

// dropUnusedQueues forgets the lines of pools that are no more.
func (p *Planner) dropUnusedQueues() {
	kept := p.poolQueues[:0]
	for _, l := range p.poolQueues {
		if l.Len() > 0 || len(p.cluster.Tables.Servers(l.pool)) > 0 {
			kept = append(kept, l)
			continue
		}
		delete(p.byPool, l.pool)
	}
	clear(p.poolQueues[len(kept):])
	p.poolQueues = kept
}

func (p *Planner) poolQueue(name string) *poolQueue {
	l := p.byPool[name]
	if l == nil {
		l = &poolQueue{Queue: queue.New(ageingStep), pool: name}
		p.byPool[name] = l
		p.poolQueues = append(p.poolQueues, l)
	}
	return l
}

// poolSummary is what the tables say of a pool over all data centres.
type poolSummary struct {
	slots int
	// dataCenters is the data centres in which it has usable servers.
	dataCenters map[string]bool
}

// poolSummary looks at a pool's servers once for each version of the tables; a look
// for each job would cost as much as the pool has servers.
func (p *Planner) poolSummary(name string) poolSummary {
	r, ok := p.poolSummaries[name]
	if ok {
		return r
	}
	r.dataCenters = make(map[string]bool)
	for _, s := range p.cluster.Tables.Servers(name) {
		r.slots += s.Slots
		if !s.Leaving {
			r.dataCenters[s.DataCenter] = true
		}
	}
	p.poolSummaries[name] = r
	return r
}

// reachable tells whether any server of the pool may be used by this dispatcher,
// or by one to whom it can give work.
func (p *Planner) reachable(name string) bool {
	r := p.poolSummary(name)
	return r.dataCenters[p.cfg.DataCenter] || p.cfg.Policy.HandsOver() && p.peers.anyIn(r.dataCenters)
}

// reroute moves what waits of the work to the pool that its kind goes to now.
func (p *Planner) reroute(now time.Time, js *jobState) {
	route, ok := p.cluster.Tables.Route(js.job.Kind)
	if !ok {
		p.stop(js, "its route was removed")
		return
	}
	n := js.poolQueue.Remove(js.queueJob)
	opened := js.queueJob.Started()
	js.poolQueue = p.poolQueue(route.Pool)
	js.queueJob = &queue.Job{Team: js.team.name, Caller: js.job.Caller, Weight: js.team.weight, Arrived: now, Owner: js}
	js.queueJob.SetStarted(opened)
	js.poolQueue.Add(js.queueJob, n)
	p.countRunning(js.team, 0)
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
		p.configureTeam(t)
	}
	return t
}

func (p *Planner) configureTeam(t *team) {
	row, _ := p.cluster.Tables.Team(t.name)
	t.weight = row.Weight
	t.quotaShare = 0
	if row.Quota > 0 {
		t.quotaShare = max(row.Quota/max(p.cluster.Dispatchers, 1), 1)
	}
}

// forgetIfIdle drops a team that has nothing here any more.
func (p *Planner) forgetIfIdle(t *team) {
	if t.jobs == 0 && t.running == 0 {
		delete(p.teams, t.name)
	}
}

// countRunning counts a start or an end of a team's task, and holds the team back
// while its part of the countRunning is used up.
func (p *Planner) countRunning(t *team, n int) {
	t.running += n
	if n != 0 && t.quotaShare == 0 {
		return
	}
	full := t.quotaShare > 0 && t.running >= t.quotaShare
	for _, l := range p.poolQueues {
		if full {
			l.Pause(t.name)
		} else {
			l.Resume(t.name)
		}
	}
}

// Tick ends what has expired and lets time work on the rest. It is to be
// called several times a second.
func (p *Planner) Tick(now time.Time) {
	if p.lastTick.IsZero() {
		p.lastTick = now
	}
	p.retryBudget.refill(now.Sub(p.lastTick))
	p.lastTick = now
	for len(p.expiry) > 0 && !now.Before(p.expiry[0].job.Expires) {
		js := p.expiry[0]
		p.expiry.remove(js)
		p.stop(js, "its time is over")
	}
	p.releaseRetries()
	for _, l := range p.poolQueues {
		l.drainRate.tick(now, l.Len() > 0)
	}
	p.fleet.Tick(now, p.longest())
}

// longest returns the longest usual service time of the kinds in use.
func (p *Planner) longest() time.Duration {
	var d time.Duration
	for _, u := range p.serviceTimes {
		d = max(d, u.Mean())
	}
	return d
}

// SetMayPlace tells whether tasks may be started from now on.
func (p *Planner) SetMayPlace(ok bool) { p.cluster.MayPlace = ok }
