package model

import (
	"time"

	"snipehub.example/mesh"
	"snipehub.example/node"
)

// link is a session between two processes.
type link struct {
	session uint64
	a, b    *vm
	aBoots  uint64
	bBoots  uint64
	// quiet is since when nothing gets through, zero while messages do; stalled are those
	// that arrive if it goes on after all.
	quiet   time.Time
	stalled []func()
	// aLate and bLate tell that this side has been told so.
	aLate, bLate bool
	// aOver and bOver tell that the session is over for that side.
	aOver, bOver bool
}

// over tells whether the session is over for one side at least: what the other one still
// sends is lost.
func (l *link) over() bool { return l.aOver || l.bOver }

// deliver passes a message on when it arrives.
func (l *link) deliver(f func()) {
	switch {
	case l.over():
	case !l.quiet.IsZero():
		l.stalled = append(l.stalled, f)
	default:
		f()
	}
}

// ending is how processes come to notice that a session has ended.
type ending int

const (
	// reset: the connection is closed, and both sides notice at once.
	reset ending = iota + 1
	// silent: a side that watches the other one notices after a while, one that does not
	// much later, or when the other one connects anew. If neither has when messages get
	// through again, the session goes on.
	silent
)

func pair(a, b *vm) [2]int { return [2]int{min(a.index, b.index), max(a.index, b.index)} }

// reach tells whether packets get from one VM to another.
func (w *World) reach(a, b *vm) bool {
	return a.up && b.up && !a.frozen && !b.frozen && !a.cut && !b.cut && !w.severed(a.dc, b.dc)
}

// severed tells whether one of two data centres is cut off from the other.
func (w *World) severed(a, b string) bool { return a != b && (w.apart[a] || w.apart[b]) }

// meet begins a session between two processes that reach each other.
func (w *World) meet(a, b *vm) {
	k := pair(a, b)
	old := w.links[k]
	if old != nil && !old.over() || !w.reach(a, b) {
		return
	}
	if old != nil {
		w.tellDown(old)
	}
	w.last++
	l := &link{session: w.last, a: a, b: b, aBoots: a.boots, bBoots: b.boots}
	w.links[k] = l
	for _, e := range [][2]*vm{{a, b}, {b, a}} {
		self, other := e[0], e[1]
		m := other.core.Self()
		w.after(w.delay(a.dc, b.dc), func() {
			self.on(l, func(now time.Time) { self.core.MemberUp(now, m, l.session) })
		})
	}
}

// on has a process do something that belongs to a session, if neither the process
// nor the session has ended.
func (n *vm) on(l *link, f func(now time.Time)) {
	if l.a == n && l.aBoots != n.boots || l.b == n && l.bBoots != n.boots {
		return
	}
	n.do(f)
}

// part ends the session between two VMs, or has it fall silent.
func (w *World) part(a, b *vm, how ending) {
	l := w.links[pair(a, b)]
	if l == nil || l.over() {
		return
	}
	if l.quiet.IsZero() {
		l.quiet = w.now
	}
	if how == reset {
		w.after(resetAfter, func() { w.tellDown(l) })
		w.retry(a, b, resetAfter)
		return
	}
	w.listen(l)
	w.retry(a, b, downAfter)
}

