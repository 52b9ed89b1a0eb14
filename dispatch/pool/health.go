package pool

import "time"

// healthState decides whether a server gets tasks.
type healthState int

const (
	stateInUse healthState = iota
	// stateEjected means that the server gets no tasks until its next probe is due.
	stateEjected
	// stateProbing means that one task is under way to find out whether the server has
	// recovered.
	stateProbing
)

// Verdict is the outcome of a task as evidence of the server's health.
type Verdict int

// The verdicts.
const (
	// Good means that the task was done.
	Good Verdict = iota + 1
	// Bad means that the task failed or was lost, or that no connection could be made.
	Bad
	// Rejected means that the server refused the task.
	Rejected
	// Neutral means that the outcome says nothing about the server.
	Neutral
)

// Reason is why a server is ejected.
type Reason string

// The reasons for an ejection.
const (
	Failing  Reason = "it fails what it starts"
	Refusing Reason = "it refuses everything"
	Stalled  Reason = "nothing ends there"
	Slow     Reason = "it is far slower than the others"
)

const (
	// A server is ejected after ejectAfterFailures failed tasks, or ejectAfterRefusals
	// refusals, in a row.
	ejectAfterFailures = 3
	ejectAfterRefusals = 12
	// ejectSlowness is the slowness, as a multiple of the usual service time, above which
	// a server is ejected.
	ejectSlowness = 5
	// failureWeight is the weight of a new outcome in the moving average of failures.
	failureWeight = 0.2

	// A server with a slowness above retestSlowness that has been unused for retestAfter
	// gets one task as a probe.
	retestAfter    = 20 * time.Second
	retestSlowness = 1.2
	// unusedScanInterval is the interval between two scans for unused servers.
	unusedScanInterval = time.Second

	minRefusalBackoff = 20 * time.Millisecond
	maxRefusalBackoff = time.Second
	minProbeInterval  = time.Second
	maxProbeInterval  = 30 * time.Second
	// A server with one task is stalled if nothing has ended there for stallFactor times
	// the longest mean service time of the kinds in use. With n tasks the factor is
	// divided by n, because it is less likely that all of them are long, but it is never
	// below minStallFactor, nor the time below minStallTime.
	stallFactor    = 20
	minStallFactor = 3
	minStallTime   = time.Second
)

// judge updates the server's health with the verdict on a task, and reports whether the
// server is to be ejected, and why.
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

// refusalBackoff returns how long a server that refused gets no tasks. Without it a full
// server would be asked again for every waiting task, and each attempt is a wasted
// message.
func (s *Server) refusalBackoff() time.Duration {
	d := minRefusalBackoff << min(s.refusalsInRow-1, 6)
	return min(d, maxRefusalBackoff)
}

// markEjected ejects the server until its next probe. The interval between probes
// doubles, so that a server that stays bad costs ever fewer tasks.
func (s *Server) markEjected(now time.Time) {
	s.probeInterval = min(max(s.probeInterval*2, minProbeInterval), maxProbeInterval)
	s.healthState = stateEjected
	s.probeAt = now.Add(s.probeInterval)
}

// restore puts the server back into use and forgets what was learned about its speed.
func (s *Server) restore() {
	s.healthState = stateInUse
	s.probeInterval = 0
	s.failuresInRow = 0
	s.refusalsInRow = 0
	s.window = 0
	s.failureRate = 0
	s.slowness = average{}
}

// needsRetest reports whether the learned slowness of an idle server is old enough to be
// tested again. A slow server gets no tasks while faster ones are free, so without a test
// its recovery would go unnoticed.
func (s *Server) needsRetest(now time.Time) bool {
	return s.healthState == stateInUse && s.busy == 0 && s.Slowness() > retestSlowness && now.Sub(s.lastProgress) > retestAfter
}

// stalled reports whether the server has tasks and none has ended for too long. A frozen
// server answers nothing. Without this check it would be detected only when the lease of
// a task runs out, and would hold connections until then.
func (s *Server) stalled(now time.Time, longest time.Duration) bool {
	if s.busy == 0 {
		return false
	}
	factor := max(stallFactor/time.Duration(s.busy), minStallFactor)
	return now.Sub(s.lastProgress) > max(factor*longest, minStallTime)
}
