package model

import (
	"time"
)

// Fault is an event that changes the simulation. At counts from the first request.
type Fault struct {
	At time.Duration
	Do func(w *World)
}

// Kill returns a fault that ends the process of a VM and restarts it after down. Its peers see
// their connections close. VM and worker indexes of faults wrap around.
func Kill(vm int, down time.Duration) func(*World) {
	return func(w *World) { w.kill(w.vms[vm%len(w.vms)], down, reset) }
}

// PowerOff is like Kill, but the peers see only silence.
func PowerOff(vm int, down time.Duration) func(*World) {
	return func(w *World) { w.kill(w.vms[vm%len(w.vms)], down, silent) }
}

// PowerOffAll powers off all VMs. Each restarts up to 300 ms after down.
func PowerOffAll(down time.Duration) func(*World) {
	return func(w *World) {
		for _, n := range w.vms {
			w.kill(n, down+time.Duration(w.rnd.IntN(300))*time.Millisecond, silent)
		}
	}
}

func (w *World) kill(n *vm, down time.Duration, how endMode) {
	if !n.up {
		return
	}
	for _, o := range w.vms {
		if o != n {
			w.disconnect(n, o, how)
		}
	}
	n.up = false
	boots := n.boots
	w.after(down, func() {
		if n.boots == boots {
			n.boot()
		}
	})
}

// Suspend stops a process for d, after which it continues.
func Suspend(vm int, d time.Duration) func(*World) {
	return func(w *World) {
		n := w.vms[vm%len(w.vms)]
		if !n.up || n.suspended {
			return
		}
		n.suspended = true
		for _, o := range w.vms {
			if o != n {
				w.disconnect(n, o, silent)
			}
		}
		boots := n.boots
		w.after(d, func() {
			if n.boots == boots {
				n.resume(d)
			}
		})
	}
}

// noticedPause is the length of a pause beyond which a process notices it.
const noticedPause = 500 * time.Millisecond

func (n *vm) resume(d time.Duration) {
	n.suspended = false
	if d > noticedPause {
		n.do(func(now time.Time) { n.core.Resumed(now, d) })
	}
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// IsolateVM isolates a VM from all other VMs; callers and workers still reach it.
func IsolateVM(vm int, d time.Duration) func(*World) {
	return func(w *World) {
		n := w.vms[vm%len(w.vms)]
		n.isolated = true
		for _, o := range w.vms {
			if o != n {
				w.disconnect(n, o, silent)
			}
		}
		w.after(d, func() { n.isolated = false })
	}
}

// ResetSessions resets all sessions of a VM once.
func ResetSessions(vm int) func(*World) {
	return func(w *World) {
		n := w.vms[vm%len(w.vms)]
		for _, o := range w.vms {
			if o != n {
				w.disconnect(n, o, reset)
			}
		}
	}
}

// StoreDown makes the store unreachable for all processes.
func StoreDown(d time.Duration) func(*World) {
	return func(w *World) {
		w.storeDown = true
		w.after(d, func() { w.storeDown = false })
	}
}

// CrashWorkers ends workers; they restart empty after down.
func CrashWorkers(first, count int, down time.Duration) func(*World) {
	return crashWorkers(first, count, down, (*worker).boot)
}

// RestartWorkers ends workers; they restart empty after down, under their IDs, as workers of
// another kind.
func RestartWorkers(first, count int, down time.Duration, k Kind) func(*World) {
	return crashWorkers(first, count, down, func(x *worker) {
		x.kind, x.Kind, x.Resources, x.draining = k, k.Name, k.Resources, false
		x.boot()
	})
}

func crashWorkers(first, count int, down time.Duration, restart func(x *worker)) func(*World) {
	return func(w *World) {
		for i := range count {
			x := w.workers[(first+i)%len(w.workers)]
			if !x.up {
				continue
			}
			x.crash()
			w.after(down, func() { restart(x) })
		}
	}
}

// DrainAndRestart makes a worker drain for a time and end; it restarts empty after down, under
// its ID.
func DrainAndRestart(worker int, after, down time.Duration) func(*World) {
	return func(w *World) {
		x := w.workers[worker%len(w.workers)]
		x.draining, x.drainsSince = true, w.now
		w.after(after, func() { RestartWorkers(worker, 1, down, x.kind)(w) })
	}
}

// IsolateWorkers makes workers unreachable while they keep running.
func IsolateWorkers(first, count int, d time.Duration) func(*World) {
	return onWorkers(first, count, d, func(x *worker) { x.reachable = false }, func(x *worker) { x.reachable = true })
}

// FailNewTasks makes workers fail every task that begins.
func FailNewTasks(first, count int, d time.Duration) func(*World) {
	return onWorkers(first, count, d, func(x *worker) { x.health = failing }, func(x *worker) { x.health = healthy })
}

// HangTasks prevents tasks on workers from ending until d has passed.
func HangTasks(first, count int, d time.Duration) func(*World) {
	return onWorkers(first, count, d, func(x *worker) { x.health = hanging }, func(x *worker) { x.health = healthy })
}

// RefuseStarts makes workers refuse every start.
func RefuseStarts(first, count int, d time.Duration) func(*World) {
	return onWorkers(first, count, d, func(x *worker) { x.health = refusing }, func(x *worker) { x.health = healthy })
}

// SlowNewTasks multiplies the duration of tasks that begin on workers by factor.
func SlowNewTasks(first, count int, factor float64, d time.Duration) func(*World) {
	return onWorkers(first, count, d, func(x *worker) { x.slowdown = factor }, func(x *worker) { x.slowdown = 1 })
}

// DelayCalls makes a share of the calls to workers execute seconds late and without an answer.
func DelayCalls(share float64, d time.Duration) func(*World) {
	return func(w *World) {
		onWorkers(0, len(w.workers), d, func(x *worker) { x.lateCallShare = share }, func(x *worker) { x.lateCallShare = 0 })(w)
	}
}

func onWorkers(first, count int, d time.Duration, begin, end func(x *worker)) func(*World) {
	return func(w *World) {
		for i := range count {
			x := w.workers[(first+i)%len(w.workers)]
			begin(x)
			w.after(d, func() { end(x) })
		}
	}
}
