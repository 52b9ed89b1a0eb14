package entry

import (
	"time"

	"snipehub.example/admission"
	"snipehub.example/cell"
	"snipehub.example/mesh"
)

// receivedLevels are the levels of a planner, and when they arrived.
type receivedLevels struct {
	admission.Levels
	at time.Time
}

// SetLevels sets which share of each queue's jobs a planner admits.
func (js *Jobs) SetLevels(now time.Time, planner mesh.ID, l admission.Levels) {
	if len(l.Queues) == 0 {
		delete(js.levels, planner)
		return
	}
	js.levels[planner] = receivedLevels{l, now}
}

// inheritLevels has the levels of the last planner apply until the next one sends its own:
// the load is the same, and the next planner has yet to measure it.
func (js *Jobs) inheritLevels(next mesh.ID) {
	l, limited := js.levels[js.planner]
	// The zero ID stands for no planner: its levels are those of the planner before, and must
	// not outlast it.
	delete(js.levels, mesh.ID{})
	if _, ok := js.levels[next]; limited && !ok {
		js.levels[next] = l
	}
}

// expireLevels drops levels that were not renewed.
func (js *Jobs) expireLevels(now time.Time) {
	for planner, l := range js.levels {
		if now.Sub(l.at) > admission.Lifetime {
			delete(js.levels, planner)
		}
	}
}

// refuseIfOverCapacity refuses a job at once that its planner does not admit, and reports
// whether it did.
func (js *Jobs) refuseIfOverCapacity(now time.Time, j *job) bool {
	j.share = js.levels[js.planner].Share(j.Queue.Name)
	switch {
	case admission.Admits(j.ID, j.share):
		return false
	case js.requestFromOtherCell(now, j):
		return true
	}
	js.finish(now, j, Answer{Status: Refused, Why: cell.ReasonOverCapacity, RetryAfter: admission.RetryAfter(j.share) + cell.RetryJitter(j.ID)})
	return true
}
