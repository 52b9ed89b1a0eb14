package cell

import (
	"time"

	"snipehub.example/event"
	"snipehub.example/lease"
)

// updateHealth stores what a holder reports of a worker's speed and failures. It ejects a
// worker whose tasks fail, are refused or make no progress. One whose tasks end at once
// always looks free, and would be given more than any other. An ejected worker gets one
// probe task at a time.
func (pl *Planner) updateHealth(now time.Time, w *worker, s lease.Speed) {
	previous := w.speed
	w.speed = s
	switch {
	case w.ejected && s.BadJobs == 0:
		w.ejected = false
		event.WorkerReadmitted.Log(pl.log, "worker", w.ID)
	case w.ejected && s.BadJobs > previous.BadJobs:
		w.probeInterval = min(2*w.probeInterval, pl.policy.MaxProbeInterval)
		w.nextProbe = now.Add(w.probeInterval)
	case !w.ejected && pl.policy.EjectAfter > 0 && s.BadJobs >= pl.policy.EjectAfter && pl.mayEject():
		w.ejected = true
		w.probeInterval = pl.policy.ProbeInterval
		w.nextProbe = now.Add(w.probeInterval)
		event.WorkerEjected.Log(pl.log, "worker", w.ID, "bad", s.BadJobs, "factor", s.Factor)
	}
}

// mayEject reports whether one more worker may be ejected. If most workers fail, they
// likely share the cause, and using them is better than using none.
func (pl *Planner) mayEject() bool {
	n := 0
	for _, w := range pl.workers {
		if w.ejected {
			n++
		}
	}
	return float64(n+1) <= pl.policy.MaxEjectedShare*float64(len(pl.workers))
}

// probeDue reports whether an ejected worker may get a probe task now.
func (w *worker) probeDue(now time.Time) bool {
	return w.ejected && len(w.runs) == 0 && !now.Before(w.nextProbe)
}
