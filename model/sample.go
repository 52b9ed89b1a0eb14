package model

import "time"

// slot is the length of the pieces of time in which the workers' capacity is reckoned.
const slot = 20 * time.Millisecond

// timeline is what a day's workers and processes could do, slot by slot.
//
// It errs on the side of the planner, so that what is reckoned from it stays a bound: of
// the states at a slot's two ends the better one counts, a worker counts until it is gone
// though calls may not reach it, and so does one that is slow, hangs or fails only for
// what begins there, because what began before goes on.
type timeline struct {
	// pace is how fast tasks get on, by worker and slot; 0 is not at all.
	pace [][]float64
	// alive tells whether any process takes requests.
	alive []bool
}

// sample plans to look at the day at each slot's end.
func (w *World) sample() *timeline {
	t := &timeline{}
	for i := range int((w.cfg.Length+w.cfg.Tail)/slot) + 2 {
		w.at(w.start.Add(time.Duration(i)*slot), func() { t.look(w, i) })
	}
	return t
}

func (t *timeline) look(w *World, i int) {
	alive := false
	for _, n := range w.vms {
		alive = alive || n.up && catalogVersion(n) != 0
	}
	t.alive = append(t.alive, alive)
	if i > 0 {
		t.alive[i-1] = t.alive[i-1] || alive
	}
	for k, x := range w.workers {
		if k == len(t.pace) {
			t.pace = append(t.pace, make([]float64, i))
		}
		p := 0.0
		if x.up && x.health != failingAll {
			p = x.pace
		}
		t.pace[k] = append(t.pace[k], p)
		if i > 0 {
			t.pace[k][i-1] = max(t.pace[k][i-1], p)
		}
	}
}

// upAt tells whether a process takes requests in a slot.
func (t *timeline) upAt(i int) bool { return i >= 0 && i < len(t.alive) && t.alive[i] }
