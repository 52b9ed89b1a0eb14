package model

import "time"

// slot is the time resolution at which the capacity of workers is sampled.
const slot = 20 * time.Millisecond

// timeline records which capacity was available in each slot of a day.
//
// It errs in favour of the planner, so that what is computed from it stays a bound. Of the
// states at the two ends of a slot the better one counts. A worker counts until it is gone,
// even if calls can't reach it, and so does one that is slow, hangs or fails only for tasks
// that begin, because tasks that began before continue.
type timeline struct {
	// pace is the rate of progress of tasks by worker and slot; 0 means none.
	pace [][]float64
	// alive is set, by slot, if any process takes requests.
	alive []bool
}

// scheduleSampling schedules a sample at the end of each slot.
func (w *World) scheduleSampling() *timeline {
	t := &timeline{}
	for i := range int((w.cfg.Length+w.cfg.Tail)/slot) + 2 {
		w.at(w.start.Add(time.Duration(i)*slot), func() { t.record(w, i) })
	}
	return t
}

func (t *timeline) record(w *World, i int) {
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

// aliveAt reports whether a process takes requests in a slot.
func (t *timeline) aliveAt(i int) bool { return i >= 0 && i < len(t.alive) && t.alive[i] }
