package plan

import "container/heap"

// expiries is the jobs by their deadline. It implements heap.Interface.
type expiries []*work

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].job.Expires.Before(e[j].job.Expires) }

func (e expiries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index = i
	e[j].index = j
}

// Push adds x, a *work, at the end.
func (e *expiries) Push(x any) {
	w := x.(*work)
	w.index = len(*e)
	*e = append(*e, w)
}

// Pop removes the last.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	w := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	w.index = -1
	return w
}

func (e *expiries) add(w *work) { heap.Push(e, w) }

func (e *expiries) remove(w *work) {
	if w.index >= 0 {
		heap.Remove(e, w.index)
	}
}
