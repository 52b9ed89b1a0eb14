package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/admission"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// SetOtherPlanners sets the planners of the other cells.
func (js *Jobs) SetOtherPlanners(planners []mesh.ID) {
	if slices.Equal(planners, js.otherPlanners) {
		return
	}
	js.otherPlanners = planners
	maps.DeleteFunc(js.refusedBy, func(id mesh.ID, _ time.Time) bool { return !slices.Contains(planners, id) })
}

// requestFromOtherCell requests workers from another cell's planner for a job that this
// cell's has refused or would refuse, and reports whether it did. A cell can be full before
// the others are, by a burst of its own callers or the loss of its workers; if the other one
// is full too, it answers at once.
func (js *Jobs) requestFromOtherCell(now time.Time, j *job) bool {
	if len(js.otherPlanners) == 0 || j.otherPlanner != (mesh.ID{}) || now.Add(j.minDuration()).After(j.objectiveAt) {
		return false
	}
	other := js.chooseOtherPlanner(now, j.ID)
	if !admission.Admits(j.ID, js.levels[other].Share(j.Queue.Name)) {
		return false
	}
	j.otherPlanner = other
	event.JobOfferedToOtherCell.Log(js.log, "job", j.ID, "queue", j.Queue.Name, "planner", j.otherPlanner, "age_ms", now.Sub(j.arrivedAt).Milliseconds())
	js.repeatRequests(now, j)
	js.requestReadySteps(now, j)
	return true
}

// chooseOtherPlanner returns the planner to which a job is offered. A hash of its id selects
// one, so that jobs refused together spread; the next ones are preferred to one that has
// just refused a job.
func (js *Jobs) chooseOtherPlanner(now time.Time, id string) mesh.ID {
	n := uint64(len(js.otherPlanners))
	first := xxhash.Sum64String(id) % n
	for i := range n {
		p := js.otherPlanners[(first+i)%n]
		if at, ok := js.refusedBy[p]; !ok || now.Sub(at) > refusalMemory {
			return p
		}
	}
	return js.otherPlanners[first]
}

const (
	// refusalMemory is how long a cell that has refused a job counts as full. Room there
	// comes back with each task that ends.
	refusalMemory = 300 * time.Millisecond
	// maxRedirects bounds how often a request is sent on, since the processes of a cell may
	// name each other while they elect a planner.
	maxRedirects = 2
)

// redirected sends the requests of a job on to the planner that a process has named, or
// refuses the job for the reason that its own cell had.
func (js *Jobs) redirected(now time.Time, j *job, planner mesh.ID) {
	if j.otherPlanner == (mesh.ID{}) {
		return
	}
	if j.redirects++; j.redirects <= maxRedirects && planner != (mesh.ID{}) && planner != j.otherPlanner {
		j.otherPlanner = planner
		js.repeatRequests(now, j)
		return
	}
	if j.hasBegun() {
		j.otherPlanner = mesh.ID{}
		js.repeatRequests(now, j)
		return
	}
	retryAfter := max(j.refusal.RetryAfter, minRetryAfter)
	js.finish(now, j, Answer{Status: Refused, Why: cmp.Or(j.refusal.Reason, plannerSilent), RetryAfter: retryAfter})
}

// otherPlannerUnreachable asks this cell's planner again for jobs that were sent to a
// planner of another cell which is unreachable now.
func (js *Jobs) otherPlannerUnreachable(now time.Time, p mesh.ID) {
	for _, j := range js.sortedJobs() {
		if j.answer == nil && j.otherPlanner == p && p != (mesh.ID{}) {
			j.otherPlanner = mesh.ID{}
			js.repeatRequests(now, j)
		}
	}
}
