package model

import (
	"time"

	"snipehub.example/mesh"
	"snipehub.example/node"
)

// session is a session between the processes a and b.
type session struct {
	number uint64
	a, b   *vm
	// aBoots and bBoots identify the incarnations of the processes.
	aBoots uint64
	bBoots uint64
	// silentSince is when messages stopped getting through, zero while they do. undelivered
	// holds the messages that are delivered if the session recovers.
	silentSince time.Time
	undelivered []func()
	// aOverdue and bOverdue are set once that side was notified of the other's overdue heartbeat.
	aOverdue, bOverdue bool
	// aEnded and bEnded are set once the session has ended for that side.
	aEnded, bEnded bool
}

// ended reports whether the session has ended for at least one side. What the other side still
// sends is lost.
func (l *session) ended() bool { return l.aEnded || l.bEnded }

// deliver handles the arrival of a message: it runs f, keeps f while the session is silent, or
// drops it if the session has ended.
func (l *session) deliver(f func()) {
	switch {
	case l.ended():
	case !l.silentSince.IsZero():
		l.undelivered = append(l.undelivered, f)
	default:
		f()
	}
}

// endMode is how processes notice the end of a session.
type endMode int

const (
	// reset: the connection is closed, and both sides notice after resetDelay.
	reset endMode = iota + 1
	// silent: a side that watches the other one notices after watchedSessionTimeout, one that
	// does not after the much longer mesh.IdleSessionTimeout or when the other one reconnects.
	// If neither has noticed when messages get through again, the session goes on.
	silent
)

func sessionKey(a, b *vm) [2]int { return [2]int{min(a.index, b.index), max(a.index, b.index)} }

// canReach reports whether packets get from one VM to another.
func (w *World) canReach(a, b *vm) bool {
	return a.up && b.up && !a.suspended && !b.suspended && !a.isolated && !b.isolated && !w.partitioned(a.dc, b.dc)
}

// partitioned reports whether two data centres are cut off from each other.
func (w *World) partitioned(a, b string) bool {
	return a != b && (w.isolatedDCs[a] || w.isolatedDCs[b])
}

// connect begins a session between two processes that can reach each other and have none.
func (w *World) connect(a, b *vm) {
	k := sessionKey(a, b)
	old := w.sessions[k]
	if old != nil && !old.ended() || !w.canReach(a, b) {
		return
	}
	if old != nil {
		w.endSession(old)
	}
	w.lastSession++
	l := &session{number: w.lastSession, a: a, b: b, aBoots: a.boots, bBoots: b.boots}
	w.sessions[k] = l
	for _, e := range [][2]*vm{{a, b}, {b, a}} {
		self, other := e[0], e[1]
		m := other.core.Self()
		w.after(w.delay(a.dc, b.dc), func() {
			self.on(l, func(now time.Time) { self.core.MemberUp(now, m, l.number) })
		})
	}
}

// on runs f in a process on behalf of a session, unless the process was restarted since the
// session began.
func (n *vm) on(l *session, f func(now time.Time)) {
	if l.a == n && l.aBoots != n.boots || l.b == n && l.bBoots != n.boots {
		return
	}
	n.do(f)
}

// disconnect ends the session between two VMs, or makes it fall silent.
func (w *World) disconnect(a, b *vm, how endMode) {
	l := w.sessions[sessionKey(a, b)]
	if l == nil || l.ended() {
		return
	}
	if l.silentSince.IsZero() {
		l.silentSince = w.now
	}
	if how == reset {
		w.after(resetDelay, func() { w.endSession(l) })
		w.reconnect(a, b, resetDelay)
		return
	}
	w.pollSilence(l)
	w.reconnect(a, b, watchedSessionTimeout)
}

