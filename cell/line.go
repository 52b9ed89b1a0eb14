package cell

import (
	"cmp"
	"slices"
)

// requestQueue is the pending requests in the order in which they are placed. It is kept
// sorted from one plan to the next: sorting it for each event took a fifth of a busy
// planner's time.
type requestQueue struct {
	order   Order
	pending []*pendingRequest
}

// add inserts a request at its position.
func (l *requestQueue) add(p *pendingRequest) {
	i, _ := slices.BinarySearchFunc(l.pending, p, l.order.compare)
	l.pending = slices.Insert(l.pending, i, p)
}

// remove deletes a request. It must be called before any field that determines the order
// changes.
func (l *requestQueue) remove(p *pendingRequest) {
	i, ok := slices.BinarySearchFunc(l.pending, p, l.order.compare)
	if ok && l.pending[i] == p {
		l.pending = slices.Delete(l.pending, i, i+1)
		return
	}
	l.pending = slices.DeleteFunc(l.pending, func(o *pendingRequest) bool { return o == p })
}

// change applies a function that modifies a request, and moves the request to its new
// position.
func (l *requestQueue) change(p *pendingRequest, change func()) {
	l.remove(p)
	change()
	l.add(p)
}

// compare orders two requests: those of jobs that have begun go first, and ties are
// broken in a fixed order.
func (o Order) compare(x, y *pendingRequest) int {
	return cmp.Or(
		-compareBool(x.Begun, y.Begun),
		o.compareByPolicy(x, y),
		x.objective.Compare(y.objective),
		cmp.Compare(x.job, y.job),
		cmp.Compare(x.step, y.step),
	)
}
