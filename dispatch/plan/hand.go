package plan

import (
	"time"

	"snipehub.example/delivery"
)

const (
	// maxHandoverTasks bounds the tasks of one handover.
	maxHandoverTasks = 256
	// maxHandoverTries is how often a task is handed over before it waits for a server of
	// this dispatcher.
	maxHandoverTries = 2
)

// peer is a dispatcher that may receive tasks.
type peer struct {
	Peer
	// credit is the estimate of the peer's free slots: the last report, less the tasks
	// handed over since.
	credit int
	listed bool
}

type peers struct {
	byName map[string]*peer
	list   []*peer
}

// SetPeers sets the dispatchers that may receive tasks.
func (p *Planner) SetPeers(listed []Peer) {
	ps := &p.peers
	if ps.byName == nil {
		ps.byName = make(map[string]*peer)
	}
	ps.list = ps.list[:0]
	for _, reported := range listed {
		pr := ps.byName[reported.Name]
		if pr == nil {
			pr = &peer{}
			ps.byName[reported.Name] = pr
		}
		if reported.Report != pr.Report || pr.Name == "" {
			pr.credit = reported.Free
		}
		pr.Peer = reported
		pr.listed = true
		ps.list = append(ps.list, pr)
	}
	for name, pr := range ps.byName {
		if !pr.listed {
			delete(ps.byName, name)
		}
		pr.listed = false
	}
}

// PeerReported records the free slots that a peer returned with an answer. Heartbeats
// alone are up to a second old, a time in which a peer can fill up several times.
func (p *Planner) PeerReported(name string, freeSlots int) {
	if pr := p.peers.byName[name]; pr != nil {
		pr.credit = freeSlots
	}
}

// anyIn reports whether there is a peer in one of the data centres.
func (ps *peers) anyIn(centers map[string]bool) bool {
	for _, pr := range ps.list {
		if centers[pr.DataCenter] {
			return true
		}
	}
	return false
}

// handOver hands over tasks that this dispatcher cannot start soon to peers with free
// slots.
func (p *Planner) handOver(now time.Time) {
	if p.waiting == 0 || !p.cluster.MayPlace || !p.cfg.Policy.HandsOver() {
		return
	}
	for _, pq := range p.poolQueues {
		for p.handOverFrom(now, pq) {
		}
	}
}

// handOverFrom hands over one batch and reports whether there was one.
func (p *Planner) handOverFrom(now time.Time, pq *poolQueue) bool {
	surplus := pq.Len() - p.startableSoon(pq)
	if surplus < p.cfg.MinHandoverTasks {
		return false
	}
	to := p.receiver(p.poolSummary(pq.pool).dataCenters)
	if to == nil {
		return false
	}
	h := Handover{Peer: to.Name}
	for n := min(surplus, max(to.credit/2, p.cfg.MinHandoverTasks), maxHandoverTasks); len(h.Items) < n; {
		js := p.topJob(pq)
		if js == nil || !p.mayHandOver(js) || p.tooLate(now, js) || !p.routedTo(js, pq) {
			break
		}
		at := &activeAttempt{js: js, peer: to, startedAt: now}
		attempt := p.takeTask(at)
		p.handedOver++
		to.credit--
		h.Items = append(h.Items, HandoverItem{p.attempts, js.job.ID, at.task, attempt, js.job.Expires})
	}
	if len(h.Items) == 0 {
		return false
	}
	p.actions.Handovers = append(p.actions.Handovers, h)
	return true
}

// mayHandOver reports whether the job's next task may be handed over.
func (p *Planner) mayHandOver(js *jobState) bool {
	if js.job.FromPeer {
		return false
	}
	n := len(js.retries)
	return n == 0 || js.tried[js.retries[n-1]].peers < maxHandoverTries
}

func (p *Planner) routedTo(js *jobState, pq *poolQueue) bool {
	r, ok := p.cluster.Tables.Route(js.job.Kind)
	return ok && r.Pool == pq.pool
}

// startableSoon returns how many tasks of the queue this dispatcher is expected to start
// itself within HandoverAfter.
func (p *Planner) startableSoon(pq *poolQueue) int {
	if p.fleet.Pool(pq.pool) == nil {
		return 0
	}
	longest := p.longestServiceTime()
	if longest == 0 {
		return 0
	}
	return int(float64(p.running) * float64(p.cfg.HandoverAfter) / float64(longest))
}

// receiver returns the better of two random peers with credit in the given data centres,
// preferring peers of this data centre. Taking the best one would send every dispatcher
// to the same peer, since all read the same reports.
func (p *Planner) receiver(centers map[string]bool) *peer {
	var near, far []*peer
	for _, pr := range p.peers.list {
		switch {
		case pr.credit < p.cfg.MinHandoverTasks || !centers[pr.DataCenter]:
		case pr.DataCenter == p.cfg.DataCenter:
			near = append(near, pr)
		default:
			far = append(far, pr)
		}
	}
	from := near
	if len(from) == 0 {
		from = far
	}
	if len(from) == 0 {
		return nil
	}
	a := from[p.rnd.IntN(len(from))]
	b := from[p.rnd.IntN(len(from))]
	if b.credit > a.credit {
		return b
	}
	return a
}

// handoverEnded handles a peer's outcome. A peer that refuses gets no more tasks until
// its next report.
func (p *Planner) handoverEnded(pr *peer, o delivery.Outcome) {
	p.handedOver--
	if o.Kind == delivery.NotRun {
		pr.credit = 0
	}
}
