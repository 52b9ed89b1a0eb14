package node

import (
	"time"

	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// visitTimeout is how long a message waits for the session that is opened for it: some
	// round trips, and the greeting on a busy VM.
	visitTimeout = 300 * time.Millisecond
	// visitRetention is how long the session of a visit is kept after its last use.
	visitRetention = 5 * time.Second
	// maxVisitMessages bounds the messages that wait for one session.
	maxVisitMessages = 1024
)

// visit is a session with a process of another cell while jobs here depend on it.
type visit struct {
	usedAt time.Time
	// openedAt is when the session was requested; messages wait for it.
	openedAt time.Time
	messages []Message
}

// needsVisit reports whether a message must wait until a session with a process of another
// cell has been opened: it is the first about a job.
func (c *Core) needsVisit(to mesh.ID, m Message) bool {
	if m.Request == nil && m.Start == nil || !c.layout.divided {
		return false
	}
	_, connected := c.members[to]
	return !connected && !c.inOwnCell(to)
}

// visit has a session opened with a process of another cell, and sends the message over it.
func (c *Core) visit(now time.Time, to mesh.ID, m Message) {
	v := c.visits[to]
	if v == nil && len(c.members)+len(c.visits) >= maxSessions || v != nil && len(v.messages) >= maxVisitMessages {
		c.noteUnreachable(now, to)
		c.entry.SetOtherPlanners(c.otherPlanners())
		c.visitFailed(now, to, []Message{m})
		return
	}
	if v == nil {
		v = &visit{}
		c.visits[to] = v
		c.updatePeers()
	}
	if len(v.messages) == 0 {
		v.openedAt = now
	}
	v.usedAt = now
	v.messages = append(v.messages, m)
}

// visitFailed has the runs of unsent starts placed again, and asks this cell's planner again
// for jobs whose request was not sent.
func (c *Core) visitFailed(now time.Time, to mesh.ID, unsent []Message) {
	event.VisitFailed.Log(c.log, "member", to, "messages", len(unsent))
	for _, m := range unsent {
		if m.Start == nil {
			continue
		}
		for _, r := range m.Start.Runs {
			end := lease.End{Run: r.Run, Outcome: lease.NeverStarted, Why: lease.NotHeld}
			c.entry.Ended(now, to, entry.Ended{Worker: r.Worker, End: end})
		}
	}
	c.entry.HolderUnreachable(now, to)
}

// sendWaiting sends the messages that have waited for a session that has begun now.
func (c *Core) sendWaiting(now time.Time, to mesh.ID) {
	if v := c.visits[to]; v != nil {
		messages := v.messages
		v.messages, v.usedAt = nil, now
		for _, m := range messages {
			c.send(now, to, m)
		}
	}
}

// updateVisits gives up visits whose session has not begun in time, and ends those that
// nothing depends on any more.
func (c *Core) updateVisits(now time.Time) {
	for a, since := range c.unreachable {
		if now.Sub(since) > unreachableRetention {
			delete(c.unreachable, a)
		}
	}
	if len(c.visits) == 0 {
		return
	}
	needed := c.entry.Dependencies()
	for _, id := range sortedIDs(c.visits) {
		v := c.visits[id]
		_, needs := needed[id]
		switch {
		case len(v.messages) > 0 && now.Sub(v.openedAt) > visitTimeout:
			messages := v.messages
			delete(c.visits, id)
			c.noteUnreachable(now, id)
			c.elect(now)
			c.visitFailed(now, id, messages)
		case len(v.messages) == 0 && !needs && now.Sub(v.usedAt) > visitRetention:
			delete(c.visits, id)
		}
	}
	c.updatePeers()
}
