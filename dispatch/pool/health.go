package pool

import "time"

// state says whether a server gets tasks.
type state int

const (
	inUse state = iota
	// setAside gets none until its next probe is due.
	setAside
	// probing has one task that tells whether the server is well again.
	probing
)

// Verdict is what became of a task, as far as the server is judged by it.
type Verdict int

// The verdicts.
const (
	// Good means that the task was done.
	Good Verdict = iota + 1
	// Bad means that it failed, was lost, or that nobody listened.
	Bad
	// Busy means that the server refused it.
	Busy
	// Neutral says nothing about the server.
	Neutral
)

// Why is the reason for which a server is set aside.
type Why string

// The reasons.
const (
	Failing  Why = "it fails what it starts"
	Refusing Why = "it refuses everything"
	Stalled  Why = "nothing ends there"
	Slow     Why = "it is far slower than the others"
)

const (
	// strikesOut is how many tasks in a row fail before a server is set
	// aside, refusalsOut how many refusals in a row.
	strikesOut  = 3
	refusalsOut = 12
	// slowOut is how many times slower than usual is too slow.
	slowOut = 5
	// failingStep is the weight of one more outcome in the share of failures.
	failingStep = 0.2

	// lookAgain is after how long an unused server that was slow is tried with
	// one task, and unusedSlow what counts as slow there.
	lookAgain  = 20 * time.Second
	unusedSlow = 1.2
	// lookEvery is how often unused servers are looked for.
	lookEvery = time.Second

	firstRest  = 20 * time.Millisecond
	longRest   = time.Second
	firstProbe = time.Second
	lastProbe  = 30 * time.Second
	// stallFactor times the usual service time without any end is a stall when
	// one task is there. With more tasks it takes less, because it is ever less
	// likely that all of them are long, but never under stallFloor times the
	// usual time, nor under stallLeast.
	stallFactor = 20
	stallFloor  = 3
	stallLeast  = time.Second
)

// judge takes the verdict on a task and says whether the server is to be set
// aside, and why.
func (s *Server) judge(now time.Time, v Verdict) (Why, bool) {
	switch v {
	case Good:
		s.widen()
		s.strikes = 0
		s.refusals = 0
		s.restTill = time.Time{}
		s.failing -= s.failing * failingStep
		return Slow, s.slow.n >= warm/2 && s.slow.value > slowOut
	case Bad:
		s.strikes++
		s.failing += (1 - s.failing) * failingStep
		return Failing, s.strikes >= strikesOut
	case Busy:
		s.refusals++
		s.narrow()
		s.restTill = now.Add(s.rest())
		return Refusing, s.refusals >= refusalsOut
	}
	return "", false
}

// rest is how long a server that refused is left alone. Without it a full
// server is asked again for every task that waits, and each asking is a wasted
// message.
func (s *Server) rest() time.Duration {
	d := firstRest << min(s.refusals-1, 6)
	return min(d, longRest)
}

// away sets the server aside until its next probe. The time between probes
// doubles, so that a server that stays bad costs ever fewer tasks.
func (s *Server) away(now time.Time) {
	s.backOff = min(max(s.backOff*2, firstProbe), lastProbe)
	s.state = setAside
	s.probeAt = now.Add(s.backOff)
}

// back takes the server into use again, with what was learned about its speed
// forgotten.
func (s *Server) back() {
	s.state = inUse
	s.backOff = 0
	s.strikes = 0
	s.refusals = 0
	s.window = 0
	s.failing = 0
	s.slow = average{}
}

// stale tells whether what was learned of the server's speed should be tried
// again. A server that is slow for a while gets no tasks while faster ones are
// free; without a trial nobody would ever learn that it is well again.
func (s *Server) stale(now time.Time) bool {
	return s.state == inUse && s.busy == 0 && s.Slowness() > unusedSlow && now.Sub(s.progress) > lookAgain
}

// stalled tells whether tasks are there and none has ended for too long. A
// frozen server answers nothing; without this it is noticed only when the lease
// of a task runs out, and until then holds connections that others need.
func (s *Server) stalled(now time.Time, usual time.Duration) bool {
	if s.busy == 0 {
		return false
	}
	factor := max(stallFactor/time.Duration(s.busy), stallFloor)
	return now.Sub(s.progress) > max(factor*usual, stallLeast)
}
