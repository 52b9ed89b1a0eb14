package cell

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/mesh"
)

// lookAheadInterval is the minimum time between two look-aheads. One costs about a
// millisecond when 400 jobs wait for 350 workers (BenchmarkCrowded).
const lookAheadInterval = 10 * time.Millisecond

// lookAhead schedules the pending requests, in the order in which they will be placed, on
// the slots that are free now or when running tasks end. It immediately refuses the jobs
// that would miss their objective. If such jobs stayed pending until they are certain to
// be late, their callers would wait for nothing, and the half of their tasks that was
// started by then would take resources from jobs that can still meet theirs.
func (pl *Planner) lookAhead(now time.Time) {
	if !pl.policy.LookAhead.on() || len(pl.pending) == 0 || now.Sub(pl.lastLookAhead) < lookAheadInterval {
		return
	}
	// A new planner sees no free resources of members that have not reported yet.
	if !pl.allReported() && now.Sub(pl.startedAt) < reportGracePeriod {
		return
	}
	if now.Sub(pl.startedAt) < workerDiscoveryGrace && !pl.anyAcceptsTasks() {
		return
	}
	pl.lastLookAhead = now
	queue := slices.Clone(pl.requestQueue.pending)
	groups := pl.slots(now, queue)
	queue = slices.DeleteFunc(queue, func(p *pendingRequest) bool { return pl.scheduleInTime(p, groups) || p.Begun })
	pl.refusedDelay = 0
	reason := reasonOthersFirst
	switch {
	case len(groups) == 0 && pl.allEvacuated():
		reason = reasonEvacuated
		pl.refusedDelay = evacuatedRetryAfter
	case len(groups) == 0:
		reason = reasonNoWorkers
	}
	for _, p := range queue {
		if end := pl.schedule(p, groups); !end.IsZero() {
			pl.refusedDelay = end.Sub(p.objective)
		}
		pl.refuse(now, p, reason)
	}
}

// workerDiscoveryGrace is how long a new planner that knows of no available worker
// expects some to appear: processes that were restarted together connect, read the worker
// list and take over the workers within 0.6 seconds. Refusing at once during that time
// cost a fifth of the callers in the worst two seconds of a day, most of whom could still
// have been served in time.
const workerDiscoveryGrace = time.Second

// anyAcceptsTasks reports whether at least one worker accepts tasks.
func (pl *Planner) anyAcceptsTasks() bool {
	for _, w := range pl.workers {
		if w.acceptsTasks() {
			return true
		}
	}
	return false
}

// schedule puts the tasks of a request on the slots that become free first, whether or
// not they end in time, and returns when the last of them ends. It returns the zero time
// if there are no slots.
func (pl *Planner) schedule(p *pendingRequest, groups []*slots) (last time.Time) {
	for range p.Tasks {
		g, end := pl.earliest(groups, p)
		if g == nil {
			return time.Time{}
		}
		g.freeAt[0] = end
		heap.Fix(g, 0)
		if end.After(last) {
			last = end
		}
	}
	return last
}

const (
	// minRetryAfter is the shortest delay after which a refused caller is asked to retry.
	// The callers' interface rounds up to whole seconds; with the jitter added, half of
	// the callers with this delay are told one second, the others two.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the longest such delay. Predictions further ahead are wrong by
	// then.
	maxRetryAfter = 8 * time.Second
	// maxRetryJitter is the interval over which the retries of callers that were refused at
	// the same time are spread. Together they would be the next burst.
	maxRetryJitter = time.Second
)

// retryAfter returns the delay after which a refused caller should retry: refusedDelay,
// within bounds, plus a jitter that depends on the job. During a look-ahead, refusedDelay
// is how late the job would have been, had it and all jobs refused before it been kept.
func (pl *Planner) retryAfter(job string) time.Duration {
	wait := min(max(pl.refusedDelay, minRetryAfter), maxRetryAfter)
	return wait + RetryJitter(job)
}

// RetryJitter returns a jitter of less than a second, derived from the job's ID, so that
// callers that were refused together don't retry together.
func RetryJitter(job string) time.Duration {
	return time.Duration(xxhash.Sum64String(job) % uint64(maxRetryJitter))
}

const (
	// reasonOthersFirst is the reason of a refusal when the requests ahead in the queue
	// would make the job late.
	reasonOthersFirst = "others_first"
	// reasonNoWorkers is the reason when no worker accepts tasks: none is known, or none
	// has a holder.
	reasonNoWorkers = "no_workers"
	// reasonEvacuated is the reason when all workers that would accept tasks are in data
	// centres that are being evacuated.
	reasonEvacuated = "evacuated"
)

