package cell

import (
	"cmp"
	"slices"
	"time"
)

// admitEvery is the least time between two looks ahead: they cost up to a few hundred
// microseconds in a full cell.
const admitEvery = 10 * time.Millisecond

// slot is a place for one task on a worker: free from a time on.
type slot struct {
	free   time.Time
	factor float64
}

// admit looks ahead: it lays what waits on the places that workers have now and when
// their runs end, in the order in which it will be placed, and refuses at once the
// jobs that will not be ready in time. Waiting until it is certain that a job is late
// would hold its caller up for nothing, and the half of it that was started by then
// would take room from those who could still be served.
func (b *Book) admit(now time.Time) {
	if !b.policy.LookAhead.on() || len(b.waits) == 0 || now.Sub(b.admitted) < admitEvery {
		return
	}
	b.admitted = now
	queue := b.queue()
	slots := b.slots(now, queue)
	for _, w := range queue {
		if !b.fitsIn(now, w, slots) && !w.Begun {
			b.refuse(now, w, lateWord)
		}
	}
}

// lateWord is the reason of a refusal because of what waits before it.
const lateWord = "others_first"

// slots returns the places of all workers that take tasks, for tasks of the average
// size of those that wait.
func (b *Book) slots(now time.Time, queue []*wait) []slot {
	cpu := 0
	for _, w := range queue {
		cpu += w.Room.CPU
	}
	cpu = max(cpu/len(queue), 1)
	var out []slot
	for _, w := range b.bySpeed {
		if !w.takes() || w.aside {
			continue
		}
		f := b.factor(w)
		for range w.left().CPU / cpu {
			out = append(out, slot{now, f})
		}
		for _, h := range w.runs {
			out = append(out, slot{h.end(now, f), f})
		}
	}
	// Runs are kept in a map; equal events must have equal outcomes.
	slices.SortFunc(out, func(x, y slot) int {
		return cmp.Or(x.free.Compare(y.free), cmp.Compare(x.factor, y.factor))
	})
	return out
}

// end foresees when a run ends: from its progress if it is known, else from its
// estimate and the worker's speed.
func (h held) end(now time.Time, factor float64) time.Time {
	age := now.Sub(h.began)
	total := scaled(h.estimate, factor)
	if h.percent >= progressLeast {
		total = h.seen.Sub(h.began) * 100 / time.Duration(h.percent)
	}
	if total < age {
		// Overdue: what is left is taken for a tenth of what it has taken.
		return now.Add(age / 10)
	}
	return h.began.Add(total)
}

// progressLeast is the percentage from which on progress tells more than the
// estimate.
const progressLeast = 15

// fitsIn takes the best places for a job's tasks if all of them will be ready in time
// there, and tells whether they will. Tasks of a job that has begun take theirs
// anyway.
func (b *Book) fitsIn(now time.Time, w *wait, slots []slot) bool {
	type taken struct {
		i    int
		free time.Time
	}
	var undo []taken
	limit := w.arrived.Add(time.Duration(float64(w.aim.Sub(w.arrived)) * b.policy.Margin))
	for range w.Tasks {
		best, end := -1, time.Time{}
		for i, s := range slots {
			if e := s.free.Add(scaled(w.Estimate, s.factor)); best < 0 || e.Before(end) {
				best, end = i, e
			}
		}
		if best < 0 || end.After(limit) && !w.Begun {
			for _, u := range undo {
				slots[u.i].free = u.free
			}
			return false
		}
		undo = append(undo, taken{best, slots[best].free})
		slots[best].free = end
	}
	return true
}
