package model

import (
	"cmp"
	"slices"
)

// Parts holds the earned share of the worth over several groups of jobs: the whole day, the two
// worst windows (their mean), the worst class, and the callers of the worst data centre. The
// largest tenth of a class's jobs and the fifth below it each count as a class too.
type Parts struct {
	Whole, Windows, Class, DataCenter float64
}

// By returns the weighted sum of the parts.
func (p Parts) By(weights Parts) float64 {
	return weights.Whole*p.Whole + weights.Windows*p.Windows + weights.Class*p.Class + weights.DataCenter*p.DataCenter
}

// The shares of a class's jobs that count as large and, below them, as middling.
const (
	largest  = 0.1
	midsized = 0.2
)

// computeParts applies share to each group of jobs and combines the results.
func (w *World) computeParts(share func(jobs []*job) float64) Parts {
	p := Parts{Whole: share(w.jobs), Windows: 1, Class: 1, DataCenter: 1}
	lowest := []float64{1, 1}
	for _, g := range groupsOf(w.jobs, func(j *job) int { return int(j.sent.Sub(w.start) / windowLength) }) {
		lowest = append(lowest, share(g))
	}
	slices.Sort(lowest)
	p.Windows = (lowest[0] + lowest[1]) / 2
	for _, g := range groupsOf(w.jobs, func(j *job) int { return j.class }) {
		p.Class = min(p.Class, share(g))
		large, middling := w.largest(g)
		for _, h := range [][]*job{large, middling} {
			if len(h) > 0 {
				p.Class = min(p.Class, share(h))
			}
		}
	}
	for _, g := range groupsOf(w.jobs, func(j *job) string { return j.dc }) {
		p.DataCenter = min(p.DataCenter, share(g))
	}
	return p
}

// largest returns the largest tenth of a class's jobs by total work, and the fifth below it.
func (w *World) largest(jobs []*job) (large, middling []*job) {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(x, y *job) int { return cmp.Compare(y.totalWork(), x.totalWork()) })
	n := float64(len(sorted))
	a, b := int(largest*n), int((largest+midsized)*n)
	return sorted[:a], sorted[a:b]
}

// groupsOf groups jobs by a key, in the order of the keys.
func groupsOf[K cmp.Ordered](jobs []*job, key func(*job) K) [][]*job {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(x, y *job) int { return cmp.Compare(key(x), key(y)) })
	var out [][]*job
	for i, j := range sorted {
		if i == 0 || key(j) != key(sorted[i-1]) {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], j)
	}
	return out
}

// earned returns the share of the worth of jobs that was earned.
func (w *World) earned(jobs []*job) float64 {
	var scratch Tally
	earned, owed := 0.0, 0.0
	for _, j := range jobs {
		e, o := w.tally(&scratch, j)
		earned += e
		owed += o
	}
	return earnedRatio(earned, owed)
}

// earnedRatio returns earned over owed, or 1 if nothing was owed.
func earnedRatio(earned, owed float64) float64 {
	if owed == 0 {
		return 1
	}
	return earned / owed
}
