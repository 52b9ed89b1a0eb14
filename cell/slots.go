package cell

import (
	"container/heap"
	"slices"
	"time"

	"snipehub.example/lease"
)

// resource is a kind of resource of a worker.
type resource int

const (
	cpu resource = iota
	memory
	gpu
)

// demand distinguishes the pending requests that compete for the same resource of the same
// workers. The look-ahead plans each by itself: a task that needs memory alone does not wait
// for CPU, nor does it take CPU from others.
type demand struct {
	pool string
	// limit is the resource that limits how many tasks fit on a worker: GPUs if any are
	// needed, else CPU if any is needed, else memory.
	limit resource
}

func demandOf(p *pendingRequest) demand { return demand{p.Pool, limitOf(p.Resources)} }

func limitOf(r lease.Resources) resource {
	switch {
	case r.GPU > 0:
		return gpu
	case r.CPU > 0:
		return cpu
	}
	return memory
}

// amount returns how much of a resource r has.
func amount(r lease.Resources, of resource) int {
	switch of {
	case gpu:
		return r.GPU
	case memory:
		return r.Memory
	}
	return r.CPU
}

// queuedDemand is what the pending requests of one demand ask for.
type queuedDemand struct {
	// mean is the average resources of a task, tasks the number of tasks.
	mean  lease.Resources
	tasks int
	// byRack and byKind are set if some of the requests can, or should, only run on certain
	// racks or kinds of worker.
	byRack, byKind bool
}

// queuedDemands returns what pending requests ask for.
func queuedDemands(queue []*pendingRequest) map[demand]*queuedDemand {
	out := make(map[demand]*queuedDemand)
	requests := make(map[demand]int)
	for _, p := range queue {
		d := demandOf(p)
		q := out[d]
		if q == nil {
			q = &queuedDemand{}
			out[d] = q
		}
		requests[d]++
		q.mean = q.mean.Plus(p.Resources)
		q.tasks += len(p.Tasks)
		q.byRack = q.byRack || p.Rack != "" || p.Label != ""
		q.byKind = q.byKind || p.Label != ""
	}
	for d, q := range out {
		n := requests[d]
		q.mean = lease.Resources{CPU: q.mean.CPU / n, Memory: q.mean.Memory / n, GPU: q.mean.GPU / n}
	}
	return out
}

// fitting returns how many tasks that need the given resources fit into free ones, up to most.
func fitting(free, need lease.Resources, most int) int {
	for _, r := range []resource{cpu, memory, gpu} {
		if n := amount(need, r); n > 0 {
			most = min(most, amount(free, r)/n)
		}
	}
	return max(most, 0)
}

// slots is a heap of the times at which slots become free, on workers of about the same
// speed. A slot has the resources for one task. A task is compared with the first slot of
// each of a few groups: comparing it with every slot took a planner of 350 workers more
// than its processor, so that it fell behind, more requests became pending, and the
// look-ahead took longer still.
type slots struct {
	// factor is the speed factor of the first worker in the group; speedGroupRatio bounds
	// how far the others differ from it.
	factor float64
	slotGroup
	heap []slotCount
}

// slotCount is a number of slots that become free at the same time. How many tasks fit on a
// worker depends on what they ask for, so slots must not be kept one by one.
type slotCount struct {
	freeAt time.Time
	n      int
}

// slotGroup tells groups of slots on workers of the same speed apart. The fields are set only
// while a pending request asks for a rack or a kind.
type slotGroup struct{ rack, kind string }

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (g *slots) Len() int { return len(g.heap) }

// Less orders slots by the time at which they become free.
func (g *slots) Less(i, j int) bool { return g.heap[i].freeAt.Before(g.heap[j].freeAt) }

// Swap swaps two entries.
func (g *slots) Swap(i, j int) { g.heap[i], g.heap[j] = g.heap[j], g.heap[i] }

// Push appends an entry.
func (g *slots) Push(x any) { g.heap = append(g.heap, x.(slotCount)) }

// Pop removes and returns the last entry.
func (g *slots) Pop() any {
	last := g.heap[len(g.heap)-1]
	g.heap = g.heap[:len(g.heap)-1]
	return last
}

// add adds slots before the heap is initialised.
func (g *slots) add(freeAt time.Time, n int) {
	if n > 0 {
		g.heap = append(g.heap, slotCount{freeAt, n})
	}
}

// change has up to n of the slots at an index become free at another time, and returns how many.
func (g *slots) change(i, n int, freeAt time.Time) int {
	at := &g.heap[i]
	if at.n <= n {
		n, at.freeAt = at.n, freeAt
		heap.Fix(g, i)
		return n
	}
	at.n -= n
	heap.Push(g, slotCount{freeAt, n})
	return n
}

// accepts reports whether tasks of a request may run on the workers of the group.
func (g *slots) accepts(p *pendingRequest) bool {
	return p.Label == "" || p.Label == g.kind || p.Label == g.rack
}

