package lease

import "time"

const (
	// tripShare is the part of the calls that are answered within a trip. A worker or a
	// path that loses calls says nothing of how long an answer takes; up to a quarter
	// of them may get lost without being taken for slow ones.
	tripShare = 0.75
	// tripStep is by how much a call changes the trip: it follows a change within some
	// thirty calls, half a second on a process that holds eight workers.
	tripStep = 0.1
	// tripLeast and tripMost bound the trip. Three of the longest are below the time
	// after which a start loses its force.
	tripLeast = 2 * time.Millisecond
	tripMost  = 66 * time.Millisecond
	// tripsFor is how many trips a call may take.
	tripsFor = 3
)

// trip is how long workers take to answer this process: three quarters of the calls are
// answered within it. It is the same for all workers, since what makes it long is this
// process's own link or processor.
//
// With fixed times a thin link collapses: a call that waits in its queue counts as lost,
// is made again on a new connection, and what became of it must be asked for by one more
// call. On links of 2 Mbit/s that carried a task in 70 ms, more than half of the starts
// were taken for lost within 50 ms, and looks at workers came to 30 a second each.
type trip time.Duration

// took learns from a call that does not wait.
func (h *Habits) took(d time.Duration, r Result) {
	if r.Verdict == NoAnswer {
		h.trip.lost()
		return
	}
	h.trip.answered(d)
}

// answered takes the time that a call took.
func (t *trip) answered(took time.Duration) {
	switch {
	case took > time.Duration(*t):
		t.move(tripShare)
	default:
		t.move(tripShare - 1)
	}
}

// lost takes note of a call without an answer.
func (t *trip) lost() { t.move(tripShare) }

func (t *trip) move(by float64) {
	now := max(time.Duration(*t), tripLeast)
	now += time.Duration(by * tripStep * float64(now))
	*t = trip(min(max(now, tripLeast), tripMost))
}

// limit is how long a call may go without an answer: the usual time, or longer where
// answers take longer.
func (t *trip) limit(usual time.Duration) time.Duration {
	return max(usual, tripsFor*time.Duration(*t))
}
