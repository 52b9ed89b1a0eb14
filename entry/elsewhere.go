package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/event"
	"snipehub.example/mesh"
)

// Elsewhere sets the planners of the other cells.
func (b *Book) Elsewhere(planners []mesh.ID) {
	if !slices.Equal(planners, b.others) {
		b.others = planners
	}
}

// tryElsewhere asks the planner of another cell for a job that this cell's has refused, and
// tells whether it did. A cell is full before the others are, by a burst of its own
// callers or the loss of its workers; who asks is told at once if the other is full too.
// The job's name decides which cell is asked, so that those refused together spread.
func (b *Book) tryElsewhere(now time.Time, j *job) bool {
	if len(b.others) == 0 || j.elsewhere != (mesh.ID{}) || now.Add(j.least()).After(j.aim) {
		return false
	}
	j.elsewhere = b.others[xxhash.Sum64String(j.ID)%uint64(len(b.others))]
	event.JobElsewhere.Log(b.log, "job", j.ID, "queue", j.Queue.Name, "planner", j.elsewhere, "age_ms", now.Sub(j.arrived).Milliseconds())
	b.askAgain(now, j)
	return true
}

// plannerDown asks this cell's planner again for jobs whose planner elsewhere is out of
// sight.
func (b *Book) plannerDown(now time.Time, p mesh.ID) {
	for _, j := range b.sorted() {
		if j.answer == nil && j.elsewhere == p && p != (mesh.ID{}) {
			j.elsewhere = mesh.ID{}
			b.askAgain(now, j)
		}
	}
}