// speedGroupRatio is the largest ratio of speed factors within one group of slots.
// Estimates are off by more.
const speedGroupRatio = 1.05

// slots returns, for each demand in a queue, the groups of slots of all workers that accept
// tasks, or will in a moment, for tasks of the average size.
func (pl *Planner) slots(now time.Time, queue []*pendingRequest) map[demand][]*slots {
	out := make(map[demand][]*slots)
	for d, q := range queuedDemands(queue) {
		out[d] = pl.slotsFor(now, d, q)
	}
	return out
}

func (pl *Planner) slotsFor(now time.Time, d demand, q *queuedDemand) (out []*slots) {
	groups := make(map[slotGroup]*slots)
	for _, w := range pl.bySpeed {
		from, ok := pl.acceptsFrom(now, w)
		if !ok || w.Pool != d.pool {
			continue
		}
		f := pl.factor(w)
		var id slotGroup
		if q.byRack {
			id.rack = w.Rack
		}
		if q.byKind {
			id.kind = w.Kind
		}
		g := groups[id]
		// bySpeed was sorted at the last tick; a worker whose speed has changed since
		// then starts a group of its own.
		if g == nil || f > g.factor*speedGroupRatio || f < g.factor/speedGroupRatio {
			g = &slots{factor: f, slotGroup: id}
			groups[id] = g
			out = append(out, g)
		}
		g.add(from, fitting(w.free(), q.mean, q.tasks))
		for _, active := range w.runs {
			if amount(active.resources, d.limit) > 0 {
				g.add(active.end(now, f), 1)
			}
		}
	}
	out = slices.DeleteFunc(out, func(g *slots) bool { return len(g.heap) == 0 })
	for _, g := range out {
		heap.Init(g)
	}
	return out
}

// acceptsFrom returns from when on a worker accepts tasks; ok is false if that is not foreseen.
func (pl *Planner) acceptsFrom(now time.Time, w *worker) (from time.Time, ok bool) {
	switch {
	case w.ejected:
		return time.Time{}, false
	case w.acceptsTasks():
		return now, true
	case w.changesHolder(now), w.awaitsHolder(now):
		return now.Add(handoverTime), true
	}
	return time.Time{}, false
}

// reservation is slots on which tasks were scheduled, and when they were free before.
type reservation struct {
	*slots
	freeAt, end time.Time
	n           int
}

// undo makes the slots free again.
func (r reservation) undo() {
	for r.n > 0 {
		i := slices.IndexFunc(r.heap, func(s slotCount) bool { return s.freeAt.Equal(r.end) })
		r.n -= r.change(i, r.n, r.freeAt)
	}
}

// scheduleInTime puts the tasks of a request on the slots where they end first, if all of
// them end in time there, and reports whether they do. The tasks of a job that has begun
// are scheduled even if they end late.
func (pl *Planner) scheduleInTime(p *pendingRequest, groups []*slots) bool {
	var reservations []reservation
	latestEnd := p.arrivedAt.Add(time.Duration(float64(p.objective.Sub(p.arrivedAt)) * pl.policy.Margin))
	for rest := len(p.Tasks); rest > 0; {
		r := pl.reserve(p, groups, rest)
		if r.n == 0 || r.end.After(latestEnd) && !p.Begun {
			if r.n > 0 {
				r.undo()
			}
			for _, r := range slices.Backward(reservations) {
				r.undo()
			}
			return false
		}
		reservations = append(reservations, r)
		rest -= r.n
	}
	return true
}

// schedule puts the tasks of a request on the slots that become free first, whether or
// not they end in time, and returns when the last of them ends. It returns the zero time
// if there are no slots.
func (pl *Planner) schedule(p *pendingRequest, groups []*slots) (last time.Time) {
	for rest := len(p.Tasks); rest > 0; {
		r := pl.reserve(p, groups, rest)
		if r.n == 0 {
			return time.Time{}
		}
		if r.end.After(last) {
			last = r.end
		}
		rest -= r.n
	}
	return last
}

// reserve puts up to n tasks of a request on the first slots of the group where they end
// first. It reserves none if there are no slots.
func (pl *Planner) reserve(p *pendingRequest, groups []*slots, n int) reservation {
	g, end := pl.earliest(groups, p)
	if g == nil {
		return reservation{}
	}
	freeAt := g.heap[0].freeAt
	return reservation{g, freeAt, end, g.change(0, n, end)}
}

// earliest returns the group whose first slot lets a task of the request end first, and
// when the task ends. It returns nil if there are no groups.
func (pl *Planner) earliest(groups []*slots, p *pendingRequest) (best *slots, end time.Time) {
	for _, g := range groups {
		if !g.accepts(p) {
			continue
		}
		f := g.factor
		if p.Rack != "" && p.Rack != g.rack {
			f *= pl.policy.OtherRackFactor
		}
		if e := g.heap[0].freeAt.Add(scaled(p.Estimate, f)); best == nil || e.Before(end) {
			best, end = g, e
		}
	}
	return best, end
}
