package model

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
)

// health is how a worker treats its tasks.
type health int

const (
	well health = iota
	// failing: every task fails at once.
	failing
	// hanging: tasks stand still.
	hanging
	// shedding: starts are refused.
	shedding
	// spoiling: every task fails at once, those too that were under way.
	spoiling
)

// worker is a modelled worker under leases.
type worker struct {
	lease.Worker
	world *World
	kind  Kind
	// up tells that it runs, reachable that calls reach it.
	up, reachable bool
	draining      bool
	health        health
	// slow multiplies the time of the tasks that begin.
	slow float64
	// pace is how fast all tasks get on, those under way too: 1 is ordinary, 0 stands still.
	pace float64
	// gone tells that it has left for good.
	gone bool
	// lose is the share of calls that get no answer and are carried out late.
	lose float64
	born time.Time
	// until is the end of the lease of everything that runs.
	until time.Time
	fence lease.Fence
	runs  map[lease.Run]*execution
	ended []lease.ListedEnd
	last  int64
	// stopped are the highest run numbers stopped or ended, by task.
	stopped map[lease.Task]int
	waiting []*waiter
}

// execution is a run on a worker.
type execution struct {
	lease.Run
	resources lease.Resources
	began     time.Time
	total     time.Duration
	// full is the time of the whole run at pace 1, done the part of it that was done at
	// since, and outcome its end.
	full    time.Duration
	done    float64
	since   time.Time
	outcome lease.Outcome
	// paced counts the changes of the worker's pace: an end that was reckoned before the
	// last one is not its end.
	paced int
	over  bool
	span  *span
}

// waiter is a hold call that waits for an end.
type waiter struct {
	call lease.HoldCall
	done bool
	to   func(lease.Result)
}

// span is the time of a run, for the check that no two overlap.
type span struct {
	worker     string
	run        int
	begin, end time.Time
	outcome    lease.Outcome
}

func (w *World) makeWorkers() {
	for _, dc := range w.cfg.DataCenters {
		for range dc.Workers {
			w.addWorker(dc.Name, w.cfg.Kinds[w.rnd.IntN(len(w.cfg.Kinds))])
		}
	}
}

// addWorker starts one more worker.
func (w *World) addWorker(dc string, k Kind) {
	n := len(w.workers)
	x := &worker{
		Worker: lease.Worker{
			ID:         fmt.Sprintf("w%03d", n),
			Address:    address(2, n),
			DataCenter: dc,
			Pool:       Pool,
			Kind:       k.Name,
			Rack:       fmt.Sprintf("r%d", n/8),
			Resources:  k.Resources,
		},
		world: w,
		kind:  k,
		slow:  1,
		pace:  1,
	}
	x.boot()
	w.workers = append(w.workers, x)
	w.byID[x.ID] = x
}

func (x *worker) boot() {
	if x.gone {
		return
	}
	x.up, x.reachable = true, true
	x.born = x.world.now
	x.fence, x.last, x.until = 0, 0, time.Time{}
	x.runs = make(map[lease.Run]*execution)
	x.stopped = make(map[lease.Task]int)
	x.ended, x.waiting = nil, nil
}

func (x *worker) listed() cell.ListedWorker {
	return cell.ListedWorker{Worker: x.Worker, Draining: x.draining}
}

// clock is the worker's clock in milliseconds.
func (x *worker) clock() int64 { return x.world.now.Sub(x.born).Milliseconds() + 1 }

func (x *worker) at(clock int64) time.Time {
	return x.born.Add(time.Duration(clock-1) * time.Millisecond)
}

// leaseMost is the longest lease that is granted.
const leaseMost = time.Second

func (x *worker) result(v lease.Verdict, why lease.Reason) lease.Result {
	return lease.Result{Verdict: v, Reason: why, Clock: x.clock(), Incarnation: x.born.UnixMilli()}
}

// fenced tells whether a call is of a holder that was replaced.
func (x *worker) fenced(f lease.Fence) bool {
	if f < x.fence {
		return true
	}
	x.fence = f
	return false
}

// extend extends the lease, which never shortens.
func (x *worker) extend(until int64) {
	if until == 0 {
		return
	}
	t := x.at(until)
	if most := x.world.now.Add(leaseMost); t.After(most) {
		t = most
	}
	if !t.After(x.until) {
		return
	}
	x.until = t
	born := x.born
	x.world.at(t, func() {
		if x.up && x.born.Equal(born) && !x.world.now.Before(x.until) {
			x.lapse()
		}
	})
}

// lapse kills everything.
func (x *worker) lapse() {
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		x.finish(x.runs[k], lease.LeaseExpired)
	}
}

func (x *worker) hold(c lease.HoldCall, to func(lease.Result)) {
	if x.fenced(c.Fence) {
		to(x.result(lease.Refused, lease.Fenced))
		return
	}
	x.extend(c.Until)
	x.ended = slices.DeleteFunc(x.ended, func(e lease.ListedEnd) bool { return e.Number <= c.LastEndSeen })
	if len(x.ended) > 0 || c.Wait == 0 {
		to(x.list())
		return
	}
	wt := &waiter{call: c, to: to}
	x.waiting = append(x.waiting, wt)
	x.world.after(c.Wait, func() { x.reply(wt) })
}

