package plan

import (
	"time"

	"snipehub.example/delivery"
)

const (
	// maxHandoverTasks bounds one hand-over.
	maxHandoverTasks = 256
	// maxHandoverTries is how often a task is handed over; after that it waits here.
	maxHandoverTries = 2
)

// peer is a dispatcher that may take tasks over.
type peer struct {
	Peer
	// credit is how many more tasks it should have room for: what it last
	// reported, less what was handed to it since, and more for what came back.
	credit int
	listed bool
}

type peers struct {
	byName map[string]*peer
	list   []*peer
}

// SetPeers tells who may take tasks over now.
func (p *Planner) SetPeers(listed []Peer) {
	ps := &p.peers
	if ps.byName == nil {
		ps.byName = make(map[string]*peer)
	}
	ps.list = ps.list[:0]
	for _, n := range listed {
		e := ps.byName[n.Name]
		if e == nil {
			e = &peer{}
			ps.byName[n.Name] = e
		}
		if n.Report != e.Report || e.Name == "" {
			e.credit = n.Free
		}
		e.Peer = n
		e.listed = true
		ps.list = append(ps.list, e)
	}
	for name, e := range ps.byName {
		if !e.listed {
			delete(ps.byName, name)
		}
		e.listed = false
	}
}

// PeerReported takes the room that a peer tells with an answer. Heartbeats alone are
// up to a second old, in which a peer fills up several times.
func (p *Planner) PeerReported(name string, freeSlots int) {
	if e := p.peers.byName[name]; e != nil {
		e.credit = freeSlots
	}
}

// anyIn tells whether there is a peer in one of the data centres.
func (ps *peers) anyIn(centers map[string]bool) bool {
	for _, e := range ps.list {
		if centers[e.DataCenter] {
			return true
		}
	}
	return false
}

// handOver gives the tasks that this dispatcher can't start soon to peers that
// report room.
func (p *Planner) handOver(now time.Time) {
	if p.waiting == 0 || !p.cluster.MayPlace || !p.cfg.Policy.HandsOver() {
		return
	}
	for _, l := range p.poolQueues {
		for p.handOverFrom(now, l) {
		}
	}
}

// handOverFrom hands one batch over and tells whether it did.
func (p *Planner) handOverFrom(now time.Time, l *poolQueue) bool {
	surplus := l.Len() - p.startableSoon(l)
	if surplus < p.cfg.HandLeast {
		return false
	}
	to := p.receiver(p.poolSummary(l.pool).dataCenters)
	if to == nil {
		return false
	}
	h := Handover{Peer: to.Name}
	for n := min(surplus, max(to.credit/2, p.cfg.HandLeast), maxHandoverTasks); len(h.Items) < n; {
		js := p.topJob(l)
		if js == nil || !p.mayHandOver(js) || p.tooLate(now, js) || !p.routedTo(js, l) {
			break
		}
		f := &activeAttempt{js: js, peer: to, startedAt: now}
		attempt := p.takeTask(f)
		p.handedOver++
		to.credit--
		h.Items = append(h.Items, HandoverItem{p.attempts, js.job.ID, f.task, attempt, js.job.Expires})
	}
	if len(h.Items) == 0 {
		return false
	}
	p.actions.Handovers = append(p.actions.Handovers, h)
	return true
}

// mayHandOver tells whether the next task of the work may be handed over.
func (p *Planner) mayHandOver(js *jobState) bool {
	if js.job.FromPeer {
		return false
	}
	n := len(js.retries)
	return n == 0 || js.tried[js.retries[n-1]].peers < maxHandoverTries
}

func (p *Planner) routedTo(js *jobState, l *poolQueue) bool {
	r, ok := p.cluster.Tables.Route(js.job.Kind)
	return ok && r.Pool == l.pool
}

// startableSoon returns how many tasks of the queue this dispatcher will probably start
// itself before HandAfter is over.
func (p *Planner) startableSoon(l *poolQueue) int {
	if p.fleet.Pool(l.pool) == nil {
		return 0
	}
	usual := p.longest()
	if usual == 0 {
		return 0
	}
	return int(float64(p.running) * float64(p.cfg.HandAfter) / float64(usual))
}

// receiver returns the better of two peers with room in the data centres
// given, one of this data centre if there is any. Two choices and not the best:
// everybody reads the same reports, and all would turn to the same peer.
func (p *Planner) receiver(centers map[string]bool) *peer {
	var near, far []*peer
	for _, e := range p.peers.list {
		switch {
		case e.credit < p.cfg.HandLeast || !centers[e.DataCenter]:
		case e.DataCenter == p.cfg.DataCenter:
			near = append(near, e)
		default:
			far = append(far, e)
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

// handoverEnded takes the answer of a peer into account. One that refuses is asked
// again only after its next report.
func (p *Planner) handoverEnded(e *peer, o delivery.Outcome) {
	p.handedOver--
	if o.Kind == delivery.NotRun {
		e.credit = 0
	}
}
