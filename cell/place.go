package cell

import (
	"cmp"
	"slices"
	"time"

	"snipehub.example/event"
	"snipehub.example/lease"
)

// candidate is a worker with free resources that a task may be placed on, during one
// Place.
type candidate struct {
	*worker
	free   lease.Resources
	factor float64
	// holderMember is the worker's holder. It is set when the candidate is considered for
	// a task.
	holderMember *member
	// probe is set if the worker is ejected and takes a single probe task.
	probe bool
	// stepTasks is the number of tasks of step on the worker, counted when a request with
	// MaxPerWorker first considers the candidate.
	step      stepKey
	stepTasks int
}

// bestFactorNear returns the lowest factor for tasks whose data is on a rack, given the
// lowest factor of all workers. It caches the result in nearFactors for other requests
// that prefer the same rack.
func (pl *Planner) bestFactorNear(rack string, best float64, nearFactors map[string]float64) float64 {
	if f, ok := nearFactors[rack]; ok {
		return f
	}
	near := best * pl.policy.OtherRackFactor
	for _, w := range pl.bySpeed {
		if w.Rack == rack && w.acceptsTasks() && !w.ejected {
			near = min(near, pl.factor(w))
		}
	}
	nearFactors[rack] = near
	return near
}

// rackFactor returns the factor by which tasks with data on a rack take longer on a
// worker because it is on another rack.
func (pl *Planner) rackFactor(rack string, w *worker) float64 {
	if rack == "" || rack == w.Rack {
		return 1
	}
	return pl.policy.OtherRackFactor
}

// sortBySpeed rebuilds bySpeed.
func (pl *Planner) sortBySpeed() {
	pl.bySpeed = pl.bySpeed[:0]
	for _, w := range pl.workers {
		pl.bySpeed = append(pl.bySpeed, w)
	}
	slices.SortFunc(pl.bySpeed, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(pl.factor(x), pl.factor(y)), cmp.Compare(x.ID, y.ID))
	})
}

// acceptsTasks reports whether tasks may be started on a worker.
func (w *worker) acceptsTasks() bool {
	return w.open && w.takesNew() && (w.listed || w.failures == 0)
}

// takesNew reports whether a worker is to get new tasks at all: it does not drain, and its
// data centre is not being evacuated.
func (w *worker) takesNew() bool { return !w.drains() && !w.evacuated }

func minCPU(queue []*pendingRequest) int {
	least := queue[0].Resources.CPU
	for _, p := range queue {
		least = min(least, p.Resources.CPU)
	}
	return least
}

// candidates returns the workers with enough free CPU for the smallest pending task:
// first those that are due a probe, then the others, fastest first.
func (pl *Planner) candidates(now time.Time, least int) []*candidate {
	if len(pl.bySpeed) != len(pl.workers) {
		pl.sortBySpeed()
	}
	pl.candidateBuf = slices.Grow(pl.candidateBuf[:0], len(pl.bySpeed))
	var probes []*candidate
	for _, w := range pl.bySpeed {
		free := w.free()
		switch {
		case !w.acceptsTasks() || free.CPU < least:
		case w.probeDue(now):
			probes = append(probes, &candidate{worker: w, free: free, factor: pl.factor(w), probe: true})
		case !w.ejected:
			pl.candidateBuf = append(pl.candidateBuf, candidate{worker: w, free: free, factor: pl.factor(w)})
		}
	}
	out := probes
	for i := range pl.candidateBuf {
		out = append(out, &pl.candidateBuf[i])
	}
	byFactor := func(x, y *candidate) int { return cmp.Compare(x.factor, y.factor) }
	if rest := out[len(probes):]; !slices.IsSortedFunc(rest, byFactor) {
		slices.SortStableFunc(rest, byFactor)
	}
	return out
}

// bestFactor returns the factor of the fastest worker that accepts tasks and isn't
// ejected, or 0 if there is none. It looks at all workers because bySpeed is as of the
// last tick: the first one may have turned out to be slow since then.
func (pl *Planner) bestFactor() float64 {
	best := 0.0
	for _, w := range pl.bySpeed {
		if f := pl.factor(w); w.acceptsTasks() && !w.ejected && (best == 0 || f < best) {
			best = f
		}
	}
	return best
}

