package model

import (
	"cmp"
	"slices"
	"time"
)

// slot is the length of the pieces of time in which the workers' capacity is reckoned.
const slot = 20 * time.Millisecond

// load is a job as the bound sees it: so much work between two slots.
type load struct {
	from, to int
	// demand is the work of all tasks, in thousandths of a core times milliseconds at
	// ordinary speed.
	demand float64
	// worth is what it earns in time, late what it earns otherwise.
	worth, late float64
	// share is the part of it that is taken on.
	share float64
}

// Bound returns the part of a day's worth that can't be surpassed by any planner that uses
// the day's workers, even if it knows all times and the future, and if all processes live.
//
// It relaxes what binds a planner: a job may be worked on by all workers at once, in any
// pieces, and in part, from when its request is at a process until its answer must leave;
// what is not served in time earns as if it was late. What remains is one machine that is
// as fast as all sound workers together, and the most valuable set of jobs that it can do
// in time. With jobs in pieces, taking the one with the most worth for its work first, as
// much of it as still lets all taken before be in time, is the best there is: the sets
// that can be done in time are a polymatroid.
//
// It isn't reached: tasks are not pieces, a worker bears two or three, and estimates are
// wrong. How far a planner is from it is at least how far it is from what can be served.
func Bound(cfg Config) float64 {
	day := New(cfg)
	capacity := capacities(cfg)
	loads := make([]*load, 0, len(day.jobs))
	sumWorth := 0.0
	for _, j := range day.jobs {
		l := day.loadOf(j)
		loads = append(loads, l)
		sumWorth += l.worth
	}
	slices.SortFunc(loads, func(x, y *load) int {
		return cmp.Or(cmp.Compare((y.worth-y.late)/y.demand, (x.worth-x.late)/x.demand), cmp.Compare(x.from, y.from))
	})
	earned := 0.0
	var taken []*load
	for _, l := range loads {
		if l.to > l.from {
			at, _ := slices.BinarySearchFunc(taken, l, func(x, y *load) int { return cmp.Compare(x.from, y.from) })
			taken = slices.Insert(taken, at, l)
			l.fit(taken, capacity)
		}
		earned += l.share*l.worth + (1-l.share)*l.late
	}
	return earned / max(sumWorth, 1e-9)
}

// capacities plays the day's faults without jobs and returns what the sound workers can do
// in each slot.
func capacities(cfg Config) []float64 {
	cfg.Classes = nil
	w := New(cfg)
	out := make([]float64, int((cfg.Length+cfg.Tail)/slot)+1)
	for i := range out {
		w.at(w.start.Add(time.Duration(i)*slot), func() {
			for _, x := range w.workers {
				if x.up && x.reachable && x.health == well {
					out[i] += float64(x.Room.CPU) * x.kind.Speed / x.slow * float64(slot/time.Millisecond)
				}
			}
		})
	}
	w.Run()
	return out
}

// loadOf returns a job as the bound sees it. A job whose longest task does not fit into its
// objective on the fastest kind of worker has no time.
func (w *World) loadOf(j *job) *load {
	cl := w.cfg.Classes[j.class]
	total, longest := time.Duration(0), time.Duration(0)
	for i, d := range j.work {
		total += d + d/2*time.Duration(j.fails[i])
		longest = max(longest, d)
	}
	weight := cl.weight(j)
	l := &load{
		demand: float64(j.cpu) * float64(total/time.Microsecond) / 1000,
		worth:  cl.Worth * weight,
		late:   cl.Late * weight,
	}
	begin := j.sent.Add(w.cfg.Caller + 2*w.cfg.Near).Sub(w.start)
	end := j.sent.Add(j.aim - w.cfg.Caller - 2*w.cfg.Near).Sub(w.start)
	if begin+time.Duration(float64(longest)/w.fastest()) <= end {
		l.from, l.to = int(begin/slot), int(end/slot)+1
	}
	return l
}

// fastest is the highest speed of any kind of worker.
func (w *World) fastest() float64 {
	best := 0.0
	for _, k := range w.cfg.Kinds {
		best = max(best, k.Speed)
	}
	return best
}

// shareSteps is how finely the part of a job is sought that can be taken on.
const shareSteps = 6

// fit takes on as much of the load as lets all that is taken be in time.
func (l *load) fit(taken []*load, capacity []float64) {
	l.share = 1
	if inTime(taken, capacity) {
		return
	}
	step := 0.5
	l.share = 0
	for range shareSteps {
		l.share += step
		if !inTime(taken, capacity) {
			l.share -= step
		}
		step /= 2
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
