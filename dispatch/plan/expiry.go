package plan

import "container/heap"

// expiries is a heap of jobs by deadline. It implements heap.Interface.
type expiries []*jobState

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].job.Expires.Before(e[j].job.Expires) }

func (e expiries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].expiryIndex = i
	e[j].expiryIndex = j
}

// Push appends x, a *jobState.
func (e *expiries) Push(x any) {
	js := x.(*jobState)
	js.expiryIndex = len(*e)
	*e = append(*e, js)
}

// Pop removes and returns the last element.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	js := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	js.expiryIndex = -1
	return js
}

func (e *expiries) add(js *jobState) { heap.Push(e, js) }

func (e *expiries) remove(js *jobState) {
	if js.expiryIndex >= 0 {
		heap.Remove(e, js.expiryIndex)
	}
}
