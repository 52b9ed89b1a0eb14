package cell

import (
	"slices"
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Report takes what a holder tells of its workers.
func (b *Book) Report(now time.Time, from mesh.ID, r Report) {
	m := b.members[from]
	if !b.active || m == nil {
		return
	}
	first := r.Whole && !m.reported
	if r.Whole {
		m.reported = true
		b.whole(now, from, r)
	}
	for _, s := range r.States {
		b.state(now, from, s)
	}
	b.loose = b.loose || first
	b.unassigned(now)
	b.changed = true
}

// unassigned gives out workers that have just lost their holder.
func (b *Book) unassigned(now time.Time) {
	if b.loose {
		b.loose = false
		b.assign(now)
	}
}

// whole takes note of workers that a member no longer holds.
func (b *Book) whole(now time.Time, from mesh.ID, r Report) {
	for _, w := range b.workers {
		if w.holder != from || !w.confirmed {
			continue
		}
		if !slices.ContainsFunc(r.States, func(s lease.State) bool { return s.ID == w.ID }) {
			b.unhold(now, w)
		}
	}
}

func (b *Book) state(now time.Time, from mesh.ID, s lease.State) {
	w := b.workers[s.ID]
	if w == nil {
		if s.Gone || s.Worker == nil {
			return
		}
		// The platform's store may be away; its workers are still held.
		w = &worker{Worker: *s.Worker, listed: !b.listedOnce, runs: make(map[lease.Run]held)}
		b.workers[s.ID], b.byID = w, nil
	}
	if w.holder != from {
		if s.Gone || s.Fence < w.fence {
			return
		}
		w.former, w.holder, w.since = w.holder, from, now
		w.relieved = time.Time{}
	}
	if s.Gone {
		w.fence = max(w.fence, s.Fence)
		b.unhold(now, w)
		return
	}
	w.opened(now, s.Open)
	w.confirmed = true
	if w.draining && !s.Draining {
		b.tellDraining(w)
	}
	w.draining = w.draining || s.Draining
	if s.Fence != 0 {
		w.fence = s.Fence
	}
	if s.Speed != (lease.Speed{}) || !s.Part {
		b.health(now, w, s.Speed)
	}
	if s.Failures > 0 && w.failures == 0 {
		w.badSince = now
	}
	w.failures = s.Failures
	b.runs(now, w, s)
}

// runs takes what a state tells of a worker's runs. Grants that the holder has not
// seen yet stay.
func (b *Book) runs(now time.Time, w *worker, s lease.State) {
	if !s.Part {
		w.forgetRuns(now)
	}
	for _, r := range s.Ended {
		w.drop(r)
	}
	for _, h := range s.Runs {
		w.put(h.Run, held{room: h.Room, began: now.Add(-h.Age), estimate: h.Estimate, percent: h.Percent, seen: now.Add(-h.Seen)})
	}
}

// forgetRuns drops what is known of a worker's runs, but for grants.
func (w *worker) forgetRuns(now time.Time) {
	old := w.runs
	w.runs, w.used = make(map[lease.Run]held, len(old)), lease.Room{}
	for r, h := range old {
		if h.granted && now.Sub(h.began) < grantFor {
			w.put(r, h)
		}
	}
}
