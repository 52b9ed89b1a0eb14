package entry

import (
	"slices"
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// HolderUnreachable records that a holder, or the planner of another cell, is unreachable.
// For a holder lostHolderTimeout counts from this call, not from when it was last heard: a
// busy process notices late, and what it has placed in between may have reached the holder
// over a new session.
func (js *Jobs) HolderUnreachable(now time.Time, h mesh.ID) {
	for _, p := range js.runs {
		if p.t.holder == h && p.t.unreachableSince.IsZero() {
			p.t.unreachableSince = now
		}
	}
	js.otherPlannerUnreachable(now, h)
}

// HolderReachable claims the runs at a holder that is reachable again: it may have lost
// the last messages.
func (js *Jobs) HolderReachable(h mesh.ID) {
	byWorker := make(map[string][]placedTask)
	for _, p := range js.runs {
		if p.t.holder == h {
			p.t.unreachableSince = time.Time{}
			byWorker[p.t.worker] = append(byWorker[p.t.worker], p)
		}
	}
	for _, w := range sortedKeys(byWorker) {
		js.sendClaim(h, w, byWorker[w])
	}
}

// Held claims the runs on a worker at its new holder. The announcement of a holder that
// has been replaced since can arrive late; that holder does not know what was started
// under its successor and would report that it does not run.
func (js *Jobs) Held(h mesh.ID, worker string, fence lease.Fence) {
	var moved []placedTask
	for _, p := range js.runs {
		if p.t.worker == worker && p.t.fence.Base() <= fence.Base() {
			p.t.holder, p.t.fence, p.t.unreachableSince = h, fence, time.Time{}
			moved = append(moved, p)
		}
	}
	if len(moved) > 0 {
		js.sendClaim(h, worker, moved)
	}
}

// Unheld records that a process does not hold a worker any more. The next holder
// announces itself.
func (js *Jobs) Unheld(now time.Time, h mesh.ID, worker string) {
	for _, p := range js.runs {
		if p.t.worker == worker && p.t.holder == h && p.t.unreachableSince.IsZero() {
			p.t.unreachableSince = now
		}
	}
}

// sendClaim claims runs at the holder of their worker. Those whose job is over are
// stopped there: the stop that was sent before may be lost.
func (js *Jobs) sendClaim(h mesh.ID, worker string, tasks []placedTask) {
	c := &Claim{Worker: worker}
	for _, p := range tasks {
		resources := p.j.Steps[p.t.step].Resources
		c.Runs = append(c.Runs, ClaimedRun{Run: p.j.lastRun(p.t), Resources: resources, Estimate: p.t.estimate, Fence: p.t.fence})
	}
	slices.SortFunc(c.Runs, func(x, y ClaimedRun) int { return compareRuns(x.Run, y.Run) })
	js.emit(Action{To: h, Claim: c})
	stop := &Stop{}
	for _, p := range tasks {
		if p.j.answer != nil {
			stop.Runs = append(stop.Runs, PlacedRun{Run: p.j.lastRun(p.t), Worker: worker})
		}
	}
	if len(stop.Runs) > 0 {
		js.emit(Action{To: h, Stop: stop})
	}
}

// Dependencies returns the processes on which this process's jobs depend: the holders of
// the workers of its runs, and the planners of other cells that were asked.
func (js *Jobs) Dependencies() map[mesh.ID]struct{} {
	out := make(map[mesh.ID]struct{})
	for _, p := range js.runs {
		out[p.t.holder] = struct{}{}
	}
	for _, j := range js.jobs {
		if j.answer == nil && j.otherPlanner != (mesh.ID{}) {
			out[j.otherPlanner] = struct{}{}
		}
	}
	return out
}

// expiredRuns returns the runs whose holder was lost for so long that they have ended.
func (js *Jobs) expiredRuns(now time.Time) []placedTask {
	var out []placedTask
	for _, p := range js.runs {
		if !p.t.unreachableSince.IsZero() && now.Sub(p.t.unreachableSince) > lostHolderTimeout {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(x, y placedTask) int { return compareRuns(x.j.lastRun(x.t), y.j.lastRun(y.t)) })
	return out
}
