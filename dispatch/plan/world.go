package plan

import (
	"time"

	"snipehub.example/dispatch/queue"
)

// team is the planner's state of a team that has jobs here.
type team struct {
	name   string
	weight float64
	// quotaShare is how many of the team's tasks this dispatcher may run at once; 0 means
	// no limit.
	quotaShare int
	running    int
	jobs       int
}

// SetCluster brings a new state of the cluster into force.
func (p *Planner) SetCluster(now time.Time, c Cluster) {
	changed := c.Tables != p.cluster.Tables
	p.cluster = c
	p.fleet.Apply(now, c.Tables, c.Members)
	for _, t := range p.teams {
		p.configureTeam(t)
		p.addRunning(t, 0)
	}
	if !changed {
		return
	}
	clear(p.poolSummaries)
	for name := range p.serviceTimes {
		if _, ok := c.Tables.Route(name); !ok {
			delete(p.serviceTimes, name)
		}
	}
	p.dropUnusedQueues()
}

// dropUnusedQueues drops the queues of pools that no longer exist.
func (p *Planner) dropUnusedQueues() {
	kept := p.poolQueues[:0]
	for _, pq := range p.poolQueues {
		if pq.Len() > 0 || len(p.cluster.Tables.Servers(pq.pool)) > 0 {
			kept = append(kept, pq)
			continue
		}
		delete(p.byPool, pq.pool)
	}
	clear(p.poolQueues[len(kept):])
	p.poolQueues = kept
}

func (p *Planner) poolQueue(name string) *poolQueue {
	pq := p.byPool[name]
	if pq == nil {
		pq = &poolQueue{Queue: queue.New(ageingStep), pool: name}
		p.byPool[name] = pq
		p.poolQueues = append(p.poolQueues, pq)
	}
	return pq
}

// poolSummary summarizes a pool over all data centres.
type poolSummary struct {
	// slots includes those of servers that are leaving.
	slots int
	// dataCenters is the set of data centres in which the pool has servers that are not
	// leaving.
	dataCenters map[string]bool
}

// poolSummary computes the summary once for each version of the tables: computing it for
// each job would cost time in proportion to the pool's servers.
func (p *Planner) poolSummary(name string) poolSummary {
	summary, ok := p.poolSummaries[name]
	if ok {
		return summary
	}
	summary.dataCenters = make(map[string]bool)
	for _, s := range p.cluster.Tables.Servers(name) {
		summary.slots += s.Slots
		if !s.Leaving {
			summary.dataCenters[s.DataCenter] = true
		}
	}
	p.poolSummaries[name] = summary
	return summary
}

// reachable reports whether this dispatcher, or a peer that it can hand work over to, may
// use any server of the pool.
func (p *Planner) reachable(name string) bool {
	summary := p.poolSummary(name)
	return summary.dataCenters[p.cfg.DataCenter] || p.cfg.Policy.HandsOver() && p.peers.anyIn(summary.dataCenters)
}

// reroute moves the job's waiting tasks to the pool of its kind's current route.
func (p *Planner) reroute(now time.Time, js *jobState) {
	route, ok := p.cluster.Tables.Route(js.job.Kind)
	if !ok {
		p.stop(js, "its route was removed")
		return
	}
	n := js.poolQueue.Remove(js.queueJob)
	started := js.queueJob.Started()
	js.poolQueue = p.poolQueue(route.Pool)
	js.queueJob = &queue.Job{Team: js.team.name, Caller: js.job.Caller, Weight: js.team.weight, Arrived: now, Data: js}
	js.queueJob.SetStarted(started)
	js.poolQueue.Add(js.queueJob, n)
	p.addRunning(js.team, 0)
}

// team returns the team of a job. A caller without a team is a team of its own.
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

// forgetIfIdle drops a team without jobs and running tasks.
func (p *Planner) forgetIfIdle(t *team) {
	if t.jobs == 0 && t.running == 0 {
		delete(p.teams, t.name)
	}
}

// addRunning adds n to the team's running tasks, and pauses the team in the queues
// while its share of the quota is used up. With n = 0 it only updates the pauses, after
// a change of the quota, of the queues or of the team's jobs.
func (p *Planner) addRunning(t *team, n int) {
	t.running += n
	if n != 0 && t.quotaShare == 0 {
		return
	}
	full := t.quotaShare > 0 && t.running >= t.quotaShare
	for _, pq := range p.poolQueues {
		if full {
			pq.Pause(t.name)
		} else {
			pq.Resume(t.name)
		}
	}
}

// Tick ends expired jobs and advances everything else that depends on time. The driver
// calls it several times a second.
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
	for _, pq := range p.poolQueues {
		pq.drainRate.tick(now, pq.Len() > 0)
	}
	p.fleet.Tick(now, p.longestServiceTime())
}

// longestServiceTime returns the longest mean service time of the kinds in use.
func (p *Planner) longestServiceTime() time.Duration {
	var d time.Duration
	for _, st := range p.serviceTimes {
		d = max(d, st.Mean())
	}
	return d
}

// SetMayPlace sets whether tasks may start from now on.
func (p *Planner) SetMayPlace(ok bool) { p.cluster.MayPlace = ok }
