package cell

import (
	"slices"
	"time"

	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Report applies a member's report on its workers and jobs.
func (pl *Planner) Report(now time.Time, from mesh.ID, r Report) {
	m := pl.members[from]
	if !pl.active || m == nil {
		return
	}
	if r.AllJobs {
		m.toldJobs = true
	}
	for _, j := range r.Jobs {
		pl.noteOwner(now, j.Job, from, j.Timeout)
	}
	firstFull := r.Full && !m.reported
	if r.Full {
		m.reported = true
		pl.clearHolderOfMissing(now, from, r)
	}
	for _, s := range r.States {
		pl.updateState(now, from, s)
	}
	pl.hasUnheld = pl.hasUnheld || firstFull
	pl.assignUnheld(now)
	pl.needsPlanning = true
}

// assignUnheld assigns workers that have just lost their holder.
func (pl *Planner) assignUnheld(now time.Time) {
	if pl.hasUnheld {
		pl.hasUnheld = false
		pl.assign(now)
	}
}

// clearHolderOfMissing clears the holder of workers that are missing from a member's full
// report.
func (pl *Planner) clearHolderOfMissing(now time.Time, from mesh.ID, r Report) {
	for _, w := range pl.workers {
		if w.holder != from || !w.confirmed {
			continue
		}
		if !slices.ContainsFunc(r.States, func(s lease.State) bool { return s.ID == w.ID }) {
			pl.clearHolder(now, w)
		}
	}
}

func (pl *Planner) updateState(now time.Time, from mesh.ID, s lease.State) {
	w := pl.workers[s.ID]
	if w == nil {
		if s.Released || s.Worker == nil {
			return
		}
		// The platform's store may be unreachable, while its workers are still held.
		w = pl.addWorker(*s.Worker)
		w.listed = !pl.listRead
	}
	if w.holder != from {
		if s.Released || s.Fence < w.fence {
			return
		}
		pl.foundHeld = true
		w.formerHolder, w.holder, w.heldSince = w.holder, from, now
		w.releaseSentAt = time.Time{}
	}
	if s.Released {
		w.fence = max(w.fence, s.Fence)
		pl.clearHolder(now, w)
		return
	}
	w.setOpen(now, s.Open)
	w.confirmed = true
	pl.updateIncarnation(now, w, s)
	if w.drains() && !s.Draining {
		pl.sendDrain(w)
	}
	if s.Draining && !w.drains() && pl.drain(w, w.running) {
		event.WorkerDraining.Log(pl.log, "worker", s.ID, "source", "holder", "from", from)
	}
	if s.Fence != 0 {
		w.fence = s.Fence
	}
	if s.Speed != (lease.Speed{}) || !s.Partial {
		pl.updateHealth(now, w, s.Speed)
	}
	if s.Failures > 0 && w.failures == 0 {
		w.failingSince = now
	}
	w.failures = s.Failures
	pl.updateRuns(now, w, s)
}

// updateRuns applies what a state says about a worker's runs. Grants that the holder has
// not reported yet stay.
func (pl *Planner) updateRuns(now time.Time, w *worker, s lease.State) {
	if !s.Partial {
		w.dropReportedRuns(now)
	}
	for _, r := range s.Ended {
		w.dropRun(r)
	}
	for _, h := range s.Runs {
		w.addRun(h.Run, activeRun{resources: h.Resources, startedAt: now.Add(-h.Age), estimate: h.Estimate, percent: h.Percent, reportedAt: now.Add(-h.ProgressAge)})
	}
}

// dropReportedRuns drops all runs of a worker except recent unreported grants.
func (w *worker) dropReportedRuns(now time.Time) {
	old := w.runs
	w.runs, w.used = make(map[lease.Run]activeRun, len(old)), lease.Resources{}
	for r, active := range old {
		if active.unreported && now.Sub(active.startedAt) < grantTimeout {
			w.addRun(r, active)
		}
	}
}
