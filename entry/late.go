package entry

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/mesh"
)

const (
	// leastFactor is the smallest part of its estimate that a task is assumed to
	// take on the fastest worker.
	leastFactor = 0.4
	// plannerSlack is how much later than the planner this process refuses jobs that
	// can't be in time: messages both ways, and a tick.
	plannerSlack = 100 * time.Millisecond
	// silentRetry is what callers are told to wait at least where the planner is out of
	// reach or its link is full: another one is found within a second.
	silentRetry = time.Second
)

// least is the time that the job takes at the least, on the fastest worker.
func (j *job) least() time.Duration {
	return time.Duration(leastFactor * float64(j.Steps[0].Estimate))
}

// silence refuses a job of which nothing has begun and that can't be in time any more.
// The planner does that, and earlier. But a process may take one for the planner that
// does not plan, for instance when the two see different members: all its callers would
// then wait until their time is over, for nothing.
func (b *Book) silence(now time.Time, j *job) {
	if !j.begun() && now.After(j.aim.Add(plannerSlack-j.least())) {
		if !j.asked.IsZero() && j.elsewhere == (mesh.ID{}) {
			b.delay.unheard(now, now.Sub(j.asked))
		}
		b.finish(now, j, Answer{Status: Refused, Why: "planner_silent", After: silentRetry + cell.Spread(j.ID)})
	}
}

// heard takes note that the planner has answered for a job.
func (b *Book) heard(now time.Time, j *job, waited time.Duration) {
	if !j.asked.IsZero() && j.elsewhere == (mesh.ID{}) {
		b.delay.asked(now, now.Sub(j.asked)-waited)
		j.asked = time.Time{}
	}
}

// tooSlow refuses a job at once that can't be in time because of what messages take. Asking
// the planner would only make its link fuller: at twice what the links bore, asks for jobs
// that were late when they arrived kept it half a second behind for good.
func (b *Book) tooSlow(now time.Time, j *job) bool {
	objective := j.aim.Sub(now)
	if objective == 0 || b.delay.total(j.Steps[0].Count)+j.least() <= objective {
		return false
	}
	b.finish(now, j, Answer{Status: Refused, Why: "messages_slow", After: silentRetry + cell.Spread(j.ID)})
	return true
}
