package cell

import (
	"container/heap"
	"slices"
	"time"
)

// admitEvery is the least time between two looks ahead: they cost half a millisecond
// where 400 jobs wait for 350 workers (BenchmarkCrowded).
const admitEvery = 10 * time.Millisecond

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
	queue := slices.Clone(b.line.waits)
	places := b.places(now, queue)
	for _, w := range queue {
		if !b.fitsIn(w, places) && !w.Begun {
			b.refuse(now, w, lateWord)
		}
	}
}

// lateWord is the reason of a refusal because of what waits before it.
const lateWord = "others_first"

// places are the places for one task each on workers of about the same speed: when each
// is free, as a heap. A job is laid on the best of a few heads; going through all places
// for each task took a planner of 350 workers more than its processor, so that it fell
// behind, more waited, and the look ahead took longer still.
type places struct {
	factor float64
	// rack is set while something waits that wants a rack.
	rack string
	free []time.Time
}

// Len, Less, Swap, Push and Pop make it a heap.
func (p *places) Len() int { return len(p.free) }

// Less orders by time.
func (p *places) Less(i, j int) bool { return p.free[i].Before(p.free[j]) }

// Swap swaps two places.
func (p *places) Swap(i, j int) { p.free[i], p.free[j] = p.free[j], p.free[i] }

// Push adds a place.
func (p *places) Push(x any) { p.free = append(p.free, x.(time.Time)) }

// Pop takes the last place.
func (p *places) Pop() any {
	last := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	return last
}

// speedStep is by how much the speeds of workers differ that are taken together.
// Estimates are off by more.
const speedStep = 1.05

// places returns the places of all workers that take tasks, for tasks of the average
// size of those that wait.
func (b *Book) places(now time.Time, queue []*wait) []*places {
	cpu := 0
	for _, w := range queue {
		cpu += w.Room.CPU
	}
	cpu = max(cpu/len(queue), 1)
	byRack := slices.ContainsFunc(queue, func(w *wait) bool { return w.Rack != "" })
	var out []*places
	group := make(map[string]*places)
	for _, w := range b.bySpeed {
		if !w.takes() || w.aside {
			continue
		}
		f := b.factor(w)
		// The order by speed is that of the last tick; a worker that has turned slow
		// since begins places of its own.
		rack := ""
		if byRack {
			rack = w.Rack
		}
		p := group[rack]
		if p == nil || f > p.factor*speedStep || f < p.factor/speedStep {
			p = &places{factor: f, rack: rack}
			group[rack] = p
			out = append(out, p)
		}
		for range w.left().CPU / cpu {
			p.free = append(p.free, now)
		}
		for _, h := range w.runs {
			p.free = append(p.free, h.end(now, f))
		}
	}
	out = slices.DeleteFunc(out, func(p *places) bool { return len(p.free) == 0 })
	for _, p := range out {
		heap.Init(p)
	}
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
func (b *Book) fitsIn(w *wait, all []*places) bool {
	type taken struct {
		*places
		free, end time.Time
	}
	var took []taken
	limit := w.arrived.Add(time.Duration(float64(w.aim.Sub(w.arrived)) * b.policy.Margin))
	fits := true
	for range w.Tasks {
		p, end := b.earliest(all, w)
		if p == nil || end.After(limit) && !w.Begun {
			fits = false
			break
		}
		took = append(took, taken{p, p.free[0], end})
		p.free[0] = end
		heap.Fix(p, 0)
	}
	if fits {
		return true
	}
	for _, t := range slices.Backward(took) {
		i := slices.IndexFunc(t.places.free, t.end.Equal)
		t.places.free[i] = t.free
		heap.Fix(t.places, i)
	}
	return false
}

// earliest returns the places at whose head a task of the step ends first, nil if there
// are none.
func (b *Book) earliest(all []*places, w *wait) (best *places, end time.Time) {
	for _, p := range all {
		f := p.factor
		if w.Rack != "" && w.Rack != p.rack {
			f *= b.policy.Far
		}
		if e := p.free[0].Add(scaled(w.Estimate, f)); best == nil || e.Before(end) {
			best, end = p, e
		}
	}
	return best, end
}
