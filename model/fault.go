package model

import (
	"time"
)

// Fault is something that happens to a day, at a time from the first request.
type Fault struct {
	At time.Duration
	Do func(w *World)
}

// Kill ends a process; it starts again after a while. Its peers see its
// connections close.
func Kill(vm int, down time.Duration) func(*World) {
	return func(w *World) { w.kill(w.nodes[vm%len(w.nodes)], down, reset) }
}

// PowerOff is Kill without a word: the peers see silence.
func PowerOff(vm int, down time.Duration) func(*World) {
	return func(w *World) { w.kill(w.nodes[vm%len(w.nodes)], down, silent) }
}

// PowerOffAll takes the power of all VMs.
func PowerOffAll(down time.Duration) func(*World) {
	return func(w *World) {
		for _, n := range w.nodes {
			w.kill(n, down+time.Duration(w.rnd.IntN(300))*time.Millisecond, silent)
		}
	}
}

func (w *World) kill(n *vm, down time.Duration, how ending) {
	if !n.up {
		return
	}
	for _, o := range w.nodes {
		if o != n {
			w.part(n, o, how)
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

// Freeze stops a process for a while.
func Freeze(vm int, d time.Duration) func(*World) {
	return func(w *World) {
		n := w.nodes[vm%len(w.nodes)]
		if !n.up || n.frozen {
			return
		}
		n.frozen = true
		for _, o := range w.nodes {
			if o != n {
				w.part(n, o, silent)
			}
		}
		boots := n.boots
		w.after(d, func() {
			if n.boots == boots {
				n.thaw(d)
			}
		})
	}
}

// frozenAfter is the pause that a process notices.
const frozenAfter = 500 * time.Millisecond

func (n *vm) thaw(d time.Duration) {
	n.frozen = false
	if d > frozenAfter {
		n.do(func(now time.Time) { n.core.Resumed(now) })
	}
	backlog := n.backlog
	n.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// Cut separates a VM from all others; callers and workers still reach it.
func Cut(vm int, d time.Duration) func(*World) {
	return func(w *World) {
		n := w.nodes[vm%len(w.nodes)]
		n.cut = true
		for _, o := range w.nodes {
			if o != n {
				w.part(n, o, silent)
			}
		}
		w.after(d, func() { n.cut = false })
	}
}

// Reset breaks all sessions of a VM once.
func Reset(vm int) func(*World) {
	return func(w *World) {
		n := w.nodes[vm%len(w.nodes)]
		for _, o := range w.nodes {
			if o != n {
				w.part(n, o, reset)
			}
		}
	}
}

// StoreDown takes the store away.
func StoreDown(d time.Duration) func(*World) {
	return func(w *World) {
		w.storeDown = true
		w.after(d, func() { w.storeDown = false })
	}
}

// Crash ends workers; they start again after a while, empty.
func Crash(first, count int, down time.Duration) func(*World) {
	return func(w *World) {
		for i := range count {
			x := w.workers[(first+i)%len(w.workers)]
			if !x.up {
				continue
			}
			x.crash()
			w.after(down, x.boot)
		}
	}
}

// CutWorkers has workers run on out of reach.
func CutWorkers(first, count int, d time.Duration) func(*World) {
	return each(first, count, d, func(x *worker) { x.reachable = false }, func(x *worker) { x.reachable = true })
}

// Fail has workers fail every task.
func Fail(first, count int, d time.Duration) func(*World) {
	return each(first, count, d, func(x *worker) { x.health = failing }, func(x *worker) { x.health = well })
}

// Hang has tasks on workers stand still.
func Hang(first, count int, d time.Duration) func(*World) {
	return each(first, count, d, func(x *worker) { x.health = hanging }, func(x *worker) { x.health = well })
}

// Shed has workers refuse every start.
func Shed(first, count int, d time.Duration) func(*World) {
	return each(first, count, d, func(x *worker) { x.health = shedding }, func(x *worker) { x.health = well })
}

// Slow has tasks on workers take times as long.
func Slow(first, count int, times float64, d time.Duration) func(*World) {
	return each(first, count, d, func(x *worker) { x.slow = times }, func(x *worker) { x.slow = 1 })
}

// Lose has a share of the calls to workers carried out seconds late.
func Lose(share float64, d time.Duration) func(*World) {
	return func(w *World) {
		each(0, len(w.workers), d, func(x *worker) { x.lose = share }, func(x *worker) { x.lose = 0 })(w)
	}
}

func each(first, count int, d time.Duration, begin, end func(x *worker)) func(*World) {
	return func(w *World) {
		for i := range count {
			x := w.workers[(first+i)%len(w.workers)]
			begin(x)
			w.after(d, func() { end(x) })
		}
	}
}
