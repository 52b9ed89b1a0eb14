package model

import (
	"cmp"
	"slices"
	"time"
)

// Comparison is the result of a simulated day together with upper bounds on its worth.
type Comparison struct {
	Result Result
	// Bound is an upper bound for any planner that uses the day's workers, if processes are
	// never lost. Outages is the same if requests are accepted and answered only while a
	// process is alive.
	Bound, Outages Parts
}

// Bound returns an upper bound on the share of a day's worth that any planner can earn.
func Bound(cfg Config) float64 { return Compare(cfg).Bound.Whole }

// Compare simulates a day and returns what was earned and an upper bound for any planner that
// uses the day's workers, even one that knows all durations and the future.
//
// It relaxes the planner's constraints in several ways, each of which gives a bound by itself,
// and takes the lowest. In each relaxation, all workers may work on a job at once, in any
// pieces of time and on any part of it, from when its request reaches a process until its
// answer must leave. What is not served in time earns as if it was late. A caller who leaves
// is owed nothing if it can't be served before, and otherwise counts as served at no cost,
// which can only raise a share. What remains is to choose the most valuable set of jobs that
// one machine can finish in time. Since jobs are divisible, the greedy choice is optimal: take
// jobs by decreasing worth per work, each to the largest extent that keeps all chosen ones in
// time. The sets that can be finished in time are a polymatroid.
//
// A task uses its size on that machine for the duration of its work. A worker contributes,
// times its speed, the largest total size of whole tasks that fit on it together. Any measure
// of size gives a bound, because the sizes of the tasks on a worker never add up to more than
// that. Size in cores ignores that tasks are indivisible. With size as the fraction of a
// worker's CPU, rounded up to a half, a third and so on, a task of more than half of it leaves
// no space for another one of these.
//
// A task that can't be in time on slower workers uses only the faster ones. So there is also a
// bound for each speed that considers only these workers and these tasks, with the others
// served at no cost.
//
// The bound can't be reached: work comes in indivisible tasks, the tasks of a job need their
// resources at the same time, and estimates are wrong. The distance of a planner to the bound
// is at least its distance to what can be served.
func Compare(cfg Config) Comparison {
	w := New(cfg)
	b := boundEstimator{w: w, observed: w.scheduleSampling()}
	c := Comparison{Result: w.Run()}
	b.makeViews()
	c.Bound = w.computeParts(func(jobs []*job) float64 { return b.share(jobs, false) })
	c.Outages = w.computeParts(func(jobs []*job) float64 { return b.share(jobs, true) })
	return c
}

// boundEstimator computes the upper bounds of a day that was simulated.
type boundEstimator struct {
	w        *World
	observed *timeline
	views    []view
}

// view is one way to regard the workers as a single machine.
type view struct {
	size size
	// minSpeed is the speed of the slowest workers in the view, excludedSpeed that of the
	// fastest workers that are not, or 0 if all are.
	minSpeed, excludedSpeed float64
	// capacity is the machine's capacity in each slot, in size units times milliseconds.
	capacity []float64
}

// makeViews makes the views for all size measures and speeds.
func (b *boundEstimator) makeViews() {
	speeds := []float64{0}
	for _, k := range b.w.cfg.Kinds {
		speeds = append(speeds, k.Speed)
	}
	slices.Sort(speeds)
	speeds = slices.Compact(speeds)
	for _, s := range b.w.sizes() {
		for i, slower := range speeds[:len(speeds)-1] {
			v := view{size: s, minSpeed: speeds[i+1], excludedSpeed: slower}
			v.capacity = b.capacity(v)
			b.views = append(b.views, v)
		}
	}
}

// capacity returns the capacity of a view's workers in each slot.
func (b *boundEstimator) capacity(v view) []float64 {
	out := make([]float64, len(b.observed.alive))
	for k, x := range b.w.workers {
		if x.kind.Speed < v.minSpeed {
			continue
		}
		perSlot := v.size.most(x.Resources.CPU) * x.kind.Speed * float64(slot) / float64(time.Millisecond)
		for i, p := range b.observed.pace[k] {
			out[i] += perSlot * p
		}
	}
	return out
}

// share returns an upper bound on the share of the worth of some jobs that can be earned.
func (b *boundEstimator) share(jobs []*job, outages bool) float64 {
	lowest := 1.0
	for _, v := range b.views {
		lowest = min(lowest, b.shareInView(v, jobs, outages))
	}
	return lowest
}

// workload is the work of a job in a view, to be done between two slots.
type workload struct {
	fromSlot, toSlot int
	// demand is the work of all tasks, in size units times milliseconds at normal speed.
	demand float64
	// gain is the value of meeting the objective beyond that of being late.
	gain float64
	// share is the part of the work that is accepted.
	share float64
}

func (b *boundEstimator) shareInView(v view, jobs []*job, outages bool) float64 {
	earned, owed := 0.0, 0.0
	var loads []*workload
	for _, j := range jobs {
		cl := b.w.cfg.Classes[j.class]
		weight := cl.weight(j)
		if !j.abandonsAt.IsZero() {
			if _, ok := b.workPeriod(j, j.abandonsAt, outages); ok {
				earned += cl.Worth * weight
				owed += cl.Worth * weight
			}
			continue
		}
		owed += cl.Worth * weight
		if _, ok := b.workPeriod(j, j.sent.Add(lateFactor*j.objective), outages); ok {
			earned += cl.Late * weight
		}
		s, ok := b.workPeriod(j, j.sent.Add(j.objective), outages)
		if !ok {
			continue
		}
		gain := (cl.Worth - cl.Late) * weight
		demand := v.demand(j, s.For)
		if demand == 0 {
			earned += gain
			continue
		}
		loads = append(loads, &workload{
			fromSlot: int(s.At / slot), toSlot: int((s.At+s.For)/slot) + 1,
			demand: demand, gain: gain,
		})
	}
	return earnedRatio(earned+maxGain(loads, v.capacity), owed)
}

