package cell

import (
	"time"

	"snipehub.example/catalog"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// A worker that restarts may keep its ID and be of another kind. Its description comes from the
// platform's list, which can be late by an interval between two reads or by an outage of the
// store, while its holder notices the restart within milliseconds. Until both agree, the worker
// gets only tasks for which its description makes no difference. Every other grant names the
// incarnation that it was made for; the holder refuses it for any other one, so that neither a
// late message nor another planner's stale list can lead to a wrong start.

// SetPools sets the pools in force.
func (pl *Planner) SetPools(pools []catalog.Pool) {
	pl.guardedPools = make(map[string]struct{}, len(pools))
	for _, p := range pools {
		if p.EnforcesCapacity {
			pl.guardedPools[p.Name] = struct{}{}
		}
	}
}

// isCurrent reports whether the description is that of the incarnation that runs, as far as
// both are known.
func (w *worker) isCurrent() bool {
	return w.Incarnation == 0 || w.running == 0 || w.Incarnation == w.running
}

// isDescribed reports whether the description is current and the holder has it, too; it would
// refuse what was granted by another one.
func (w *worker) isDescribed() bool {
	return w.isCurrent() && (w.running == 0 || w.described == w.Incarnation)
}

// needsDescription reports whether it depends on a worker's description if tasks of the request
// may run there.
func (pl *Planner) needsDescription(p *pendingRequest) bool {
	_, guarded := pl.guardedPools[p.Pool]
	return !guarded || p.Label != ""
}

// describe replaces a worker's description, and sends it to the holder if it is of another
// incarnation.
func (pl *Planner) describe(now time.Time, w *worker, l lease.Worker) {
	if l.Incarnation != w.Incarnation && w.drainedIncarnation == 0 {
		w.drained = false
	}
	if l.Kind != w.Kind {
		w.speed = lease.Speed{}
	}
	w.Worker = l
	w.evacuated = pl.evacuations.Includes(w.DataCenter)
	if w.described != l.Incarnation {
		pl.sendDescription(now, w)
	}
}

// sendDescription sends the holder the worker's description.
func (pl *Planner) sendDescription(now time.Time, w *worker) {
	if w.holder == (mesh.ID{}) {
		return
	}
	w.describedAt = now
	pl.emit(Action{To: w.holder, Description: &Description{Worker: w.Worker}})
}

// updateIncarnation applies what a holder reports of the incarnation that runs and of the one
// whose description it has.
func (pl *Planner) updateIncarnation(now time.Time, w *worker, s lease.State) {
	if s.Incarnation != 0 && s.Incarnation != w.running {
		if w.running != 0 {
			event.WorkerRestarted.Log(pl.log, "worker", w.ID, "holder", w.holder, "former", w.running, "incarnation", s.Incarnation, "described", w.Incarnation)
			w.drained = w.drained && w.drainedIncarnation != 0
		}
		w.running = s.Incarnation
	}
	if s.Described != 0 || !s.Partial {
		w.described = s.Described
	}
	if s.Worker != nil && w.running != 0 && s.Worker.Incarnation == w.running && w.Incarnation != w.running {
		pl.describe(now, w, *s.Worker)
	}
	lacksDescription := w.running != 0 && w.Incarnation == w.running && w.described != w.Incarnation
	if lacksDescription && now.Sub(w.describedAt) >= assignmentRepeatInterval {
		pl.sendDescription(now, w)
	}
}

// drain records that an incarnation of a worker drains; 0 stands for the one that runs. It
// reports whether that is news.
func (pl *Planner) drain(w *worker, incarnation int64) bool {
	if w.drained && w.drainedIncarnation == incarnation {
		return false
	}
	before := w.drains()
	w.drained, w.drainedIncarnation = true, incarnation
	return !before
}

// drains reports whether the incarnation that runs accepts no new tasks.
func (w *worker) drains() bool {
	return w.drained && (w.drainedIncarnation == 0 || w.running == 0 || w.drainedIncarnation == w.running)
}
