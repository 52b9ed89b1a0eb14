package pool

import "time"

// healthState says whether a server gets tasks.
type healthState int

const (
	stateInUse healthState = iota
	// stateEjected gets none until its next probe is due.
	stateEjected
	// stateProbing has one task that tells whether the server is well again.
	stateProbing
)

// Verdict is what became of a task, as far as the server is judged by it.
type Verdict int

// The verdicts.
const (
	// Good means that the task was done.
	Good Verdict = iota + 1
	// Bad means that it failed, was lost, or that nobody listened.
	Bad
	// Rejected means that the server refused it.
	Rejected
	// Neutral says nothing about the server.
	Neutral
)

// Reason is the reason for which a server is set aside.
type Reason string

// The reasons.
const (
	Failing  Reason = "it fails what it starts"
	Refusing Reason = "it refuses everything"
	Stalled  Reason = "nothing ends there"
	Slow     Reason = "it is far slower than the others"
)

const (
	// ejectAfterFailures is how many tasks in a row fail before a server is set
	// aside, refusalsOut how many refusals in a row.
	ejectAfterFailures = 3
	ejectAfterRefusals = 12
	// ejectSlowness is how many times slower than usual is too slow.
	ejectSlowness = 5
	// failureWeight is the weight of one more outcome in the share of failures.
	failureWeight = 0.2

	// retestAfter is after how long an unused server that was slow is tried with
	// one task, and unusedSlow what counts as slow there.
	retestAfter    = 20 * time.Second
	retestSlowness = 1.2
	// unusedScanInterval is how often unused servers are looked for.
	unusedScanInterval = time.Second

	minRefusalBackoff = 20 * time.Millisecond
	maxRefusalBackoff = time.Second
	minProbeInterval  = time.Second
	maxProbeInterval  = 30 * time.Second
	// stallFactor times the usual service time without any end is a stall when
	// one task is there. With more tasks it takes less, because it is ever less
	// likely that all of them are long, but never under stallFloor times the
	// usual time, nor under stallLeast.
	stallFactor    = 20
	minStallFactor = 3
	minStallTime   = time.Second
)

// judge takes the verdict on a task and says whether the server is to be set
// aside, and why.
func (s *Server) judge(now time.Time, v Verdict) (Reason, bool) {
	switch v {
	case Good:
		s.growWindow()
		s.failuresInRow = 0
		s.refusalsInRow = 0
		s.backoffUntil = time.Time{}
		s.failureRate -= s.failureRate * failureWeight
		return Slow, s.slowness.n >= warmupSamples/2 && s.slowness.value > ejectSlowness
	case Bad:
		s.failuresInRow++
		s.failureRate += (1 - s.failureRate) * failureWeight
		return Failing, s.failuresInRow >= ejectAfterFailures
	case Rejected:
		s.refusalsInRow++
		s.shrinkWindow()
		s.backoffUntil = now.Add(s.refusalBackoff())
		return Refusing, s.refusalsInRow >= ejectAfterRefusals
	}
	return "", false
}

// refusalBackoff is how long a server that refused is left alone. Without it a full
// server is asked again for every task that waits, and each asking is a wasted
// message.
func (s *Server) refusalBackoff() time.Duration {
	d := minRefusalBackoff << min(s.refusalsInRow-1, 6)
	return min(d, maxRefusalBackoff)
}

// markEjected sets the server aside until its next probe. The time between probes
// doubles, so that a server that stays bad costs ever fewer tasks.
func (s *Server) markEjected(now time.Time) {
	s.probeInterval = min(max(s.probeInterval*2, minProbeInterval), maxProbeInterval)
	s.healthState = stateEjected
	s.probeAt = now.Add(s.probeInterval)
}

// restore takes the server into use again, with what was learned about its speed
// forgotten.
func (s *Server) restore() {
	s.healthState = stateInUse
	s.probeInterval = 0
	s.failuresInRow = 0
	s.refusalsInRow = 0
	s.window = 0
	s.failureRate = 0
	s.slowness = average{}
}

// needsRetest tells whether what was learned of the server's speed should be tried
// again. A server that is slow for a while gets no tasks while faster ones are
// free; without a trial nobody would ever learn that it is well again.
func (s *Server) needsRetest(now time.Time) bool {
	return s.healthState == stateInUse && s.busy == 0 && s.Slowness() > retestSlowness && now.Sub(s.lastProgress) > retestAfter
}

// stalled tells whether tasks are there and none has ended for too long. A
// frozen server answers nothing; without this it is noticed only when the lease
// of a task runs out, and until then holds connections that others need.
func (s *Server) stalled(now time.Time, usual time.Duration) bool {
	if s.busy == 0 {
		return false
	}
	factor := max(stallFactor/time.Duration(s.busy), minStallFactor)
	return now.Sub(s.lastProgress) > max(factor*usual, minStallTime)
}
