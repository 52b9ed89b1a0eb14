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

// health is the way in which a worker handles its tasks.
type health int

const (
	healthy health = iota
	// failing: every task that begins fails at once.
	failing
	// hanging: tasks make no progress.
	hanging
	// refusing: every start is refused.
	refusing
	// failingAll: every task fails at once, including those already running.
	failingAll
)

// worker is a simulated worker that runs tasks under leases.
type worker struct {
	lease.Worker
	world *World
	kind  Kind
	// up is set while the worker runs, reachable while calls can reach it.
	up, reachable bool
	draining      bool
	drainsSince   time.Time
	health        health
	// slowdown multiplies the duration of tasks that begin.
	slowdown float64
	// pace is the rate of progress of all tasks, including those already running: 1 is normal,
	// 0 means none.
	pace float64
	// removed is set once the worker has left permanently.
	removed bool
	// lateCallShare is the share of calls that get no answer and are executed late.
	lateCallShare float64
	startedAt     time.Time
	// leaseEnd is the end of the lease, which covers all runs.
	leaseEnd      time.Time
	fence         lease.Fence
	runs          map[lease.Run]*execution
	ended         []lease.ListedEnd
	lastEndNumber int64
	// lastStopped holds the highest run number that was stopped or has ended, by task.
	lastStopped  map[lease.Task]int
	pendingHolds []*pendingHold
}

// execution is a run on a worker.
type execution struct {
	lease.Run
	resources lease.Resources
	// began and total, the start and duration of the run, yield the reported percentage. Each change
	// of pace recomputes them as if the run had always had the new pace; total is 0 at pace 0.
	began time.Time
	total time.Duration
	// fullTime is the duration of the whole run at pace 1, progress the fraction of it that was
	// done at progressAt, and outcome the outcome that the run will have.
	fullTime   time.Duration
	progress   float64
	progressAt time.Time
	outcome    lease.Outcome
	// paceChanges counts the changes of the worker's pace. An end scheduled before the last change
	// is obsolete.
	paceChanges int
	finished    bool
	span        *span
}

// pendingHold is a hold call that waits for a run to end.
type pendingHold struct {
	call     lease.HoldCall
	answered bool
	respond  func(lease.Result)
}

// span is the time interval of a run, for the check that no two runs of a task overlap.
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

// addWorker adds a worker and starts it.
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
		world:    w,
		kind:     k,
		slowdown: 1,
		pace:     1,
	}
	x.boot()
	w.workers = append(w.workers, x)
	w.workersByID[x.ID] = x
}

func (x *worker) boot() {
	if x.removed {
		return
	}
	x.up, x.reachable = true, true
	x.startedAt = x.world.now
	x.fence, x.lastEndNumber, x.leaseEnd = 0, 0, time.Time{}
	x.runs = make(map[lease.Run]*execution)
	x.lastStopped = make(map[lease.Task]int)
	x.ended, x.pendingHolds = nil, nil
}

func (x *worker) listed() cell.ListedWorker {
	l := cell.ListedWorker{Worker: x.Worker, Draining: x.draining}
	l.Incarnation = x.incarnation()
	return l
}

// incarnation returns what distinguishes the worker's current start from others.
func (x *worker) incarnation() int64 { return x.startedAt.UnixMilli() }

// clock returns the worker's clock in milliseconds. It counts from the worker's start.
func (x *worker) clock() int64 { return x.world.now.Sub(x.startedAt).Milliseconds() + 1 }

func (x *worker) at(clock int64) time.Time {
	return x.startedAt.Add(time.Duration(clock-1) * time.Millisecond)
}

// maxLease is the longest lease that a worker accepts.
const maxLease = time.Second

func (x *worker) result(v lease.Verdict, why lease.Reason) lease.Result {
	return lease.Result{Verdict: v, Reason: why, Clock: x.clock(), Incarnation: x.incarnation()}
}

// fenced reports whether a call comes from a holder that was replaced. Otherwise it records
// the call's fence as the current one.
func (x *worker) fenced(f lease.Fence) bool {
	if f < x.fence {
		return true
	}
	x.fence = f
	return false
}

// extend extends the lease to a time on the worker's clock; it never shortens it.
func (x *worker) extend(until int64) {
	if until == 0 {
		return
	}
	t := x.at(until)
	if latest := x.world.now.Add(maxLease); t.After(latest) {
		t = latest
	}
	if !t.After(x.leaseEnd) {
		return
	}
	x.leaseEnd = t
	startedAt := x.startedAt
	x.world.at(t, func() {
		if x.up && x.startedAt.Equal(startedAt) && !x.world.now.Before(x.leaseEnd) {
			x.expire()
		}
	})
}

// expire ends all runs because the lease has expired.
func (x *worker) expire() {
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		x.finish(x.runs[k], lease.LeaseExpired)
	}
}

func (x *worker) hold(c lease.HoldCall, respond func(lease.Result)) {
	if x.fenced(c.Fence) {
		respond(x.result(lease.Refused, lease.Fenced))
		return
	}
	x.extend(c.Until)
	x.ended = slices.DeleteFunc(x.ended, func(e lease.ListedEnd) bool { return e.Number <= c.LastEndSeen })
	if len(x.ended) > 0 || c.Wait == 0 {
		respond(x.listRuns())
		return
	}
	wt := &pendingHold{call: c, respond: respond}
	x.pendingHolds = append(x.pendingHolds, wt)
	x.world.after(c.Wait, func() { x.reply(wt) })
}