// factor returns the ratio of the time that tasks take on a worker to their estimate.
func (pl *Planner) factor(w *worker) float64 {
	if w.speed.Ends == 0 {
		return 1
	}
	return w.speed.Factor
}

// compareByPolicy orders the requests of two jobs of which both or neither have begun.
func (o Order) compareByPolicy(x, y *pendingRequest) int {
	byWork := cmp.Compare(x.work(), y.work())
	switch o {
	case ByObjective:
		return 0
	case ByWork:
		return byWork
	case ByRankWork:
		return cmp.Or(cmp.Compare(x.Rank, y.Rank), byWork)
	}
	return cmp.Compare(x.Rank, y.Rank)
}

// work returns the estimated time of all pending tasks of the request, one after the
// other.
func (p *pendingRequest) work() time.Duration { return time.Duration(len(p.Tasks)) * p.Estimate }

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// cannotMeetObjective reports whether a job that has not begun would miss its objective
// even if it started now on the fastest worker.
func (pl *Planner) cannotMeetObjective(now time.Time, p *pendingRequest, best float64) bool {
	if p.Begun {
		return false
	}
	return now.Add(scaled(p.Estimate, best)).After(p.objective)
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func (pl *Planner) refuse(now time.Time, p *pendingRequest, reason string) {
	pl.dropRequest(p)
	pl.counts.Refused[reason]++
	if (reason == reasonOthersFirst || reason == reasonCannotMeetObjective) && pl.lacksWorkers(p) {
		pl.admission.controller.Refuse(p.Queue)
	}
	event.JobRefused.Log(pl.log, "job", p.job, "queue", p.Queue, "why", reason, "waited_ms", now.Sub(p.arrivedAt).Milliseconds(), "aim_ms", p.objective.Sub(now).Milliseconds(), "waiting", len(pl.pending))
	pl.emit(Action{To: p.owner, Refusal: &Refusal{Job: p.job, Reason: reason, RetryAfter: pl.retryAfter(p.job), Waited: now.Sub(p.requestedAt)}})
}

// reasonCannotMeetObjective is the reason of a refusal when cannotMeetObjective holds.
const reasonCannotMeetObjective = "no_room_in_time"

// grantTasks grants workers to the tasks of a request, and reports whether any was granted.
func (pl *Planner) grantTasks(now time.Time, p *pendingRequest, candidates []*candidate, best float64) bool {
	if len(candidates) == 0 {
		return false
	}
	// A request that will miss its objective anyway takes any worker.
	late := now.Add(scaled(p.Estimate, best)).After(p.objective)
	var g *Grant
	h := pl.holderSelector(p)
	rest := p.Tasks
	for _, r := range p.Tasks {
		c := pl.pickCandidate(now, p, candidates, late, h)
		if c == nil {
			// The tasks of a step are alike: if there is no candidate for one, there is
			// none for the others.
			break
		}
		rest = rest[1:]
		if g == nil {
			g = &Grant{Job: p.job, Waited: now.Sub(p.requestedAt)}
		}
		h.countTask(c)
		c.free = c.free.Minus(p.Resources)
		if c.step == p.stepKey {
			c.stepTasks++
		}
		if c.probe {
			c.free = lease.Resources{}
			c.nextProbe = now.Add(c.probeInterval)
		}
		it := GrantedRun{Run: r, Worker: c.ID, Holder: c.holder, Fence: c.fence}
		if pl.needsDescription(p) {
			it.Incarnation = c.Incarnation
		}
		estimate := p.Estimate
		if rackFactor := pl.rackFactor(p.Rack, c.worker); rackFactor != 1 {
			estimate = scaled(estimate, rackFactor)
			it.Estimate = estimate
		}
		c.addRun(r, activeRun{resources: p.Resources, startedAt: now, estimate: estimate, unreported: true, job: p.job})
		pl.countGrant(now, p)
		g.Items = append(g.Items, it)
		event.TaskGranted.Log(pl.log, "job", p.job, "task", r.Task, "run", r.Number, "worker", c.ID, "holder", c.holder,
			"factor", c.factor, "waited_ms", now.Sub(p.arrivedAt).Milliseconds(), "left_cpu", c.free.CPU, "list_age_ms", pl.ListAge(now).Milliseconds())
	}
	if g == nil {
		return false
	}
	if len(rest) == 0 {
		pl.dropRequest(p)
	} else {
		pl.requestQueue.change(p, func() { p.Begun, p.Tasks = true, rest })
	}
	pl.emit(Action{To: p.owner, Grant: g})
	return true
}

// pickCandidate returns the candidate for a task: one of the fastest workers with enough
// free resources. Their speeds differ by less than the error of the estimates, so the
// choice among them is made by holder.
func (pl *Planner) pickCandidate(now time.Time, p *pendingRequest, candidates []*candidate, late bool, h *holderSelector) *candidate {
	if p.Rack != "" {
		return pl.pickCandidateNear(now, p, candidates, late)
	}
	h.clear()
	for _, c := range candidates {
		if !pl.meetsRequirements(p, c) {
			continue
		}
		if c.probe {
			return c
		}
		if !late && pl.policy.WaitForFaster.on() && now.Add(scaled(p.Estimate, c.factor)).After(p.objective) {
			break
		}
		if len(h.candidates) > 0 && c.factor > h.candidates[0].factor*similarSpeedRatio || h.full() {
			break
		}
		h.consider(c)
	}
	return h.best(p)
}

// similarSpeedRatio is the largest ratio of the factors of workers that are treated as
// equally fast.
const similarSpeedRatio = 1.1

// pickCandidateNear is pickCandidate for tasks whose data is on a rack: a slower worker
// on that rack may run them faster than any other.
func (pl *Planner) pickCandidateNear(now time.Time, p *pendingRequest, candidates []*candidate, late bool) *candidate {
	var best *candidate
	var least float64
	for _, c := range candidates {
		f := c.factor * pl.rackFactor(p.Rack, c.worker)
		switch {
		case !pl.meetsRequirements(p, c):
		case !late && pl.policy.WaitForFaster.on() && now.Add(scaled(p.Estimate, f)).After(p.objective):
		case best == nil || f < least || f == least && lessFree(c, best, p.Resources):
			best, least = c, f
		}
	}
	return best
}

// meetsRequirements reports whether a candidate has the pool, the label and the free
// resources that a request needs, is not to be avoided, is known as what it is, and has fewer
// tasks of the step than the allowed maximum.
func (pl *Planner) meetsRequirements(p *pendingRequest, c *candidate) bool {
	if !c.suits(p) || !p.Resources.Fits(c.free) || slices.Contains(p.Avoid, c.ID) {
		return false
	}
	if !c.isDescribed() && pl.needsDescription(p) {
		return false
	}
	return p.MaxPerWorker == 0 || c.countStepTasks(p) < p.MaxPerWorker
}

// suits reports whether a worker could run a task of the request if it were idle.
func (w *worker) suits(p *pendingRequest) bool {
	return w.Pool == p.Pool && p.Resources.Fits(w.Resources) && (p.Label == "" || p.Label == w.Kind || p.Label == w.Rack)
}

// countStepTasks returns how many tasks of the request's step are on the worker. The runs there
// are looked at once for all tasks of the request.
func (c *candidate) countStepTasks(p *pendingRequest) int {
	if c.step != p.stepKey {
		c.step, c.stepTasks = p.stepKey, c.tasksOfStep(p)
	}
	return c.stepTasks
}

// tasksOfStep returns how many tasks of the request's step are on the worker.
func (c *candidate) tasksOfStep(p *pendingRequest) int {
	n := 0
	step := p.Tasks[0].Task.Step()
	for r := range c.runs {
		if r.Task.Step() == step {
			n++
		}
	}
	return n
}
