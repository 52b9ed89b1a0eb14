package cell

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/mesh"
)

// admitEvery is the least time between two looks ahead: they cost about a millisecond
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
	// A new planner sees no room where a member has not reported yet.
	if !b.reported() && now.Sub(b.began) < settleFor {
		return
	}
	if now.Sub(b.began) < workersWithin && !b.anyTakes() {
		return
	}
	b.admitted = now
	queue := slices.Clone(b.line.waits)
	places := b.places(now, queue)
	queue = slices.DeleteFunc(queue, func(w *wait) bool { return b.fitsIn(w, places) || w.Begun })
	b.late = 0
	why := lateWord
	if len(places) == 0 {
		why = noWorkersWord
	}
	for _, w := range queue {
		if end := b.lay(w, places); !end.IsZero() {
			b.late = end.Sub(w.aim)
		}
		b.refuse(now, w, why)
	}
}

// workersWithin is how long after its beginning a planner that knows of no worker expects
// some: processes that were restarted together meet, read the list and take the workers
// within 0.6 seconds. Refusing at once meanwhile cost a fifth of the callers of the worst
// two seconds of a day, most of whom were still in time afterwards.
const workersWithin = time.Second

// anyTakes tells whether there is a worker that takes tasks.
func (b *Book) anyTakes() bool {
	for _, w := range b.workers {
		if w.takes() {
			return true
		}
	}
	return false
}

// lay places a job's tasks after all that was placed before, in time or not, and returns
// when the last of them will be ready; zero if there are no places.
func (b *Book) lay(w *wait, all []*places) (last time.Time) {
	for range w.Tasks {
		p, end := b.earliest(all, w)
		if p == nil {
			return time.Time{}
		}
		p.free[0] = end
		heap.Fix(p, 0)
		if end.After(last) {
			last = end
		}
	}
	return last
}

const (
	// retryLeast is the least time after which a refused caller is asked to come back.
	// The callers' interface rounds up to whole seconds, so half of them are told one.
	retryLeast = 500 * time.Millisecond
	// retryMost is the longest. What is foreseen further ahead is wrong by then.
	retryMost = 8 * time.Second
	// retrySpread is over how long the return of callers is spread that were refused
	// at the same time. Together they would be the next burst.
	retrySpread = time.Second
)

// retryAfter is what a refused caller is told to wait: as long as its job would have been
// late if it had been kept with all that were refused before it, and a part of a second
// that depends on the job.
func (b *Book) retryAfter(job string) time.Duration {
	wait := min(max(b.late, retryLeast), retryMost)
	return wait + Spread(job)
}

// Spread is a part of a second that depends on the job, for those that are refused
// together not to come back together.
func Spread(job string) time.Duration {
	return time.Duration(xxhash.Sum64String(job) % uint64(retrySpread))
}

const (
	// lateWord is the reason of a refusal because of what waits before it.
	lateWord = "others_first"
	// noWorkersWord is that of one because no worker takes tasks: none is known, or none
	// has a holder.
	noWorkersWord = "no_workers"
)

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
		from := now
		switch {
		case w.aside:
			continue
		case w.takes():
		case w.changesHands(now), w.comes(now):
			from = now.Add(handOver)
		default:
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
			p.free = append(p.free, from)
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

const (
	// handOver is how long a worker takes no tasks while it changes hands as planned:
	// four messages between data centres and a call.
	handOver = 20 * time.Millisecond
	// handOverMost is how long a worker is counted on that changes hands or has just got
	// its holder.
	handOverMost = 500 * time.Millisecond
)

// changesHands tells that a worker took tasks a moment ago and will again.
func (w *worker) changesHands(now time.Time) bool {
	return !w.open && w.listed && !w.draining && w.failures == 0 && now.Sub(w.shut) < handOverMost
}

// comes tells that a worker was just given to a holder, which has not reported it yet or
// waits for the worker's first answer.
func (w *worker) comes(now time.Time) bool {
	if w.open || !w.listed || w.draining || w.failures > 0 || w.holder == (mesh.ID{}) {
		return false
	}
	return !w.confirmed && now.Sub(w.told) < tellAgain || now.Sub(w.since) < handOverMost
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
