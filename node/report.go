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
	// fullReportInterval is how often a holder sends the planner the list of all held
	// workers, in case the two have diverged.
	fullReportInterval = time.Second
	// describeInterval is how often the complete states, and all jobs, are sent. A session loses no
	// messages, and a new planner is sent everything at once, so this only repairs what
	// should not happen. Sent every second, they were a third of what a planner received.
	describeInterval = 5 * time.Second
	// reportsPerPlannerDelay is how many reports are sent in the time that the planner
	// takes to answer. More would carry little new information and fill the planner's
	// link: one report for each change took two fifths of it. A planner that answers in
	// 4 ms gets each change at once, since changes are further apart.
	reportsPerPlannerDelay = 4
)

// report sends the planner the states of workers that have changed and, at intervals, of
// all workers, and all jobs. It also removes the leases that are closed and notifies the owners of runs
// on these workers.
func (c *Core) report(now time.Time) {
	if c.planner == (mesh.ID{}) || now.Sub(c.reportedAt) < c.entry.PlannerDelay()/reportsPerPlannerDelay {
		return
	}
	r := &cell.Report{Full: now.Sub(c.fullReportAt) >= fullReportInterval}
	describe := c.fullReportAt.IsZero() || r.Full && now.Sub(c.describedAt) >= describeInterval
	if describe {
		r.AllJobs, r.Jobs = true, c.entry.OwnedJobs(now)
	}
	for _, id := range c.heldIDs() {
		wl := c.held[id]
		if s, ok := reportedState(now, wl, r.Full, describe); ok {
			r.States = append(r.States, s)
		}
		if wl.Closed() {
			event.HoldingEnded.Log(c.log, "worker", id, "why", wl.CloseReason(), "fence", uint64(wl.Fence()))
			c.dropHolding(id)
			for _, o := range wl.Owners() {
				c.send(now, o, Message{Unheld: &entry.Unheld{Worker: id}})
			}
		}
	}
	if r.Full {
		c.fullReportAt = now
	}
	if describe {
		c.describedAt = now
	}
	if r.Full || len(r.States) > 0 {
		c.reportedAt = now
		c.send(now, c.planner, Message{Report: r})
	}
}

// reportedState returns the state of a worker to report: complete if describe is set,
// otherwise what has changed. Unless full is set, it returns false if nothing has.
func reportedState(now time.Time, wl *lease.WorkerLease, full, describe bool) (lease.State, bool) {
	switch {
	case describe:
		return wl.State(now), true
	case full:
		return wl.Changes(now), true
	}
	return wl.Changed(now)
}
