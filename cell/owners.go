package cell

import (
	"time"

	"snipehub.example/event"
	"snipehub.example/mesh"
)

const (
	// maxOwnedJobs bounds the jobs whose owners a planner knows: some seconds of jobs in the
	// largest cell. Beyond it, the planner can't tell for a while that a job does not exist.
	maxOwnedJobs = 100_000
	// ownerRetention is how long after a job's deadline its owner is known: until the owner
	// has stopped what still runs.
	ownerRetention = time.Second
	// expireOwnersInterval is how often owners are forgotten.
	expireOwnersInterval = time.Second
)

// jobOwners are the processes that have accepted jobs, so that a request about a job finds its
// process whichever one it reaches. Owners stay known until the job's deadline, since the
// planner is not told when a job ends.
type jobOwners struct {
	byJob map[string]jobOwner
	// incompleteUntil is until when jobs may exist whose owner was not recorded.
	incompleteUntil, expiredAt time.Time
}

type jobOwner struct {
	id    mesh.ID
	until time.Time
}

// note records the owner of a job. It returns false if there are too many jobs.
func (o *jobOwners) note(now time.Time, job string, id mesh.ID, timeout time.Duration) bool {
	until := now.Add(timeout + ownerRetention)
	if _, known := o.byJob[job]; !known && len(o.byJob) >= maxOwnedJobs {
		if until.After(o.incompleteUntil) {
			o.incompleteUntil = until
		}
		return false
	}
	o.byJob[job] = jobOwner{id, until}
	return true
}

// expire forgets the owners of jobs that are over.
func (o *jobOwners) expire(now time.Time) {
	if now.Sub(o.expiredAt) < expireOwnersInterval {
		return
	}
	o.expiredAt = now
	for job, owner := range o.byJob {
		if !now.Before(owner.until) {
			delete(o.byJob, job)
		}
	}
}

func (pl *Planner) noteOwner(now time.Time, job string, id mesh.ID, timeout time.Duration) {
	complete := !now.Before(pl.owners.incompleteUntil)
	if !pl.owners.note(now, job, id, timeout) && complete {
		event.OwnedJobsFull.Log(pl.log, "jobs", maxOwnedJobs)
	}
}

// Owner returns the process that has accepted a job.
func (pl *Planner) Owner(job string) (mesh.ID, bool) {
	o, ok := pl.owners.byJob[job]
	return o.id, ok
}

// KnowsAllJobs reports whether all jobs of the members have a known owner.
func (pl *Planner) KnowsAllJobs(now time.Time) bool {
	if !pl.active || now.Before(pl.owners.incompleteUntil) {
		return false
	}
	for _, m := range pl.members {
		if !m.toldJobs {
			return false
		}
	}
	return true
}
