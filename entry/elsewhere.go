package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/admission"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

// SetOtherPlanners sets the planners of the other cells.
func (js *Jobs) SetOtherPlanners(planners []mesh.ID) {
	if !slices.Equal(planners, js.otherPlanners) {
		js.otherPlanners = planners
	}
}

// requestFromOtherCell requests workers from another cell's planner for a job that this
// cell's has refused or would refuse, and reports whether it did. A cell can be full before
// the others are, by a burst of its own callers or the loss of its workers; if the other one
// is full too, it answers at once. A hash of the job's id selects the cell, so that jobs
// refused together spread.
func (js *Jobs) requestFromOtherCell(now time.Time, j *job) bool {
	if len(js.otherPlanners) == 0 || j.otherPlanner != (mesh.ID{}) || now.Add(j.minDuration()).After(j.objectiveAt) {
		return false
	}
	other := js.otherPlanners[xxhash.Sum64String(j.ID)%uint64(len(js.otherPlanners))]
	if !admission.Admits(j.ID, js.levels[other].Share(j.Queue.Name)) {
		return false
	}
	j.otherPlanner = other
	event.JobOfferedToOtherCell.Log(js.log, "job", j.ID, "queue", j.Queue.Name, "planner", j.otherPlanner, "age_ms", now.Sub(j.arrivedAt).Milliseconds())
	js.repeatRequests(now, j)
	js.requestReadySteps(now, j)
	return true
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