// slots is a heap of the times at which slots become free, on workers of about the same
// speed. A slot has the resources for one task. A task is compared with the first slot of
// each of a few groups: comparing it with every slot took a planner of 350 workers more
// than its processor, so that it fell behind, more requests became pending, and the
// look-ahead took longer still.
type slots struct {
	// factor is the speed factor of the first worker in the group; speedGroupRatio bounds
	// how far the others differ from it.
	factor float64
	// rack is set only while a request that prefers a rack is pending.
	rack   string
	freeAt []time.Time
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (g *slots) Len() int { return len(g.freeAt) }

// Less orders slots by the time at which they become free.
func (g *slots) Less(i, j int) bool { return g.freeAt[i].Before(g.freeAt[j]) }

// Swap swaps two slots.
func (g *slots) Swap(i, j int) { g.freeAt[i], g.freeAt[j] = g.freeAt[j], g.freeAt[i] }

// Push appends a slot.
func (g *slots) Push(x any) { g.freeAt = append(g.freeAt, x.(time.Time)) }

// Pop removes and returns the last slot.
func (g *slots) Pop() any {
	last := g.freeAt[len(g.freeAt)-1]
	g.freeAt = g.freeAt[:len(g.freeAt)-1]
	return last
}

// speedGroupRatio is the largest ratio of speed factors within one group of slots.
// Estimates are off by more.
const speedGroupRatio = 1.05

// slots returns the groups of slots of all workers that accept tasks, or will in a
// moment, for tasks of the average CPU request in the queue.
func (pl *Planner) slots(now time.Time, queue []*pendingRequest) []*slots {
	cpu := 0
	for _, p := range queue {
		cpu += p.Resources.CPU
	}
	cpu = max(cpu/len(queue), 1)
	byRack := slices.ContainsFunc(queue, func(p *pendingRequest) bool { return p.Rack != "" })
	var out []*slots
	group := make(map[string]*slots)
	for _, w := range pl.bySpeed {
		from := now
		switch {
		case w.ejected:
			continue
		case w.acceptsTasks():
		case w.changesHolder(now), w.awaitsHolder(now):
			from = now.Add(handoverTime)
		default:
			continue
		}
		f := pl.factor(w)
		rack := ""
		if byRack {
			rack = w.Rack
		}
		g := group[rack]
		// bySpeed was sorted at the last tick; a worker whose speed has changed since
		// then starts a group of its own.
		if g == nil || f > g.factor*speedGroupRatio || f < g.factor/speedGroupRatio {
			g = &slots{factor: f, rack: rack}
			group[rack] = g
			out = append(out, g)
		}
		for range w.free().CPU / cpu {
			g.freeAt = append(g.freeAt, from)
		}
		for _, active := range w.runs {
			g.freeAt = append(g.freeAt, active.end(now, f))
		}
	}
	out = slices.DeleteFunc(out, func(g *slots) bool { return len(g.freeAt) == 0 })
	for _, g := range out {
		heap.Init(g)
	}
	return out
}

const (
	// handoverTime is how long a worker accepts no tasks during a planned change of its
	// holder: four messages between data centres and a call.
	handoverTime = 20 * time.Millisecond
	// handoverWindow is how long the slots of a worker count although it accepts no
	// tasks, because its holder is changing or has just been assigned.
	handoverWindow = 500 * time.Millisecond
)

// changesHolder reports whether a worker accepted tasks until a moment ago and is
// expected to do so again under its next holder.
func (w *worker) changesHolder(now time.Time) bool {
	return !w.open && w.listed && w.takesNew() && w.failures == 0 && now.Sub(w.closedAt) < handoverWindow
}

// awaitsHolder reports whether a worker was just assigned to a holder that has not
// reported it yet or is waiting for the worker's first answer.
func (w *worker) awaitsHolder(now time.Time) bool {
	if w.open || !w.listed || !w.takesNew() || w.failures > 0 || w.holder == (mesh.ID{}) {
		return false
	}
	return !w.confirmed && now.Sub(w.assignedAt) < assignmentRepeatInterval || now.Sub(w.heldSince) < handoverWindow
}

// end predicts when a run ends: from its progress if that is known, else from its
// estimate and the worker's speed factor.
func (a activeRun) end(now time.Time, factor float64) time.Time {
	age := now.Sub(a.startedAt)
	total := scaled(a.estimate, factor)
	if a.percent >= minProgressPercent {
		total = a.reportedAt.Sub(a.startedAt) * 100 / time.Duration(a.percent)
	}
	if total < age {
		// The run is overdue: assume that it needs another tenth of its age.
		return now.Add(age / 10)
	}
	return a.startedAt.Add(total)
}

// minProgressPercent is the progress from which on it predicts the end of a run better
// than the estimate does.
const minProgressPercent = 15

// scheduleInTime puts the tasks of a request on the slots where they end first, if all of
// them end in time there, and reports whether they do. The tasks of a job that has begun
// are scheduled even if they end late.
func (pl *Planner) scheduleInTime(p *pendingRequest, groups []*slots) bool {
	type reservation struct {
		*slots
		freeAt, end time.Time
	}
	var reservations []reservation
	latestEnd := p.arrivedAt.Add(time.Duration(float64(p.objective.Sub(p.arrivedAt)) * pl.policy.Margin))
	fits := true
	for range p.Tasks {
		g, end := pl.earliest(groups, p)
		if g == nil || end.After(latestEnd) && !p.Begun {
			fits = false
			break
		}
		reservations = append(reservations, reservation{g, g.freeAt[0], end})
		g.freeAt[0] = end
		heap.Fix(g, 0)
	}
	if fits {
		return true
	}
	for _, t := range slices.Backward(reservations) {
		i := slices.IndexFunc(t.slots.freeAt, t.end.Equal)
		t.slots.freeAt[i] = t.freeAt
		heap.Fix(t.slots, i)
	}
	return false
}

// earliest returns the group whose first slot lets a task of the request end first, and
// when the task ends. It returns nil if there are no groups.
func (pl *Planner) earliest(groups []*slots, p *pendingRequest) (best *slots, end time.Time) {
	for _, g := range groups {
		f := g.factor
		if p.Rack != "" && p.Rack != g.rack {
			f *= pl.policy.OtherRackFactor
		}
		if e := g.freeAt[0].Add(scaled(p.Estimate, f)); best == nil || e.Before(end) {
			best, end = g, e
		}
	}
	return best, end
}
