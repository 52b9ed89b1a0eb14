package pool

import (
	"math"
	"net/netip"
	"time"
)

const (
	// classes is the number of classes of speed; each spans a factor of
	// classFactor, and the middle one holds servers of average speed.
	classes     = 17
	middleClass = classes / 2

	// warmupSamples is after how many samples an average stops being a plain mean and
	// starts to forget.
	warmupSamples = 64

	// maxSlowness bounds the learned slowness, and 1/maxSlowness from below.
	maxSlowness = 64
)

var logClassFactor = math.Log(math.Sqrt2)

// average is an exponentially weighted mean that starts as a plain one.
type average struct {
	value float64
	n     int
}

func (a *average) add(v float64) {
	a.n = min(a.n+1, warmupSamples)
	a.value += (v - a.value) / float64(a.n)
}

// Server is a backend server as this dispatcher sees it.
type Server struct {
	Address netip.AddrPort

	slots   int
	limit   int
	leaving bool
	busy    int
	// freeSlots is what the server adds to its fleet's freeSlots.
	freeSlots   int
	memberships []*Membership
	// busyIndex is the server's place in the list of those with tasks, or -1.
	busyIndex int

	slowness    average
	failureRate float64

	// window is how many tasks the server has shown to take from this
	// dispatcher, as long as it is below limit; 0 means that it never refused.
	window float64

	failuresInRow int
	refusalsInRow int
	backoffUntil  time.Time
	backingOff    bool
	lastProgress  time.Time
	healthState   healthState
	ejectReason   Reason
	probeAt       time.Time
	// probeDue tells that the next task is a trial; it is for one task only.
	probeDue      bool
	probeInterval time.Duration
}

// Busy returns how many of this dispatcher's tasks are there.
func (s *Server) Busy() int { return s.busy }

// Limit returns how many tasks this dispatcher may have there.
func (s *Server) Limit() int { return s.limit }

// Ejected tells whether the server is set aside.
func (s *Server) Ejected() bool { return s.healthState != stateInUse }

// Slowness returns the server's service time as a multiple of the usual one.
func (s *Server) Slowness() float64 {
	if s.slowness.n == 0 {
		return 1
	}
	return s.slowness.value
}

// maxTasks is how many tasks may be there at once: the limit, or what the server has
// shown to take.
func (s *Server) maxTasks() int {
	if s.window == 0 || s.window >= float64(s.limit) {
		return s.limit
	}
	return int(s.window)
}

// shrinkWindow takes a refusal into account, widen a task that was done: the window
// falls to what was there when the server refused, and grows by one for each
// round of tasks that it does. Where other dispatchers use the server too, own
// counts alone say that there is room, and every task that is tried there is a
// wasted message.
func (s *Server) shrinkWindow() { s.window = max(float64(s.busy), 1) }

func (s *Server) growWindow() {
	if s.window > 0 {
		s.window = min(s.window+1/s.window, float64(s.limit))
	}
}

// Load says how late the next task would end there, in no particular unit:
// the learned slowness, more for each task that is there already, and more for
// recent failures.
func (s *Server) Load() float64 {
	used := float64(s.busy) / float64(max(s.limit, 1))
	return s.Slowness() * (1 + used) * (1 + failurePenalty*s.failureRate)
}

// failurePenalty is by how much a server that always fails looks slower.
const failurePenalty = 4

func (s *Server) class() int {
	v := s.Slowness() * (1 + failurePenalty*s.failureRate)
	c := middleClass + int(math.Round(math.Log(v)/logClassFactor))
	return min(max(c, 0), classes-1)
}

// learn takes a service time as a multiple of the usual one.
func (s *Server) learn(ratio float64) {
	s.slowness.add(min(max(ratio, 1.0/maxSlowness), maxSlowness))
}

// ServiceTime is the learned service time of a kind, corrected by the slowness of the
// servers on which it ran.
//
// Time of a kind on a server is taken as the product of the two. An average for
// each pair would need every pair to be seen often; with thousands of servers
// most never would.
type ServiceTime struct{ mean average }

// Known tells whether enough tasks were seen to rely on the mean.
func (u *ServiceTime) Known() bool { return u.mean.n >= warmupSamples }

// Mean returns the service time on a server of usual speed, or 0 while nothing
// is known.
func (u *ServiceTime) Mean() time.Duration { return time.Duration(u.mean.value) }

// discount makes the next sample count as much as all before it.
func (a *average) discount() { a.n = min(a.n, 1) }

func (u *ServiceTime) learn(d time.Duration, s *Server) {
	slowness := s.Slowness()
	if u.mean.n > 0 && u.mean.value > 0 {
		s.learn(float64(d) / u.mean.value)
	}
	u.mean.add(float64(d) / slowness)
}
