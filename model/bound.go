package model

import (
	"cmp"
	"slices"
	"time"
)

// Comparison is a day as it was played, and what could have been earned on it.
type Comparison struct {
	Result Result
	// Bound is what no planner can surpass that uses the day's workers, if processes are
	// never lost; Outages is the same if requests are taken in and answered only while a
	// process lives.
	Bound, Outages Parts
}

// Bound returns the part of a day's worth that can't be surpassed by any planner.
func Bound(cfg Config) float64 { return Compare(cfg).Bound.Whole }

// Compare plays a day and returns what was earned and what can't be surpassed by any
// planner that uses the day's workers, even if it knows all times and the future.
//
// It relaxes what binds a planner, in several ways, of which the lowest counts, since each
// alone is a bound. In each, a job may be worked on by all workers at once, in any pieces
// of time, and in part, from when its request is at a process until its answer must leave;
// what is not served in time earns as if it was late, and a caller who leaves is owed
// nothing if it can't be served before, and else counts as served at no cost, which can
// only raise a share. What remains is one machine and the most valuable set of jobs that it
// can do in time. With jobs in pieces, taking the one with the most worth for its work
// first, as much of it as still lets all taken before be in time, is the best there is:
// the sets that can be done in time are a polymatroid.
//
// What a task takes of that machine is a size of it for the time of its work, and what a
// worker adds to it, times its speed, is the most that whole tasks fit beside one another
// there. Any way to tell sizes gives a bound, because at no moment do the sizes of the
// tasks on a worker add up to more than that. Cores as sizes know no whole tasks; with the
// part of a worker's room, rounded up to a half, a third and so on, a task of more than
// half of it leaves no room for another one of these.
//
// A task that can't be in time on slower workers takes of the faster ones alone. So there
// is also a bound for each speed: of these workers and these tasks, the others being
// served at no cost.
//
// It isn't reached: work has lumps in time, a job's tasks need their room at the same time,
// and estimates are wrong. How far a planner is from it is at least how far it is from what
// can be served.
func Compare(cfg Config) Comparison {
	w := New(cfg)
	b := bounds{w: w, line: w.sample()}
	c := Comparison{Result: w.Run()}
	b.look()
	c.Bound = w.parts(func(jobs []*job) float64 { return b.share(jobs, false) })
	c.Outages = w.parts(func(jobs []*job) float64 { return b.share(jobs, true) })
	return c
}

// bounds reckons what can be earned at most on a day that was played.
type bounds struct {
	w     *World
	line  *timeline
	views []view
}

// view is one way to see the workers as one machine.
type view struct {
	size size
	// speed is that of the slowest workers that are part of it, slower that of the
	// fastest that are not, 0 if all are.
	speed, slower float64
	// capacity is what the machine does in each slot, in sizes times milliseconds.
	capacity []float64
}

// look makes all views.
func (b *bounds) look() {
	speeds := []float64{0}
	for _, k := range b.w.cfg.Kinds {
		speeds = append(speeds, k.Speed)
	}
	slices.Sort(speeds)
	speeds = slices.Compact(speeds)
	for _, s := range b.w.sizes() {
		for i, slower := range speeds[:len(speeds)-1] {
			v := view{size: s, speed: speeds[i+1], slower: slower}
			v.capacity = b.capacity(v)
			b.views = append(b.views, v)
		}
	}
}

// capacity is what the workers of a view can do in each slot.
func (b *bounds) capacity(v view) []float64 {
	out := make([]float64, len(b.line.alive))
	for k, x := range b.w.workers {
		if x.kind.Speed < v.speed {
			continue
		}
		most := v.size.most(x.Resources.CPU) * x.kind.Speed * float64(slot) / float64(time.Millisecond)
		for i, p := range b.line.pace[k] {
			out[i] += most * p
		}
	}
	return out
}

// share is the part of the worth of some jobs that can't be surpassed.
func (b *bounds) share(jobs []*job, outages bool) float64 {
	least := 1.0
	for _, v := range b.views {
		least = min(least, b.shareIn(v, jobs, outages))
	}
	return least
}

// load is a job as a view sees it: so much work between two slots.
type load struct {
	from, to int
	// demand is the work of all tasks, in sizes times milliseconds at ordinary speed.
	demand float64
	// gain is what it earns in time beyond what it earns late.
	gain float64
	// share is the part of it that is taken on.
	share float64
}

func (b *bounds) shareIn(v view, jobs []*job, outages bool) float64 {
	earned, owed := 0.0, 0.0
	var loads []*load
	for _, j := range jobs {
		cl := b.w.cfg.Classes[j.class]
		weight := cl.weight(j)
		if !j.abandonsAt.IsZero() {
			if _, ok := b.span(j, j.abandonsAt, outages); ok {
				earned += cl.Worth * weight
				owed += cl.Worth * weight
			}
			continue
		}
		owed += cl.Worth * weight
		if _, ok := b.span(j, j.sent.Add(lateFactor*j.objective), outages); ok {
			earned += cl.Late * weight
		}
		s, ok := b.span(j, j.sent.Add(j.objective), outages)
		if !ok {
			continue
		}
		gain := (cl.Worth - cl.Late) * weight
		demand := v.demand(j, s.For)
		if demand == 0 {
			earned += gain
			continue
		}
		loads = append(loads, &load{
			from: int(s.At / slot), to: int((s.At+s.For)/slot) + 1,
			demand: demand, gain: gain,
		})
	}
	return part(earned+most(loads, v.capacity), owed)
}

