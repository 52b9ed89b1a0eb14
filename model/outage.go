package model

import (
	"time"

	"snipehub.example/mesh"
)

// Restart returns a fault that shuts a process down gracefully and starts it again after down.
// The process takes no more callers and transfers its workers. It ends once it is idle, or
// after grace.
func Restart(vm int, grace, down time.Duration) func(*World) {
	return func(w *World) {
		n := w.vms[vm%len(w.vms)]
		if !n.up || n.leaving {
			return
		}
		n.leaving = true
		n.do(func(now time.Time) { n.core.Advertise(now, func(m *mesh.Member) { m.Leaving = true }) })
		n.endWhenIdle(n.boots, w.now.Add(grace), down)
	}
}

// idlePollInterval is the interval between checks whether a stopping process is idle.
const idlePollInterval = 25 * time.Millisecond

func (n *vm) endWhenIdle(boots uint64, deadline time.Time, down time.Duration) {
	w := n.world
	w.after(idlePollInterval, func() {
		switch {
		case n.boots != boots || !n.up:
		case n.core.Idle() || !w.now.Before(deadline):
			w.kill(n, down, reset)
		default:
			n.endWhenIdle(boots, deadline, down)
		}
	})
}

// BlockStore makes the store silent for one process.
func BlockStore(vm int, d time.Duration) func(*World) {
	return func(w *World) {
		n := w.vms[vm%len(w.vms)]
		n.storeBlocked = true
		w.after(d, func() { n.storeBlocked = false })
	}
}

// OnPlanner applies a fault to the VM of the planner, or to the first VM that is up if no
// process is the planner.
func OnPlanner(do func(vm int) func(*World)) func(*World) {
	return func(w *World) {
		chosen := -1
		for _, n := range w.vms {
			if n.up && (chosen < 0 || n.core.IsPlanner()) {
				chosen = n.index
			}
		}
		if chosen >= 0 {
			do(chosen)(w)
		}
	}
}

// IsolateDataCenter isolates the processes and workers of a data centre from all others and from
// the store; its callers still reach its processes. If resetConns is set, connections are reset
// and processes notice at once; otherwise they see silence.
func IsolateDataCenter(name string, resetConns bool, d time.Duration) func(*World) {
	how := silent
	if resetConns {
		how = reset
	}
	return func(w *World) {
		w.isolatedDCs[name] = true
		for _, a := range w.vms {
			for _, b := range w.vms {
				if a.index < b.index && w.partitioned(a.dc, b.dc) {
					w.disconnect(a, b, how)
				}
			}
		}
		w.after(d, func() { delete(w.isolatedDCs, name) })
	}
}

// SlowTasks multiplies the duration of the tasks on a worker by factor, including those already
// running.
func SlowTasks(index int, factor float64, d time.Duration) func(*World) {
	return onWorkers(index, 1, d, func(x *worker) { x.setPace(1 / factor) }, func(x *worker) { x.setPace(1) })
}

// PauseTasks pauses the tasks on a worker; they continue afterwards.
func PauseTasks(index int, d time.Duration) func(*World) {
	return onWorkers(index, 1, d, func(x *worker) { x.setPace(0) }, func(x *worker) { x.setPace(1) })
}

// FailTasks makes a worker fail every task, including those already running.
func FailTasks(index int, d time.Duration) func(*World) {
	return onWorkers(index, 1, d, func(x *worker) { x.failAll() }, func(x *worker) { x.health = healthy })
}

// Retire makes a worker drain and, after a delay, leave permanently; what still runs on it is
// lost.
func Retire(worker int, after time.Duration) func(*World) {
	return func(w *World) {
		x := w.workers[worker%len(w.workers)]
		x.draining, x.drainsSince = true, w.now
		w.after(after, func() {
			x.removed = true
			if x.up {
				x.crash()
			}
		})
	}
}

// AddWorker adds an empty worker of a kind to a data centre.
func AddWorker(dc string, kind int) func(*World) {
	return func(w *World) { w.addWorker(dc, w.cfg.Kinds[kind%len(w.cfg.Kinds)]) }
}
