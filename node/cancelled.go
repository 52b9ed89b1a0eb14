package node

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// A copy of a request can arrive seconds after the job was cancelled, at any process, and must not
// run. The process that acknowledges a cancel and the one that had the job tell the planners of their
// cells, and a planner tells its deputies, so that the loss of one process does not matter. All of
// them remember the job. The planner gives it no workers, whichever process asks, and a new planner
// is told by all processes of the cell what they remember.
//
// Limits: planners of other cells are not told, since each would receive the cancels of the whole
// deployment; a copy that reaches a process there runs.
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
}

// CancelledJob is a job, and the time since its cancel was acknowledged.
type CancelledJob struct {
	Job string        `cbor:"1,keyasint,omitzero"`
	Age time.Duration `cbor:"2,keyasint,omitzero"`
	// Status is the final answer to the job if it had one before the cancel.
	Status entry.Status `cbor:"3,keyasint,omitzero"`
}

// cancelledJobs is what a process remembers of cancelled jobs.
type cancelledJobs struct {
	byID map[string]rememberedCancel
	// order is the jobs in the order in which they became known.
	order []string
	// fullAt is when the last event of forgotten jobs was logged.
	fullAt time.Time
}

type rememberedCancel struct {
	at     time.Time
	status entry.Status
}

// add remembers a job, from its last cancel on, and reports whether it was not remembered before.
func (s *cancelledJobs) add(now time.Time, j CancelledJob) bool {
	if s.byID == nil {
		s.byID = make(map[string]rememberedCancel)
	}
	known := s.has(now, j.Job)
	c, listed := s.byID[j.Job]
	if at := now.Add(-j.Age); at.After(c.at) {
		c.at = at
	}
	if j.Status != 0 {
		c.status = j.Status
	}
	s.byID[j.Job] = c
	if !listed {
		s.order = append(s.order, j.Job)
	}
	return !known
}

// has reports whether a job was cancelled.
func (s *cancelledJobs) has(now time.Time, job string) bool {
	c, ok := s.byID[job]
	return ok && now.Sub(c.at) < cancelRetention
}

// get returns what is remembered of a job.
func (s *cancelledJobs) get(now time.Time, job string) CancelledJob {
	c := s.byID[job]
	return CancelledJob{Job: job, Age: now.Sub(c.at), Status: c.status}
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
		delete(s.byID, job)
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
			jobs = append(jobs, s.get(now, job))
		}
	}
	return jobs
}

// Submit accepts a job of a caller, unless it was cancelled before.
func (c *Core) Submit(now time.Time, w entry.Waiter, r entry.Request) {
	if c.cancelled.has(now, r.ID) && c.entry.State(r.ID).Knowledge != entry.Present {
		c.entry.AnswerCopy(w, r, c.cancelled.get(now, r.ID).Status)
		return
	}
	c.entry.Submit(now, w, r)
}

// jobCancelled remembers a job that was cancelled here, or whose cancel is acknowledged here, and tells
// the planner. status is the job's final answer if it had one before.
func (c *Core) jobCancelled(now time.Time, job string, status entry.Status) {
	m := CancelledJobs{[]CancelledJob{{Job: job, Status: status}}}
	c.handleCancelled(now, c.self.ID, m)
	if c.planner != c.self.ID {
		c.send(now, c.planner, Message{Cancelled: &m})
	}
}

// handleCancelled remembers cancelled jobs, and ends copies that wait here. A planner tells its
// deputies what is news.
func (c *Core) handleCancelled(now time.Time, from mesh.ID, m CancelledJobs) {
	var news []CancelledJob
	for _, j := range m.Jobs {
		if c.cancelled.add(now, j) {
			news = append(news, j)
		}
		c.entry.EndCopy(now, j.Job, j.Status)
	}
	if !c.cell.Active() || len(news) == 0 {
		return
	}
	for _, j := range news {
		for _, owner := range c.cell.DropRequests(j.Job) {
			if owner != from {
				c.refuseCancelled(now, owner, cell.Request{Job: j.Job})
			}
		}
	}
	for _, id := range sortedIDs(c.deputies) {
		if id != from {
			c.send(now, id, Message{Cancelled: &CancelledJobs{news}})
		}
	}
}

// sendCancelled tells a process all cancelled jobs.
func (c *Core) sendCancelled(now time.Time, to mesh.ID) {
	if jobs := c.cancelled.all(now); len(jobs) > 0 && to != c.self.ID {
		c.send(now, to, Message{Cancelled: &CancelledJobs{jobs}})
	}
}

// refuseCancelled gives no workers to a process that requests them for a cancelled job. The refusal
// is for processes of earlier releases, which know no other message. They would request workers for a
// job that has begun again at once.
func (c *Core) refuseCancelled(now time.Time, to mesh.ID, r cell.Request) {
	c.send(now, to, Message{Cancelled: &CancelledJobs{[]CancelledJob{c.cancelled.get(now, r.Job)}}})
	if !r.Begun {
		c.send(now, to, Message{Refusal: &cell.Refusal{Job: r.Job, Reason: cell.ReasonCancelled}})
	}
}

// expireCancelled forgets cancelled jobs.
func (c *Core) expireCancelled(now time.Time) {
	early := c.cancelled.expire(now)
	if early > 0 && now.Sub(c.cancelled.fullAt) >= cancelRetention {
		c.cancelled.fullAt = now
		event.CancelledJobsFull.Log(c.log, "forgotten", early, "remembered", len(c.cancelled.order))
	}
}
