package cell

import (
	"cmp"
	"slices"
	"time"

	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Ask takes in tasks that wait for workers.
func (b *Book) Ask(now time.Time, from mesh.ID, a Ask) {
	if !b.active {
		return
	}
	k := key{a.Job, a.Step}
	w := b.waits[k]
	if w == nil || w.owner != from {
		if w != nil {
			b.line.remove(w)
		}
		w = &wait{Ask: a, key: k, owner: from, arrived: now.Add(-a.Age), aim: now.Add(a.Aim), end: now.Add(a.Limit), asked: now}
		b.waits[k] = w
		b.line.add(w)
	} else {
		b.line.change(w, func() {
			w.Begun, w.Avoid, w.asked = a.Begun, a.Avoid, now
			w.Tasks = merge(w.Tasks, a.Tasks)
		})
	}
	b.changed = true
}

// merge adds runs, replacing older runs of the same tasks.
func merge(have, more []lease.Run) []lease.Run {
	out := slices.DeleteFunc(slices.Clone(have), func(r lease.Run) bool {
		return slices.ContainsFunc(more, func(n lease.Run) bool { return n.Task == r.Task })
	})
	return append(out, more...)
}

// Withdraw takes back what was asked for a job, or grants that won't be used.
func (b *Book) Withdraw(wd Withdrawal) {
	if !b.active {
		return
	}
	if len(wd.Runs) == 0 {
		for _, w := range b.waits {
			if w.job == wd.Job {
				b.drop(w)
			}
		}
		return
	}
	for _, w := range b.workers {
		for _, r := range wd.Runs {
			if w.runs[r].granted {
				w.drop(r)
			}
		}
	}
	b.changed = true
}

// drop forgets a step that waits.
func (b *Book) drop(w *wait) {
	delete(b.waits, w.key)
	b.line.remove(w)
}

// seat is a worker with room, while tasks are placed.
type seat struct {
	*worker
	left   lease.Room
	factor float64
	// by is the holder, once the seat is considered for a task.
	by *member
	// probe tells that it takes a single task, to be tried.
	probe bool
}

// Place gives workers to waiting tasks, in the order of their queues and then of
// the time left to their objectives, and refuses jobs that can't meet theirs. It
// does nothing when nothing has changed, so that a burst of events is planned once.
func (b *Book) Place(now time.Time) {
	if !b.active || !b.changed {
		return
	}
	b.changed = false
	if len(b.waits) == 0 {
		return
	}
	queue := slices.Clone(b.line.waits)
	best := b.bestFactor()
	nearest := make(map[string]float64)
	seats := b.seats(now, leastCPU(queue))
	for _, w := range queue {
		best := best
		if w.Rack != "" {
			best = b.bestNear(w.Rack, best, nearest)
		}
		if b.hopeless(now, w, best) {
			b.refuse(now, w, hopelessWord)
			continue
		}
		b.fill(now, w, seats, best)
	}
	b.admit(now)
}

// bestNear is the least factor for tasks whose data is on a rack, given that of all
// workers. What it finds is kept for the others that want the same rack.
func (b *Book) bestNear(rack string, best float64, found map[string]float64) float64 {
	if f, ok := found[rack]; ok {
		return f
	}
	near := best * b.policy.Far
	for _, w := range b.bySpeed {
		if w.Rack == rack && w.takes() && !w.aside {
			near = min(near, b.factor(w))
		}
	}
	found[rack] = near
	return near
}

// away is by how much longer tasks with data on a rack take on a worker.
func (b *Book) away(rack string, w *worker) float64 {
	if rack == "" || rack == w.Rack {
		return 1
	}
	return b.policy.Far
}

// sortSeats orders the workers by speed.
func (b *Book) sortSeats() {
	b.bySpeed = b.bySpeed[:0]
	for _, w := range b.workers {
		b.bySpeed = append(b.bySpeed, w)
	}
	slices.SortFunc(b.bySpeed, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(b.factor(x), b.factor(y)), cmp.Compare(x.ID, y.ID))
	})
}

// takes tells whether a worker takes tasks.
func (w *worker) takes() bool {
	return w.open && !w.draining && (w.listed || w.failures == 0)
}

func leastCPU(queue []*wait) int {
	least := queue[0].Room.CPU
	for _, w := range queue {
		least = min(least, w.Room.CPU)
	}
	return least
}

// seats returns the workers with room for the smallest task that waits, fastest
// first.
func (b *Book) seats(now time.Time, least int) []*seat {
	if len(b.bySpeed) != len(b.workers) {
		b.sortSeats()
	}
	b.room = slices.Grow(b.room[:0], len(b.bySpeed))
	var probes []*seat
	for _, w := range b.bySpeed {
		left := w.left()
		switch {
		case !w.takes() || left.CPU < least:
		case w.probes(now):
			probes = append(probes, &seat{worker: w, left: left, factor: b.factor(w), probe: true})
		case !w.aside:
			b.room = append(b.room, seat{worker: w, left: left, factor: b.factor(w)})
		}
	}
	out := probes
	for i := range b.room {
		out = append(out, &b.room[i])
	}
	byFactor := func(x, y *seat) int { return cmp.Compare(x.factor, y.factor) }
	if rest := out[len(probes):]; !slices.IsSortedFunc(rest, byFactor) {
		slices.SortStableFunc(rest, byFactor)
	}
	return out
}

// bestFactor is the factor of the fastest worker that takes tasks, 0 for none. The
// order by speed is that of the last tick: the first one may just have turned out to
// be slow.
func (b *Book) bestFactor() float64 {
	best := 0.0
	for _, w := range b.bySpeed {
		if f := b.factor(w); w.takes() && !w.aside && (best == 0 || f < best) {
			best = f
		}
	}
	return best
}

