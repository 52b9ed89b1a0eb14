package model

import "slices"

// size tells how large a task is beside others, and how much of that a worker takes at once.
type size struct {
	// unit is the room that sizes are parts of, 0 for sizes in cores.
	unit int
	// parts is one less than the number of parts that the unit is split into.
	parts int
	// smallest is the least that a task of each size takes of a worker, by the number of
	// parts.
	smallest []int
}

// sizes are the ways to tell sizes: in cores, and for each room that a worker has, by how
// many whole halves, thirds and so on of it are less than the task. Of tasks of more than a
// half only one fits, of more than a third two, however much room they leave.
func (w *World) sizes() []size {
	out := []size{{}}
	var rooms []int
	for _, k := range w.cfg.Kinds {
		rooms = append(rooms, k.Resources.CPU)
	}
	slices.Sort(rooms)
	for _, r := range slices.Compact(rooms) {
		for parts := 1; parts <= partsMost; parts++ {
			s := size{unit: r, parts: parts}
			s.learn(w.jobs)
			out = append(out, s)
		}
	}
	return out
}

// partsMost is how finely a worker's room is split: a task takes a fifth of it or more.
const partsMost = 4

// learn notes the least of each size.
func (s *size) learn(jobs []*job) {
	for _, j := range jobs {
		n := s.count(j.cpu)
		for len(s.smallest) <= n {
			s.smallest = append(s.smallest, 0)
		}
		if s.smallest[n] == 0 || j.cpu < s.smallest[n] {
			s.smallest[n] = j.cpu
		}
	}
}

// count is how many whole parts of the unit are less than a task.
func (s *size) count(cpu int) int { return (max(cpu, 1)*(s.parts+1) - 1) / s.unit }

// of is the size of a task.
func (s *size) of(cpu int) float64 {
	if s.unit == 0 {
		return float64(cpu)
	}
	return float64(s.count(cpu))
}

// most is the most that the sizes of whole tasks on a worker with so much room add up to.
func (s *size) most(room int) float64 {
	if s.unit == 0 {
		return float64(room)
	}
	best := 0.0
	for n, cpu := range s.smallest {
		if n > 0 && cpu > 0 && cpu <= room {
			best = max(best, float64(n)+s.most(room-cpu))
		}
	}
	return best
}
