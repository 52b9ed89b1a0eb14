package cell

import (
	"time"

	"snipehub.example/event"
	"snipehub.example/lease"
)

// health takes what a holder has learned of a worker. One whose tasks fail, are
// refused or stand still is put aside: it looks free all the time, because what it is
// given ends at once, and so it would be given more than any other. It is tried with
// one task at a time.
func (b *Book) health(now time.Time, w *worker, s lease.Speed) {
	before := w.speed
	w.speed = s
	switch {
	case w.aside && s.Bad == 0:
		w.aside = false
		event.WorkerBack.Log(b.log, "worker", w.ID)
	case w.aside && s.Bad > before.Bad:
		w.probeWait = min(2*w.probeWait, b.policy.ProbeMost)
		w.probeAt = now.Add(w.probeWait)
	case !w.aside && b.policy.AsideAfter > 0 && s.Bad >= b.policy.AsideAfter && b.mayPutAside():
		w.aside = true
		w.probeWait = b.policy.ProbeEvery
		w.probeAt = now.Add(w.probeWait)
		event.WorkerAside.Log(b.log, "worker", w.ID, "bad", s.Bad, "factor", s.Factor)
	}
}

// mayPutAside tells whether few enough are aside. Where most workers fail, the cause
// is likely one that they share, and using them is better than using none.
func (b *Book) mayPutAside() bool {
	n := 0
	for _, w := range b.workers {
		if w.aside {
			n++
		}
	}
	return float64(n+1) <= b.policy.AsideShare*float64(len(b.workers))
}

// probes tells whether a worker that is aside may be tried now.
func (w *worker) probes(now time.Time) bool {
	return w.aside && len(w.runs) == 0 && !now.Before(w.probeAt)
}