func (x *worker) reply(wt *waiter) {
	if wt.done || !x.up {
		return
	}
	wt.done = true
	wt.to(x.list())
}

func (x *worker) list() lease.Result {
	r := x.result(lease.OK, "")
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		e := x.runs[k]
		percent := 0
		if e.total > 0 && x.health != hanging {
			percent = min(99, int(100*x.world.now.Sub(e.began)/e.total))
		}
		r.Running = append(r.Running, lease.ListedRun{Run: k, Percent: percent})
	}
	r.Ended = slices.Clone(x.ended)
	return r
}

func compareRuns(a, b lease.Run) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

func (x *worker) used() lease.Resources {
	var r lease.Resources
	for _, e := range x.runs {
		r = r.Plus(e.resources)
	}
	return r
}

func (x *worker) start(c lease.StartCall) lease.Result {
	now := x.world.now
	x.world.told(x, c)
	if x.health == shedding {
		return x.result(lease.Refused, lease.Unhealthy)
	}
	if x.fenced(c.Fence) {
		return x.result(lease.Refused, lease.Fenced)
	}
	if now.After(x.at(c.Until)) {
		return x.result(lease.Refused, lease.Late)
	}
	if _, ok := x.runs[c.Run]; ok {
		x.extend(c.Until)
		return x.result(lease.OK, "")
	}
	if c.Number <= x.stopped[c.Task] {
		x.extend(c.Until)
		return x.result(lease.Refused, lease.AlreadyStopped)
	}
	if !x.used().Plus(c.Resources).Fits(x.Resources) {
		x.extend(c.Until)
		x.world.result.Rejected++
		return x.result(lease.Refused, lease.InsufficientResources)
	}
	x.begin(c)
	return x.result(lease.OK, "")
}

func (x *worker) begin(c lease.StartCall) {
	now := x.world.now
	total, fails := x.world.work(c.Run)
	total = time.Duration(float64(total) / x.kind.Speed * x.slow)
	e := &execution{Run: c.Run, resources: c.Resources, began: now, total: total, full: total, since: now, outcome: lease.Done}
	x.runs[c.Run] = e
	e.span = x.world.began(x, c.Run)
	x.extend(c.Until)
	switch {
	case x.health == failing || x.health == spoiling:
		e.outcome, e.full = lease.Failed, failsAfter
	case fails:
		e.outcome = lease.Failed
	}
	if x.pace == 1 {
		x.endAfter(e, e.full)
		return
	}
	x.reckon(e)
}

// failsAfter is how long a run takes to fail on a worker that fails all.
const failsAfter = 5 * time.Millisecond

// endAfter ends a run after a time, and after the worker has stopped hanging.
func (x *worker) endAfter(e *execution, d time.Duration) {
	born, paced := x.born, e.paced
	x.world.after(d, func() {
		switch {
		case !x.up || !x.born.Equal(born) || e.over || e.paced != paced:
		case x.health == hanging:
			x.endAfter(e, 100*time.Millisecond)
		default:
			x.finish(e, e.outcome)
		}
	})
}

// setPace has all tasks get on at another pace from now on.
func (x *worker) setPace(pace float64) {
	before := x.pace
	x.pace = pace
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		e := x.runs[k]
		e.done += before * float64(x.world.now.Sub(e.since)) / float64(max(e.full, 1))
		x.reckon(e)
	}
}

// reckon plans the end of a run anew, from what is done of it and the worker's pace.
func (x *worker) reckon(e *execution) {
	now := x.world.now
	e.since, e.total = now, 0
	e.paced++
	if x.pace == 0 {
		return
	}
	e.total = time.Duration(float64(e.full) / x.pace)
	passed := time.Duration(e.done * float64(e.total))
	e.began = now.Add(-passed)
	x.endAfter(e, e.total-passed)
}

func (x *worker) finish(e *execution, outcome lease.Outcome) {
	if e.over {
		return
	}
	e.over = true
	delete(x.runs, e.Run)
	x.last++
	x.ended = append(x.ended, lease.ListedEnd{Number: x.last, Run: e.Run, Outcome: outcome})
	x.stopped[e.Task] = max(x.stopped[e.Task], e.Number)
	x.world.ended(e.span, outcome)
	waiting := x.waiting
	x.waiting = nil
	for _, wt := range waiting {
		x.reply(wt)
	}
}

func (x *worker) stop(c lease.StopCall) lease.Result {
	if x.fenced(c.Fence) {
		return x.result(lease.Refused, lease.Fenced)
	}
	x.stopped[c.Task] = max(x.stopped[c.Task], c.Number)
	if e, ok := x.runs[c.Run]; ok {
		x.world.after(stopFor, func() { x.finish(e, lease.Stopped) })
	}
	return x.result(lease.OK, "")
}

// stopFor is how long a stop takes.
const stopFor = 40 * time.Millisecond

// crash ends everything on the worker without a word.
func (x *worker) crash() {
	x.up = false
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		x.runs[k].over = true
		x.world.ended(x.runs[k].span, lease.Lost)
	}
	x.runs = nil
}

// spoil fails everything on the worker, and all that begins from now on.
func (x *worker) spoil() {
	x.health = spoiling
	if !x.up {
		return
	}
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		x.finish(x.runs[k], lease.Failed)
	}
}
