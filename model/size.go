package model

import "slices"

// size is a measure of the size of tasks, and of how much of it fits on a worker at once.
type size struct {
	// unit is the CPU of a worker that sizes are fractions of, or 0 for sizes in CPU.
	unit int
	// parts is one less than the number of equal parts that the unit is split into.
	parts int
	// minCPU is the least CPU that a task of each size takes, by its number of whole parts.
	minCPU []int
}

// sizes returns the size measures: CPU, and for each CPU capacity of a worker and each number of
// parts into which it is split, the number of whole parts (halves, thirds and so on) that a
// task exceeds. Of tasks of more than a half only one fits, of more than a third two, however
// much CPU they leave free.
func (w *World) sizes() []size {
	out := []size{{}}
	var capacities []int
	for _, k := range w.cfg.Kinds {
		capacities = append(capacities, k.Resources.CPU)
	}
	slices.Sort(capacities)
	for _, r := range slices.Compact(capacities) {
		for parts := 1; parts <= maxParts; parts++ {
			s := size{unit: r, parts: parts}
			s.recordMinimums(w.jobs)
			out = append(out, s)
		}
	}
	return out
}

// maxParts bounds the number of parts: a worker's CPU is split into up to fifths.
const maxParts = 4

// recordMinimums records the least CPU of a task of each size.
func (s *size) recordMinimums(jobs []*job) {
	for _, j := range jobs {
		n := s.wholeParts(j.cpu)
		for len(s.minCPU) <= n {
			s.minCPU = append(s.minCPU, 0)
		}
		if s.minCPU[n] == 0 || j.cpu < s.minCPU[n] {
			s.minCPU[n] = j.cpu
		}
	}
}

// wholeParts returns how many whole parts of the unit a task exceeds.
func (s *size) wholeParts(cpu int) int { return (max(cpu, 1)*(s.parts+1) - 1) / s.unit }

// of returns the size of a task.
func (s *size) of(cpu int) float64 {
	if s.unit == 0 {
		return float64(cpu)
	}
	return float64(s.wholeParts(cpu))
}

// most returns the largest total size of whole tasks that fit into a worker's free CPU.
func (s *size) most(freeCPU int) float64 {
	if s.unit == 0 {
		return float64(freeCPU)
	}
	best := 0.0
	for n, cpu := range s.minCPU {
		if n > 0 && cpu > 0 && cpu <= freeCPU {
			best = max(best, float64(n)+s.most(freeCPU-cpu))
		}
	}
	return best
}
