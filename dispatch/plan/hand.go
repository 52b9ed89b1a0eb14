package plan

import (
	"time"

	"snipehub.example/delivery"
)

const (
	// handTasks bounds one hand-over.
	handTasks = 256
	// handTries is how often a task is handed over; after that it waits here.
	handTries = 2
)

// peer is a dispatcher that may take tasks over.
type peer struct {
	Peer
	// credit is how many more tasks it should have room for: what it last
	// reported, less what was handed to it since, and more for what came back.
	credit int
	seen   bool
}

type peers struct {
	byName map[string]*peer
	list   []*peer
}

// SetPeers tells who may take tasks over now.
func (p *Planner) SetPeers(now []Peer) {
	ps := &p.peers
	if ps.byName == nil {
		ps.byName = make(map[string]*peer)
	}
	ps.list = ps.list[:0]
	for _, n := range now {
		e := ps.byName[n.Name]
		if e == nil {
			e = &peer{}
			ps.byName[n.Name] = e
		}
		if n.Report != e.Report || e.Name == "" {
			e.credit = n.Free
		}
		e.Peer = n
		e.seen = true
		ps.list = append(ps.list, e)
	}
	for name, e := range ps.byName {
		if !e.seen {
			delete(ps.byName, name)
		}
		e.seen = false
	}
}

// Reported takes the room that a peer tells with an answer. Heartbeats alone are
// up to a second old, in which a peer fills up several times.
func (p *Planner) Reported(name string, free int) {
	if e := p.peers.byName[name]; e != nil {
		e.credit = free
	}
}

// any tells whether there is a peer in one of the data centres.
func (ps *peers) any(centers map[string]bool) bool {
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
	if p.waiting == 0 || !p.world.MayPlace || !p.cfg.Policy.HandsOver() {
		return
	}
	for _, l := range p.queues {
		for p.handFrom(now, l) {
		}
	}
}

// handFrom hands one batch over and tells whether it did.
func (p *Planner) handFrom(now time.Time, l *line) bool {
	spare := l.Len() - p.soon(l)
	if spare < p.cfg.HandLeast {
		return false
	}
	to := p.receiver(p.reach(l.pool).centers)
	if to == nil {
		return false
	}
	h := Hand{Peer: to.Name}
	for n := min(spare, max(to.credit/2, p.cfg.HandLeast), handTasks); len(h.Items) < n; {
		w := p.top(l)
		if w == nil || !p.mayHand(w) || p.tooLate(now, w) || !p.routed(w, l) {
			break
		}
		f := &flight{w: w, peer: to, started: now}
		attempt := p.take(f)
		p.handed++
		to.credit--
		h.Items = append(h.Items, Item{p.number, w.job.ID, f.task, attempt, w.job.Expires})
	}
	if len(h.Items) == 0 {
		return false
	}
	p.out.Hands = append(p.out.Hands, h)
	return true
}

// mayHand tells whether the next task of the work may be handed over.
func (p *Planner) mayHand(w *work) bool {
	if w.job.Guest {
		return false
	}
	n := len(w.retries)
	return n == 0 || w.tried[w.retries[n-1]].peers < handTries
}

func (p *Planner) routed(w *work, l *line) bool {
	r, ok := p.world.Tables.Route(w.job.Kind)
	return ok && r.Pool == l.pool
}

// soon returns how many tasks of the queue this dispatcher will probably start
// itself before HandAfter is over.
func (p *Planner) soon(l *line) int {
	if p.fleet.Pool(l.pool) == nil {
		return 0
	}
	usual := p.longest()
	if usual == 0 {
		return 0
	}
	return int(float64(p.busy) * float64(p.cfg.HandAfter) / float64(usual))
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

// returned takes the answer of a peer into account. One that refuses is asked
// again only after its next report.
func (p *Planner) returned(e *peer, o delivery.Outcome) {
	p.handed--
	if o.Kind == delivery.NotRun {
		e.credit = 0
	}
}
