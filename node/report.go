package node

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// reportEvery is how often a holder tells the planner which workers it holds, in case
	// the two have come to differ.
	reportEvery = time.Second
	// describeEvery is how often it tells all about them. Messages of a session are not
	// lost, and a new planner is told all at once, so this repairs what should not
	// happen; once a second it was a third of what a planner took in.
	describeEvery = 5 * time.Second
	// reportsADelay is how many reports are sent in the time that the planner takes to
	// answer. More of them tell it little that is newer and fill its link, of which
	// single reports were two fifths; a planner that answers in 4 ms is told each change
	// at once, since changes are further apart.
	reportsADelay = 4
)

// report tells the planner of the workers whose state has changed, and of all
// now and then.
func (c *Core) report(now time.Time) {
	if c.planner == (mesh.ID{}) || now.Sub(c.changed) < c.entry.PlannerDelay()/reportsADelay {
		return
	}
	r := &cell.Report{Whole: now.Sub(c.reported) >= reportEvery}
	describe := c.reported.IsZero() || r.Whole && now.Sub(c.described) >= describeEvery
	for _, id := range c.heldIDs() {
		b := c.held[id]
		if s, ok := stateOf(now, b, r.Whole, describe); ok {
			r.States = append(r.States, s)
		}
		if b.Closed() {
			event.DutyLeft.Log(c.log, "worker", id, "why", b.Why(), "fence", uint64(b.Fence()))
			c.leave(id)
			for _, o := range b.Owners() {
				c.send(now, o, Mail{Unheld: &entry.Unheld{Worker: id}})
			}
		}
	}
	if r.Whole {
		c.reported = now
	}
	if describe {
		c.described = now
	}
	if r.Whole || len(r.States) > 0 {
		c.changed = now
		c.send(now, c.planner, Mail{Report: r})
	}
}

// stateOf returns what to tell of a worker: all, what has changed and that it is held, or
// what has changed if anything has.
func stateOf(now time.Time, b *lease.Book, whole, describe bool) (lease.State, bool) {
	switch {
	case describe:
		return b.State(now), true
	case whole:
		return b.Part(now), true
	}
	return b.Changed(now)
}