func (x *worker) reply(wt *pendingHold) {
	if wt.answered || !x.up {
		return
	}
	wt.answered = true
	wt.respond(x.listRuns())
}

func (x *worker) listRuns() lease.Result {
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
	x.world.checkStart(x, c)
	if x.health == refusing {
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
	if c.Number <= x.lastStopped[c.Task] {
		x.extend(c.Until)
		return x.result(lease.Refused, lease.AlreadyStopped)
	}
	if !x.world.cfg.Unguarded && !x.used().Plus(c.Resources).Fits(x.Resources) {
		x.extend(c.Until)
		x.world.result.Rejected++
		return x.result(lease.Refused, lease.InsufficientResources)
	}
	x.world.checkLabel(x, c.Run)
	x.world.checkStepLimit(x, c.Run)
	x.begin(c)
	return x.result(lease.OK, "")
}

func (x *worker) begin(c lease.StartCall) {
	now := x.world.now
	total, fails := x.world.work(c.Run)
	total = time.Duration(float64(total) / x.kind.Speed * x.slowdown)
	e := &execution{Run: c.Run, resources: c.Resources, began: now, total: total, fullTime: total, progressAt: now, outcome: lease.Done}
	x.runs[c.Run] = e
	e.span = x.world.began(x, c.Run)
	if used := x.used(); !used.Fits(x.Resources) {
		x.world.violation("LIMIT: %s run %d starts on %s, where %+v of %+v are in use then", c.Task, c.Number, x.ID, used, x.Resources)
	}
	x.extend(c.Until)
	switch {
	case x.health == failing || x.health == failingAll:
		e.outcome, e.fullTime = lease.Failed, failureDelay
	case fails:
		e.outcome = lease.Failed
	}
	if x.pace == 1 {
		x.endAfter(e, e.fullTime)
		return
	}
	x.reschedule(e)
}

// failureDelay is the duration of a run on a worker that fails every task.
const failureDelay = 5 * time.Millisecond

// endAfter ends a run after a delay, or once the worker has stopped hanging if that is later.
func (x *worker) endAfter(e *execution, d time.Duration) {
	startedAt, paceChanges := x.startedAt, e.paceChanges
	x.world.after(d, func() {
		switch {
		case !x.up || !x.startedAt.Equal(startedAt) || e.finished || e.paceChanges != paceChanges:
		case x.health == hanging:
			x.endAfter(e, 100*time.Millisecond)
		default:
			x.finish(e, e.outcome)
		}
	})
}

// setPace changes the rate of progress of all tasks from now on.
func (x *worker) setPace(pace float64) {
	before := x.pace
	x.pace = pace
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		e := x.runs[k]
		e.progress += before * float64(x.world.now.Sub(e.progressAt)) / float64(max(e.fullTime, 1))
		x.reschedule(e)
	}
}

// reschedule schedules the end of a run anew from its progress and the worker's pace.
func (x *worker) reschedule(e *execution) {
	now := x.world.now
	e.progressAt, e.total = now, 0
	e.paceChanges++
	if x.pace == 0 {
		return
	}
	e.total = time.Duration(float64(e.fullTime) / x.pace)
	elapsed := time.Duration(e.progress * float64(e.total))
	e.began = now.Add(-elapsed)
	x.endAfter(e, e.total-elapsed)
}

func (x *worker) finish(e *execution, outcome lease.Outcome) {
	if e.finished {
		return
	}
	e.finished = true
	delete(x.runs, e.Run)
	x.lastEndNumber++
	x.ended = append(x.ended, lease.ListedEnd{Number: x.lastEndNumber, Run: e.Run, Outcome: outcome})
	x.lastStopped[e.Task] = max(x.lastStopped[e.Task], e.Number)
	x.world.ended(e.span, outcome)
	pendingHolds := x.pendingHolds
	x.pendingHolds = nil
	for _, wt := range pendingHolds {
		x.reply(wt)
	}
}

func (x *worker) stop(c lease.StopCall) lease.Result {
	if x.fenced(c.Fence) {
		return x.result(lease.Refused, lease.Fenced)
	}
	x.lastStopped[c.Task] = max(x.lastStopped[c.Task], c.Number)
	if e, ok := x.runs[c.Run]; ok {
		x.world.after(stopDuration, func() { x.finish(e, lease.Stopped) })
	}
	return x.result(lease.OK, "")
}

// stopDuration is the time from a stop call to the end of the run.
const stopDuration = 40 * time.Millisecond

// crash ends the worker and its runs without notifying anyone.
func (x *worker) crash() {
	x.up = false
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		x.runs[k].finished = true
		x.world.ended(x.runs[k].span, lease.Lost)
	}
	x.runs = nil
}

// failAll fails all running tasks on the worker and those that begin later.
func (x *worker) failAll() {
	x.health = failingAll
	if !x.up {
		return
	}
	for _, k := range slices.SortedFunc(maps.Keys(x.runs), compareRuns) {
		x.finish(x.runs[k], lease.Failed)
	}
}
