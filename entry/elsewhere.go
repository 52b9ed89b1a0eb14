package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/event"
	"snipehub.example/mesh"
)

// SetOtherPlanners sets the planners of the other cells.
func (b *Jobs) SetOtherPlanners(planners []mesh.ID) {
	if !slices.Equal(planners, b.otherPlanners) {
		b.otherPlanners = planners
	}
}

// requestFromOtherCell requests workers from another cell's planner for a job that this
// cell's has refused, and reports whether it did. A cell can be full before the others
// are, by a burst of its own callers or the loss of its workers; if the other one is full
// too, it answers at once. A hash of the job's id selects the cell, so that jobs refused
// together spread.
func (b *Jobs) requestFromOtherCell(now time.Time, j *job) bool {
	if len(b.otherPlanners) == 0 || j.otherPlanner != (mesh.ID{}) || now.Add(j.minDuration()).After(j.objectiveAt) {
		return false
	}
	j.otherPlanner = b.otherPlanners[xxhash.Sum64String(j.ID)%uint64(len(b.otherPlanners))]
	event.JobOfferedToOtherCell.Log(b.log, "job", j.ID, "queue", j.Queue.Name, "planner", j.otherPlanner, "age_ms", now.Sub(j.arrived).Milliseconds())
	b.repeatRequests(now, j)
	return true
}

// otherPlannerUnreachable asks this cell's planner again for jobs that were sent to a
// planner of another cell which is unreachable now.
func (b *Jobs) otherPlannerUnreachable(now time.Time, p mesh.ID) {
	for _, j := range b.sortedJobs() {
		if j.answer == nil && j.otherPlanner == p && p != (mesh.ID{}) {
			j.otherPlanner = mesh.ID{}
			b.repeatRequests(now, j)
		}
	}
}
