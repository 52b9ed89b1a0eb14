package node

import (
	"time"

	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// openTimeout is how long a message waits for the session that is opened for it: some
	// round trips, and the greeting on a busy VM.
	openTimeout = 300 * time.Millisecond
	// onDemandRetention is how long such a session is kept after its last use.
	onDemandRetention = 5 * time.Second
	// maxWaitingMessages bounds the messages that wait for one session.
	maxWaitingMessages = 1024
)

// onDemandSession is a session with a process of another cell while jobs here depend on it.
type onDemandSession struct {
	usedAt time.Time
	// openedAt is when the session was requested; messages wait for it.
	openedAt time.Time
	messages []Message
}

// needsSession reports whether a message must wait until a session with a process of another
// cell has been opened: it is the first about a job.
func (c *Core) needsSession(to mesh.ID, m Message) bool {
	if m.Request == nil && m.Start == nil && m.JobQuery == nil || !c.layout.divided {
		return false
	}
	_, connected := c.members[to]
	return !connected && !c.inOwnCell(to)
}

// openFor has a session opened with a process of another cell, and sends the message over it.
func (c *Core) openFor(now time.Time, to mesh.ID, m Message) {
	s := c.onDemand[to]
	if s == nil && len(c.members)+len(c.onDemand) >= maxSessions || s != nil && len(s.messages) >= maxWaitingMessages {
		c.noteUnreachable(now, to)
		c.entry.SetOtherPlanners(c.otherPlanners())
		c.openFailed(now, to, []Message{m})
		return
	}
	if s == nil {
		s = &onDemandSession{}
		c.onDemand[to] = s
		c.updatePeers()
	}
	if len(s.messages) == 0 {
		s.openedAt = now
	}
	s.usedAt = now
	s.messages = append(s.messages, m)
}

// openFailed has the runs of unsent starts placed again, and asks this cell's planner again
// for jobs whose request was not sent. Lookups go on without the process.
func (c *Core) openFailed(now time.Time, to mesh.ID, unsent []Message) {
	event.SessionNotOpened.Log(c.log, "member", to, "messages", len(unsent))
	for _, m := range unsent {
		switch {
		case m.Start != nil:
			for _, r := range m.Start.Runs {
				end := lease.End{Run: r.Run, Outcome: lease.NeverStarted, Why: lease.NotHeld}
				c.entry.Ended(now, to, entry.Ended{Worker: r.Worker, End: end})
			}
		case m.JobQuery != nil:
			c.handleJobReply(now, to, JobReply{Lookup: m.JobQuery.Lookup})
		}
	}
	c.entry.HolderUnreachable(now, to)
}

// sendWaiting sends the messages that have waited for a session that has begun now.
func (c *Core) sendWaiting(now time.Time, to mesh.ID) {
	if s := c.onDemand[to]; s != nil {
		messages := s.messages
		s.messages, s.usedAt = nil, now
		for _, m := range messages {
			c.send(now, to, m)
		}
	}
}

// updateOnDemand gives up sessions that have not begun in time, and those that nothing depends
// on any more.
func (c *Core) updateOnDemand(now time.Time) {
	for a, since := range c.unreachable {
		if now.Sub(since) > unreachableRetention {
			delete(c.unreachable, a)
		}
	}
	if len(c.onDemand) == 0 {
		return
	}
	needed := c.entry.Dependencies()
	for _, id := range sortedIDs(c.onDemand) {
		s := c.onDemand[id]
		_, needs := needed[id]
		switch {
		case len(s.messages) > 0 && now.Sub(s.openedAt) > openTimeout:
			messages := s.messages
			delete(c.onDemand, id)
			c.noteUnreachable(now, id)
			c.elect(now)
			c.openFailed(now, id, messages)
		case len(s.messages) == 0 && !needs && now.Sub(s.usedAt) > onDemandRetention:
			delete(c.onDemand, id)
		}
	}
	c.updatePeers()
}
