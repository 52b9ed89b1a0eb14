package lease

import (
	"time"

	"snipehub.example/internal/quantile"
)

// answerTimeRange sets how the workers' answer times are tracked.
var answerTimeRange = quantile.Config{
	// A lost call says nothing of how long an answer takes: up to a quarter of the calls
	// may get lost without being taken for slow ones.
	Share: 0.75,
	// A change is followed within some thirty calls, which is half a second on a process
	// that holds eight workers.
	Step: 0.1,
	Min:  2 * time.Millisecond,
	// Three times this is below startValidity.
	Max: 66 * time.Millisecond,
}

// timeoutFactor is the timeout of a call as a multiple of the tracked answer time.
const timeoutFactor = 3

// recordAnswer learns from a call that does not wait. The time is tracked for all workers
// together: what makes it long is this process's own link or processor.
func (s *PoolStats) recordAnswer(d time.Duration, r Result) {
	if r.Verdict == NoAnswer {
		s.answerTime.AddLost(answerTimeRange)
		return
	}
	s.answerTime.Add(answerTimeRange, d)
}

// timeout returns how long a call may go without an answer: the usual time, or longer
// where answers take longer.
//
// With fixed timeouts a thin link collapses: a call that waits in the link's queue counts
// as lost, is made again on a new connection, and what became of it must be found out by
// one more call. On links of 2 Mbit/s that carried a task in 70 ms, more than half of the
// starts were taken for lost within 50 ms, and checks of workers came to 30 a second
// each.
func (s *PoolStats) timeout(usual time.Duration) time.Duration {
	return max(usual, timeoutFactor*s.answerTime.Value(answerTimeRange))
}
