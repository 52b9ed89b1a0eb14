package lease

import (
	"time"

	"snipehub.example/internal/quantile"
)

// trips is how it is followed how long workers take to answer.
var trips = quantile.Range{
	// A worker or a path that loses calls says nothing of how long an answer takes: up to
	// a quarter of them may get lost without being taken for slow ones.
	Share: 0.75,
	// A change is followed within some thirty calls, half a second on a process that
	// holds eight workers.
	Step:  0.1,
	Least: 2 * time.Millisecond,
	// Three of the longest are below the time after which a start loses its force.
	Most: 66 * time.Millisecond,
}

// tripsFor is how many trips a call may take.
const tripsFor = 3

// took learns from a call that does not wait. The time is the same for all workers: what
// makes it long is this process's own link or processor.
func (h *Habits) took(d time.Duration, r Result) {
	if r.Verdict == NoAnswer {
		h.trip.Longer(trips)
		return
	}
	h.trip.Add(trips, d)
}

// limit is how long a call may go without an answer: the usual time, or longer where
// answers take longer.
//
// With fixed times a thin link collapses: a call that waits in its queue counts as lost,
// is made again on a new connection, and what became of it must be asked for by one more
// call. On links of 2 Mbit/s that carried a task in 70 ms, more than half of the starts
// were taken for lost within 50 ms, and looks at workers came to 30 a second each.
func (h *Habits) limit(usual time.Duration) time.Duration {
	return max(usual, tripsFor*h.trip.Value(trips))
}
