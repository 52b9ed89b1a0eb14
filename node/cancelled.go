package node

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// A copy of a request can arrive seconds after the job was cancelled, at any process, and must not
// run. The process that acknowledges a cancel tells the planner, and the planner its deputies, so
// that the loss of one process does not matter. All of them remember the job, and so does the process
// that had it. The planner gives it no workers, whichever process asks, and a new planner is told by
// all processes what they remember.
const (
	// cancelRetention is how long a cancelled job is remembered: as long as callers may ask for
	// the state of a job.
	cancelRetention = 2 * time.Minute
	// maxCancelledJobs bounds the cancelled jobs that are remembered, which take some 120 bytes
	// each. Beyond it the oldest are forgotten.
	maxCancelledJobs = 50_000
)

// CancelledJobs tells a process of jobs whose cancel was acknowledged.
type CancelledJobs struct {
	Jobs []CancelledJob `cbor:"1,keyasint,omitzero"`
	// Scope is which planners the recipient passes the jobs on to, as for a JobQuery.
	Scope lookupScope `cbor:"2,keyasint,omitzero"`
}

// CancelledJob is a job, and the time since its cancel was acknowledged.
type CancelledJob struct {
	Job string        `cbor:"1,keyasint,omitzero"`
	Age time.Duration `cbor:"2,keyasint,omitzero"`
}

// cancelledJobs is what a process remembers of cancelled jobs.
type cancelledJobs struct {
	at map[string]time.Time
	// order is the jobs in the order in which they became known.
	order []string
	// fullAt is when the last event of forgotten jobs was logged.
	fullAt time.Time
}

// add remembers a job that was cancelled at a time, and reports whether that is news.
func (s *cancelledJobs) add(job string, at time.Time) bool {
	if _, known := s.at[job]; known {
		return false
	}
	if s.at == nil {
		s.at = make(map[string]time.Time)
	}
	s.at[job] = at
	s.order = append(s.order, job)
	return true
}

// has reports whether a job was cancelled.
func (s *cancelledJobs) has(now time.Time, job string) bool {
	at, ok := s.at[job]
	return ok && now.Sub(at) < cancelRetention
}

// expire forgets the jobs that were cancelled long ago, and the oldest ones if there are too many. It
// returns how many of these it forgot.
func (s *cancelledJobs) expire(now time.Time) (early int) {
	n := 0
	for _, job := range s.order {
		expired := !s.has(now, job)
		if !expired && len(s.order)-n <= maxCancelledJobs {
			break
		}
		if !expired {
			early++
		}
		delete(s.at, job)
		n++
	}
	s.order = s.order[n:]
	return early
}

// all returns the jobs for another process.
func (s *cancelledJobs) all(now time.Time) []CancelledJob {
	var jobs []CancelledJob
	for _, job := range s.order {
		if s.has(now, job) {
			jobs = append(jobs, CancelledJob{job, now.Sub(s.at[job])})
		}
	}
	return jobs
}

// Submit accepts a job of a caller, unless it was cancelled before.
func (c *Core) Submit(now time.Time, w entry.Waiter, r entry.Request) {
	if c.cancelled.has(now, r.ID) && c.entry.State(r.ID).Knowledge != entry.Present {
		c.entry.AnswerCancelled(w, r)
		return
	}
	c.entry.Submit(now, w, r)
}

// cancelAcknowledged records that a caller is told that a job is cancelled, and tells those who
// decide whether a copy of the request runs.
func (c *Core) cancelAcknowledged(now time.Time, job string) {
	recipients := c.lookupQueries(&lookup{scope: inDeployment})
	for _, id := range sortedIDs(recipients) {
		c.send(now, id, Message{Cancelled: &CancelledJobs{[]CancelledJob{{Job: job}}, recipients[id]}})
	}
	c.cancelled.add(job, now)
}

// handleCancelled remembers cancelled jobs. A planner passes on what is news to its deputies, and all to
// the planners that it was asked to tell.
func (c *Core) handleCancelled(now time.Time, from mesh.ID, m CancelledJobs) {
	var news []CancelledJob
	for _, j := range m.Jobs {
		if c.cancelled.add(j.Job, now.Add(-j.Age)) {
			news = append(news, j)
		}
	}
	if !c.cell.Active() {
		return
	}
	for _, j := range news {
		c.cell.RefuseCancelled(j.Job)
	}
	for _, id := range sortedIDs(c.deputies) {
		if id != from && len(news) > 0 {
			c.send(now, id, Message{Cancelled: &CancelledJobs{Jobs: news}})
		}
	}
	if m.Scope != inDataCenter {
		return
	}
	recipients := c.lookupQueries(&lookup{scope: inDataCenter})
	for _, id := range sortedIDs(recipients) {
		if id != c.self.ID {
			c.send(now, id, Message{Cancelled: &CancelledJobs{m.Jobs, recipients[id]}})
		}
	}
}

// sendCancelled tells a process all cancelled jobs.
func (c *Core) sendCancelled(now time.Time, to mesh.ID) {
	if jobs := c.cancelled.all(now); len(jobs) > 0 && to != c.self.ID {
		c.send(now, to, Message{Cancelled: &CancelledJobs{Jobs: jobs}})
	}
}

// refuseCancelled refuses workers to a cancelled job.
func (c *Core) refuseCancelled(now time.Time, from mesh.ID, job string) {
	c.send(now, from, Message{Refusal: &cell.Refusal{Job: job, Reason: cell.ReasonCancelled}})
}

// expireCancelled forgets cancelled jobs.
func (c *Core) expireCancelled(now time.Time) {
	early := c.cancelled.expire(now)
	if early > 0 && now.Sub(c.cancelled.fullAt) >= cancelRetention {
		c.cancelled.fullAt = now
		event.CancelledJobsFull.Log(c.log, "forgotten", early, "remembered", len(c.cancelled.order))
	}
}