// demand returns the work of a job on a view's machine if it has to be done within d. A job
// whose runs all fail takes nothing, as if each run met a worker on which it fails at once.
func (v view) demand(j *job, d time.Duration) float64 {
	if j.alwaysFails {
		return 0
	}
	total := time.Duration(0)
	for _, t := range j.work {
		if v.excludedSpeed == 0 || float64(t)/v.excludedSpeed > float64(d) {
			total += t
		}
	}
	return v.size.of(j.cpu) * float64(total) / float64(time.Millisecond)
}

// workPeriod returns the period in which workers can work on a job that must be answered by
// last, and false if its longest task does not fit into it. With outages, the caller
// retries while it finds no process, and again after all processes have been lost.
func (b *boundEstimator) workPeriod(j *job, last time.Time, outages bool) (Span, bool) {
	w := b.w
	begin, end := j.sent.Sub(w.start), last.Sub(w.start)
	if outages {
		begin, end = b.observed.answerPeriod(begin, end)
	}
	begin += w.cfg.CallerDelay + w.cfg.LocalDelay
	end -= w.cfg.CallerDelay + w.cfg.LocalDelay
	longest := time.Duration(0)
	if !j.alwaysFails {
		longest = slices.Max(j.work)
	}
	ok := begin+time.Duration(float64(longest)/w.maxSpeed()) <= end
	return Span{At: begin, For: end - begin}, ok
}

// answerPeriod returns when a caller that submits at begin first finds a process, and the latest
// time up to last at which an answer can reach it.
func (t *timeline) answerPeriod(begin, last time.Duration) (first, end time.Duration) {
	first, end = last, last
	for at := begin; at < last; {
		i := int(at / slot)
		if !t.aliveAt(i) {
			at += resendDelay
			continue
		}
		first = min(first, at)
		for t.aliveAt(i) {
			i++
		}
		lost := time.Duration(i) * slot
		end = min(last, lost)
		// The processes were lost up to one slot earlier.
		at = max(at, lost-slot) + resendDelay
	}
	return first, end
}

// maxSpeed returns the highest speed of any kind of worker.
func (w *World) maxSpeed() float64 {
	best := 0.0
	for _, k := range w.cfg.Kinds {
		best = max(best, k.Speed)
	}
	return best
}

// maxGain returns an upper bound on the total gain of workloads on a machine.
func maxGain(loads []*workload, capacity []float64) float64 {
	all := 0.0
	for _, l := range loads {
		l.share = 1
		all += l.gain
	}
	slices.SortStableFunc(loads, func(x, y *workload) int { return cmp.Compare(x.fromSlot, y.fromSlot) })
	if allInTime(loads, capacity) {
		return all
	}
	byValue := slices.Clone(loads)
	slices.SortStableFunc(byValue, func(x, y *workload) int { return cmp.Compare(y.gain/y.demand, x.gain/x.demand) })
	gained := 0.0
	var accepted []*workload
	for _, l := range byValue {
		at, _ := slices.BinarySearchFunc(accepted, l, func(x, y *workload) int { return cmp.Compare(x.fromSlot, y.fromSlot) })
		accepted = slices.Insert(accepted, at, l)
		l.fitShare(accepted, capacity)
		gained += l.gain * min(1, l.share+shareStep)
		if l.share == 0 {
			accepted = slices.Delete(accepted, at, at+1)
		}
	}
	return min(gained, all)
}

const (
	// shareSteps is the number of bisection steps in the search for the share of a job that can
	// be accepted, and shareStep the largest amount by which the result is too low.
	shareSteps = 8
	shareStep  = 1.0 / (1 << shareSteps)
)

// fitShare sets the share of the workload to the largest one with which all accepted workloads
// are in time.
func (l *workload) fitShare(accepted []*workload, capacity []float64) {
	l.share = 1
	if allInTime(accepted, capacity) {
		return
	}
	l.share = shareStep
	if !allInTime(accepted, capacity) {
		l.share = 0
		return
	}
	l.share = 0
	for step := 0.5; step >= shareStep; step /= 2 {
		l.share += step
		if !allInTime(accepted, capacity) {
			l.share -= step
		}
	}
}

// allInTime reports whether all workloads, which are sorted by their first slots, are done in
// time under earliest-deadline-first order. If that fails, every order does.
func allInTime(accepted []*workload, capacity []float64) bool {
	type remainder struct {
		toSlot int
		left   float64
	}
	var pending []remainder
	next := 0
	for i, left := range capacity {
		for next < len(accepted) && accepted[next].fromSlot <= i {
			r := remainder{accepted[next].toSlot, accepted[next].share * accepted[next].demand}
			at, _ := slices.BinarySearchFunc(pending, r, func(x, y remainder) int { return cmp.Compare(x.toSlot, y.toSlot) })
			pending = slices.Insert(pending, at, r)
			next++
		}
		if len(pending) == 0 && next == len(accepted) {
			return true
		}
		for len(pending) > 0 && pending[0].left <= left {
			left -= pending[0].left
			pending = pending[1:]
		}
		if len(pending) > 0 {
			pending[0].left -= left
			if pending[0].toSlot <= i+1 {
				return false
			}
		}
	}
	return true
}
