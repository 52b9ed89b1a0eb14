package cell

import (
	"cmp"
	"slices"
)

// line is what waits, first what goes first. It is kept in order from one plan to the
// next: sorting anew for each event took a fifth of a busy planner's time.
type line struct {
	order Order
	waits []*wait
}

// add puts a step in its place.
func (l *line) add(w *wait) {
	i, _ := slices.BinarySearchFunc(l.waits, w, l.order.first)
	l.waits = slices.Insert(l.waits, i, w)
}

// remove takes a step out. It must be called before anything that the order looks at
// changes.
func (l *line) remove(w *wait) {
	i, ok := slices.BinarySearchFunc(l.waits, w, l.order.first)
	if ok && l.waits[i] == w {
		l.waits = slices.Delete(l.waits, i, i+1)
		return
	}
	l.waits = slices.DeleteFunc(l.waits, func(o *wait) bool { return o == w })
}

// change puts a step in another place because of what change does to it.
func (l *line) change(w *wait, change func()) {
	l.remove(w)
	change()
	l.add(w)
}

// first orders two steps: what has begun goes first, and equal ones have a fixed order.
func (o Order) first(x, y *wait) int {
	return cmp.Or(
		-compareBool(x.Begun, y.Begun),
		o.compare(x, y),
		x.aim.Compare(y.aim),
		cmp.Compare(x.job, y.job),
		cmp.Compare(x.step, y.step),
	)
}