// factor is the time that tasks take on a worker over their estimate.
func (b *Book) factor(w *worker) float64 {
	if w.speed.Ends == 0 {
		return 1
	}
	return w.speed.Factor
}

// compare orders two jobs of which both or none have begun.
func (o Order) compare(x, y *wait) int {
	byWork := cmp.Compare(x.work(), y.work())
	switch o {
	case ByAim:
		return 0
	case ByWork:
		return byWork
	case ByRankWork:
		return cmp.Or(cmp.Compare(x.Rank, y.Rank), byWork)
	}
	return cmp.Compare(x.Rank, y.Rank)
}

// work is the estimated work that waits.
func (w *wait) work() time.Duration { return time.Duration(len(w.Tasks)) * w.Estimate }

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// hopeless tells that a job of which nothing has begun can't meet its objective
// any more, even on the fastest worker and at once.
func (b *Book) hopeless(now time.Time, w *wait, best float64) bool {
	if w.Begun {
		return false
	}
	return now.Add(scaled(w.Estimate, best)).After(w.aim)
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func (b *Book) refuse(now time.Time, w *wait, why string) {
	b.drop(w)
	b.counts.Refused[why]++
	event.JobRefused.Log(b.log, "job", w.job, "queue", w.Queue, "why", why, "waited_ms", now.Sub(w.arrived).Milliseconds(), "aim_ms", w.aim.Sub(now).Milliseconds(), "waiting", len(b.waits))
	b.act(Action{To: w.owner, Refusal: &Refusal{Job: w.job, Why: why, After: b.retryAfter(w.job), Waited: now.Sub(w.asked)}})
}

// hopelessWord is the reason of such a refusal.
const hopelessWord = "no_room_in_time"

// fill grants workers to the tasks of one step.
func (b *Book) fill(now time.Time, w *wait, seats []*seat, best float64) {
	if len(seats) == 0 {
		return
	}
	// Once it is late, any worker will do.
	late := now.Add(scaled(w.Estimate, best)).After(w.aim)
	var g *Grant
	h := b.holders(w)
	rest := w.Tasks
	for _, r := range w.Tasks {
		s := b.pick(now, w, seats, late, h)
		if s == nil {
			// The tasks of a step are alike: what is no seat for one is none for
			// the others.
			break
		}
		rest = rest[1:]
		if g == nil {
			g = &Grant{Job: w.job, Waited: now.Sub(w.asked)}
		}
		h.use(s)
		s.left = s.left.Minus(w.Room)
		if s.probe {
			s.left = lease.Room{}
			s.probeAt = now.Add(s.probeWait)
		}
		it := Granted{Run: r, Worker: s.ID, Holder: s.holder, Fence: s.fence}
		estimate := w.Estimate
		if away := b.away(w.Rack, s.worker); away != 1 {
			estimate = scaled(estimate, away)
			it.Estimate = estimate
		}
		s.put(r, held{room: w.Room, began: now, estimate: estimate, granted: true, job: w.job})
		b.counts.Granted++
		g.Items = append(g.Items, it)
		event.TaskGranted.Log(b.log, "job", w.job, "task", r.Task, "run", r.Number, "worker", s.ID, "holder", s.holder,
			"factor", s.factor, "waited_ms", now.Sub(w.arrived).Milliseconds(), "left_cpu", s.left.CPU)
	}
	if g == nil {
		return
	}
	if len(rest) == 0 {
		b.drop(w)
	} else {
		b.line.change(w, func() { w.Begun, w.Tasks = true, rest })
	}
	b.act(Action{To: w.owner, Grant: g})
}

// pick returns the seat for a task: one of the fastest workers with room. They differ by
// less than their estimates are wrong, so what decides between them is who holds them.
func (b *Book) pick(now time.Time, w *wait, seats []*seat, late bool, h *holders) *seat {
	if w.Rack != "" {
		return b.pickNear(now, w, seats, late)
	}
	h.clear()
	for _, s := range seats {
		if !b.fits(w, s) {
			continue
		}
		if s.probe {
			return s
		}
		if !late && b.policy.WaitForFaster.on() && now.Add(scaled(w.Estimate, s.factor)).After(w.aim) {
			break
		}
		if len(h.open) > 0 && s.factor > h.open[0].factor*alike || h.full() {
			break
		}
		h.consider(s)
	}
	return h.best(w)
}

// alike is the factor by which the times of workers differ that are taken as equally fast.
const alike = 1.1

// pickNear is pick for tasks whose data is on a rack: a slower worker there may be
// faster for them than any other.
func (b *Book) pickNear(now time.Time, w *wait, seats []*seat, late bool) *seat {
	var best *seat
	var least float64
	for _, s := range seats {
		f := s.factor * b.away(w.Rack, s.worker)
		switch {
		case !b.fits(w, s):
		case !late && b.policy.WaitForFaster.on() && now.Add(scaled(w.Estimate, f)).After(w.aim):
		case best == nil || f < least || f == least && s.left.CPU < best.left.CPU:
			best, least = s, f
		}
	}
	return best
}

func (b *Book) fits(w *wait, s *seat) bool {
	switch {
	case s.Pool != w.Pool || !w.Room.Fits(s.left):
		return false
	case w.Label != "" && w.Label != s.Kind && w.Label != s.Rack:
		return false
	case slices.Contains(w.Avoid, s.ID):
		return false
	}
	return w.Apart == 0 || s.count(w) < w.Apart
}

// count returns how many tasks of the step are on the worker.
func (s *seat) count(w *wait) int {
	n := 0
	step := w.Tasks[0].Task.Step()
	for r := range s.runs {
		if r.Task.Step() == step {
			n++
		}
	}
	return n
}
