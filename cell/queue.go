package cell

import (
	"cmp"
	"slices"
)

// requestQueue is the pending requests in the order in which they are placed. It is kept
// sorted from one Place to the next: sorting it for each event took a fifth of a busy
// planner's time.
type requestQueue struct {
	order   Order
	pending []*pendingRequest
}

// add inserts a request at its position.
func (q *requestQueue) add(p *pendingRequest) {
	i, _ := slices.BinarySearchFunc(q.pending, p, q.order.compare)
	q.pending = slices.Insert(q.pending, i, p)
}

// remove deletes a request. It must be called before any field that determines the order
// changes.
func (q *requestQueue) remove(p *pendingRequest) {
	i, ok := slices.BinarySearchFunc(q.pending, p, q.order.compare)
	if ok && q.pending[i] == p {
		q.pending = slices.Delete(q.pending, i, i+1)
		return
	}
	q.pending = slices.DeleteFunc(q.pending, func(o *pendingRequest) bool { return o == p })
}

// change applies a function that modifies a request, and moves the request to its new
// position.
func (q *requestQueue) change(p *pendingRequest, change func()) {
	q.remove(p)
	change()
	q.add(p)
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