// pollSilence checks repeatedly whether a silent session has ended for a side, has an overdue
// heartbeat, or recovers.
func (w *World) pollSilence(l *session) {
	w.after(silencePollInterval, func() {
		l.aEnded = l.aEnded || !l.a.up || l.a.boots != l.aBoots
		l.bEnded = l.bEnded || !l.b.up || l.b.boots != l.bBoots
		if !l.aEnded && l.a.timesOut(memberID(l.b.index, l.bBoots), l.silentSince) {
			l.endA(w)
		}
		if !l.bEnded && l.b.timesOut(memberID(l.a.index, l.aBoots), l.silentSince) {
			l.endB(w)
		}
		if !l.aOverdue && !l.aEnded && l.a.watchesSilent(memberID(l.b.index, l.bBoots), l.silentSince, mesh.HeartbeatOverdueAfter) {
			l.aOverdue = true
			l.a.on(l, func(now time.Time) {
				l.a.core.MemberOverdue(now, memberID(l.b.index, l.bBoots), l.number, l.silentSince)
			})
		}
		if !l.bOverdue && !l.bEnded && l.b.watchesSilent(memberID(l.a.index, l.aBoots), l.silentSince, mesh.HeartbeatOverdueAfter) {
			l.bOverdue = true
			l.b.on(l, func(now time.Time) {
				l.b.core.MemberOverdue(now, memberID(l.a.index, l.aBoots), l.number, l.silentSince)
			})
		}
		switch {
		case l.aEnded && l.bEnded:
		case !w.canReach(l.a, l.b):
			w.pollSilence(l)
		case l.ended():
			w.endSession(l)
		default:
			if l.aOverdue {
				l.a.on(l, func(time.Time) { l.a.core.MemberRecovered(l.b.id, l.number) })
			}
			if l.bOverdue {
				l.b.on(l, func(time.Time) { l.b.core.MemberRecovered(l.a.id, l.number) })
			}
			l.silentSince, l.aOverdue, l.bOverdue = time.Time{}, false, false
			undelivered := l.undelivered
			l.undelivered = nil
			for _, f := range undelivered {
				f()
			}
		}
	})
}

// timesOut reports whether a process now considers a member lost that it last heard at lastHeard.
func (n *vm) timesOut(member mesh.ID, lastHeard time.Time) bool {
	return !n.suspended && n.world.now.Sub(lastHeard) > mesh.IdleSessionTimeout || n.watchesSilent(member, lastHeard, watchedSessionTimeout)
}

// watchesSilent reports whether a process has watched a member for longer than limit and the
// member has been silent for as long.
func (n *vm) watchesSilent(member mesh.ID, lastHeard time.Time, limit time.Duration) bool {
	now := n.world.now
	since, ok := n.watchedSince[member]
	return ok && !n.suspended && now.Sub(lastHeard) > limit && now.Sub(since) > limit
}

// endSession ends a session for both sides, unless it has ended for them.
func (w *World) endSession(l *session) {
	if !l.aEnded {
		l.endA(w)
	}
	if !l.bEnded {
		l.endB(w)
	}
}

func (l *session) endA(w *World) {
	l.aEnded = true
	w.notifyDown(l, l.a, l.b.index, l.bBoots)
}

func (l *session) endB(w *World) {
	l.bEnded = true
	w.notifyDown(l, l.b, l.a.index, l.aBoots)
}

// notifyDown notifies one side that its session with an incarnation of the other one has ended.
func (w *World) notifyDown(l *session, self *vm, other int, boots uint64) {
	lastHeard := l.silentSince
	self.on(l, func(now time.Time) { self.core.MemberDown(now, memberID(other, boots), l.number, lastHeard) })
}

// reconnect tries to begin a session again until one is up.
func (w *World) reconnect(a, b *vm, after time.Duration) {
	w.after(after+minConnectTime, func() {
		if l := w.sessions[sessionKey(a, b)]; l != nil && !l.ended() && l.silentSince.IsZero() {
			return
		}
		w.connect(a, b)
		w.reconnect(a, b, 250*time.Millisecond)
	})
}

func (w *World) vmByID(id mesh.ID) *vm {
	for _, n := range w.vms {
		if n.id == id {
			return n
		}
	}
	return nil
}

// send transmits a message to a member.
func (w *World) send(from *vm, to mesh.ID, m node.Message) {
	n := w.vmByID(to)
	if n == nil {
		return
	}
	l := w.sessions[sessionKey(from, n)]
	if l == nil || l.ended() {
		return
	}
	id := from.id
	w.result.Messages++
	size := w.messageSize(m)
	w.after(w.transmit(&from.out, size)+w.delay(from.dc, n.dc), func() {
		w.after(w.transmit(&n.in, size), func() {
			l.deliver(func() {
				n.on(l, func(now time.Time) { n.core.Receive(now, id, l.number, []node.Message{m}) })
			})
		})
	})
}

// advertise sends the advertised state of a process to all members.
func (w *World) advertise(from *vm, m mesh.Member) {
	for _, n := range w.vms {
		if n == from {
			continue
		}
		l := w.sessions[sessionKey(from, n)]
		if l == nil || l.ended() {
			continue
		}
		w.after(w.delay(from.dc, n.dc), func() {
			l.deliver(func() {
				n.on(l, func(now time.Time) { n.core.MemberChanged(now, m) })
			})
		})
	}
}