// demand is what a job takes of a view's machine if it has so much time. A run that fails
// takes nothing, as if it always met a worker on which it fails at once.
func (v view) demand(j *job, d time.Duration) float64 {
	if j.alwaysFails {
		return 0
	}
	total := time.Duration(0)
	for _, t := range j.work {
		if v.slower == 0 || float64(t)/v.slower > float64(d) {
			total += t
		}
	}
	return v.size.of(j.cpu) * float64(total) / float64(time.Millisecond)
}

// span is when workers can work on a job that has to be answered by a time, false if its
// longest task is too long for that. With outages, its caller comes back as long as it
// finds nobody, and again when all processes have been lost.
func (b *bounds) span(j *job, last time.Time, outages bool) (Span, bool) {
	w := b.w
	begin, end := j.sent.Sub(w.start), last.Sub(w.start)
	if outages {
		begin, end = b.line.open(begin, end)
	}
	begin += w.cfg.Caller + w.cfg.Near
	end -= w.cfg.Caller + w.cfg.Near
	longest := time.Duration(0)
	if !j.alwaysFails {
		longest = slices.Max(j.work)
	}
	ok := begin+time.Duration(float64(longest)/w.fastest()) <= end
	return Span{At: begin, For: end - begin}, ok
}

// open returns when a caller that begins to ask at a time first finds a process, and the
// last time until another one at which an answer can reach it.
func (t *timeline) open(begin, last time.Duration) (first, end time.Duration) {
	first, end = last, last
	for at := begin; at < last; {
		i := int(at / slot)
		if !t.upAt(i) {
			at += resendDelay
			continue
		}
		first = min(first, at)
		for t.upAt(i) {
			i++
		}
		lost := time.Duration(i) * slot
		end = min(last, lost)
		// The loss was up to a slot earlier.
		at = max(at, lost-slot) + resendDelay
	}
	return first, end
}

// fastest is the highest speed of any kind of worker.
func (w *World) fastest() float64 {
	best := 0.0
	for _, k := range w.cfg.Kinds {
		best = max(best, k.Speed)
	}
	return best
}

// most is the most that loads can gain.
func most(loads []*load, capacity []float64) float64 {
	all := 0.0
	for _, l := range loads {
		l.share = 1
		all += l.gain
	}
	slices.SortStableFunc(loads, func(x, y *load) int { return cmp.Compare(x.from, y.from) })
	if inTime(loads, capacity) {
		return all
	}
	byValue := slices.Clone(loads)
	slices.SortStableFunc(byValue, func(x, y *load) int { return cmp.Compare(y.gain/y.demand, x.gain/x.demand) })
	gained := 0.0
	var taken []*load
	for _, l := range byValue {
		at, _ := slices.BinarySearchFunc(taken, l, func(x, y *load) int { return cmp.Compare(x.from, y.from) })
		taken = slices.Insert(taken, at, l)
		l.fit(taken, capacity)
		gained += l.gain * min(1, l.share+shareStep)
		if l.share == 0 {
			taken = slices.Delete(taken, at, at+1)
		}
	}
	return min(gained, all)
}

const (
	// shareSteps is how finely the part of a job is sought that can be taken on, and
	// shareStep by how much it is found too low at most.
	shareSteps = 8
	shareStep  = 1.0 / (1 << shareSteps)
)

// fit takes on as much of the load as lets all that is taken be in time.
func (l *load) fit(taken []*load, capacity []float64) {
	l.share = 1
	if inTime(taken, capacity) {
		return
	}
	l.share = shareStep
	if !inTime(taken, capacity) {
		l.share = 0
		return
	}
	l.share = 0
	for step := 0.5; step >= shareStep; step /= 2 {
		l.share += step
		if !inTime(taken, capacity) {
			l.share -= step
		}
	}
}

// inTime tells whether all loads, which are in the order of their beginnings, are done in
// time if what ends first is always worked on first. If that fails, every order does.
func inTime(taken []*load, capacity []float64) bool {
	type rest struct {
		to   int
		left float64
	}
	var open []rest
	next := 0
	for i, left := range capacity {
		for next < len(taken) && taken[next].from <= i {
			r := rest{taken[next].to, taken[next].share * taken[next].demand}
			at, _ := slices.BinarySearchFunc(open, r, func(x, y rest) int { return cmp.Compare(x.to, y.to) })
			open = slices.Insert(open, at, r)
			next++
		}
		if len(open) == 0 && next == len(taken) {
			return true
		}
		for len(open) > 0 && open[0].left <= left {
			left -= open[0].left
			open = open[1:]
		}
		if len(open) > 0 {
			open[0].left -= left
			if open[0].to <= i+1 {
				return false
			}
		}
	}
	return true
}
