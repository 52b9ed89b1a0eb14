package model

import (
	"time"

	"snipehub.example/mesh"
)

// Restart stops a process in an orderly way: it takes no more callers and passes its
// workers on, ends when nobody waits for it any more or after grace, and starts again
// after down.
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

// idlePoll is how often a process that stops looks whether somebody still waits for it.
const idlePoll = 25 * time.Millisecond

func (n *vm) endWhenIdle(boots uint64, last time.Time, down time.Duration) {
	w := n.world
	w.after(idlePoll, func() {
		switch {
		case n.boots != boots || !n.up:
		case n.core.Idle() || !w.now.Before(last):
			w.kill(n, down, reset)
		default:
			n.endWhenIdle(boots, last, down)
		}
	})
}

// Blind keeps a process from the store.
func Blind(vm int, d time.Duration) func(*World) {
	return func(w *World) {
		n := w.vms[vm%len(w.vms)]
		n.storeBlocked = true
		w.after(d, func() { n.storeBlocked = false })
	}
}

// OnPlanner does something to the VM that plans, or to the first that is up if none does.
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

// CutDataCenter separates the processes and workers of a data centre from all others and
// from the store; its callers still reach its processes. If it is loud, connections are
// reset and processes notice at once, else they hear silence.
func CutDataCenter(name string, loud bool, d time.Duration) func(*World) {
	how := silent
	if loud {
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

// Drag has the tasks on a worker take times as long, those under way too.
func Drag(index int, times float64, d time.Duration) func(*World) {
	return onWorkers(index, 1, d, func(x *worker) { x.setPace(1 / times) }, func(x *worker) { x.setPace(1) })
}

// Halt has the tasks on a worker stand still and get on afterwards.
func Halt(index int, d time.Duration) func(*World) {
	return onWorkers(index, 1, d, func(x *worker) { x.setPace(0) }, func(x *worker) { x.setPace(1) })
}

// Spoil has a worker fail every task, those under way too.
func Spoil(index int, d time.Duration) func(*World) {
	return onWorkers(index, 1, d, func(x *worker) { x.failAll() }, func(x *worker) { x.health = healthy })
}

// Retire has a worker drain and, after a while, leave for good with what runs on it.
func Retire(worker int, after time.Duration) func(*World) {
	return func(w *World) {
		x := w.workers[worker%len(w.workers)]
		x.draining = true
		w.after(after, func() {
			x.removed = true
			if x.up {
				x.crash()
			}
		})
	}
}

// Join adds an empty worker of a kind.
func Join(dc string, kind int) func(*World) {
	return func(w *World) { w.addWorker(dc, w.cfg.Kinds[kind%len(w.cfg.Kinds)]) }
}