// listen looks again and again whether a silent session is over for a side, or goes on.
func (w *World) listen(l *link) {
	w.after(listenEvery, func() {
		l.aOver = l.aOver || !l.a.up || l.a.boots != l.aBoots
		l.bOver = l.bOver || !l.b.up || l.b.boots != l.bBoots
		if !l.aOver && l.a.givesUp(lifeOf(l.b.index, l.bBoots), l.quiet) {
			l.tellA(w)
		}
		if !l.bOver && l.b.givesUp(lifeOf(l.a.index, l.aBoots), l.quiet) {
			l.tellB(w)
		}
		if !l.aLate && !l.aOver && l.a.waits(lifeOf(l.b.index, l.bBoots), l.quiet, mesh.HeartbeatOverdueAfter) {
			l.aLate = true
			l.a.on(l, func(now time.Time) { l.a.core.MemberOverdue(now, lifeOf(l.b.index, l.bBoots), l.session, l.quiet) })
		}
		if !l.bLate && !l.bOver && l.b.waits(lifeOf(l.a.index, l.aBoots), l.quiet, mesh.HeartbeatOverdueAfter) {
			l.bLate = true
			l.b.on(l, func(now time.Time) { l.b.core.MemberOverdue(now, lifeOf(l.a.index, l.aBoots), l.session, l.quiet) })
		}
		switch {
		case l.aOver && l.bOver:
		case !w.reach(l.a, l.b):
			w.listen(l)
		case l.over():
			w.tellDown(l)
		default:
			if l.aLate {
				l.a.on(l, func(time.Time) { l.a.core.MemberRecovered(l.b.id, l.session) })
			}
			if l.bLate {
				l.b.on(l, func(time.Time) { l.b.core.MemberRecovered(l.a.id, l.session) })
			}
			l.quiet, l.aLate, l.bLate = time.Time{}, false, false
			stalled := l.stalled
			l.stalled = nil
			for _, f := range stalled {
				f()
			}
		}
	})
}

// givesUp tells whether a process that last heard a member then takes it for lost now.
func (n *vm) givesUp(member mesh.ID, heard time.Time) bool {
	return !n.frozen && n.world.now.Sub(heard) > mesh.IdleSessionTimeout || n.waits(member, heard, downAfter)
}

// waits tells whether a process watches a member that has been silent for longer.
func (n *vm) waits(member mesh.ID, heard time.Time, longer time.Duration) bool {
	now := n.world.now
	since, ok := n.watched[member]
	return ok && !n.frozen && now.Sub(heard) > longer && now.Sub(since) > longer
}

// tellDown tells both sides that a session is over, if they don't know.
func (w *World) tellDown(l *link) {
	if !l.aOver {
		l.tellA(w)
	}
	if !l.bOver {
		l.tellB(w)
	}
}

func (l *link) tellA(w *World) {
	l.aOver = true
	w.sayDown(l, l.a, l.b.index, l.bBoots)
}

func (l *link) tellB(w *World) {
	l.bOver = true
	w.sayDown(l, l.b, l.a.index, l.aBoots)
}

// sayDown tells one side that the session with a life of the other one is over.
func (w *World) sayDown(l *link, self *vm, other int, boots uint64) {
	heard := l.quiet
	self.on(l, func(now time.Time) { self.core.MemberDown(now, lifeOf(other, boots), l.session, heard) })
}

// retry tries to begin a session again, as long as it takes.
func (w *World) retry(a, b *vm, after time.Duration) {
	w.after(after+meetFor, func() {
		if l := w.links[pair(a, b)]; l != nil && !l.over() && l.quiet.IsZero() {
			return
		}
		w.meet(a, b)
		w.retry(a, b, 250*time.Millisecond)
	})
}

func (w *World) node(id mesh.ID) *vm {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// send carries a message.
func (w *World) send(from *vm, to mesh.ID, m node.Message) {
	n := w.node(to)
	if n == nil {
		return
	}
	l := w.links[pair(from, n)]
	if l == nil || l.over() {
		return
	}
	id := from.id
	w.result.Messages++
	size := w.messageSize(m)
	w.after(w.pass(&from.out, size)+w.delay(from.dc, n.dc), func() {
		w.after(w.pass(&n.in, size), func() {
			l.deliver(func() {
				n.on(l, func(now time.Time) { n.core.Receive(now, id, l.session, []node.Message{m}) })
			})
		})
	})
}

// advertise tells all members what a process says of itself.
func (w *World) advertise(from *vm, m mesh.Member) {
	for _, n := range w.nodes {
		if n == from {
			continue
		}
		l := w.links[pair(from, n)]
		if l == nil || l.over() {
			continue
		}
		w.after(w.delay(from.dc, n.dc), func() {
			l.deliver(func() {
				n.on(l, func(now time.Time) { n.core.MemberChanged(now, m) })
			})
		})
	}
}
